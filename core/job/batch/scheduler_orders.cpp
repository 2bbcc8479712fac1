// Orders to start and to stop runs, and their answers.

#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>

namespace galenastage::batch::detail {

/// Orders the starts of runs whose executors have been stored. Units with an
/// executor that can't take its task any more are placed again.
void event_handler::startRecorded(job_state &Job) {
  if (!isLeading()) {
    queueSave(Job); // once the leader lease is renewed; its starts follow then
    return;
  }
  const std::map<run_name, executor_id> Runs = Job.Runs;
  std::vector<run_name> Recorded;
  std::set<unit_name> Withdrawn;
  for (const auto &[Name, Id] : Runs) {
    const executor_state &Executor = State.Executors.at(Id);
    const run_state &Run = Executor.Runs.at(Name);
    if (Run.Phase != run_phase::Recording || !Run.IsInSave)
      continue;
    Recorded.push_back(Name);
    const std::string &Required = Job.Spec.Steps[Name.Task.Step].Requirement;
    const bool IsSuitable =
        Required.empty() || Executor.Report.hasLabel(Required);
    if (IsSuitable && mayStart(Executor, Job))
      continue;
    Withdrawn.insert(unitNameOf(Job, Name.Task));
    log(events::StartWithdrawn, {{"task", printTask(Name.Task)},
                                 {"attempt", std::to_string(Name.Attempt)},
                                 {"executor", Id.Value}});
  }
  for (const run_name &Name : Recorded) {
    executor_state &Executor = State.Executors.at(Runs.at(Name));
    if (Withdrawn.contains(unitNameOf(Job, Name.Task))) {
      dropRun(Executor, Name);
      continue;
    }
    run_state &Run = Executor.Runs.at(Name);
    Run.Phase = run_phase::Starting;
    Run.Ordered = Now;
    Run.Token = tokenFor(Executor);
    Run.IsAwaited = true;
    const unit_progress &Progress = *findProgress(unitNameOf(Job, Name.Task));
    Out.emplace_back(start_run{targetOf(Executor), Name, Job.Spec.Payload,
                               Progress.Checkpoint, leaseEnd(Executor)});
    Executor.NextHold = std::min(Executor.NextHold, Now);
    hold(Executor);
  }
}

void event_handler::orderStop(executor_state &Executor, const run_name &Run) {
  const auto Found = Executor.Runs.find(Run);
  if (Found == Executor.Runs.end() ||
      Found->second.Phase == run_phase::Stopping)
    return;
  if (Found->second.Phase == run_phase::Recording) {
    dropRun(Executor, Run); // its start was never ordered
    return;
  }
  Found->second.Phase = run_phase::Stopping;
  Found->second.IsStopAccepted = false;
  Found->second.StopOrdered = Now;
  touch(Executor);
  if (!isLeading())
    return; // retryStops sends it if the leader lease is renewed
  Found->second.StopSent = Now;
  Out.emplace_back(stop_run{targetOf(Executor), Run});
}

void event_handler::stopUnit(job_state &Job, const unit_name &Unit,
                             int BelowAttempt) {
  const std::map<run_name, executor_id> Runs = Job.Runs;
  for (const auto &[Run, Id] : Runs)
    if (unitNameOf(Job, Run.Task) == Unit && Run.Attempt < BelowAttempt)
      if (const auto Found = State.Executors.find(Id);
          Found != State.Executors.end())
        orderStop(Found->second, Run);
}

/// Stops runs of other attempts after a unit is done. They exist when this
/// attempt was presumed lost and the unit was restarted.
void event_handler::stopOtherAttempts(job_state &Job, const unit_name &Unit,
                                      int Attempt) {
  const std::map<run_name, executor_id> Runs = Job.Runs;
  for (const auto &[Run, Id] : Runs)
    if (unitNameOf(Job, Run.Task) == Unit && Run.Attempt != Attempt)
      if (const auto Found = State.Executors.find(Id);
          Found != State.Executors.end())
        orderStop(Found->second, Run);
}

void event_handler::retryStops(executor_state &Executor) {
  if (!isLeading())
    return;
  for (auto &[Name, Run] : Executor.Runs) {
    const bool IsDue = Run.Phase == run_phase::Stopping &&
                       !Run.IsStopAccepted &&
                       Now >= Run.StopSent + State.Settings.StopRetry;
    if (!IsDue)
      continue;
    Run.StopSent = Now;
    Out.emplace_back(stop_run{targetOf(Executor), Name});
  }
}

void event_handler::confirmLater(executor_state &Executor, run_state &Run) {
  if (Executor.IsReplaced) { // it answers no hold
    dropAnswered(Executor);
    return;
  }
  Run.Confirmed = Now;
  if (Run.Phase == run_phase::Starting)
    Run.Phase = run_phase::Unconfirmed;
  Executor.NextHold = Now;
  hold(Executor);
}

void event_handler::apply(const start_answered &Event) {
  const auto Found = State.Executors.find(Event.Executor);
  if (Found == State.Executors.end())
    return;
  executor_state &Executor = Found->second;
  const answering_life Life =
      noteAnswer(Executor, "start", printTask(Event.Run.Task), Event.From);
  const bool IsHandled = Event.Outcome == order_outcome::Accepted ||
                         Event.From.ClockMs || Event.From.Born != 0;
  if (IsHandled && Life != answering_life::Meant)
    Executor.Leases = addLongestLease(Executor.Leases, leaseLimits(), Now);
  if (Life == answering_life::Other)
    suspectRestart(Executor, Event.From);
  const auto Run = Executor.Runs.find(Event.Run);
  if (Run == Executor.Runs.end())
    return; // already ended
  Run->second.IsAwaited = false;
  const bool HasLostLife = std::exchange(Run->second.HasLostLife, false);
  const auto Job = State.Jobs.find(Event.Run.Task.Job);
  const bool IsFromElsewhere =
      Life == answering_life::Other && Executor.IsReplaced;
  if (Event.Outcome != order_outcome::Unknown && !IsFromElsewhere)
    Executor.LastAlive = Now;
  const bool MayHaveBegun = Event.Outcome == order_outcome::Unknown ||
                            (Event.Outcome == order_outcome::Accepted &&
                             Life != answering_life::Other);
  if (HasLostLife && MayHaveBegun &&
      judgeCrash(Executor, Event.Run, run_loss::Restarted))
    giveUp({Event.Run.Task});
  const bool IsByPresentLife =
      Life == answering_life::Meant &&
      (Event.From.Meant == 0 || Event.From.Meant == Executor.Incarnation);
  if (Event.Outcome == order_outcome::Accepted && IsByPresentLife) {
    Run->second.Confirmed = Now;
    Run->second.IsAccepted = true;
    if (Run->second.Phase == run_phase::Starting)
      Run->second.Phase = run_phase::Active;
    return;
  }
  if (Event.Outcome == order_outcome::Accepted) {
    Run->second.IsAccepted = true;
    confirmLater(Executor, Run->second);
    return;
  }
  log(events::StartNotAccepted,
      {{"task", printTask(Event.Run.Task)},
       {"attempt", std::to_string(Event.Run.Attempt)},
       {"executor", Event.Executor.Value},
       {"reason",
        Event.Outcome == order_outcome::Unknown ? "no answer" : Event.Reason}});
  if (Event.Outcome == order_outcome::Unknown) {
    Executor.Leases = addUnanswered(Executor.Leases, Run->second.Ordered);
    confirmLater(Executor, Run->second);
    return;
  }
  dropRun(Executor, Event.Run);
  if (Job == State.Jobs.end() || isFinal(Job->second.Progress.Phase))
    return;
  const unit_name Unit = unitNameOf(Job->second, Event.Run.Task);
  unit_state &Known = unitState(Job->second, Unit);
  Known.NotBefore = Now + State.Settings.RestartDelay;
  touch(Job->second);
  avoid(Known, Event.Executor, 1);
  forgetPlacement(Job->second, Unit);
  if (Job->second.Spec.Steps[Unit.Step].IsGang)
    stopUnit(Job->second, Unit);
}

void event_handler::apply(const stop_answered &Event) {
  const auto Found = State.Executors.find(Event.Executor);
  if (Found == State.Executors.end())
    return;
  executor_state &Executor = Found->second;
  const answering_life Life =
      noteAnswer(Executor, "stop", printTask(Event.Run.Task), Event.From);
  if (Life == answering_life::Other)
    suspectRestart(Executor, Event.From);
  const auto Run = Executor.Runs.find(Event.Run);
  if (Run == Executor.Runs.end() || !Event.IsAccepted)
    return; // already ended, or retryStops sends it again
  const bool IsOfIncarnation =
      Life != answering_life::Other &&
      (Event.From.Meant == 0 || Event.From.Meant == Executor.Incarnation);
  if (!IsOfIncarnation || Run->second.Phase != run_phase::Stopping)
    return; // the present incarnation may not know of the stop
  Run->second.IsStopAccepted = true;
  Run->second.Confirmed = Now;
  Executor.NextHold = std::min(Executor.NextHold, Now);
  hold(Executor);
}

} // namespace galenastage::batch::detail
