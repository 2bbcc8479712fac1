#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>
#include <cassert>

namespace galenastage::batch::detail {
namespace {

constexpr milliseconds MinHoldGap{
    20}; // batches simultaneous ends into one hold

/// Whether the hold of that number was given up for a later one.
bool isAbandoned(const executor_state &Executor, std::uint64_t Number) {
  return Number != 0 && Number != Executor.HoldNumber;
}

} // namespace

bool event_handler::needsConfirmation(const executor_state &Executor) const {
  return std::ranges::any_of(Executor.Runs, [&](const auto &Item) {
    const run_state &Run = Item.second;
    const bool IsUnclear = Run.Phase == run_phase::Unconfirmed ||
                           (Run.IsStopAccepted && !Run.IsListed);
    return IsUnclear && !isAwaited(Run);
  });
}

std::string_view name(hold_failure Failure) {
  switch (Failure) {
  case hold_failure::NoAnswer:
    return "no answer";
  case hold_failure::ConnectionLost:
    return "connection lost";
  case hold_failure::Replaced:
    return "another executor answers";
  case hold_failure::Refused:
    return "refused";
  case hold_failure::Unreadable:
    return "unreadable answer";
  case hold_failure::Fenced:
    break;
  }
  return "fenced";
}

executor_target event_handler::targetOf(const executor_state &Executor) const {
  return {Executor.Report.Id, Executor.Report.Address, Executor.Incarnation,
          State.Token, tokenFor(Executor)};
}

/// Returns the end of a new lease on the executor's clock, and accounts for it.
std::int64_t event_handler::leaseEnd(executor_state &Executor) {
  const milliseconds Lease =
      std::min(State.Settings.Lease, State.Settings.MaxLease);
  const auto Age =
      std::chrono::duration_cast<milliseconds>(Now - Executor.ClockReadAt);
  Executor.Leases = addLease(Executor.Leases, leaseLimits(), Now, Lease, Age);
  Executor.LeasedToken = tokenFor(Executor);
  return Executor.ClockMs + (Age + Lease).count();
}

unit_progress *event_handler::findProgress(const unit_name &Unit) {
  const auto Job = State.Jobs.find(Unit.Job);
  if (Job == State.Jobs.end())
    return nullptr;
  auto &Occurrences = Job->second.Progress.Occurrences;
  const auto Occurrence = Occurrences.find(Unit.Occurrence);
  if (Occurrence == Occurrences.end() || Occurrence->second.IsDone)
    return nullptr;
  return &Occurrence->second.Steps[Unit.Step].Units[Unit.Unit];
}

// Holds

void event_handler::hold(executor_state &Executor) {
  const bool MayHold = isLeading() && State.IsRecovered &&
                       !Executor.IsHolding && Now >= Executor.NextHold &&
                       Executor.Report.Address.Port != 0;
  if (!MayHold)
    return;
  const bool HasRuns = std::ranges::any_of(Executor.Runs, [](const auto &Item) {
    return Item.second.Phase != run_phase::Recording;
  });
  const bool HasUnacknowledged =
      Executor.LastSeenProcessed > Executor.LastSeenAcknowledged;
  // Nothing else brings back an executor without runs.
  const bool IsOutOfContact = Executor.IsListed && (!Executor.HasAnsweredHold ||
                                                    Executor.IsUnresponsive);
  const bool IsWanted =
      HasRuns || HasUnacknowledged || IsOutOfContact || Executor.IsLifeUnclear;
  if (!IsWanted)
    return;
  raiseToken(Executor);
  // The executor may have restarted under its id, which is all that the hold
  // names, silently or while it was idle. The new incarnation would forget ends
  // that nobody has seen. So ends are acknowledged once, and to one that
  // answers.
  const bool IsAcknowledging =
      Executor.HasAnsweredHold && !Executor.IsUnresponsive &&
      Executor.LastSeenSaved > Executor.LastSeenAcknowledged;
  const std::int64_t LastSeen = IsAcknowledging ? Executor.LastSeenSaved : 0;
  hold_executor Hold{targetOf(Executor), LastSeen, {}, {}};
  const bool IsUnsaved = Executor.LastSeenProcessed > Executor.LastSeenSaved;
  const bool HasUrgent = std::ranges::any_of(
      Executor.Runs, [](const auto &Item) { return Item.second.IsUrgent; });
  const bool MayWait = HasRuns && Executor.HasAnsweredHold &&
                       !Executor.IsUnresponsive && !IsUnsaved &&
                       !needsConfirmation(Executor);
  if (MayWait)
    Hold.Wait =
        HasUrgent ? State.Settings.UrgentHoldWait : State.Settings.HoldWait;
  if (isProbed(Executor))
    Hold.Wait = std::min(Hold.Wait, State.Settings.Speeds.ProbeWait);
  if (std::ranges::any_of(Executor.Runs, [&](const auto &Item) {
        return isAwaited(Item.second);
      }))
    Hold.Wait = std::min(Hold.Wait, State.Settings.LateStartWait);
  // An unresponsive executor may receive the hold and extend its leases all the
  // same. Without a new lease its runs expire sooner.
  const bool IsLeased = Executor.HasAnsweredHold && !Executor.IsUnresponsive;
  if (IsLeased)
    Hold.LeaseEndMs = leaseEnd(Executor);
  Executor.LeasedHoldSent = IsLeased ? Now : instant{};
  Executor.HoldToken = Hold.To.Token;
  Executor.HoldNumber = Hold.Number = ++State.HoldsSent;
  Executor.IsHolding = true;
  Executor.HoldLastSeen = LastSeen;
  Out.emplace_back(std::move(Hold));
}

void event_handler::apply(const runs_reported &Event) {
  const auto Found = State.Executors.find(Event.Executor);
  if (Found == State.Executors.end())
    return;
  executor_state &Executor = Found->second;
  if (isAbandoned(Executor, Event.Number))
    return;
  Executor.IsHolding = false;
  const bool IsOfOtherLife =
      Executor.Incarnation != 0 && Executor.Incarnation != Event.Incarnation;
  if (IsOfOtherLife && Executor.LeasedHoldSent != instant{})
    Executor.Leases = addLongestLease(Executor.Leases, leaseLimits(), Now);
  if (Executor.IsUnresponsive || !Executor.HasAnsweredHold)
    touch(Executor);
  if (std::exchange(Executor.IsUnresponsive, false))
    log(events::ExecutorAnswers,
        {{"executor", Event.Executor.Value},
         {"silent_ms",
          Executor.LastAlive == instant{}
              ? "unknown"
              : std::to_string((Now - Executor.LastAlive).count())},
         {"runs", std::to_string(Event.Active.size())}});
  Executor.IsReplaced = false;
  if (IsOfOtherLife) {
    noteAnswer(
        Executor, "hold", {},
        {Executor.Incarnation, Event.Incarnation, Event.ClockMs, Event.Sent});
    dropAllRuns(Executor, run_loss::Restarted);
  } else if (Executor.Incarnation == 0) { // it may have been lost and come back
    stopLateStarts(Executor);
  }
  Executor.HoldGap = std::chrono::duration_cast<milliseconds>(
      Event.Sent - Executor.ClockReadAt);
  Executor.Incarnation = Event.Incarnation;
  Executor.ClockMs = Event.ClockMs;
  Executor.ClockReadAt = Now;
  Executor.ClockAskedAt = Event.Sent;
  Executor.LastAlive = Now;
  openAnswered(Executor);
  Executor.IsLifeUnclear = false;
  updateLife(Executor);
  Executor.LastSeenAcknowledged =
      std::max(Executor.LastSeenAcknowledged, Executor.HoldLastSeen);

  for (const ended_run &Ended : Event.Ended) {
    if (Ended.Number <= Executor.LastSeenProcessed)
      continue;
    applyEnd(Executor, Ended.Run, Ended.End, Ended.Checkpoint, Event.Sent);
    Executor.LastSeenProcessed = Ended.Number;
    Executor.SaveNeeded = State.SavesQueued;
  }
  for (const active_run &Active : Event.Active)
    adopt(Executor, Active);
  handleUnlisted(Executor, Event);
  if (!Event.IsWhole && !Executor.HasMoreEnds)
    log(events::ReportNotWhole,
        {{"executor", Event.Executor.Value},
         {"ends", std::to_string(Event.Ended.size())},
         {"runs", std::to_string(Executor.Runs.size())}});
  Executor.HasMoreEnds = !Event.IsWhole;
  updateStalled(Executor);
  updateQuarantine(Executor);

  if (State.SavesFinished >= Executor.SaveNeeded)
    Executor.LastSeenSaved = Executor.LastSeenProcessed;
  const bool IsUnsaved = Executor.LastSeenProcessed > Executor.LastSeenSaved;
  Executor.NextHold = Now + MinHoldGap;
  if (IsUnsaved)
    Executor.NextHold = Now + State.Settings.UnsavedHoldInterval;
  else if (needsConfirmation(Executor))
    Executor.NextHold = Now + State.Settings.ConfirmInterval;
  hold(Executor);
}

void event_handler::apply(const hold_failed &Event) {
  const auto Found = State.Executors.find(Event.Executor);
  if (Found == State.Executors.end())
    return;
  executor_state &Executor = Found->second;
  if (isAbandoned(Executor, Event.Number))
    return;
  Executor.IsHolding = false;
  const bool MayHaveArrived = Event.Failure == hold_failure::NoAnswer ||
                              Event.Failure == hold_failure::ConnectionLost ||
                              Event.Failure == hold_failure::Unreadable;
  if (MayHaveArrived && Executor.LeasedHoldSent != instant{})
    Executor.Leases = addUnanswered(Executor.Leases, Executor.LeasedHoldSent);
  const bool IsIdle = Executor.HasAnsweredHold && Executor.Runs.empty();
  Executor.NextHold =
      Now + (IsIdle ? State.Settings.IdleHoldRetry : State.Settings.HoldRetry);
  if (Event.Failure == hold_failure::Replaced) {
    // No order reaches the executor any more: each call names it.
    if (!std::exchange(Executor.IsReplaced, true))
      dropAllRuns(Executor, run_loss::Replaced);
    else
      dropAnswered(Executor);
    Executor.NextHold = Now + State.Settings.HoldRetry;
    return;
  }
  if (!Executor.IsUnresponsive) {
    if (Event.Failure == hold_failure::ConnectionLost)
      Executor.LastAlive = Now;
    noteSilence(Executor);
  }
  if (!Executor.IsUnresponsive)
    log(events::ExecutorSilent,
        {{"executor", Event.Executor.Value},
         {"cause", std::string(name(Event.Failure))},
         {"reason", Event.Reason},
         {"runs", std::to_string(Executor.Runs.size())}});
  Executor.IsUnresponsive = true;
  touch(Executor);
  const std::map<run_name, run_state> Runs = Executor.Runs;
  for (const auto &[Name, Run] : Runs)
    if (const auto Job = State.Jobs.find(Name.Task.Job);
        Job != State.Jobs.end() && Run.IsOfGang)
      resolveBrokenGang(Job->second, unitNameOf(Job->second, Name.Task));
}

// Runs

void event_handler::addRun(executor_state &Executor, job_state &Job,
                           const run_name &Run, run_phase Phase) {
  assert(!Executor.Runs.contains(Run) && "its capacity would count twice");
  run_state Added;
  Added.Phase = Phase;
  const step_spec &Step = Job.Spec.Steps[Run.Task.Step];
  Added.Needs = reservedResources(Step);
  Added.IsUrgent = Job.Queue.Priority == 0;
  Added.IsOfGang = Step.IsGang;
  Added.IsLongRunning = Step.IsLongRunning;
  Added.IsCheckpointing = Step.IsCheckpointing;
  Added.GangSize = countTasks(Step);
  Added.Ordered = Now;
  Executor.Used += Added.Needs;
  touch(Executor);
  touch(Job);
  const bool IsUrgent = Added.IsUrgent;
  addUsage(Job.Spec.Organisation, Added.Needs, 1);
  if (IsUrgent)
    noteUrgentNeeds(Job, Added.Needs, 1);
  Executor.Runs[Run] = std::move(Added);
  Job.Runs[Run] = Executor.Report.Id;
  const unit_name Unit = unitNameOf(Job, Run.Task);
  ++unitState(Job, Unit).LiveRuns;
  if (IsUrgent)
    changeUrgentUse(Job, Unit, 1);
}

void event_handler::dropRun(executor_state &Executor, const run_name &Run) {
  const auto Found = Executor.Runs.find(Run);
  if (Found == Executor.Runs.end())
    return;
  const bool IsUrgent = Found->second.IsUrgent;
  const bool IsOrphan = Found->second.IsOrphan;
  const resources Needs = Found->second.Needs;
  Executor.Used -= Needs;
  Executor.Runs.erase(Found);
  State.Probing.erase(Executor.Report.Id);
  touch(Executor);
  State.NeedsPlacement = true;
  const auto Job = State.Jobs.find(Run.Task.Job);
  if (Job == State.Jobs.end() || IsOrphan)
    return;
  addUsage(Job->second.Spec.Organisation, Needs, -1);
  if (IsUrgent)
    noteUrgentNeeds(Job->second, Needs, -1);
  touch(Job->second);
  Job->second.Runs.erase(Run);
  const unit_name Name = unitNameOf(Job->second, Run.Task);
  if (IsUrgent)
    changeUrgentUse(Job->second, Name, -1);
  unit_state &Unit = unitState(Job->second, Name);
  Unit.LiveRuns = std::max(0, Unit.LiveRuns - 1);
  if (Unit.LiveRuns == 0)
    State.Suspects.erase(Name);
}

void event_handler::applyEnd(executor_state &Executor, const run_name &Run,
                             run_end End, const std::string &Checkpoint,
                             std::optional<instant> Sent) {
  const auto Found = State.Jobs.find(Run.Task.Job);
  if (Found != State.Jobs.end())
    noteGangEnd(Found->second, Run, End);
  dropRun(Executor, Run);
  if (Found == State.Jobs.end() || isFinal(Found->second.Progress.Phase))
    return;
  job_state &Job = Found->second;
  if (!hasTask(Job.Spec, Run.Task))
    return;
  if (End != run_end::Lost)
    withdrawCrash(Job, Run);
  const unit_name Unit = unitNameOf(Job, Run.Task);
  unit_progress *Progress = findProgress(Unit);
  if (!Progress || Progress->IsDone)
    return;
  touch(Job);
  Progress->Attempts = std::max(Progress->Attempts, Run.Attempt);
  if (!Checkpoint.empty() && Checkpoint != Progress->Checkpoint) {
    Progress->Checkpoint = Checkpoint;
    queueSave(Job);
  }
  if (Job.Progress.Phase == job_phase::Queued) {
    Job.Progress.Phase = job_phase::Running; // started by an earlier leader
    queueSave(Job);
  }
  if (End != run_end::Lost) // applyLoss has logged it
    logEnd(Executor, Run,
           {{"end", std::string(name(End))}, {"checkpoint", Checkpoint}});
  if (End == run_end::Done) {
    release(Executor);
    Executor.ProvenAt = Now;
    if (Sent)
      measureDone(Executor, Job, Run, *Sent);
    Progress->IsDone = true;
    noteWorkDone(Job, Unit);
    stopOtherAttempts(Job, Unit, Run.Attempt);
    queueSave(Job);
    noteUnitDone(Job, Unit.Occurrence);
    return;
  }
  if (End == run_end::Failed)
    applyFailure(Executor, Job, Run, *Progress);
  if (isFinal(Job.Progress.Phase))
    return;
  forgetPlacement(Job, Unit);
  if (!Job.Spec.Steps[Unit.Step].IsGang)
    return;
  stopUnit(Job, Unit, Run.Attempt + 1); // spares later attempts
  resolveBrokenGang(Job, Unit);
}

/// Once all runs of the unit have ended, and no start of it may arrive any
/// more, the next leader has none to inherit. It would take their executors'
/// later restarts for crashes.
void event_handler::forgetPlacement(job_state &Job, const unit_name &Unit) {
  unit_progress *Progress = findProgress(Unit);
  if (!Progress || Progress->Placed.empty())
    return;
  const unit_state &Known = unitState(Job, Unit);
  if (Known.LiveRuns > 0 || Now < Known.LateUntil)
    return;
  Progress->Placed.clear();
  queueSave(Job);
}

void event_handler::logEnd(const executor_state &Executor, const run_name &Run,
                           std::vector<log_field> Outcome) {
  std::vector<log_field> Fields{{"task", printTask(Run.Task)},
                                {"attempt", std::to_string(Run.Attempt)},
                                {"executor", Executor.Report.Id.Value}};
  Fields.insert(Fields.end(), Outcome.begin(), Outcome.end());
  log(events::RunEnded, std::move(Fields));
}

void event_handler::noteGangEnd(job_state &Job, const run_name &Run,
                                run_end End) {
  const bool IsOfGang =
      hasTask(Job.Spec, Run.Task) && Job.Spec.Steps[Run.Task.Step].IsGang;
  if (!IsOfGang)
    return;
  const unit_name Unit = unitNameOf(Job, Run.Task);
  gang_break &Break = unitState(Job, Unit).Break;
  if (Break.Attempt == Run.Attempt) {
    const bool IsConsequence =
        End == run_end::Broken || End == run_end::Stopped;
    Break.IsUnexplained = Break.IsUnexplained && IsConsequence;
    return;
  }
  const bool IsStopping = std::ranges::any_of(Job.Runs, [&](const auto &Item) {
    const auto &Runs = State.Executors.at(Item.second).Runs;
    const auto Found = Runs.find(Item.first);
    return unitNameOf(Job, Item.first.Task) == Unit && Found != Runs.end() &&
           Found->second.Phase == run_phase::Stopping;
  });
  Break = {Run.Attempt, End == run_end::Broken && !IsStopping};
}

void event_handler::resolveBrokenGang(job_state &Job, const unit_name &Unit) {
  const gang_break Break = unitState(Job, Unit).Break;
  if (!Break.IsUnexplained)
    return;
  std::vector<std::pair<run_name, executor_id>> Remaining;
  for (const auto &[Run, Id] : Job.Runs)
    if (unitNameOf(Job, Run.Task) == Unit)
      Remaining.emplace_back(Run, Id);
  if (Remaining.size() != 1 || Remaining.front().first.Attempt != Break.Attempt)
    return;
  executor_state &Executor = State.Executors.at(Remaining.front().second);
  const run_state &Last = Executor.Runs.at(Remaining.front().first);
  const bool CanAsk = Executor.IsListed && !Executor.IsUnresponsive;
  // An unanswered start may still take effect.
  const bool HasStarted = Last.IsListed || Last.IsAccepted;
  // The member may have failed. If all attempts may have, its end must be known
  // before another one starts.
  const unit_progress *Progress = findProgress(Unit);
  const bool MayRestart =
      Job.Spec.Steps[Unit.Step].IsLongRunning ||
      (Progress && Progress->Attempts < Job.Queue.MaxAttempts);
  if (!CanAsk && HasStarted && MayRestart)
    applyLoss(Executor, Remaining.front().first, run_loss::GangBroken);
}

void event_handler::applyFailure(executor_state &Executor, job_state &Job,
                                 const run_name &Run, unit_progress &Progress) {
  const bool IsGang = Job.Spec.Steps[Run.Task.Step].IsGang;
  if (!Progress.Failed.add(Run.Attempt)) {
    if (!IsGang) // otherwise it may be of another member
      log(events::FailureKnown,
          {{"task", printTask(Run.Task)},
           {"attempt", std::to_string(Run.Attempt)},
           {"executor", Executor.Report.Id.Value},
           {"failures", std::to_string(Progress.Failures)}});
    return;
  }
  Progress.FailedAttempt = Run.Attempt;
  ++Progress.Failures;
  queueSave(Job);
  unit_state &Unit = unitState(Job, unitNameOf(Job, Run.Task));
  Unit.NotBefore = Now + State.Settings.RestartDelay;
  avoid(Unit, Executor.Report.Id, Progress.Failures);
  touch(Executor);
  const bool IsQuarantined = noteFailure(
      Executor.Health, State.Settings.Quarantine, Run.Task.Job, true, Now);
  if (IsQuarantined)
    log(events::ExecutorQuarantined,
        {{"executor", Executor.Report.Id.Value},
         {"for_ms", std::to_string(Executor.Health.Delay.count())}});
  const bool IsLongRunning = Job.Spec.Steps[Run.Task.Step].IsLongRunning;
  if (!IsLongRunning && Progress.Failures >= Job.Queue.MaxAttempts)
    endJob(Job, job_phase::Failed,
           printTask(Run.Task) + " failed " +
               std::to_string(Progress.Failures) + " times");
}

/// Processes a listed run: one of this leader, one of an earlier leader, or one
/// that is no longer needed.
void event_handler::adopt(executor_state &Executor, const active_run &Active) {
  const auto Job = State.Jobs.find(Active.Run.Task.Job);
  const bool IsTask =
      Job != State.Jobs.end() && hasTask(Job->second.Spec, Active.Run.Task);
  const bool IsWanted = IsTask && !isFinal(Job->second.Progress.Phase);
  auto Known = Executor.Runs.find(Active.Run);
  if (Known == Executor.Runs.end()) {
    if (!IsTask) {
      // Its needs are unknown, so it blocks the whole executor until it ends.
      run_state Orphan;
      Orphan.Phase = run_phase::Active;
      Orphan.Needs = Executor.Report.Capacity;
      Orphan.GangSize = 0; // no job to take it from
      Orphan.IsOrphan = true;
      touch(Executor);
      Executor.Used += Orphan.Needs;
      Executor.Runs[Active.Run] = Orphan;
    } else {
      addRun(Executor, Job->second, Active.Run, run_phase::Active);
    }
    Known = Executor.Runs.find(Active.Run);
    if (IsWanted) {
      const unit_name Unit = unitNameOf(Job->second, Active.Run.Task);
      unit_progress *Progress = findProgress(Unit);
      if (Progress && Progress->Attempts < Active.Run.Attempt) {
        stopUnit(Job->second, Unit, Active.Run.Attempt);
        Progress->Attempts = Active.Run.Attempt;
      }
      if (Job->second.Progress.Phase == job_phase::Queued) {
        Job->second.Progress.Phase = job_phase::Running;
        queueSave(Job->second);
      }
    }
    log(events::RunAdopted, {{"task", printTask(Active.Run.Task)},
                             {"attempt", std::to_string(Active.Run.Attempt)},
                             {"executor", Executor.Report.Id.Value},
                             {"wanted", IsWanted ? "yes" : "no"}});
  }
  if (IsWanted)
    withdrawCrash(Job->second, Active.Run);
  run_state &Run = Known->second;
  Run.IsListed = true;
  Run.Checkpoint = Active.Checkpoint;
  recordProgress(Run.Pace, Active.Percent, Now);
  updateProbation(Executor, Active.Run);
  if (Run.Phase == run_phase::Starting || Run.Phase == run_phase::Unconfirmed)
    Run.Phase = run_phase::Active;
  const unit_progress *Progress =
      IsWanted ? findProgress(unitNameOf(Job->second, Active.Run.Task))
               : nullptr;
  const bool IsNeeded = Progress && Active.Run.Attempt >= Progress->Attempts;
  const bool IsUnitDone = IsWanted && Progress && Progress->IsDone;
  if (IsNeeded && !IsUnitDone)
    measureProgress(Executor, Job->second, Active.Run, Run);
  if (!IsNeeded && !IsUnitDone && Run.Phase != run_phase::Stopping)
    orderStop(Executor, Active.Run);
}

} // namespace galenastage::batch::detail
