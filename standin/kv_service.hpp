#pragma once

#include "net/http.hpp"
#include "standin/kv_store.hpp"
#include "standin/platform.hpp"

#include <functional>
#include <optional>

namespace galenastage::standin {

/// Serves a kv_store over HTTP in the JSON form of the etcd v3 API, counts
/// calls and injects the enabled faults.
class kv_service {
public:
  /// IsCutOff returns true when a partition separates a caller at this address
  /// from the service.
  kv_service(asio::io_context &Context, const endpoint &Endpoint,
             std::function<bool(const std::string &)> IsCutOff);

  store_faults Faults;

  struct call_counts {
    std::uint64_t Reads = 0;
    std::uint64_t Writes = 0;
    std::uint64_t Leases = 0;
    std::uint64_t WatchesStarted = 0;
    std::uint64_t WatchesWaiting = 0;
  };
  [[nodiscard]] const call_counts &counts() const { return Counts; }
  [[nodiscard]] endpoint localEndpoint() const {
    return Server.localEndpoint();
  }
  void stopAccepting() { Server.stopAccepting(); }

  /// Expires leases. Call several times a second.
  void advance(instant Now) { Store.expireLeases(Now); }

private:
  task<http_response> handle(http_request Request);
  const kv_store &readable();
  http_response act(const std::string &Path, const std::string &Body);
  http_response startWatch(const std::string &Body, std::string Peer);
  task<void> streamChanges(chunk_writer Write, std::string Key, std::string End,
                           std::int64_t FromRevision, std::string Peer);

  asio::io_context &Context;
  std::function<bool(const std::string &)> IsCutOff;
  kv_store Store;
  std::optional<kv_store> Stale; // snapshot; set while reads are stale
  call_counts Counts;
  http_server Server;
};

/// Reads the steady clock, for the stand-ins, which have no reducer.
instant readProcessClock();

} // namespace galenastage::standin
