// Runs that have ended although no executor reported it.

#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>

namespace galenastage::batch::detail {

std::string_view name(run_loss Cause) {
  switch (Cause) {
  case run_loss::NotListed:
    return "not listed";
  case run_loss::Restarted:
    return "restarted";
  case run_loss::Replaced:
    return "another executor answers";
  case run_loss::LeaseExpired:
    return "its leases have expired";
  case run_loss::GangBroken:
    break;
  }
  return "gang broken";
}

namespace {

/// Whether the executor, by its last answer, rejects the start of the run.
bool isFenced(const executor_state &Executor, const run_state &Run) {
  return Run.Phase != run_phase::Recording && Run.Token < Executor.HoldToken;
}

} // namespace

void event_handler::applyLoss(executor_state &Executor, const run_name &Run,
                              run_loss Cause) {
  const auto Found = Executor.Runs.find(Run);
  if (Found == Executor.Runs.end())
    return; // the loss of another member of its gang has ended it
  const run_state &Known = Found->second;
  const std::string ForMs = std::to_string((Now - Known.Ordered).count());
  logEnd(Executor, Run,
         {{"end", std::string(name(run_end::Lost))},
          {"cause", std::string(name(Cause))},
          {"listed", Known.IsListed ? "yes" : "no"},
          {"since_ms", ForMs}});
  const bool IsGivenUp =
      Known.HasLostLife && judgeCrash(Executor, Run, run_loss::Restarted);
  applyEnd(Executor, Run, run_end::Lost, {});
  if (IsGivenUp)
    giveUp({Run.Task});
}

/// Handles runs that the report lists neither as active nor as ended. If the
/// report isn't whole, they may have ended in any way.
void event_handler::handleUnlisted(executor_state &Executor,
                                   const runs_reported &Report) {
  std::set<run_name> Listed;
  for (const active_run &Active : Report.Active)
    Listed.insert(Active.Run);
  std::vector<run_name> Gone;
  std::vector<run_name> Unclear;
  for (auto &[Name, Run] : Executor.Runs) {
    Run.IsMissing = !Listed.contains(Name);
    if (!Run.IsMissing || !Report.IsWhole)
      continue;
    const bool IsClosed = isFenced(Executor, Run) ||
                          (Run.IsStopAccepted && Report.Sent >= Run.Confirmed);
    // Neither a stop nor a later token closes a start for a next life.
    const bool IsOver =
        Run.IsListed || (IsClosed && (!mayArrive(Run) || isClosedEarly(Run)));
    const bool IsUnclear = Run.Phase == run_phase::Unconfirmed &&
                           Report.Sent >= Run.Confirmed && !isAwaited(Run);
    if (IsOver)
      Gone.push_back(Name);
    else if (IsUnclear)
      Unclear.push_back(Name);
  }
  std::vector<task_name> GivenUp;
  for (const run_name &Name : Gone) {
    // The leader that ordered it knew an earlier incarnation of the executor.
    const auto Found = Executor.Runs.find(Name);
    if (Found == Executor.Runs.end())
      continue; // the loss of another member of its gang has ended it
    const run_state &Run = Found->second;
    const bool HasCrashed = Run.IsInherited && !Run.IsListed &&
                            Run.OrderedTo != 0 &&
                            Run.OrderedTo != Report.Incarnation;
    const run_loss Cause =
        HasCrashed ? run_loss::Restarted : run_loss::NotListed;
    if (HasCrashed && countCrash(Executor, Name, Cause, false))
      GivenUp.push_back(Name.Task);
    if (mayArrive(Run))
      noteClosedStart(Executor, Name);
    applyLoss(Executor, Name, Cause);
  }
  giveUp(GivenUp);
  for (const run_name &Name : Unclear)
    orderStop(Executor, Name);
}

bool event_handler::mayArrive(const run_state &Run) const {
  return Run.Phase != run_phase::Recording && !Run.IsListed &&
         !Run.IsAccepted && Now - Run.Ordered < State.Settings.LateStarts;
}

bool event_handler::isClosedEarly(const run_state &Run) {
  return Run.IsOfGang || Run.IsLongRunning;
}

bool event_handler::isAwaited(const run_state &Run) const {
  const bool IsAsked =
      Run.Phase == run_phase::Unconfirmed || Run.IsStopAccepted;
  return IsAsked && Run.IsMissing && mayArrive(Run) && !isClosedEarly(Run);
}

void event_handler::forgetClosedStarts(executor_state &Executor) {
  std::erase_if(Executor.ClosedStarts, [&](const auto &Item) {
    return Now - Item.second.Ordered >= State.Settings.LateStarts;
  });
}

void event_handler::noteClosedStart(executor_state &Executor,
                                    const run_name &Name) {
  std::map<run_name, closed_start> &Closed = Executor.ClosedStarts;
  const std::size_t Most = State.Settings.MaxClosedStarts;
  if (Closed.size() >= Most)
    forgetClosedStarts(Executor);
  // At the limit the start that is least likely to be late is forgotten.
  if (Closed.size() >= Most)
    Closed.erase(std::ranges::min_element(
        Closed, {}, [](const auto &Item) { return Item.second.Ordered; }));
  const run_state &Run = Executor.Runs.at(Name);
  Closed[Name] = {Run.Ordered, Run.Token};
  const auto Job = State.Jobs.find(Name.Task.Job);
  if (Job == State.Jobs.end() || isFinal(Job->second.Progress.Phase))
    return;
  unit_state &Unit = unitState(Job->second, unitNameOf(Job->second, Name.Task));
  const instant Until = Run.Ordered + State.Settings.LateStarts;
  Unit.LateUntil = std::max(Unit.LateUntil, Until);
  // A task that lasts has no end that a late start could follow, and an
  // executor never runs it in two lives at the same time.
  if (Run.IsLongRunning && !Run.IsOfGang)
    Unit.LateAt = Executor.Report.Id;
  else
    Unit.NotBefore = std::max(Unit.NotBefore, Until);
}

void event_handler::stopLateStarts(executor_state &Executor) {
  for (const auto &[Name, Start] : std::exchange(Executor.ClosedStarts, {})) {
    const auto Job = State.Jobs.find(Name.Task.Job);
    const bool MayCome = Now - Start.Ordered < State.Settings.LateStarts &&
                         Job != State.Jobs.end() &&
                         !Executor.Runs.contains(Name);
    if (!MayCome)
      continue;
    log(events::LateStartStopped, {{"task", printTask(Name.Task)},
                                   {"attempt", std::to_string(Name.Attempt)},
                                   {"executor", Executor.Report.Id.Value}});
    addRun(Executor, Job->second, Name, run_phase::Unconfirmed);
    Executor.Runs.at(Name).Ordered = Start.Ordered;
    Executor.Runs.at(Name).Token = Start.Token;
    orderStop(Executor, Name);
  }
}

/// An order names the executor's id only: a start that was never listed may be
/// carried out in a later life.
bool event_handler::mayRunInLaterLife(const run_state &Run,
                                      run_loss Cause) const {
  if (Run.IsListed || Run.Phase == run_phase::Recording)
    return false;
  switch (Cause) {
  case run_loss::Restarted:
    return true;               // the present life is asked
  case run_loss::LeaseExpired: // nobody can be asked
    return mayArrive(Run);
  case run_loss::Replaced: // no order reaches the id any more
  case run_loss::NotListed:
  case run_loss::GangBroken:
    break;
  }
  return false;
}

void event_handler::dropAllRuns(executor_state &Executor, run_loss Cause) {
  log(events::ExecutorLost,
      {{"executor", Executor.Report.Id.Value},
       {"cause", std::string(name(Cause))},
       {"runs", std::to_string(Executor.Runs.size())},
       {"life", std::to_string(Executor.Incarnation)},
       {"answered_ms", ago(Executor.LastAlive)},
       {"leases_ms", ago(Executor.Leases.Until)},
       {"unanswered_ms", ago(Executor.Leases.Unanswered)},
       {"late_calls_ms", ago(Executor.Leases.LateUntil)}});
  const std::vector<task_name> GivenUp = noteCrash(Executor, Cause);
  const std::map<run_name, run_state> Runs = Executor.Runs;
  for (const auto &[Name, Run] : Runs) {
    const auto Found = Executor.Runs.find(Name);
    if (Found == Executor.Runs.end())
      continue; // the loss of another member of its gang has ended it
    if (Cause == run_loss::Replaced && isStartAwaited(Found->second))
      continue;
    if (!mayRunInLaterLife(Run, Cause)) {
      applyLoss(Executor, Name, Cause);
      continue;
    }
    // A later life knows of no stop.
    Found->second.Phase = run_phase::Unconfirmed;
    Found->second.IsStopAccepted = false;
    Executor.Leases.Until = std::max(Executor.Leases.Until,
                                     Run.Ordered + State.Settings.LateStarts);
  }
  requireLaterToken(Executor);
  if (Cause == run_loss::Restarted)
    Executor.Leases =
        expectLateCalls(Executor.Leases, leaseLimits(), State.TakenOver);
  Executor.HasAnsweredHold = false;
  Executor.LostAt = Now;
  Executor.ProvenAt = {};
  Executor.Incarnation = 0;
  Executor.LastSeenProcessed = 0;
  Executor.LastSeenSaved = 0;
  Executor.LastSeenAcknowledged = 0;
  Executor.SaveNeeded = 0;
  Executor.HoldLastSeen = 0;
  abandonHold(Executor);
  Executor.HasMoreEnds = false;
  Executor.NextHold = Now;
  touch(Executor);
  State.NeedsPlacement = true;
  giveUp(GivenUp);
  if (Cause == run_loss::Restarted)
    stopLateStarts(Executor);
}

void event_handler::dropAnswered(executor_state &Executor) {
  const std::vector<task_name> GivenUp =
      noteCrash(Executor, run_loss::Replaced);
  const std::map<run_name, run_state> Runs = Executor.Runs;
  for (const auto &[Name, Run] : Runs)
    if (!isStartAwaited(Run))
      applyLoss(Executor, Name, run_loss::Replaced);
  giveUp(GivenUp);
}

} // namespace galenastage::batch::detail
