#include "measure/capacity_state.hpp"

#include "measure/capacity_fleet.hpp"
#include "measure/capacity_memory.hpp"
#include "measure/capacity_samples.hpp"
#include "net/instance_list.hpp"

#include <nlohmann/json.hpp>

#include <functional>

namespace galenastage::measure {
namespace {

constexpr int TasksPerWorker = 26; // 130,000 tasks on 5,000 workers
constexpr milliseconds LongRun{24 * 3'600'000};
constexpr milliseconds Settle{3'000};

std::vector<sample> sampleSizes(std::initializer_list<int> Sizes,
                                const std::function<double(int)> &Measure) {
  std::vector<sample> Samples;
  for (const int Size : Sizes)
    Samples.push_back({static_cast<double>(Size), Measure(Size)});
  return Samples;
}

template <typename Message> double encodedBytes(const Message &Value) {
  return static_cast<double>(nlohmann::json(Value).dump().size());
}

/// Memory that making something takes while it is held.
double heldBytes(const std::function<std::shared_ptr<void>()> &Make) {
  const std::int64_t Before = allocatedBytes();
  const std::shared_ptr<void> Held = Make();
  return static_cast<double>(allocatedBytes() - Before);
}

/// The platform's list of this many workers, as a scheduler reads it.
double instanceListBytes(int Workers) {
  nlohmann::json Rows = nlohmann::json::array();
  for (int I = 0; I < Workers; ++I) {
    instance Row;
    Row.Name = sampleReport(0).Worker.Value;
    Row.Kind = instance_kind::Worker;
    Row.DataCentre = sampleReport(0).DataCentre;
    Row.Rack = sampleReport(0).Rack;
    Row.Address = {"10.20.131.204", 21'000};
    Row.Accelerators = sampleReport(0).Accelerators;
    Rows.push_back(Row);
  }
  return encodedBytes(nlohmann::json{{"instances", std::move(Rows)}});
}

/// A copy of the scheduler's state alone, without the fleet around it.
double stateBytes(const fleet &Fleet) {
  return heldBytes(
      [&] { return std::make_shared<scheduler_state>(Fleet.state()); });
}

/// A fleet whose workers are filled by gangs of this size.
std::unique_ptr<fleet> busyFleet(int Workers, int Jobs, int TasksPerJob) {
  fleet_settings Settings;
  Settings.Workers = Workers;
  auto Fleet = std::make_unique<fleet>(Settings);
  for (int I = 0; I < Jobs; ++I)
    Fleet->submit(makeFleetJob(I, TasksPerJob, LongRun));
  Fleet->advance(Settle);
  return Fleet;
}

} // namespace

std::vector<measured_slope> measureEncodings() {
  return {
      makeSlope("renewal, body", "bytes", "attempt",
                sampleSizes({0, 1, 2, 4, 8, 16, 26},
                            [](int Attempts) {
                              return encodedBytes(
                                  sampleRenewal(Attempts, true));
                            })),
      makeSlope("worker report, body", "bytes", "attempt",
                sampleSizes({0, 1, 2, 4, 8, 16, 26},
                            [](int Attempts) {
                              return encodedBytes(sampleReport(Attempts));
                            })),
      makeSlope("proposed quiet renewal and answer, bodies", "bytes", "attempt",
                sampleSizes({0, 1, 2, 4, 8, 16, 26},
                            [](int) {
                              return static_cast<double>(
                                  proposedQuietRenewal().size() +
                                  proposedQuietReport().size());
                            })),
      makeSlope("instance list, answer", "bytes", "worker",
                sampleSizes({50, 100, 200, 400, 714}, instanceListBytes)),
      makeSlope("job record", "bytes", "member",
                sampleSizes({1, 2, 8, 32, 64, 128},
                            [](int Members) {
                              return static_cast<double>(
                                  printJobRecord(sampleRecord(Members)).size());
                            })),
      makeSlope("tables", "bytes", "team (2 routes, 1 pool)",
                sampleSizes({4, 8, 16, 32, 64, 90}, [](int Teams) {
                  return static_cast<double>(
                      printTables(sampleTables(Teams)).size());
                }))};
}

std::vector<measured_slope> measureMemory() {
  const auto IdleWorkers = [](int Workers) {
    return stateBytes(*busyFleet(Workers, 0, 1));
  };
  const auto SmallJobs = [](int Jobs) {
    return stateBytes(*busyFleet(100, Jobs, 1));
  };
  const auto GangTasks = [](int Tasks) {
    constexpr int Gangs = 8;
    return stateBytes(*busyFleet(100, Gangs, Tasks)) / Gangs;
  };
  const auto BusyWorkers = [](int Workers) {
    return stateBytes(*busyFleet(Workers, Workers, TasksPerWorker));
  };
  const auto Routes = [](int Teams) {
    return heldBytes(
        [&] { return std::make_shared<tables>(sampleTables(Teams)); });
  };
  return {makeSlope("scheduler state, idle workers", "bytes", "worker",
                    sampleSizes({50, 100, 200, 400, 714}, IdleWorkers)),
          makeSlope("scheduler state, running single tasks", "bytes", "job",
                    sampleSizes({100, 200, 400, 800, 1'600}, SmallJobs)),
          makeSlope("scheduler state, one gang by its size", "bytes", "task",
                    sampleSizes({8, 16, 32, 64, 128}, GangTasks)),
          makeSlope("scheduler state, 26 tasks in a gang a worker", "bytes",
                    "worker",
                    sampleSizes({50, 100, 200, 400, 714}, BusyWorkers)),
          makeSlope("tables in memory", "bytes", "team (2 routes, 1 pool)",
                    sampleSizes({4, 8, 16, 32, 64, 90}, Routes))};
}

/// Mean microseconds of a tick while gangs of whole workers and of different
/// sizes wait for room.
double tickWithWaiting(int Jobs) {
  constexpr int Workers = 714; // of one data centre of seven, of 5,000
  constexpr int FullWorker = 32;
  constexpr int MaxGang = 128;
  const auto Fleet = busyFleet(Workers, Workers, FullWorker);
  for (int I = 0; I < Jobs; ++I) {
    job_spec Spec = makeFleetJob(Workers + I, 1 + I % MaxGang, LongRun);
    Spec.AcceleratorsPerTask = FullWorker;
    Fleet->submit(Spec);
  }
  Fleet->advance(Settle);
  Fleet->resetCounts();
  Fleet->advance(Settle);
  return Fleet->counts().Events.at("ticked").meanMicroseconds();
}

std::vector<measured_slope> measureEvents(int Runs) {
  constexpr milliseconds Observed{5'000};
  constexpr double PerMicrosecond = 1'000;
  std::map<std::string, std::vector<sample>> ByKind;
  std::vector<sample> TakeOvers;
  for (const int Workers : {50, 100, 200, 400, 714})
    for (int Run = 0; Run < Runs; ++Run) {
      const auto Size = static_cast<double>(Workers);
      const auto Fleet = busyFleet(Workers, Workers, TasksPerWorker);
      Fleet->advance(Observed);
      for (const auto &[Kind, Cost] : Fleet->counts().Events)
        ByKind[Kind].push_back({Size, Cost.meanMicroseconds()});
      Fleet->resetCounts();
      Fleet->takeOver();
      Fleet->advance(Observed);
      TakeOvers.push_back(
          {Size, static_cast<double>(Fleet->longestEvent()) / PerMicrosecond});
    }
  std::vector<measured_slope> Slopes;
  Slopes.reserve(ByKind.size());
  for (auto &[Kind, Samples] : ByKind)
    Slopes.push_back(makeSlope("reducer, mean of " + Kind, "us", "worker",
                               std::move(Samples)));
  Slopes.push_back(makeSlope("reducer, longest event of a take-over", "us",
                             "worker", std::move(TakeOvers)));
  Slopes.push_back(
      makeSlope("reducer, tick at 714 workers, jobs waiting", "us", "job",
                sampleSizes({10, 20, 40, 80, 160}, tickWithWaiting)));
  return Slopes;
}

} // namespace galenastage::measure
