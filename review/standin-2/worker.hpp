#pragma once

// An executor of the users' platform, for the cases of the review. It starts,
// stops and holds runs under fencing tokens and leases as PROTOCOL.md says.
// It can crash, start again under its id or another one, be cut off, and carry
// out a start late.

#include "net/http.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace galenastage::review {

/// Writes one line of the record.
using record_line = std::function<void(const std::string &)>;

/// One run in one life of an executor.
struct worker_run {
  std::string Worker;
  std::int64_t Life = 0;
  std::string Task;
  int Attempt = 0;
  instant Began{};
  std::optional<instant> Ended;
  std::string How; // empty: not ended
};

/// The name that a worker has in one life, and what it reports with it.
struct worker_name {
  std::string Id;
  std::string Kind;
};

class worker {
public:
  worker(asio::io_context &Context, const std::string &Address,
         worker_name Name, std::string Rack, record_line Record);

  [[nodiscard]] const std::string &id() const { return Name.Id; }
  [[nodiscard]] bool isUp() const { return IsUp; }
  [[nodiscard]] bool isCut() const { return IsCut; }
  [[nodiscard]] const std::vector<worker_run> &ledger() const { return Ledger; }
  [[nodiscard]] int running() const { return static_cast<int>(Runs.size()); }
  [[nodiscard]] bool runs(const std::string &Task) const;
  /// Its report about itself, for the store.
  [[nodiscard]] std::string report();

  /// Ends what is due; to be called often.
  void advance();
  /// Everything that runs ends; connections are closed until it boots.
  void crash();
  /// A new life, which knows nothing of before.
  void boot(worker_name NewName);
  /// While it is cut off, no call arrives and nothing is answered.
  void setCut(bool NewIsCut);

  /// The next start that arrives is left unanswered and carried out this much
  /// later, by the life that has the same id then. OnArrival is called at once.
  void deferNextStart(milliseconds By, std::function<void()> OnArrival);
  void clearDeferral() { Deferral.reset(); }
  /// Delay of the answer to a start.
  void setStartDelay(milliseconds Delay) { StartDelay = Delay; }

private:
  struct live_run {
    std::size_t Record = 0; // its index in the ledger
    std::optional<instant> EndsAt;
  };
  struct listed_end {
    std::int64_t Number = 0;
    std::string Task;
    int Attempt = 0;
    std::string How;
  };
  using run_key = std::pair<std::string, int>; // task and attempt

  task<http_response> handle(http_request Request);
  task<http_response> carryOut(http_request Request);
  task<http_response> hold(nlohmann::json Body);
  task<void> startLater(std::string Id, nlohmann::json Body, milliseconds By);
  task<http_response> leaveUnanswered();
  http_response start(const nlohmann::json &Body);
  http_response stop(const nlohmann::json &Body);
  bool isFenced(const nlohmann::json &Body);
  void extendLease(const nlohmann::json &Body);
  void finish(const run_key &Key, const std::string &How);
  [[nodiscard]] int percentOf(const live_run &Run) const;
  [[nodiscard]] std::int64_t clock() const;
  [[nodiscard]] http_response answer(unsigned Status,
                                     const std::string &Reason) const;

  asio::io_context &Context;
  worker_name Name;
  std::string Rack;
  record_line Record;
  bool IsUp = true;
  bool IsCut = false;
  milliseconds StartDelay{0};
  std::optional<milliseconds> Deferral;
  std::function<void()> OnDeferred;
  std::int64_t Born = 0;
  std::int64_t FirstClockMs = 0;
  std::int64_t Sequence = 0;
  instant Started{};
  std::uint64_t Token = 0;
  std::int64_t LeaseEndMs = 0;
  std::int64_t LastNumber = 0;
  std::map<run_key, live_run> Runs;
  std::map<std::string, int> Closed; // highest attempt that stopped or ended
  std::vector<listed_end> Ends;
  std::vector<worker_run> Ledger;
  http_server Server;
};

} // namespace galenastage::review
