#pragma once

// The reducer of an entry instance's control state. It builds immutable
// snapshots from the tables and the instance list; traffic threads read them
// without a lock.
//
// Index of this file
// [1] Events
// [2] The snapshot
// [3] Effects
// [4] State and reducer

#include "core/config/tables.hpp"
#include "core/log_event.hpp"
#include "core/request/share.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <memory>
#include <variant>
#include <vector>

namespace galenastage {

// [1] Events

/// One executor in the instance list.
struct executor_row {
  executor_id Executor;
  service_id Service;
  data_centre_id DataCentre;
  endpoint Address;
  bool IsLeaving = false;

  friend bool operator==(const executor_row &, const executor_row &) = default;
};

/// All executors in the instance list.
struct executors_seen {
  std::vector<executor_row> Executors;
};

/// The entry instances that share the executors of this data centre.
struct members_seen {
  std::vector<instance_id> Members;
};

using entry_event_body =
    std::variant<tables_seen, executors_seen, members_seen>;

struct entry_event {
  instant Now;
  entry_event_body Body;
};

// [2] The snapshot

/// An executor that may get new requests.
struct executor_choice {
  executor_row Row;
  int Slots = 0; // this instance's share

  friend bool operator==(const executor_choice &,
                         const executor_choice &) = default;
};

/// Everything a traffic thread needs to route a request. Immutable.
struct entry_snapshot
    : boost::intrusive_ref_counter<entry_snapshot, boost::thread_safe_counter> {
  std::shared_ptr<const tables> Tables; // never null
  data_centre_id DataCentre;            // of this instance
  std::vector<executor_choice> Executors;
  int IdleConnections = 0;     // per executor and traffic thread
  bool IsShareSettled = false; // whether this instance may use its share
};
using entry_snapshot_ptr = boost::intrusive_ptr<const entry_snapshot>;

// [3] Effects

struct publish_snapshot {
  entry_snapshot_ptr Snapshot;
};

using entry_effect = std::variant<publish_snapshot, write_log>;
using entry_effects = std::vector<entry_effect>;

// [4] State and reducer

struct entry_settings {
  instance_id Self;
  data_centre_id DataCentre;
  int SlotsPerExecutor = 8;        // concurrent requests of all entry instances
  int ConnectionsPerExecutor = 64; // of all entry instances, idle or in use
  int Threads = 1;                 // traffic threads
  milliseconds ShareWait{30'000};  // see share.hpp
};

struct entry_state {
  explicit entry_state(entry_settings Settings)
      : Settings(std::move(Settings)) {}

  entry_settings Settings;
  std::shared_ptr<const tables> Tables;
  std::vector<executor_row> Executors;
  member_history Members;
  entry_snapshot_ptr Published; // last snapshot; null at first
};

/// Applies one event in place.
entry_effects reduce(entry_state &State, const entry_event &Event);

} // namespace galenastage
