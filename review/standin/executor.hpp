#pragma once

// An executor of the users' platform, as PROTOCOL.md describes it. It doesn't
// guard its capacity and accepts whatever it is told to start.

#include "review/standin/store.hpp"

namespace review {

struct capacity {
  int Cpu = 0; // thousandths of a core
  int MemoryMb = 0;
  int Accelerators = 0;
};

struct executor_settings {
  std::string Id;
  std::string Address;
  std::string Zone = "zone-a";
  std::string Service = "work";
  std::string Kind = "a";
  std::string Rack = "r1";
  capacity Capacity;
};

/// What a task does once it is started.
struct task_plan {
  milliseconds Work{0};
  bool Fails = false;
};

/// What an executor has seen, in the order in which it happened.
struct executor_event {
  enum class kind { Started, Ended, Noted, Crashed, Booted, CutOff, Healed };
  moment At;
  kind What;
  std::string Executor;
  std::string Label; // its kind at that time
  std::string Task;
  int Attempt = 0;
  std::string How; // of an end
};

/// Receives every event. Called with the executor's lock held.
using event_sink = std::function<void(const executor_event &)>;
using planner = std::function<task_plan(const std::string &Executor,
                                        const std::string &Task, int Attempt)>;

class executor {
public:
  executor(executor_settings Settings, metadata_store &Store, planner Plan,
           event_sink Sink);
  ~executor();

  /// Ends everything that it runs and all its connections.
  void crash();
  /// Cuts it off from the instances: its connections are reset and new ones
  /// refused. It runs on and checks in.
  void cutOff();
  void heal();
  /// Starts again under its id and at its address. It knows nothing of before.
  void boot(const std::string &Kind);

  [[nodiscard]] std::size_t runs();
  [[nodiscard]] const std::string &id() const { return Settings.Id; }

private:
  struct run {
    moment EndsAt;
    bool Fails = false;
    moment Started;
    milliseconds Work{0};
  };
  struct ended {
    std::int64_t Number = 0;
    std::string Task;
    int Attempt = 0;
    std::string How;
  };
  using run_key = std::pair<std::string, int>;

  std::optional<http_reply> handle(const http_request &Request);
  http_reply start(const nlohmann::json &Body);
  http_reply stop(const nlohmann::json &Body);
  std::optional<http_reply> hold(const nlohmann::json &Body,
                                 std::unique_lock<std::mutex> &Lock);
  [[nodiscard]] bool isFenced(const nlohmann::json &Body);
  void extendLease(const nlohmann::json &Body);
  void finish(const run_key &Run, const std::string &How);
  void advance();
  void checkIn();
  void work();
  void note(executor_event::kind What, const run_key &Run = {},
            const std::string &How = {});
  [[nodiscard]] std::int64_t clock() const;
  [[nodiscard]] http_reply answer(int Status,
                                  const std::string &Reason = {}) const;

  executor_settings Settings;
  metadata_store &Store;
  planner Plan;
  event_sink Sink;
  std::mutex Mutex;
  std::condition_variable HasChanged;
  bool IsUp = false;
  bool IsStopping = false;
  std::int64_t Born = 0;
  moment BootedAt;
  moment NextCheckIn;
  bool IsListed = false;
  int Cuts = 0;
  std::int64_t Sequence = 0;
  std::int64_t Token = 0;
  std::int64_t LeaseEndMs = 0;
  std::int64_t LastNumber = 0;
  std::map<run_key, run> Runs;
  std::map<std::string, int> Closed; // highest attempt stopped or ended
  std::vector<ended> Ends;
  http_server Server;
  std::thread Worker;
};

} // namespace review
