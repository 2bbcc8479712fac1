#include "tests/support/fault_matrix.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <thread>

namespace galenastage::test {
namespace {

using heal = std::function<void()>;

const data_centre_id DataCentreA("dc-a");
const data_centre_id DataCentreB("dc-b");

/// The scheduler of the step, or the active one if the step names none.
std::string schedulerOf(const virtual_system &System, const step_event &Event) {
  if (!Event.Scheduler.empty())
    return Event.Scheduler;
  const std::string Active = System.activeScheduler(DataCentreA);
  return Active.empty() ? "dc-a-scheduler-0" : Active;
}

worker_id workerOf(const step_event &Event) {
  return Event.Worker.isEmpty() ? worker_id("dc-a-worker-1") : Event.Worker;
}

/// The data centre that the step concerns.
data_centre_id dataCentreOf(const step_event &Event) {
  return Event.Scheduler.starts_with(DataCentreB.Value) ? DataCentreB
                                                        : DataCentreA;
}

heal cutLinks(virtual_system &System,
              std::vector<std::pair<std::string, std::string>> Links) {
  for (const auto &[One, Other] : Links)
    System.Network.cut(One, Other);
  return [&System, Links = std::move(Links)] {
    for (const auto &[One, Other] : Links)
      System.Network.mend(One, Other);
  };
}

std::vector<std::pair<std::string, std::string>>
linksToStore(const virtual_system &System, const data_centre_id &DataCentre) {
  std::vector<std::pair<std::string, std::string>> Links;
  for (const std::string &Process : System.processesIn(DataCentre))
    Links.emplace_back(Process, StoreName);
  return Links;
}

std::vector<std::pair<std::string, std::string>>
linksBetween(const virtual_system &System) {
  std::vector<std::pair<std::string, std::string>> Links;
  for (const std::string &One : System.processesIn(DataCentreA))
    for (const std::string &Other : System.processesIn(DataCentreB))
      Links.emplace_back(One, Other);
  return Links;
}

// Faults of processes

heal crashScheduler(virtual_system &System, const step_event &Event) {
  const std::string Name = schedulerOf(System, Event);
  System.crashScheduler(Name);
  return [&System, Name] { System.restartScheduler(Name); };
}

heal pauseProcess(virtual_system &System, const std::string &Name) {
  System.Network.pause(Name);
  return [&System, Name] { System.Network.resume(Name); };
}

heal pauseScheduler(virtual_system &System, const step_event &Event) {
  return pauseProcess(System, schedulerOf(System, Event));
}

heal pauseWorker(virtual_system &System, const step_event &Event) {
  return pauseProcess(System, workerOf(Event).Value);
}

heal crashWorkers(virtual_system &System, std::vector<worker_id> Workers) {
  for (const worker_id &Worker : Workers)
    System.crashWorker(Worker);
  return [&System, Workers = std::move(Workers)] {
    for (const worker_id &Worker : Workers)
      System.restartWorker(Worker);
  };
}

heal loseWorker(virtual_system &System, const step_event &Event) {
  return crashWorkers(System, {workerOf(Event)});
}

heal loseRack(virtual_system &System, const step_event &Event) {
  return crashWorkers(System, System.workersIn(System.rackOf(workerOf(Event))));
}

heal replaceWorker(virtual_system &System, const step_event &Event) {
  return crashWorkers(System, {workerOf(Event)});
}

heal freezeList(virtual_system &System, const step_event &Event) {
  System.setListFrozen(true);
  const heal Restart = crashWorkers(System, {workerOf(Event)});
  return [&System, Restart] {
    System.setListFrozen(false);
    Restart();
  };
}

// Faults of the store

heal stopStore(virtual_system &System, const step_event &) {
  System.Network.crash(StoreName);
  return [&System] { System.Network.restart(StoreName); };
}

heal slowStore(virtual_system &System, const step_event &) {
  System.Network.setSlow(StoreName, true);
  return [&System] { System.Network.setSlow(StoreName, false); };
}

heal loseStoreAnswers(virtual_system &System, const step_event &) {
  System.Network.setLosingAnswers(StoreName, true);
  return [&System] { System.Network.setLosingAnswers(StoreName, false); };
}

heal loseWorkerAnswers(virtual_system &System, const step_event &Event) {
  const std::string Name = workerOf(Event).Value;
  System.Network.setLosingAnswers(Name, true);
  return [&System, Name] { System.Network.setLosingAnswers(Name, false); };
}

heal cutWatches(virtual_system &System, const step_event &) {
  System.Store.setWatchesCut(true);
  return [&System] { System.Store.setWatchesCut(false); };
}

heal readStale(virtual_system &System, const step_event &) {
  System.Store.setStale(true);
  return [&System] { System.Store.setStale(false); };
}

// Faults of the network

heal cutFromStore(virtual_system &System, const step_event &Event) {
  return cutLinks(System, linksToStore(System, dataCentreOf(Event)));
}

heal cutDataCentres(virtual_system &System, const step_event &) {
  return cutLinks(System, linksBetween(System));
}

heal cutBoth(virtual_system &System, const step_event &Event) {
  auto Links = linksToStore(System, dataCentreOf(Event));
  for (auto &Link : linksBetween(System))
    Links.push_back(std::move(Link));
  return cutLinks(System, std::move(Links));
}

heal cutSchedulerFromWorker(virtual_system &System, const step_event &Event) {
  return cutLinks(System,
                  {{schedulerOf(System, Event), workerOf(Event).Value}});
}

heal cutSchedulerFromStore(virtual_system &System, const step_event &Event) {
  return cutLinks(System, {{schedulerOf(System, Event), StoreName}});
}

// Operators

heal raceEdits(virtual_system &System, const step_event &) {
  for (const char *Author : {"first", "second"})
    System.edit(step::Edit, [Author](tables &Tables) {
      Tables.Author = Author;
      Tables.Pools.front().Guaranteed.Workers = 1;
    });
  return [] {};
}

heal nothing(virtual_system &, const step_event &) {
  return [] {};
}

const std::vector<fault> Faults = {
    {"none", "nothing fails", nothing, {}, true},
    {"process crash", "the scheduler of the step dies and starts again",
     crashScheduler, milliseconds(3'000)},
    {"pause past lease", "the scheduler of the step stands still",
     pauseScheduler, milliseconds(9'000)},
    {"store down", "the store refuses every call", stopStore,
     milliseconds(8'000)},
    {"store slow", "each leg of a store call takes 0.2 s to 0.9 s", slowStore,
     milliseconds(8'000)},
    {"answer lost", "the store acts but its answers are lost", loseStoreAnswers,
     milliseconds(3'000)},
    {"worker answer lost", "a worker acts but its answers are lost",
     loseWorkerAnswers, milliseconds(8'000)},
    {"watch cut", "watches fall silent", cutWatches, milliseconds(8'000), true},
    {"stale read", "half of the reads see the store as it was at the step",
     readStale, milliseconds(8'000), true},
    {"scheduler from store", "the scheduler of the step can't reach the store",
     cutSchedulerFromStore, milliseconds(9'000)},
    {"DC from store", "the data centre of the step can't reach the store",
     cutFromStore, milliseconds(9'000)},
    {"DC from DC", "the two data centres can't reach each other",
     cutDataCentres, milliseconds(9'000), true},
    {"DC from both", "the data centre of the step is alone", cutBoth,
     milliseconds(9'000)},
    {"scheduler from worker",
     "the scheduler can't reach the worker of the step", cutSchedulerFromWorker,
     milliseconds(9'000)},
    {"list lag", "the instance list stands still while a worker dies",
     freezeList, milliseconds(8'000)},
    {"worker loss", "the worker of the step dies", loseWorker,
     milliseconds(9'000)},
    {"worker replaced", "a worker with the same name and no memory at once",
     replaceWorker, milliseconds(300)},
    {"worker pause", "the worker of the step stands still", pauseWorker,
     milliseconds(8'000)},
    {"rack loss", "every worker of that rack dies", loseRack,
     milliseconds(9'000)},
    {"racing edits",
     "two operators edit the tables at once",
     raceEdits,
     {},
     true},
};

constexpr std::array Steps = {
    step_row{step::Accept, "accept", "a submission goes to the store"},
    step_row{step::Place, "place", "the first reservation leaves"},
    step_row{step::Reserve, "reserve", "an answer to a reservation arrives"},
    step_row{step::Save, "save", "a job record goes to the store"},
    step_row{step::Start, "start", "a start leaves for a worker"},
    step_row{step::Confirm, "confirm", "a gang's first confirmation leaves"},
    step_row{step::Renew, "renew", "a later renewal leaves"},
    step_row{step::Finish, "finish", "a worker's report of an end arrives"},
    step_row{step::Cancel, "cancel", "a caller cancels"},
    step_row{step::Drain, "drain", "operators take a data centre out"},
    step_row{step::Return, "return", "operators bring it back"},
    step_row{step::Edit, "edit", "operators edit the tables"},
    step_row{step::Propagate, "propagate", "a new version arrives"},
    step_row{step::TakeOver, "take over", "a scheduler becomes active"},
    step_row{step::Stop, "stop", "the active scheduler is stopped as planned"},
};

// The scenario

constexpr int ThreadCount = 4;
constexpr milliseconds ScenarioEnd{26'000}; // after the last action
constexpr milliseconds Limit{90'000};       // for the system to become idle
constexpr milliseconds Rest{6'000};         // after that, for late effects

struct planned_job {
  const char *Name;
  milliseconds At;
  int Tasks;
  int Accelerators;
  milliseconds RunTime;
  bool IsIdempotent;
};

constexpr std::array Jobs = {
    planned_job{"job-01", milliseconds(500), 2, 8, milliseconds(7'000), true},
    planned_job{"job-02", milliseconds(600), 3, 2, milliseconds(6'000), false},
    planned_job{"job-03", milliseconds(700), 1, 2, milliseconds(20'000), false},
    planned_job{"job-04", milliseconds(800), 2, 2, milliseconds(14'000), true},
    planned_job{"job-05", milliseconds(11'000), 2, 4, milliseconds(3'000),
                false},
    planned_job{"job-06", milliseconds(13'500), 1, 4, milliseconds(3'000),
                true},
    planned_job{"job-07", milliseconds(18'000), 2, 8, milliseconds(4'000),
                true},
    planned_job{"job-08", milliseconds(18'200), 2, 4, milliseconds(5'000),
                false},
    planned_job{"job-09", milliseconds(18'400), 3, 1, milliseconds(5'000),
                true},
};

void setInService(tables &Tables, bool IsInService) {
  Tables.DataCentres.front().IsInService = IsInService;
}

/// Jobs are submitted, one is cancelled while it runs and one while it starts,
/// the data centre leaves and returns, and its active scheduler is stopped.
void planScenario(virtual_system &System) {
  virtual_network &Network = System.Network;
  for (const planned_job &Job : Jobs)
    Network.after(Job.At, [&System, &Job] {
      job_spec Spec;
      Spec.Id = job_id(Job.Name);
      Spec.Organisation = organisation_id("council");
      Spec.Pool = pool_id("budgets");
      Spec.Tasks = Job.Tasks;
      Spec.AcceleratorsPerTask = Job.Accelerators;
      Spec.DeclaredRunTime = Job.RunTime;
      Spec.IsIdempotent = Job.IsIdempotent;
      Spec.IsCheckpointable = Job.IsIdempotent;
      System.submit(Spec, DataCentreA);
    });
  Network.after(milliseconds(8'500),
                [&System] { System.cancel(job_id("job-03")); });
  Network.after(milliseconds(18'420),
                [&System] { System.cancel(job_id("job-09")); });
  Network.after(milliseconds(10'000), [&System] {
    System.edit(step::Edit, [](tables &Tables) { Tables.Reason = "first"; });
  });
  Network.after(milliseconds(12'000), [&System] {
    System.edit(step::Drain,
                [](tables &Tables) { setInService(Tables, false); });
  });
  Network.after(milliseconds(17'000), [&System] {
    System.edit(step::Return,
                [](tables &Tables) { setInService(Tables, true); });
  });
  Network.after(milliseconds(20'000),
                [&System] { System.stopActiveScheduler(DataCentreA); });
  Network.after(milliseconds(25'000), [&System] {
    for (const std::string &Name : System.processesIn(DataCentreA))
      System.restartScheduler(Name);
  });
}

/// Number of occurrences of the step before the fault is injected, chosen by
/// the seed. For steps that occur once, the fault is injected the first time.
int occurrence(step Step, std::uint32_t Seed) {
  switch (Step) {
  case step::Cancel:
  case step::Drain:
  case step::Return:
  case step::Edit:
  case step::Stop:
    return 0;
  case step::Accept:
  case step::TakeOver:
    return static_cast<int>(Seed % 3);
  default:
    return static_cast<int>(Seed * 3 % 8);
  }
}

void strike(virtual_system &System, std::span<const fault *const> Faults,
            const step_event &Event) {
  for (const fault *Fault : Faults) {
    const heal End = Fault->Inject(System, Event);
    System.Network.after(Fault->Life, End);
  }
}

cell_run plannedRun(std::uint32_t Seed) {
  cell_run Run;
  Run.Seed = Seed;
  return Run;
}

/// Performs the planned runs on several threads. Each run has its own system,
/// so the order does not matter.
void runAll(std::vector<matrix_cell> &Cells) {
  std::atomic<std::size_t> Next = 0;
  const auto Work = [&] {
    for (std::size_t I = Next++; I < Cells.size(); I = Next++)
      for (cell_run &Run : Cells[I].Runs)
        Run = runCell(*Cells[I].Step, Cells[I].Faults, Run.Seed);
  };
  std::vector<std::jthread> Threads;
  for (int I = 0; I < ThreadCount; ++I)
    Threads.emplace_back(Work);
}

} // namespace

std::span<const fault> faults() { return Faults; }
std::span<const step_row> steps() { return Steps; }

cell_run runCell(const step_row &Step, std::span<const fault *const> Faults,
                 std::uint32_t Seed) {
  cell_run Run;
  Run.Seed = Seed;
  virtual_system System(Seed);
  planScenario(System);
  int Left = occurrence(Step.Step, Seed);
  System.OnStep = [&](const step_event &Event) {
    if (Event.Step != Step.Step || Run.HasStruck || Left-- > 0)
      return;
    Run.HasStruck = true;
    if (Seed % 2 == 0)
      strike(System, Faults, Event);
    else // while the step is in progress
      System.Network.after(
          milliseconds(System.Network.random(1, 6)),
          [&System, Faults, Event] { strike(System, Faults, Event); });
  };
  System.run(ScenarioEnd);
  while (!System.areAllJobsFinal() &&
         System.Network.now().time_since_epoch() < Limit)
    System.run(milliseconds(1'000));
  System.run(Rest);
  System.checkEnd();
  const bool AreGangsSpared = std::ranges::all_of(Faults, &fault::SparesGangs);
  if (AreGangsSpared)
    System.checkStop();
  Run.Broken = System.Promises.broken();
  for (const planned_job &Job : Jobs) {
    const job_id Id(Job.Name);
    if (const auto Record = System.record(Id))
      Run.Phases[Id] = Record->Phase;
    Run.Starts[Id] = System.runsOf(Id);
  }
  return Run;
}

bool matrix_cell::hasPassed() const {
  return std::ranges::all_of(
      Runs, [](const cell_run &Run) { return Run.Broken.empty(); });
}

int matrix_cell::strikes() const {
  return static_cast<int>(std::ranges::count_if(Runs, &cell_run::HasStruck));
}

std::vector<matrix_cell> runSingles(const std::vector<std::uint32_t> &Seeds) {
  std::vector<matrix_cell> Cells;
  for (const step_row &Step : Steps)
    for (const fault &Fault : Faults) {
      matrix_cell Cell{&Step, {&Fault}, {}};
      for (const std::uint32_t Seed : Seeds)
        Cell.Runs.push_back(plannedRun(Seed));
      Cells.push_back(std::move(Cell));
    }
  runAll(Cells);
  return Cells;
}

std::vector<matrix_cell> runPairs(std::uint32_t FirstSeed) {
  std::vector<matrix_cell> Cells;
  std::uint32_t Seed = FirstSeed;
  for (const step_row &Step : Steps)
    for (std::size_t I = 1; I < Faults.size(); ++I)
      for (std::size_t J = I + 1; J < Faults.size(); ++J) {
        matrix_cell Cell{&Step, {&Faults[I], &Faults[J]}, {}};
        Cell.Runs.push_back(plannedRun(Seed++));
        Cells.push_back(std::move(Cell));
      }
  runAll(Cells);
  return Cells;
}

} // namespace galenastage::test
