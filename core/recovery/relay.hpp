#pragma once

// The reducer that keeps the tables of one process up to date. One instance of
// each data centre reads and watches the store; peers forward tables to each
// other. The version in force never decreases, whatever the store or a peer
// sends.
//
// Evidence is an instant at which no newer tables than these existed. A message
// carries it as an age. The receiver counts this age back from the last of its
// own messages that the sender had received, so a message that was delayed on
// the network never counts as recent evidence.
//
// Index of this file
// [1] Settings
// [2] Messages between peers
// [3] Events
// [4] Effects
// [5] State
// [6] The reducer

#include "core/config/tables.hpp"
#include "core/error.hpp"
#include "core/log_event.hpp"
#include "core/recovery/evidence.hpp"
#include "core/recovery/membership.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace galenastage {

// [1] Settings

struct relay_settings {
  instance_id Self;                        //
  data_centre_id DataCentre;               //
  process_kind Kind = process_kind::Entry; //
  endpoint PeerAddress;                    // where peers connect to this one
  endpoint PeerListen;                  // where it listens for peers; differs
                                        // when a port is forwarded to it
  std::uint64_t Incarnation = 1;        //
  milliseconds ReadInterval{500};       // between reads of the store
  milliseconds ReaderFailoverStep{600}; // per rank: how much older evidence
                                        // gets before the next reader steps in
  int MaxReaders = 3;                   // per data centre
  milliseconds HeartbeatInterval{500};  // within the data centre
  milliseconds RemoteInterval{2'000};  // to other data centres while both sides
                                       // reach the store
  milliseconds MembersInterval{1'000}; // between lists of members
  milliseconds LinkTimeout{5'000};     // a silent link is closed
  milliseconds ReconnectInterval{500}; //
  milliseconds AskPeersAfter{1'000};   // without contact: heartbeats to other
                                       // data centres at HeartbeatInterval
  milliseconds CutOffAfter{1'500}; // without contact: the store is unreachable
  int MaxOwnLinks = 2;             // links of a scheduler to entry instances
  int LowerReadsUntilCheck = 4;    // in a row; then a conditional write tells
                                   // a restored store from stale reads
};

// [2] Messages between peers

/// A store_contact as ages at the time the message was made. Negative: never.
struct store_contact_statement {
  data_centre_id DataCentre;
  milliseconds ReportedAge{-1};
  milliseconds ReachedAge{-1};

  friend bool operator==(const store_contact_statement &,
                         const store_contact_statement &) = default;
};

struct member_statement {
  member Member; // LastHeard is not sent
  milliseconds HeardAge{0};

  friend bool operator==(const member_statement &,
                         const member_statement &) = default;
};

/// The scheduling leader of the sender's data centre. Used only within that
/// data centre.
struct leader_statement {
  epoch Epoch = 0; // 0: no leader known
  milliseconds Age{-1};

  friend bool operator==(const leader_statement &,
                         const leader_statement &) = default;
};

/// One heartbeat. Safe to apply when duplicated or delayed.
struct peer_message {
  member From;                  // LastHeard is not sent
  std::int64_t SentAt = 0;      // on the sender's clock
  std::int64_t EchoOf = -1;     // last SentAt received from the peer
  milliseconds EchoHeld{0};     // time since EchoOf was received
  milliseconds EvidenceAge{-1}; // for From.Version; negative: none
  leader_statement Leader;      //
  std::vector<store_contact_statement> Reach; //
  std::vector<member_statement> Members;      // of the sender's data centre
  std::string TablesText; // only if the receiver's are older

  friend bool operator==(const peer_message &, const peer_message &) = default;
};

// [3] Events

/// Time has passed. Sent ten times a second.
struct relay_ticked {};

/// The entry instances of all data centres in the platform's instance list.
struct entries_listed {
  std::vector<member> Members;
};

using link_id = int;

/// A connection to a peer was established. Name is empty when the peer opened
/// it.
struct link_opened {
  link_id Link = 0;
  instance_id Name;
};
struct link_closed {
  link_id Link = 0;
};

/// An open_link failed.
struct link_failed {
  instance_id Name;
};

struct message_received {
  link_id Link = 0;
  peer_message Message;
};

/// Tables and the text from which they were parsed.
struct tables_text {
  std::shared_ptr<const tables> Tables; // null: none stored
  std::string Text;

  [[nodiscard]] std::uint64_t version() const {
    return Tables ? Tables->Version : 0;
  }
};

/// The result of a read of the tables' key that was sent at SentAt.
struct store_answered {
  std::error_code Error;
  instant SentAt;
  tables_text Stored;
  std::int64_t Revision = 0;    // of the store
  std::int64_t ModRevision = 0; // of the key; 0 when missing
};

/// The watch reported tables.
struct watch_reported {
  tables_text Stored;
};

/// An edit through this process was stored.
struct edit_stored {
  tables_text Stored;
};

/// A restore_store has finished.
struct store_restored {
  bool IsApplied = false;
  std::int64_t Revision = 0; // of the store after it
};

/// This scheduler became leader, or lost the leadership (epoch 0).
struct leading_changed {
  epoch Epoch = 0;
};

using relay_event_body =
    std::variant<relay_ticked, entries_listed, link_opened, link_closed,
                 link_failed, message_received, store_answered, watch_reported,
                 edit_stored, store_restored, leading_changed>;

struct relay_event {
  instant Now;
  relay_event_body Body;
};

// [4] Effects

struct read_store {};

/// Starts or ends the watch of the tables' key.
struct set_watch {
  bool IsWanted = false;
};

/// Writes the tables in force back if the key is still at this revision (0:
/// missing). A conditional write, unlike a read, never sees stale data, so it
/// tells a restored store from stale reads.
struct restore_store {
  tables_text InForce;
  std::int64_t ModRevision = 0;
};

struct open_link {
  instance_id Name;
  endpoint Address;
};
struct close_link {
  link_id Link = 0;
};
struct send_message {
  link_id Link = 0;
  peer_message Message;
};

/// Publishes new tables, new evidence, or both.
struct publish_tables {
  tables_seen Seen;
};

/// Publishes to the scheduler what is known of its data centre's leader.
struct publish_leader {
  epoch Epoch = 0;
  instant HeardAt = Never;
  bool IsStoreReached = false; // recently, by any process of the data
                               // centre
  bool IsLinked = false;       // an entry instance was heard recently
  int Rank = 0;                // among the live schedulers of the data
                               // centre
};

using relay_effect =
    std::variant<read_store, set_watch, restore_store, open_link, close_link,
                 send_message, publish_tables, publish_leader, write_log>;
using relay_effects = std::vector<relay_effect>;

// [5] State

struct peer_link {
  instance_id Name; // empty until the first message if the peer connected
  bool IsOutgoing = false;
  instant OpenedAt = Never;
  instant HeardAt = Never;
  std::int64_t PeerSentAt = -1;  // last SentAt received
  std::uint64_t PeerVersion = 0; // of the tables, last received or sent
  instant SentAt = Never;
  instant MembersSentAt = Never;
};

struct relay_state {
  explicit relay_state(relay_settings Settings)
      : Settings(std::move(Settings)) {}

  relay_settings Settings;
  tables_text InForce;
  instant AsOf = Never; // no newer tables than InForce existed then
  membership Membership;
  store_contact_map Reach; // of this data centre and all that reported
  std::map<link_id, peer_link> Links;
  std::map<instance_id, instant> Connecting; // with start time
  instant OwnReachedAt = Never; // last successful contact of this process
  bool IsReadInFlight = false;
  bool IsRestoring = false;
  bool IsWatching = false;
  bool WasReached = true;
  instant NextRead = Never;
  std::int64_t HighestRevision = 0; // of the store
  int LowerReads = 0;               // consecutive reads below what is known
  epoch LedEpoch = 0;               // epoch led by this process; 0: none
  epoch LeaderEpoch = 0;            // highest heard in this data centre
  instant LeaderHeardAt = Never;
};

// [6] The reducer

/// Applies one event in place.
relay_effects reduce(relay_state &State, const relay_event &Event);

/// The heartbeat to send over this link now.
peer_message makeMessage(const relay_state &State, const peer_link &Link,
                         instant Now);

} // namespace galenastage
