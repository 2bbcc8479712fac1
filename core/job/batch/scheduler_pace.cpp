#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>

namespace galenastage::batch::detail {
namespace {

constexpr int WholePercent = 100;

/// Whether the run should be advancing. A member of a gang waits at 0 until all
/// members are there, and at 100 until all are done.
bool isWorking(const run_state &Run) {
  return Run.Phase == run_phase::Active && Run.IsListed && !Run.IsLongRunning &&
         Run.Pace.Percent < WholePercent &&
         (!Run.IsOfGang || Run.Pace.Percent > 0);
}

} // namespace

/// An executor on which no run advances stands still; one on which some do is
/// sound, and the others are their jobs' own fault.
void event_run::judgePace(executor_state &Executor) {
  int Working = 0;
  int Still = 0;
  for (const auto &[Name, Run] : Executor.Runs) {
    if (!isWorking(Run))
      continue;
    ++Working;
    Still += isStandingStill(Run.Pace, State.Settings.Pace) ? 1 : 0;
  }
  if (Working == 0) {
    const bool IsForgiven =
        Executor.IsStalled &&
        Now - Executor.StalledSeen >= State.Settings.Pace.Suspicion;
    if (IsForgiven)
      noteStalled(Executor, false);
    return;
  }
  const bool IsStalled = Still == Working;
  if (IsStalled)
    Executor.StalledSeen = Now;
  if (IsStalled != Executor.IsStalled)
    noteStalled(Executor, IsStalled);
}

void event_run::noteStalled(executor_state &Executor, bool IsStalled) {
  Executor.IsStalled = IsStalled;
  State.NeedsPlacement = true;
  log(IsStalled ? events::ExecutorStalled : events::ExecutorAdvances,
      {{"executor", Executor.Report.Id.Value},
       {"runs", std::to_string(Executor.Runs.size())}});
}

/// Stops what has stood still for long on a stalled executor, so that it starts
/// again elsewhere.
void event_run::moveStalled(executor_state &Executor) {
  judgePace(Executor);
  if (!Executor.IsStalled || Executor.IsUnanswered || !isLeading())
    return;
  std::set<unit_name> Units;
  for (const auto &[Name, Run] : Executor.Runs) {
    const auto Job = State.Jobs.find(Name.Task.Job);
    if (Job == State.Jobs.end() || !isWorking(Run))
      continue;
    const step_spec &Step = Job->second.Spec.Steps[Name.Task.Step];
    milliseconds Unsaved = Run.Pace.AdvancedAt - Run.Ordered;
    if (Step.IsCheckpointing)
      Unsaved = std::min(Unsaved, State.Settings.Pace.MaxUnsaved);
    if (isWorthMoving(Run.Pace, State.Settings.Pace, Unsaved))
      Units.insert(unitNameOf(Job->second, Name.Task));
  }
  for (const unit_name &Unit : Units) {
    job_state &Job = State.Jobs.at(Unit.Job);
    unit_state &Known = unitState(Job, Unit);
    if (Known.Moves >= State.Settings.Pace.MaxMoves)
      continue;
    ++Known.Moves;
    Known.Avoided.insert(Executor.Report.Id);
    log(events::UnitMoved,
        {{"task", printTask({Unit.Job, Unit.Occurrence, Unit.Step, Unit.Unit})},
         {"executor", Executor.Report.Id.Value},
         {"moves", std::to_string(Known.Moves)}});
    stopUnit(Job, Unit);
  }
}

} // namespace galenastage::batch::detail
