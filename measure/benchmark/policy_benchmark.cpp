#include "core/job/scheduler.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <malloc.h>
#include <vector>

// One reducer that holds a whole fleet: 26 single tasks on each worker, on
// 32 accelerators. The first argument is the number of workers.

namespace galenastage {
namespace {

constexpr int TasksPerWorker = 26;
constexpr int Accelerators = 32;
constexpr int WorkersPerRack = 8;
constexpr int GangTasks = 128;
constexpr int Pools = 90;
const data_centre_id Here("here");

double megabytesInUse() {
  return static_cast<double>(mallinfo2().uordblks) / (1024 * 1024);
}

class loaded_fleet {
public:
  explicit loaded_fleet(int WorkerCount) : State(settings()) {
    const double Before = megabytesInUse();
    auto Edited = std::make_shared<tables>();
    Edited->Version = 1;
    Edited->DataCentres = {{Here, "region", true}};
    for (int I = 0; I < Pools; ++I)
      Edited->Pools.push_back({pool_id("team-" + std::to_string(I)),
                               organisation_id("team-" + std::to_string(I)),
                               {1, Accelerators},
                               {}});
    Tables = std::move(Edited);
    send(tables_seen{Tables, Now});
    for (int I = 0; I < WorkerCount; ++I)
      send(worker_listed{worker(I),
                         rack_id("r" + std::to_string(I / WorkersPerRack)),
                         Accelerators, false});
    send(leadership_changed{true, 1});
    for (int I = 0; I < WorkerCount; ++I)
      load(I);
    send(jobs_loaded{});
    for (int I = 0; I < WorkerCount; ++I)
      send(report(I));
    Now += seconds(4);
    tick();
    Megabytes = megabytesInUse() - Before;
  }

  scheduler_effects send(scheduler_event_body Body) {
    return reduce(State, {Now, std::move(Body), State.Epoch});
  }

  scheduler_effects tick() {
    send(tables_seen{Tables, Now});
    return send(ticked{wall_instant(Now.time_since_epoch())});
  }

  worker_reported report(int Worker) const {
    worker_report Report{worker(Worker), Here, {}, Accelerators, 1, {}};
    for (int T = 0; T < TasksPerWorker; ++T)
      Report.Tasks.push_back(
          {{job(Worker, T), 1}, task_state::Running, 1, 1, seconds(1)});
    return {std::move(Report), Now};
  }

  static worker_id worker(int I) { return worker_id("w" + std::to_string(I)); }

  static job_id job(int Worker, int Task) {
    return job_id("job-" + std::to_string(Worker) + "-" + std::to_string(Task));
  }

  scheduler_state State;
  std::shared_ptr<const tables> Tables;
  instant Now{seconds(1'000)};
  double Megabytes = 0;

private:
  static scheduler_settings settings() {
    scheduler_settings Settings;
    Settings.DataCentre = Here;
    return Settings;
  }

  void load(int Worker) {
    for (int T = 0; T < TasksPerWorker; ++T) {
      job_record Record;
      Record.Spec.Id = job(Worker, T);
      Record.Spec.Pool = pool_id("team-" + std::to_string(T % Pools));
      Record.Spec.Organisation = organisation_id(Record.Spec.Pool.Value);
      Record.Phase = job_phase::Running;
      Record.Attempt = 1;
      Record.DataCentre = Here;
      send(job_seen{Record, 1});
    }
  }
};

loaded_fleet &fleet(int Workers) {
  static std::map<int, std::unique_ptr<loaded_fleet>> Fleets;
  auto &Fleet = Fleets[Workers];
  if (!Fleet)
    Fleet = std::make_unique<loaded_fleet>(Workers);
  return *Fleet;
}

void addQuantiles(benchmark::State &Run, std::vector<double> Times) {
  std::ranges::sort(Times);
  const auto At = [&](double Share) {
    return Times[static_cast<std::size_t>(
        Share * static_cast<double>(Times.size() - 1))];
  };
  Run.counters["p50_us"] = At(0.5);
  Run.counters["p99_us"] = At(0.99);
}

double timed(const std::function<void()> &Work) {
  const auto Start = std::chrono::steady_clock::now();
  Work();
  const std::chrono::duration<double, std::micro> Taken =
      std::chrono::steady_clock::now() - Start;
  return Taken.count();
}

/// Placement of a gang, including the build of its index.
void placeGang(benchmark::State &Run) {
  loaded_fleet &Fleet = fleet(static_cast<int>(Run.range(0)));
  std::vector<double> Times;
  for (auto _ : Run) {
    const double Taken = timed([&] {
      capacity_index Index;
      for (const auto &[Name, Worker] : Fleet.State.Workers)
        if (Worker.isUsable())
          Index.add(Worker.capacity(Name));
      benchmark::DoNotOptimize(
          Index.choose({GangTasks, 1, pool_id("team-1"), false, {}}));
    });
    Times.push_back(Taken);
    Run.SetIterationTime(Taken / 1e6);
  }
  addQuantiles(Run, std::move(Times));
  Run.counters["state_MB"] = Fleet.Megabytes;
}
BENCHMARK(placeGang)->Arg(1'250)->Arg(2'500)->Arg(5'000)->UseManualTime();

/// A report of 26 running tasks, by far the most frequent event.
void takeReport(benchmark::State &Run) {
  const int Workers = static_cast<int>(Run.range(0));
  loaded_fleet &Fleet = fleet(Workers);
  std::vector<double> Times;
  int Next = 0;
  for (auto _ : Run) {
    worker_reported Event = Fleet.report(Next);
    Next = (Next + 1) % Workers;
    const double Taken = timed([&] { Fleet.send(std::move(Event)); });
    Times.push_back(Taken);
    Run.SetIterationTime(Taken / 1e6);
  }
  addQuantiles(Run, std::move(Times));
}
BENCHMARK(takeReport)->Arg(1'250)->Arg(2'500)->Arg(5'000)->UseManualTime();

/// A tick with nothing waiting and no renewal due.
void tickIdle(benchmark::State &Run) {
  loaded_fleet &Fleet = fleet(static_cast<int>(Run.range(0)));
  std::vector<double> Times;
  for (auto _ : Run) {
    const double Taken = timed([&] { Fleet.tick(); });
    Times.push_back(Taken);
    Run.SetIterationTime(Taken / 1e6);
  }
  addQuantiles(Run, std::move(Times));
}
BENCHMARK(tickIdle)->Arg(1'250)->Arg(2'500)->Arg(5'000)->UseManualTime();

} // namespace
} // namespace galenastage

BENCHMARK_MAIN();
