#pragma once

// What every process hears from the platform and from its peers.
//
// Index of this file
// [1] Tables
// [2] Instances

#include "core/recovery/relay.hpp"
#include "net/instance_list.hpp"
#include "net/store.hpp"
#include "peer/connection.hpp"

#include <atomic>
#include <functional>

namespace galenastage {

// [1] Tables

/// Peers connect to the port that lies this much above the listed one.
inline constexpr std::uint16_t PeerPortOffset = 1'000;

endpoint peerAddressOf(endpoint Listed);

/// What a process knows of the others, for the status page.
struct relay_status {
  std::uint64_t Version = 0; // in force here
  instant AsOf = Never;      // of the evidence for it
  bool IsReader = false;     // this process watches the store
  std::vector<member> Members;
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0; // to peers, before HTTP/2's own
};

struct tables_callbacks {
  /// Runs on the control thread.
  std::function<void(tables_seen)> OnTables;
  /// Runs on the I/O thread.
  std::function<void(publish_leader)> OnLeader;
  /// Runs work on the control thread.
  std::function<void(std::function<void()>)> PostControl;
};

/// Carries the relay's events and effects: peers, the store, the instance list.
/// The reducer runs on the control thread, everything else on one I/O thread.
class tables_feed {
public:
  /// Listens for peers; throws boost::system::system_error when it can't.
  tables_feed(asio::io_context &Context, store_client &Store,
              instance_list_client &List, relay_settings Settings,
              tables_callbacks Callbacks);
  ~tables_feed();
  tables_feed(const tables_feed &) = delete;
  tables_feed &operator=(const tables_feed &) = delete;

  /// Starts the loops; the io_context ends them.
  void start();

  /// Takes an event from any thread.
  void post(relay_event_body Body);

  /// The latest status, from any thread. Never null.
  [[nodiscard]] std::shared_ptr<const relay_status> status() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

// [2] Instances

/// Reads the instances of one kind at an interval. An error reports nothing:
/// the last list stays in force.
task<void>
feedInstances(asio::io_context &Context, instance_list_client &List,
              instance_kind Kind, data_centre_id DataCentre,
              milliseconds Interval,
              std::function<void(std::vector<instance>)> OnInstances);

} // namespace galenastage
