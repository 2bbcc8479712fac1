#include "core/job/scheduler_internal.hpp"

#include <algorithm>

namespace galenastage::detail {
namespace {

bool haveAllAnswered(const scheduled_job &Job) {
  return std::ranges::all_of(Job.Members, &gang_member::HasAnswered);
}

void clearAnswers(scheduled_job &Job) {
  for (gang_member &Member : Job.Members)
    Member.HasAnswered = false;
}

/// Whether this answer belongs to the step that the gang is in.
bool answersStep(const step_answered &Event, gang_step Step) {
  switch (Event.Kind) {
  case step_answered::step_kind::Reserve:
    return Step == gang_step::Reserving;
  case step_answered::step_kind::Start:
    return Step == gang_step::Arming;
  case step_answered::step_kind::Release:
    break;
  }
  return Step == gang_step::Releasing;
}

} // namespace

void scheduler_run::apply(const step_answered &Event) {
  if (!State.IsLeading)
    return;
  if (Event.HighestEpoch > State.Epoch) {
    emit(step_down{Event.HighestEpoch});
    return;
  }
  const bool IsRelease = Event.Kind == step_answered::step_kind::Release;
  scheduled_job *Job = findJob(Event.Attempt.Job);
  const bool IsCurrent = Job && attemptOf(*Job) == Event.Attempt &&
                         !isFinal(Job->Record.Phase) &&
                         answersStep(Event, Job->Step);
  if (!IsCurrent) {
    if (Event.IsAccepted && !IsRelease)
      releaseStaleAttempt(Event.Worker, Event.Attempt); // late answer
    return;
  }
  if (!Event.IsAccepted) {
    // After a failed release the tasks stop when their lease expires, which is
    // before the step's deadline.
    if (!IsRelease)
      abortGang(*Job, Event.Worker.Value + ": " + Event.Reason);
    return;
  }
  for (gang_member &Member : Job->Members)
    if (Member.Place.Worker == Event.Worker)
      Member.HasAnswered = true;
  if (IsRelease)
    if (known_worker *Worker = findWorker(Event.Worker))
      Worker->drop(Event.Attempt);
  if (haveAllAnswered(*Job))
    advanceGang(*Job);
}

void scheduler_run::reserveGang(scheduled_job &Job,
                                std::vector<placed_member> Members) {
  ++Job.Record.Attempt;
  Job.VerdictBefore = Job.Record.Verdict;
  Job.Record.Placement.clear();
  Job.Members.clear();
  Job.Step = gang_step::Reserving;
  Job.StepDeadline = Now + State.Settings.StepTimeout;
  const attempt_id Attempt = attemptOf(Job);
  for (placed_member &Place : Members) {
    State.Workers.at(Place.Worker)
        .hold(Attempt, Place.Accelerators, Job.Record.Spec);
    Job.Record.Placement.insert(Job.Record.Placement.end(), Place.Tasks,
                                Place.Worker);
    emit(send_reserve{Place.Worker,
                      {State.Epoch, Attempt, Place.Tasks, Place.Accelerators,
                       State.Settings.ReservationLifetime}});
    Job.Members.push_back({.Place = std::move(Place)});
  }
  logJob(events::JobPlaced, Job);
}

void scheduler_run::advanceGang(scheduled_job &Job) {
  switch (Job.Step) {
  case gang_step::Reserving:
    Job.Record.Phase = job_phase::Starting;
    if (Job.Record.Spec.IsIdempotent) {
      armGang(Job);
      return;
    }
    // At most once: the start is saved before anything can run. A scheduler
    // that reads the record after a crash can't know whether the job ran.
    Job.Record.Verdict = verdict::Unknown;
    Job.SavedStarts[Job.Record.Attempt] = Job.Record.Placement;
    Job.Step = gang_step::Saving;
    Job.StepDeadline = Now + State.Settings.StepTimeout;
    saveJob(Job);
    return;
  case gang_step::Arming:
    runGang(Job);
    return;
  case gang_step::Releasing:
    finishRelease(Job);
    return;
  default:
    return;
  }
}

void scheduler_run::armGang(scheduled_job &Job) {
  if (!mayStartTasks(State, Now)) {
    abortGang(Job, "no recent evidence that the data centre is in service");
    return;
  }
  Job.Step = gang_step::Arming;
  Job.StepDeadline = Now + State.Settings.StepTimeout;
  clearAnswers(Job);
  for (const gang_member &Member : Job.Members)
    emit(send_start{Member.Place.Worker,
                    {State.Epoch, attemptOf(Job),
                     State.Settings.ReservationLifetime,
                     Job.Record.Spec.DeclaredRunTime}});
}

void scheduler_run::runGang(scheduled_job &Job) {
  if (!mayStartTasks(State, Now)) {
    abortGang(Job, "no recent evidence that the data centre is in service");
    return;
  }
  Job.Step = gang_step::Running;
  Job.IsConfirmed = true;
  Job.RunningSince = Now;
  Job.Record.Phase = job_phase::Running;
  Job.Record.Verdict = verdict::Unknown;
  Job.Record.Reason.clear();
  for (gang_member &Member : Job.Members) {
    Member.ConfirmedAt = Now;
    State.Workers.at(Member.Place.Worker).NextRenew = Now;
  }
  logJob(events::JobRunning, Job);
  saveJob(Job);
  renewWorkers();
}

void scheduler_run::abortGang(scheduled_job &Job, const std::string &Why) {
  log(events::GangStartAborted,
      {{"job", Job.Record.Spec.Id.Value}, {"why", Why}});
  releaseGang(Job, job_phase::Waiting, "start aborted: " + Why);
}

void scheduler_run::handleLostGang(scheduled_job &Job, const std::string &Why) {
  if (Job.Step == gang_step::Releasing)
    return;
  const job_spec &Spec = Job.Record.Spec;
  const bool MayRunAgain = Spec.IsIdempotent || !Job.IsConfirmed;
  const bool HasTooManyFailures =
      Job.TaskFailures >= State.Settings.MaxTaskFailures;
  releaseGang(Job,
              MayRunAgain && !HasTooManyFailures ? job_phase::Waiting
                                                 : job_phase::Failed,
              Why);
}

void scheduler_run::releaseGang(scheduled_job &Job, job_phase Next,
                                std::string Reason) {
  Job.Step = gang_step::Releasing;
  Job.PhaseAfterRelease = Next;
  Job.Record.Reason = std::move(Reason);
  // The gang isn't renewed any more, so its leases expire before the deadline.
  Job.StepDeadline = Now + State.Settings.Lease + State.Settings.StepTimeout;
  clearAnswers(Job);
  const bool KeepCheckpoint =
      Next == job_phase::Waiting && Job.Record.Spec.IsCheckpointable;
  for (const gang_member &Member : Job.Members)
    emit(send_release{Member.Place.Worker,
                      {State.Epoch, attemptOf(Job), KeepCheckpoint}});
  if (Job.Members.empty())
    finishRelease(Job);
}

void scheduler_run::finishRelease(scheduled_job &Job) {
  for (const gang_member &Member : Job.Members)
    if (known_worker *Worker = findWorker(Member.Place.Worker))
      Worker->drop(attemptOf(Job));
  Job.Members.clear();
  if (!Job.IsConfirmed)
    Job.Record.Verdict = Job.VerdictBefore; // never confirmed: it didn't run
  Job.IsConfirmed = false;
  if (Job.HasRun)
    Job.Record.Verdict = verdict::Ran;
  if (Job.PhaseAfterRelease != job_phase::Waiting) {
    endJob(Job, Job.PhaseAfterRelease, Job.Record.Reason);
    return;
  }
  Job.Step = gang_step::Waiting;
  Job.RetryAt = Now + State.Settings.RetryDelay;
  Job.WaitingSince = Now;
  Job.Record.Phase = job_phase::Waiting;
  Job.Record.Placement.clear();
  saveJob(Job);
}

void scheduler_run::checkDeadlines() {
  for (auto &[Id, Job] : State.Jobs) {
    if (Job.IsSaveWanted && !Job.IsSaveInFlight)
      saveJob(Job);
    const bool IsTimed = Job.Step != gang_step::Waiting &&
                         Job.Step != gang_step::Running &&
                         !isFinal(Job.Record.Phase);
    if (!IsTimed || Now < Job.StepDeadline)
      continue;
    if (Job.Step == gang_step::Releasing)
      finishRelease(Job);
    else
      abortGang(Job, "a member didn't answer in time");
  }
}

} // namespace galenastage::detail
