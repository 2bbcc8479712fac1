// Faults of the simulation that lead to repeated reports of ends, and the check
// that nothing is counted twice for them.

#include "tests/support/batch_world_counts.hpp"

#include "tests/support/batch_world_internal.hpp"

namespace galenastage::batch::test::detail {

void run_history::noteEnd(const run_name &Run, run_end End) {
  task_history &Task = Tasks[Run.Task];
  if (End != run_end::Lapsed) // the leader may have taken it for a crash
    Task.Open.erase(Run.Attempt);
  if (End == run_end::Failed)
    Task.Failed.insert(Run.Attempt);
}

bool run_history::isGivenUpTooEarly(const saved_job &Saved,
                                    const job_spec &Job) const {
  if (Saved.Progress.Phase != job_phase::Failed)
    return false;
  for (const auto &[Number, Occurrence] : Saved.Progress.Occurrences)
    for (int Step = 0; Step < static_cast<int>(Occurrence.Steps.size()); ++Step)
      for (int Unit = 0; Unit < countUnits(Job.Steps[Step]); ++Unit)
        if (mayBeGivenUp(Job, Number, Step, Unit))
          return false;
  return true;
}

bool run_history::mayBeGivenUp(const job_spec &Job, int Occurrence, int Step,
                               int Unit) const {
  const int FewestCrashes = crash_settings().MaxBlamedOf;
  std::set<int> Failed; // attempts of the unit
  for (int I = 0; I < countTasks(Job.Steps[Step]); ++I) {
    const auto Task = Tasks.find({Job.Id, Occurrence, Step, Unit + I});
    if (Task == Tasks.end())
      continue;
    Failed.insert(Task->second.Failed.begin(), Task->second.Failed.end());
    if (static_cast<int>(Task->second.Open.size()) >= FewestCrashes)
      return true;
  }
  return static_cast<int>(Failed.size()) >= Job.Queue.MaxAttempts;
}

void world::makeCountFaults() {
  const world_faults &Faults = Settings.Faults;
  constexpr milliseconds BetweenLosses{3'000};
  for (int I = 0; I < Faults.Outages && Faults.LossesPerOutage > 0; ++I) {
    const time_point First = faultTime();
    at(First, [this] { crashExecutor(anyExecutor()); });
    for (int Loss = 1; Loss <= Faults.LossesPerOutage; ++Loss)
      at(First + Loss * BetweenLosses, [this] { loseLeader(); });
  }
  for (int I = 0; I < Faults.RestartsWithEnds; ++I)
    at(faultTime(), [this] {
      whenEndsWait(
          [this](fake_executor &Executor) { restartExecutor(Executor); });
    });
  for (int I = 0; I < Faults.LossesWithEnds; ++I)
    at(faultTime(),
       [this] { whenEndsWait([this](fake_executor &) { loseLeader(); }); });
}

/// Tries again for 4 s while no end waits.
void world::whenEndsWait(std::function<void(fake_executor &)> Fault,
                         int Tries) {
  constexpr int MaxTries = 800;
  for (auto &[Id, Executor] : Executors)
    if (!Executor.Ends.empty() && !Executor.IsGone) {
      Fault(Executor);
      return;
    }
  if (Tries < MaxTries)
    after(milliseconds(5), [this, Fault = std::move(Fault), Tries] {
      whenEndsWait(Fault, Tries + 1);
    });
}

} // namespace galenastage::batch::test::detail
