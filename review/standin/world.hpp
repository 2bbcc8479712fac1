#pragma once

// A small deployment on loopback: the store, executors and clients are
// stand-ins, the instances are processes of the project's own program.

#include "review/standin/executor.hpp"

#include <memory>
#include <stdexcept>
#include <sys/types.h>

namespace review {

struct route {
  std::string Name;
  std::string Prefix;
  int Priority = 1;
  int MaxAttempts = 3;
  int TargetMs = 600'000;
};

/// The case can't run: exit code 2.
struct cannot_run : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class world {
public:
  world(const std::string &Root, const std::string &RecordPath,
        bool HasTrouble);
  ~world();
  world(const world &) = delete;
  world &operator=(const world &) = delete;

  /// False with TROUBLE=0.
  [[nodiscard]] bool hasTrouble() const { return HasTrouble; }

  void configure(const std::vector<route> &Routes);
  /// With 32 cores, 64 GB and 8 GPUs.
  executor &addExecutor(const std::string &Kind = "a",
                        const std::string &Rack = "r1");
  void startInstances(int Count);
  /// Sends the signal to the instance, and waits until it has ended.
  void endInstance(int Instance, int Signal);
  /// The instance that last wrote to the store under a condition.
  int lastWriter();
  /// Starts the instance again with its settings.
  void restartInstance(int Instance);

  /// The answer to a client's request, 0 when there was none.
  http_reply call(int Instance, const std::string &Method,
                  const std::string &Path, const std::string &Body = {});
  /// Hands a job in, with as many tries as a client makes. Throws cannot_run
  /// when none was accepted.
  void submit(const std::string &Path, const nlohmann::json &Job);
  /// The state that an instance shows; empty without an answer of 200.
  std::string state(int Instance, const std::string &Path);

  void record(const std::string &Line);
  [[nodiscard]] std::vector<executor_event> events();
  /// Waits until the condition holds; false after the time.
  static bool eventually(milliseconds Within,
                         const std::function<bool()> &Condition);

  planner Plan = [](const std::string &, const std::string &, int) {
    return task_plan{1'000ms};
  };
  int LinkMbps = 1'000; // of the instances' machines
  metadata_store &store() { return *Store; }
  [[nodiscard]] std::int64_t sinceStart(moment At) const;

private:
  void launch(int Instance);
  [[nodiscard]] std::string address(int Host) const;
  void note(const executor_event &Event);

  std::string Root;
  bool HasTrouble;
  moment Began = std::chrono::steady_clock::now();
  std::string Network; // the first three bytes of its addresses
  std::string Folder;  // temporary
  std::mutex Mutex;
  int RecordFile = -1;
  std::vector<executor_event> Events;
  std::unique_ptr<metadata_store> Store;
  std::vector<std::unique_ptr<executor>> Executors;
  std::vector<pid_t> Processes; // of the instances; 0: ended
};

std::string name(executor_event::kind What);

/// Name of a task of a job without occurrences.
std::string taskName(const std::string &Job, int Step, int Index);

/// A job of one step.
nlohmann::json jobOf(int Count, const capacity &Needs, milliseconds Estimate,
                     const std::string &Requirement = {});

/// Runs a case: 1 when it returns true (the rule was broken), 0 when it
/// returns false, 2 when it can't run.
int runCase(int Argc, char **Argv, const std::function<bool(world &)> &Case);

} // namespace review
