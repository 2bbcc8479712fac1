#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>

namespace galenastage::batch::detail {
namespace {

constexpr int WholePercent = 100;

/// Whether the run should be advancing. A gang member stays at 0% until all
/// members have started, and at 100% until all are done.
bool isWorking(const run_state &Run) {
  return Run.Phase == run_phase::Active && Run.IsListed && !Run.IsMissing &&
         !Run.IsLongRunning && Run.Pace.Percent < WholePercent &&
         (!Run.IsOfGang || Run.Pace.Percent > 0);
}

} // namespace

/// An executor is stalled if none of its runs advances. If only some of them
/// stall, the fault lies in their jobs and not in the executor.
void event_handler::updateStalled(executor_state &Executor) {
  int WorkingRuns = 0;
  int StalledRuns = 0;
  for (const auto &[Name, Run] : Executor.Runs) {
    if (!isWorking(Run))
      continue;
    ++WorkingRuns;
    StalledRuns += isStalled(Run.Pace, State.Settings.Pace) ? 1 : 0;
  }
  if (WorkingRuns == 0) {
    const bool IsSuspectOver =
        Executor.IsStalled &&
        Now - Executor.StalledSeen >= State.Settings.Pace.SuspectDuration;
    if (IsSuspectOver)
      setStalled(Executor, false);
    return;
  }
  const bool IsStalled = StalledRuns == WorkingRuns;
  if (IsStalled)
    Executor.StalledSeen = Now;
  if (IsStalled != Executor.IsStalled)
    setStalled(Executor, IsStalled);
}

void event_handler::setStalled(executor_state &Executor, bool IsStalled) {
  Executor.IsStalled = IsStalled;
  touch(Executor);
  State.NeedsPlacement = true;
  log(IsStalled ? events::ExecutorStalled : events::ExecutorAdvances,
      {{"executor", Executor.Report.Id.Value},
       {"runs", std::to_string(Executor.Runs.size())}});
}

/// Stops the long-stalled runs of a stalled executor, so that they restart on
/// another one.
void event_handler::moveStalled(executor_state &Executor) {
  updateStalled(Executor);
  if (!Executor.IsStalled || Executor.IsUnresponsive || !isLeading())
    return;
  if (findOutdated())
    return; // they couldn't restart
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
    avoid(Known, Executor.Report.Id, Known.Moves);
    log(events::UnitMoved,
        {{"task", printTask({Unit.Job, Unit.Occurrence, Unit.Step, Unit.Unit})},
         {"executor", Executor.Report.Id.Value},
         {"moves", std::to_string(Known.Moves)}});
    stopUnit(Job, Unit);
  }
}

} // namespace galenastage::batch::detail
