#pragma once

// A fake executor of the users' platform: it starts, stops and holds runs
// under fencing tokens and leases, and lists the runs that ended. It can start
// again under its id, and can be cut off.

#include "net/http.hpp"
#include "standin/run_ledger.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <random>

namespace galenastage::standin {

struct run_faults {
  bool LosesAnswers = false;   // acts, then closes without a response
  bool IsUnhealthy = false;    // 503 before acting
  bool FailsAll = false;       // every run ends as failed
  bool CrashesOnStart = false; // each start restarts it without an answer
  int CapacityPercent = 100;   // of its capacity, as it reports it
  int DelayMilliseconds = 0;   // longest time from arrival to handling
  int LateOrdersPercent = 0;   // starts and stops without an answer, carried
                               // out seconds later
  int LateHoldsPercent = 0;    // the same for holds

  friend bool operator==(const run_faults &, const run_faults &) = default;
};

struct run_service_settings {
  std::string Id = "i-1";
  milliseconds WorkTime{500};    // of a task whose spec isn't "work_ms=N"
  std::size_t EndsPerPage = 500; //
  milliseconds MaxLease{10'000}; //
  int SlowClockPermille = 0;     // how much its clock lags behind
  std::uint64_t Seed = 1;        // of the drawn delays and late calls

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

  /// Simulates a crash and restart under the same id: all state is lost. The
  /// next life begins at once and answers nothing for a while; calls whose
  /// handling hasn't begun wait, and the next life handles them.
  void restart(milliseconds Dark = milliseconds(0));
  [[nodiscard]] bool isDark() const { return readsBefore(DarkUntil); }

  /// Cuts the executor off for a while: calls that arrive have no effect, and
  /// nothing is answered. IsOneWay: calls arrive and take effect.
  void cut(milliseconds Duration, bool IsOneWay = false);
  void endCut();
  [[nodiscard]] bool isCut() const { return readsBefore(CutUntil); }

  /// All runs of all lives up to now.
  [[nodiscard]] const std::vector<run_record> &ledger();

private:
  struct run {
    instant Began{};
    instant EndsAt{};
    std::size_t Record = 0; // its index in the ledger
  };
  struct end {
    std::int64_t Number = 0;
    std::string Task;
    int Attempt = 0;
    std::string How;
    instant At{};
    std::size_t Record = 0;
  };
  using run_key = std::pair<std::string, int>; // task and attempt
  struct call;

  task<http_response> handle(http_request Request);
  task<bool> arrive(milliseconds Delay);
  task<http_response> carryOut(const http_request &Request, instant Arrived,
                               std::int64_t ArrivedIn);
  task<http_response> dropCall();
  [[nodiscard]] milliseconds drawLateness(std::string_view Path);
  [[nodiscard]] int draw(int Min, int Max);
  http_response start(const call &Call);
  http_response stop(const call &Call);
  task<http_response> hold(const call &Call);
  void noteSeen(std::int64_t LastSeen);
  void begin(const run_key &Run, const call &Call);
  bool isFenced(const nlohmann::json &Body);
  void extendLease(const call &Call);
  [[nodiscard]] instant leaseEnd() const;
  void advance();
  void finish(const run_key &Run, const std::string &How, instant At);
  static bool readsBefore(instant Until);
  [[nodiscard]] http_response answer(unsigned Status,
                                     const std::string &Reason) const;
  [[nodiscard]] std::int64_t clock() const;

  asio::io_context &Context;
  run_service_settings Settings;
  std::mt19937_64 Random;
  std::int64_t Born = 0;
  instant Started{};
  instant DarkUntil{};
  instant CutUntil{};
  bool CutIsOneWay = false;
  std::uint64_t Token = 0;
  std::int64_t LeaseEndMs = 0;
  std::optional<instant> Lapsed; // when a lease of this life ended last
  lease_source Lease;
  std::int64_t LastNumber = 0;
  int Starts = 0;
  std::map<run_key, run> Runs;
  std::map<std::string, int>
      Closed; // highest attempt that was stopped or has ended
  std::vector<end> Ends;
  std::vector<run_record> Ledger;
  http_server Server;
};

} // namespace galenastage::standin
