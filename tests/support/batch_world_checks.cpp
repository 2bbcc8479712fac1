// Checks of the simulation, on everything that executors and clients can see.

#include "tests/support/batch_world_internal.hpp"

namespace galenastage::batch::test::detail {

void world::checkStart(const fake_executor &Executor, const start_run &Order) {
  const task_name &Task = Order.Run.Task;
  const std::string Name = Task.Job.Value + "." + std::to_string(Task.Step) +
                           "." + std::to_string(Task.Index);
  const stored_job &Job = Jobs[Task.Job];
  for (const auto &[Id, Other] : Executors)
    for (const auto &[Run, State] : Other.Runs)
      if (Run.Task == Task && !isExempt(State))
        violate(Name + " runs twice: on " + Id.Value + " and " +
                Executor.Report.Id.Value);
  checkLabel(Executor, Order);
  // A bound in time isn't for orders that an executor carries out late.
  const time_point Due = History.orderedAt(Order.Run) + Latency;
  if (Executor.Report.IsDraining && Due > Executor.DrainedAt + DrainBound)
    violate(Name + " starts on an executor that drains");
  if (Acknowledged.contains(Task))
    violate(Name + " starts after its end was noted");
  for (int Earlier : Job.Spec.Steps[Task.Step].After)
    for (int I = 0; I < Job.Spec.Steps[Earlier].Count; ++I)
      if (!DoneEnds.contains({Task.Job, Task.Occurrence, Earlier, I}) &&
          !Job.Spec.Steps[Earlier].IsGang)
        violate(Name + " starts before step " + std::to_string(Earlier) +
                " is done");
  if (Job.IsCancelled && Due > Job.CancelledAt + CancelBound)
    violate(Name + " starts after its job was cancelled");
}

bool world::wasClosed(const fake_executor &Executor, const start_run &Order) {
  const auto Closed = Executor.ClosedBefore.find(Order.Run.Task);
  const bool IsStopped = Closed != Executor.ClosedBefore.end() &&
                         Closed->second >= Order.Run.Attempt;
  return IsStopped || Order.To.Term < Executor.TermBefore;
}

void world::checkLabel(const fake_executor &Executor, const start_run &Order) {
  const task_name &Task = Order.Run.Task;
  const std::string &Required =
      Jobs[Task.Job].Spec.Steps[Task.Step].Requirement;
  const bool IsKnown = Order.To.Incarnation == Executor.Report.Incarnation;
  if (IsKnown && !Required.empty() && !Executor.Report.hasLabel(Required))
    violate(print(Order.Run) + " starts on " + Executor.Report.Id.Value +
            ", which is " + Executor.Report.Kind + " and not " + Required);
}

void world::checkIndex(const scheduler_state &State) {
  constexpr std::uint64_t EventsPerCheck = 97; // a recount copies the state
  if (++Events % EventsPerCheck != 0 || !Settings.Loads.empty())
    return;
  const std::string Difference = explainStaleIndex(State, now());
  if (!Difference.empty())
    violate(Difference);
}

void world::checkCapacity(const fake_executor &Executor) {
  resources Used;
  for (const auto &[Name, Run] : Executor.Runs)
    if (!isExempt(Run))
      Used += Run.Needs;
  const bool IsKnown = Now >= Executor.ShrunkAt + ReportDelay;
  const bool WasCovered = Executor.CapacityBefore.covers(Used) && !IsKnown;
  if (!Executor.Report.Capacity.covers(Used) && !WasCovered)
    violate(Executor.Report.Id.Value + " is over its capacity");
  std::map<std::pair<job_id, int>, int> OfStep;
  for (const auto &[Name, Run] : Executor.Runs)
    if (!isExempt(Run))
      ++OfStep[{Name.Task.Job, Name.Task.Step}];
  for (const auto &[Step, Count] : OfStep) {
    const int Most = Jobs[Step.first].Spec.Steps[Step.second].MaxPerExecutor;
    if (Most > 0 && Count > Most)
      violate(Executor.Report.Id.Value + " runs too many tasks of one step");
  }
}

void world::checkStrays() {
  const bool IsCalm = Current && Current->IsLoaded &&
                      Now >= LeaderSince + MaxLoadTime + ContactBound &&
                      Now >= StoreDownUntil + ContactBound &&
                      Now >= UnlistedUntil + ContactBound;
  if (!IsCalm)
    return;
  for (const auto &[Id, Executor] : Executors)
    for (const auto &[Name, Run] : Executor.Runs) {
      const time_point Back =
          std::max({Executor.CutUntil, Executor.RefusesUntil,
                    Executor.TroubledUntil}) +
          ContactBound;
      const auto Known = Current->State.Executors.find(Id);
      if (!Run.IsStray || isUnseen(Run) || Now < Back)
        continue;
      if (Known == Current->State.Executors.end() ||
          !Known->second.Runs.contains(Name))
        violate(print(Name) + " runs unknown on " + Id.Value);
    }
}

void world::checkCancelled() {
  if (!Current || !Current->IsLoaded || Settings.Faults.LostOrders > 0)
    return; // the stop may be lost
  const time_point Quiet =
      std::max({LeaderSince + MaxLoadTime, StoreDownUntil, StoreSlowUntil,
                SilentUntil, WritesRefusedUntil});
  for (const auto &[Id, Executor] : Executors)
    for (const auto &[Name, Run] : Executor.Runs) {
      const stored_job &Job = Jobs[Name.Task.Job];
      if (!Job.IsCancelled || Executor.IsGone || Now < Executor.DownUntil)
        continue;
      const time_point Calm =
          std::max({Quiet, Executor.CutUntil, Executor.RefusesUntil,
                    Executor.TroubledUntil, Executor.BornAt, Run.Begun}) +
          ContactBound;
      const time_point Known = std::max(Calm, Job.CancelledAt + CancelBound);
      if (Now > Known + Settings.Scheduler.StopTimeout)
        violate(print(Name) + " runs on though its job was cancelled");
    }
}

void world::checkContact() {
  const bool IsCalm = Current && Current->IsLoaded &&
                      Now >= LeaderSince + MaxLoadTime + ContactBound &&
                      Now >= StoreDownUntil + ContactBound &&
                      Now >= UnlistedUntil + ContactBound;
  if (!IsCalm)
    return;
  for (auto &[Id, Executor] : Executors) {
    const time_point Back =
        std::max({Executor.CutUntil, Executor.RefusesUntil,
                  Executor.TroubledUntil, Executor.DownUntil, Executor.BornAt});
    if (Executor.IsGone || Now < Back || Now - Back < ContactBound)
      continue;
    const auto Known = Current->State.Executors.find(Id);
    const bool IsHeld = Known != Current->State.Executors.end() &&
                        Known->second.HasAnsweredHold &&
                        !Known->second.IsUnresponsive;
    if (!IsHeld && std::exchange(Executor.ReportedTrouble, Back) != Back)
      violate(Id.Value + " isn't held again after its trouble");
  }
}

void world::checkCompletion(const saved_job &Saved) {
  if (Saved.Progress.Phase != job_phase::Completed)
    return;
  const job_spec &Job = Jobs[Saved.Job].Spec;
  for (int Step = 0; Step < static_cast<int>(Job.Steps.size()); ++Step) {
    int Done = 0;
    for (int I = 0; I < Job.Steps[Step].Count; ++I)
      Done += DoneEnds.contains({Saved.Job, 0, Step, I}) ? 1 : 0;
    const int Needed = Job.Steps[Step].IsGang ? 1 : Job.Steps[Step].Count;
    if (Done < Needed)
      violate(Saved.Job.Value + " is shown as completed too early");
  }
}

void world::noteCompletion(const saved_job &Saved) {
  const stored_job &Job = Jobs[Saved.Job];
  const bool IsNew =
      Saved.Progress.Phase == job_phase::Completed &&
      parseSummary(Job.Progress).Record.Phase != job_phase::Completed;
  if (!IsNew)
    return;
  job_times &Times = Report.Times[Job.Spec.Queue.Priority];
  const milliseconds Took = Now - Job.Spec.Submitted.time_since_epoch();
  Times.Ends.push_back(Took);
  const queue_config &Queue = Job.Spec.Queue;
  double Work = 0; // of one step after the other
  for (const step_spec &Step : Job.Spec.Steps)
    Work += static_cast<double>(Step.Estimate.count()) * Job.ActualWork;
  const bool IsInTime =
      static_cast<double>((Took - Queue.TargetDuration).count()) <=
      Work * Queue.StretchFactor;
  Times.InTime += IsInTime ? 1 : 0;
}

void world::checkOutcome() {
  for (const auto &Leader : Leaders)
    Report.Examined += Leader->State.Examined;
  if (!Leaders.empty())
    for (const auto &[Service, Sums] : Leaders.back()->State.SpeedSums)
      Report.Speeds = Sums;
  for (const auto &[Id, Job] : Jobs) {
    const job_phase Phase = parseSummary(Job.Progress).Record.Phase;
    Report.Completed += Phase == job_phase::Completed ? 1 : 0;
    Report.Failed += Phase == job_phase::Failed ? 1 : 0;
    Report.FailedInnocents +=
        Phase == job_phase::Failed && !Job.IsCrashing ? 1 : 0;
    Report.Cancelled += Phase == job_phase::Cancelled ? 1 : 0;
    if (isFinal(Phase))
      continue;
    ++Report.Unfinished;
    violate(Id.Value + " is still " + std::string(name(Phase)) + " at the end");
  }
}

} // namespace galenastage::batch::test::detail
