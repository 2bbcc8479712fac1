#include "measure/capacity_failures.hpp"

#include "measure/capacity_fleet.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <functional>

namespace galenastage::measure {
namespace {

constexpr milliseconds LongRun{24 * 3'600'000};
constexpr milliseconds Warmup{60'000}; // work done before the failure
constexpr milliseconds Step{100};
constexpr milliseconds ObservationTime{80'000}; // after the failure ends
constexpr milliseconds Forever{7 * 24 * 3'600'000};
constexpr milliseconds RestartTime{60'000};
constexpr milliseconds RackRepair{3'600'000};
constexpr milliseconds Outage{3'600'000};
constexpr int WorkersInRack = 6;
constexpr int GangTasks = 26;
// Gangs for ten workers; the rest of the workers replace failed ones.
constexpr int GangsPerTen = 9;

/// A failure and when it is over.
struct failure_case {
  const char *Name;
  std::function<void(fleet &)> Fail;
  milliseconds Duration{0};
  std::function<void(fleet &)> Mend;
};

std::vector<failure_case> failureCases() {
  const auto Nothing = [](fleet &) {};
  const auto FailWorker = [](fleet &Fleet) { Fleet.crashWorker(0, Forever); };
  const auto RestartWorker = [](fleet &Fleet) {
    Fleet.crashWorker(0, RestartTime);
  };
  const auto FailRack = [](fleet &Fleet) {
    for (int I = 0; I < WorkersInRack; ++I)
      Fleet.crashWorker(I, RackRepair);
  };
  const auto TakeOver = [](fleet &Fleet) { Fleet.takeOver(); };
  const auto CutStore = [](fleet &Fleet) { Fleet.setStoreReachable(false); };
  const auto FailDuringCut = [](fleet &Fleet) {
    Fleet.setStoreReachable(false);
    Fleet.crashWorker(0, RestartTime);
  };
  const auto RecoverStore = [](fleet &Fleet) { Fleet.setStoreReachable(true); };
  return {
      {"worker fails", FailWorker, milliseconds(0), Nothing},
      {"worker restarts, back in 60 s", RestartWorker, milliseconds(0),
       Nothing},
      {"rack of 6 fails", FailRack, milliseconds(0), Nothing},
      {"scheduler replaced", TakeOver, milliseconds(0), Nothing},
      {"tables not confirmed for 1 h", CutStore, Outage, RecoverStore},
      {"the same, and a worker restarts", FailDuringCut, Outage, RecoverStore}};
}

/// Task-seconds of progress that the workers hold.
double heldWork(fleet &Fleet, int Workers) {
  constexpr double PerSecond = 1'000;
  double Work = 0;
  for (int I = 0; I < Workers; ++I)
    for (const task_report &Task : Fleet.reportOf(I).Tasks)
      Work += static_cast<double>(Task.Tasks) *
              static_cast<double>(Task.Progress.count()) / PerSecond;
  return Work;
}

std::int64_t stepMessages(const fleet &Fleet) {
  return Fleet.counts().WorkerMessages - Fleet.counts().Renewals;
}

std::uint32_t attemptsOf(const fleet &Fleet) {
  std::uint32_t Attempts = 0;
  for (const auto &[Id, Job] : Fleet.state().Jobs)
    Attempts += Job.Record.Attempt;
  return Attempts;
}

bool areAllRunning(const fleet &Fleet, int Jobs) {
  int Running = 0;
  for (const auto &[Id, Job] : Fleet.state().Jobs)
    if (Job.Step == gang_step::Running)
      ++Running;
  return Running == Jobs;
}

failure_cost measureFailure(const failure_case &Case, int Workers,
                            milliseconds Age) {
  fleet_settings Settings;
  Settings.Workers = Workers;
  fleet Fleet(Settings);
  const int Jobs = Workers * GangsPerTen / 10;
  for (int I = 0; I < Jobs; ++I)
    Fleet.submit(makeFleetJob(I, GangTasks, LongRun));
  Fleet.advance(Age);

  const double WorkBefore = heldWork(Fleet, Workers);
  const std::uint32_t AttemptsBefore = attemptsOf(Fleet);
  Fleet.resetCounts();
  const instant FailedAt = Fleet.now();
  Case.Fail(Fleet);

  failure_cost Cost;
  Cost.Name = Case.Name;
  Cost.Workers = Workers;
  const instant MendAt = FailedAt + Case.Duration;
  const instant End = MendAt + ObservationTime;
  instant LastBroken = FailedAt;
  while (Fleet.now() < End) {
    if (Fleet.now() >= MendAt)
      Case.Mend(Fleet);
    Fleet.advance(Step);
    if (!areAllRunning(Fleet, Jobs))
      LastBroken = Fleet.now();
  }
  Cost.IsWhole = LastBroken < End;
  Cost.WholeAfterMs = (LastBroken - FailedAt).count();
  Cost.WorkerMessages = stepMessages(Fleet);
  Cost.StoreWrites = Fleet.counts().StoreWrites;
  Cost.GangsStarted = static_cast<int>(attemptsOf(Fleet) - AttemptsBefore);
  const double Elapsed = static_cast<double>((End - FailedAt).count()) / 1'000;
  const double Expected = WorkBefore + Elapsed * Jobs * GangTasks;
  Cost.LostTaskSeconds = Expected - heldWork(Fleet, Workers);
  return Cost;
}

} // namespace

std::vector<failure_cost> measureFailures() {
  std::vector<failure_cost> Costs;
  for (const failure_case &Case : failureCases())
    for (const int Workers : {50, 100, 200, 400, 714})
      Costs.push_back(measureFailure(Case, Workers, Warmup));
  return Costs;
}

measured_slope measureLoss() {
  constexpr int Workers = 50;
  const failure_case Case = failureCases().front();
  std::vector<sample> Samples;
  for (const int Age : {60, 120, 240, 480, 960}) {
    const failure_cost Cost = measureFailure(Case, Workers, seconds(Age));
    Samples.push_back({static_cast<double>(Age), Cost.LostTaskSeconds});
  }
  return makeSlope("work lost when a worker fails", "task-seconds",
                   "second that its gangs had run", std::move(Samples));
}

std::string printFailures(std::span<const failure_cost> Failures) {
  constexpr std::size_t LineBytes = 200;
  char Line[LineBytes];
  std::snprintf(Line, sizeof Line, "%-32s %8s %9s %7s %7s %16s %10s\n",
                "failure", "workers", "messages", "writes", "starts",
                "lost task-s", "whole ms");
  std::string Text = Line;
  for (const failure_cost &Cost : Failures) {
    const std::string Whole =
        Cost.IsWhole ? std::to_string(Cost.WholeAfterMs) : "never";
    std::snprintf(Line, sizeof Line, "%-32s %8d %9lld %7lld %7d %16.1f %10s\n",
                  Cost.Name.c_str(), Cost.Workers,
                  static_cast<long long>(Cost.WorkerMessages),
                  static_cast<long long>(Cost.StoreWrites), Cost.GangsStarted,
                  Cost.LostTaskSeconds, Whole.c_str());
    Text += Line;
  }
  return Text;
}

void to_json(nlohmann::json &Json, const failure_cost &Cost) {
  Json = {{"name", Cost.Name},
          {"workers", Cost.Workers},
          {"worker_messages", Cost.WorkerMessages},
          {"store_writes", Cost.StoreWrites},
          {"gangs_started", Cost.GangsStarted},
          {"lost_task_seconds", Cost.LostTaskSeconds},
          {"whole", Cost.IsWhole},
          {"whole_after_ms", Cost.WholeAfterMs}};
}

} // namespace galenastage::measure
