#pragma once

// Inputs of every process from the platform and from its peers: tables and
// instance lists.
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

/// Peers connect to the listed port plus this offset.
inline constexpr std::uint16_t PeerPortOffset = 1'000;

endpoint peerAddressOf(endpoint Listed);

/// Relay state of this process, for the status page.
struct relay_status {
  std::uint64_t Version = 0; // of the active tables
  instant AsOf = Never;      // when Version was last confirmed
  bool IsReader = false;     // this process watches the store
  std::vector<member> Members;
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0; // to peers, without HTTP/2 overhead
};

struct tables_callbacks {
  /// Runs on the control thread.
  std::function<void(tables_seen)> OnTables;
  /// Runs on the I/O thread.
  std::function<void(publish_leader)> OnLeader;
  /// Runs work on the control thread.
  std::function<void(std::function<void()>)> PostControl;
};

/// Connects the relay's reducer to peers, the store and the instance list. The
/// reducer runs on the control thread, everything else on one I/O thread.
class tables_feed {
public:
  /// Listens for peers; throws boost::system::system_error if that fails.
  tables_feed(asio::io_context &Context, store_client &Store,
              instance_list_client &List, relay_settings Settings,
              tables_callbacks Callbacks);
  ~tables_feed();
  tables_feed(const tables_feed &) = delete;
  tables_feed &operator=(const tables_feed &) = delete;

  /// Starts the loops, which run until the io_context stops.
  void start();

  /// Posts an event to the reducer. Safe from every thread.
  void post(relay_event_body Body);

  /// The latest status; never null. Safe from every thread.
  [[nodiscard]] std::shared_ptr<const relay_status> status() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

// [2] Instances

/// Polls the instances of one kind. A failed read isn't reported, so the caller
/// keeps the last list. Entries that can't be read are logged and left out.
task<void>
pollInstances(asio::io_context &Context, instance_list_client &List,
              instance_kind Kind, data_centre_id DataCentre,
              milliseconds Interval,
              std::function<void(std::vector<instance>)> OnInstances);

} // namespace galenastage
