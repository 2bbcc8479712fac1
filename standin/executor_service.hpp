#pragma once

#include "net/http.hpp"
#include "standin/platform.hpp"

#include <map>

namespace galenastage::standin {

/// A fake upstream executor: a fixed number of slots, a work time set by the
/// request, and a ledger of every request that it ran.
class executor_service {
public:
  executor_service(asio::io_context &Context, const endpoint &Endpoint,
                   std::string Name, int Slots, int Connections);

  executor_faults Faults;

  /// What this executor recorded for one request id.
  struct ledger_entry {
    int Runs = 0;
    std::string IdempotencyKey;
    std::size_t BodyHash = 0;
  };

  [[nodiscard]] const std::map<std::string, ledger_entry> &ledger() const {
    return Ledger;
  }
  [[nodiscard]] int refusedOverSlots() const { return RefusedOverSlots; }
  [[nodiscard]] int mostAtOnce() const { return MostAtOnce; }
  [[nodiscard]] int mostConnections() const { return Server.peakConnections(); }
  [[nodiscard]] int refusedConnections() const {
    return Server.refusedConnections();
  }
  [[nodiscard]] const std::string &name() const { return Name; }
  [[nodiscard]] endpoint localEndpoint() const {
    return Server.localEndpoint();
  }
  void stopAccepting() { Server.stopAccepting(); }

private:
  task<http_response> handle(http_request Request);
  task<http_response> run(http_request Request);

  asio::io_context &Context;
  std::string Name;
  int Slots;
  int Busy = 0;
  int MostAtOnce = 0;
  int RefusedOverSlots = 0;
  std::uint64_t Answered = 0;
  std::map<std::string, ledger_entry> Ledger;
  http_server Server;
};

} // namespace galenastage::standin
