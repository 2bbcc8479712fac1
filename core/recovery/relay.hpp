#pragma once

// The reducer that keeps one process informed of the tables: one instance of a
// data centre reads and watches the store, and peers pass on what they know.
// Versions only grow, whatever the store or a peer says.
//
// Evidence is a moment: "no newer tables than these existed then". It travels
// as an age, which the receiver counts from the last of its own messages that
// the sender had seen: a message that was long on its way is old evidence.
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
  endpoint PeerListen;                     // where it listens for them; differs
                                           // when a forwarder stands before it
  std::uint64_t Incarnation = 1;           //
  milliseconds ReadInterval{500};          // of the one that reads the store
  milliseconds HandOverStep{600};          // the next in rank reads when the
                                           // evidence is older than this
  int MaxReaders = 3;                      // in one data centre at once
  milliseconds HeartbeatInterval{500};     // within the data centre
  milliseconds RemoteInterval{2'000};      // to other data centres, while both
                                           // reach the store
  milliseconds MembersInterval{1'000};     // between two lists of members
  milliseconds LinkTimeout{5'000};         // a silent link is closed
  milliseconds ReconnectInterval{500};     //
  milliseconds HelpAfter{1'000}; // without contact: peers are asked more often
  milliseconds CutOffAfter{1'500}; // without contact: the store is out of reach
  int MaxOwnLinks = 2;             // of a scheduler, to entry instances
  int LowerReadsUntilCheck = 4;    // then a write settles whether the store
                                   // was restored or the reads are stale
};

// [2] Messages between peers

/// What a data centre is said to know, as ages when the message was made.
/// Negative: never.
struct reach_statement {
  data_centre_id DataCentre;
  milliseconds SaidAge{-1};
  milliseconds ReachedAge{-1};

  friend bool operator==(const reach_statement &,
                         const reach_statement &) = default;
};

struct member_statement {
  member Member; // LastHeard is not sent
  milliseconds HeardAge{0};

  friend bool operator==(const member_statement &,
                         const member_statement &) = default;
};

/// Who leads a data centre's scheduling, for its own data centre only.
struct leader_statement {
  epoch Epoch = 0; // 0: nobody was heard
  milliseconds Age{-1};

  friend bool operator==(const leader_statement &,
                         const leader_statement &) = default;
};

/// One heartbeat. Everything in it may be repeated and may arrive late.
struct peer_message {
  member From;                        // LastHeard is not sent
  std::int64_t SentAt = 0;            // on the sender's clock
  std::int64_t EchoOf = -1;           // the last SentAt heard from the receiver
  milliseconds EchoHeld{0};           // since that was heard
  milliseconds EvidenceAge{-1};       // of From.Version; negative: none
  leader_statement Leader;            //
  std::vector<reach_statement> Reach; //
  std::vector<member_statement> Members; // of the sender's data centre
  std::string TablesText;                // when the receiver's version is older

  friend bool operator==(const peer_message &, const peer_message &) = default;
};

// [3] Events

/// Time has passed. Sent ten times a second.
struct relay_ticked {};

/// The instance list's entry instances in every data centre.
struct entries_listed {
  std::vector<member> Members;
};

using link_id = int;

/// A connection to a peer stands. Name is empty when the peer connected.
struct link_opened {
  link_id Link = 0;
  instance_id Name;
};
struct link_closed {
  link_id Link = 0;
};

/// A connection that was asked for didn't come about.
struct link_failed {
  instance_id Name;
};

struct message_received {
  link_id Link = 0;
  peer_message Message;
};

/// Tables with the text they were read from.
struct tables_text {
  std::shared_ptr<const tables> Tables; // null: none stored
  std::string Text;

  [[nodiscard]] std::uint64_t version() const {
    return Tables ? Tables->Version : 0;
  }
};

/// A read of the tables' key that was sent at SentAt.
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

/// An edit made here is stored.
struct edit_stored {
  tables_text Stored;
};

/// A restore_store that was sent at SentAt has ended.
struct store_restored {
  bool IsApplied = false;
  std::int64_t Revision = 0; // of the store after it
};

/// This scheduler leads, or no longer does (epoch 0).
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

/// Keep a watch, or end it.
struct set_watch {
  bool IsWanted = false;
};

/// Put the tables in force back if the key is still at this revision (0:
/// missing). A write is never stale: it tells a restored store from old reads.
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

/// New tables, new evidence, or both.
struct publish_tables {
  tables_seen Seen;
};

/// What schedulers need to know of their data centre's leader.
struct publish_leader {
  epoch Epoch = 0;
  instant HeardAt = Never;
  bool IsStoreReached = false; // by anyone in the data centre, lately
  bool IsLinked = false;       // an entry instance was heard lately
  int Rank = 0;                // among the live schedulers
};

using relay_effect =
    std::variant<read_store, set_watch, restore_store, open_link, close_link,
                 send_message, publish_tables, publish_leader, write_log>;
using relay_effects = std::vector<relay_effect>;

// [5] State

struct peer_link {
  instance_id Name; // empty until heard, when the peer connected
  bool IsOutgoing = false;
  instant OpenedAt = Never;
  instant HeardAt = Never;
  std::int64_t PeerSentAt = -1;  // the last SentAt heard
  std::uint64_t PeerVersion = 0; // of the tables, as last said or sent
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
  reach_map Reach; // of every data centre that was heard, and this one
  std::map<link_id, peer_link> Links;
  std::map<instance_id, instant> Connecting; // and since when
  instant OwnReachedAt = Never; // the last read of this process that worked
  bool IsReadInFlight = false;
  bool IsRestoring = false;
  bool IsWatching = false;
  bool WasReached = true;
  instant NextRead = Never;
  std::int64_t HighestRevision = 0; // of the store
  int LowerReads = 0;               // in a row
  epoch LedEpoch = 0;               // by this process
  epoch LeaderEpoch = 0;            // highest heard in this data centre
  instant LeaderHeardAt = Never;
};

// [6] The reducer

/// Applies one event in place.
relay_effects reduce(relay_state &State, const relay_event &Event);

/// The message that would go over this link now.
peer_message makeMessage(const relay_state &State, const peer_link &Link,
                         instant Now);

} // namespace galenastage
