#pragma once

// A fake executor of the users' platform: it starts, stops and holds runs
// under fencing tokens and leases, and lists the runs that ended.

#include "net/http.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>

namespace galenastage::standin {

struct run_faults {
  bool LosesAnswers = false;   // acts, then closes without a response
  bool IsUnhealthy = false;    // 503 before acting
  bool FailsAll = false;       // every run ends as failed
  bool CrashesOnStart = false; // each start restarts it without an answer
  int CapacityPercent = 100;   // of its capacity, as it reports it

  friend bool operator==(const run_faults &, const run_faults &) = default;
};

struct run_service_settings {
  std::string Id = "i-1";
  milliseconds WorkTime{500};    // of every task
  std::size_t EndsPerPage = 500; //

  friend bool operator==(const run_service_settings &,
                         const run_service_settings &) = default;
};

class run_service {
public:
  run_service(asio::io_context &Context, const endpoint &Endpoint,
              run_service_settings Settings);

  run_faults Faults;

  [[nodiscard]] endpoint localEndpoint() const {
    return Server.localEndpoint();
  }
  [[nodiscard]] int starts() const { return Starts; }
  [[nodiscard]] std::int64_t incarnation() const { return Born; }

  /// Simulates a crash and restart under the same id: all state is lost.
  void restart();

private:
  struct run {
    instant EndsAt{};
  };
  struct end {
    std::int64_t Number = 0;
    std::string Task;
    int Attempt = 0;
    std::string How;
  };
  using run_key = std::pair<std::string, int>; // task and attempt

  task<http_response> handle(http_request Request);
  http_response start(const nlohmann::json &Body);
  http_response stop(const nlohmann::json &Body);
  task<http_response> hold(const nlohmann::json &Body);
  bool isFenced(const nlohmann::json &Body);
  void extendLease(const nlohmann::json &Body);
  void advance();
  void finish(const run_key &Run, const std::string &How);
  [[nodiscard]] http_response answer(unsigned Status,
                                     const std::string &Reason) const;
  [[nodiscard]] std::int64_t clock() const;

  asio::io_context &Context;
  run_service_settings Settings;
  std::int64_t Born = 0;
  instant Started{};
  std::uint64_t Token = 0;
  std::int64_t LeaseEndMs = 0;
  std::int64_t LastNumber = 0;
  int Starts = 0;
  std::map<run_key, run> Runs;
  std::map<std::string, int>
      Closed; // highest attempt that was stopped or has ended
  std::vector<end> Ends;
  http_server Server;
};

} // namespace galenastage::standin
