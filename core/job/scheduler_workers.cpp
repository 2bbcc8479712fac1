#include "core/job/scheduler_internal.hpp"

#include <algorithm>

namespace galenastage::detail {
namespace {

const task_report *findReport(const std::vector<task_report> &Reports,
                              const attempt_id &Attempt) {
  const auto Found = std::ranges::find(Reports, Attempt, &task_report::Attempt);
  return Found == Reports.end() ? nullptr : &*Found;
}

} // namespace

// Events

void scheduler_run::apply(const worker_listed &Event) {
  known_worker &Worker = State.Workers[Event.Worker];
  State.Policy.IsPlanStale |= !Worker.IsListed || Worker.Rack != Event.Rack ||
                              Worker.Accelerators != Event.Accelerators ||
                              Worker.IsLeaving != Event.IsLeaving;
  if (Event.Accelerators > Worker.Accelerators)
    State.Policy.FleetGrewAt = Now;
  Worker.Rack = Event.Rack;
  Worker.Accelerators = Event.Accelerators;
  Worker.IsListed = true;
  Worker.IsLeaving = Event.IsLeaving;
}

void scheduler_run::apply(const worker_unlisted &Event) {
  // The instance list may be out of date, so a worker that still answers stays
  // known until it falls silent.
  if (known_worker *Worker = findWorker(Event.Worker)) {
    State.Policy.IsPlanStale |= Worker->IsListed;
    Worker->IsListed = false;
  }
}

void scheduler_run::apply(const worker_reported &Event) {
  const worker_report &Report = Event.Report;
  known_worker *Worker = findWorker(Report.Worker);
  if (!Worker)
    return;
  if (State.IsLeading && Report.HighestEpoch > State.Epoch) {
    emit(step_down{Report.HighestEpoch});
    return;
  }
  if (Worker->IsSilent && Worker->LastHeard != instant{})
    log(events::WorkerBack, {{"worker", Report.Worker.Value}});
  State.Policy.IsPlanStale |= Worker->IsSilent;
  Worker->IsSilent = false;
  Worker->LastHeard = Now;
  Worker->Reported = Report.Tasks;
  if (!canAct())
    return;

  std::vector<attempt_id> Held;
  for (const auto &[Attempt, Count] : Worker->Held)
    Held.push_back(Attempt);
  for (const attempt_id &Attempt : Held) {
    scheduled_job *Job = findJob(Attempt.Job);
    if (!Job || attemptOf(*Job) != Attempt)
      continue;
    for (gang_member &Member : Job->Members)
      if (Member.Place.Worker == Report.Worker) {
        applyReport(*Job, Member, findReport(Report.Tasks, Attempt),
                    Event.SentAt);
        break;
      }
  }
  for (const task_report &Task : Report.Tasks) {
    const scheduled_job *Job = findJob(Task.Attempt.Job);
    // A previous leader may have used the same attempt number on another
    // worker.
    const bool IsOurs = Job && attemptOf(*Job) == Task.Attempt &&
                        Job->Step != gang_step::Waiting &&
                        Worker->Held.contains(Task.Attempt);
    if (!IsOurs)
      releaseStaleAttempt(Report.Worker, Task.Attempt);
  }
}

void scheduler_run::applyReport(scheduled_job &Job, gang_member &Member,
                                const task_report *Report, instant SentAt) {
  if (Job.Step != gang_step::Running || SentAt < Member.ConfirmedAt)
    return;
  if (!Report) {
    if (!Member.HasSucceeded) {
      State.Workers.at(Member.Place.Worker).TasksLostAt = Now;
      countLoss(Job, Member.Place.Worker, Now);
      handleLostGang(Job, Member.Place.Worker.Value + " no longer runs it");
    }
    return;
  }
  switch (Report->State) {
  case task_state::Running:
    Job.HasRun = true;
    return;
  case task_state::Failed:
    Job.HasRun = true;
    countFailure(Job, Member.Place.Worker);
    handleLostGang(Job, "a task failed on " + Member.Place.Worker.Value);
    return;
  case task_state::Succeeded:
    Job.HasRun = true;
    if (!Member.HasSucceeded)
      countSuccess(Member.Place.Worker);
    Member.HasSucceeded = true;
    if (!std::ranges::all_of(Job.Members, &gang_member::HasSucceeded))
      return;
    State.Policy.RunTimes.add(Job.Record.Spec, Report->Progress);
    releaseGang(Job, job_phase::Finished, "");
    return;
  default:
    return;
  }
}

// Renewals and silence

void scheduler_run::renewWorkers() {
  for (auto &[Name, Worker] : State.Workers) {
    if (Now < Worker.NextRenew)
      continue;
    if (!Worker.IsListed && Worker.IsSilent)
      continue;
    Worker.NextRenew = Now + State.Settings.RenewInterval;
    renew_request Request{State.Epoch, State.Settings.Lease, {}};
    if (!canAct()) {
      // During the rebuild, running tasks keep their leases, and armed tasks
      // aren't confirmed.
      for (const task_report &Task : Worker.Reported)
        Request.Attempts.push_back({Task.Attempt, false});
    }
    for (const auto &[Attempt, Count] : Worker.Held) {
      const scheduled_job *Job = findJob(Attempt.Job);
      if (Job && attemptOf(*Job) == Attempt && Job->Step == gang_step::Running)
        Request.Attempts.push_back({Attempt, Job->IsConfirmed});
    }
    emit(send_renew{Name, std::move(Request)});
  }
}

void scheduler_run::detectSilentWorkers() {
  for (auto &[Name, Worker] : State.Workers) {
    if (Worker.IsSilent || Now - Worker.LastHeard <= State.Settings.Lease)
      continue;
    Worker.IsSilent = true;
    State.Policy.IsPlanStale = true;
    Worker.Reported.clear();
    log(events::WorkerSilent, {{"worker", Name.Value}});
    handleLostWorker(Name, Name.Value + " fell silent");
  }
}

void scheduler_run::handleLostWorker(const worker_id &Worker,
                                     const std::string &Why) {
  std::vector<attempt_id> Held;
  for (const auto &[Attempt, Count] : State.Workers.at(Worker).Held)
    Held.push_back(Attempt);
  for (const attempt_id &Attempt : Held) {
    scheduled_job *Job = findJob(Attempt.Job);
    if (Job && attemptOf(*Job) == Attempt && Job->Step == gang_step::Running) {
      countLoss(*Job, Worker, State.Workers.at(Worker).LastHeard);
      handleLostGang(*Job, Why);
    }
  }
}

void scheduler_run::releaseStaleAttempt(const worker_id &Worker,
                                        const attempt_id &Attempt) {
  if (known_worker *Known = findWorker(Worker))
    Known->drop(Attempt);
  emit(send_release{Worker, {State.Epoch, Attempt, false}});
}

// Rebuild after a take-over

void scheduler_run::finishRebuild() {
  State.IsRebuilding = false;
  const reports_by_job Reports = collectReports(nullptr);
  for (auto &[Id, Job] : State.Jobs)
    adoptGang(Job, Reports);
  for (auto &[Id, Job] : State.Jobs)
    if (Job.Record.IsCancelRequested)
      cancelJob(Job);
  placeWaitingJobs();
}

/// The workers' last task reports, for one job or for all.
reports_by_job scheduler_run::collectReports(const job_id *Only) const {
  reports_by_job Reports;
  for (const auto &[Name, Worker] : State.Workers)
    for (const task_report &Task : Worker.Reported)
      if (!Only || Task.Attempt.Job == *Only)
        Reports[Task.Attempt.Job].emplace_back(Name, Task);
  return Reports;
}

/// Takes over a gang if the workers report all its tasks; releases what is left
/// of an incomplete one.
void scheduler_run::adoptGang(scheduled_job &Job,
                              const reports_by_job &Reports) {
  if (isFinal(Job.Record.Phase))
    return;
  // Starts of idempotent jobs are saved afterwards, so a previous leader may
  // have run the job without saving that.
  const bool MayHaveBegun =
      Job.Record.Spec.IsIdempotent && Job.Record.Verdict == verdict::NotRun;
  if (MayHaveBegun)
    Job.Record.Verdict = verdict::Unknown;
  Job.VerdictBefore = Job.Record.Verdict;
  static const reports_by_job::mapped_type NoReports;
  const auto Found = Reports.find(Job.Record.Spec.Id);
  const auto &JobReports = Found == Reports.end() ? NoReports : Found->second;
  std::uint32_t Attempt = Job.Record.Attempt;
  for (const auto &[Name, Task] : JobReports)
    Attempt = std::max(Attempt, Task.Attempt.Attempt);
  Job.Record.Attempt = Attempt;

  int RunningTasks = 0;
  bool IsArmed = false;
  Job.Members.clear();
  Job.Record.Placement.clear();
  for (const auto &[Name, Task] : JobReports) {
    if (Task.Attempt != attemptOf(Job))
      continue;
    const bool IsStarted = Task.State >= task_state::Running;
    RunningTasks += IsStarted ? Task.Tasks : 0;
    IsArmed |= Task.State >= task_state::Armed;
    Job.HasRun |= IsStarted;
    State.Workers.at(Name).hold(attemptOf(Job), Task.Accelerators,
                                Job.Record.Spec);
    Job.Record.Placement.insert(Job.Record.Placement.end(), Task.Tasks, Name);
    Job.Members.push_back({.Place = {Name, Task.Tasks, Task.Accelerators},
                           .HasSucceeded = Task.State == task_state::Succeeded,
                           .ConfirmedAt = Now});
  }
  const bool IsComplete = RunningTasks == Job.Record.Spec.Tasks;
  if (IsComplete) {
    Job.Step = gang_step::Running;
    Job.IsConfirmed = true;
    Job.RunningSince = Now;
    Job.Record.Phase = job_phase::Running;
    Job.Record.Verdict = verdict::Unknown;
    saveJob(Job);
    return;
  }
  // Likewise, an idempotent job that is waiting by its record may have run on
  // workers that don't answer now.
  if (Job.Record.Spec.IsIdempotent && Job.Record.Verdict == verdict::NotRun)
    Job.Record.Verdict = verdict::Unknown;
  const bool MayHaveRun =
      !Job.Members.empty() || Job.Record.Phase != job_phase::Waiting;
  if (!MayHaveRun)
    return;
  // A non-idempotent job that is waiting by its record had at most
  // reservations.
  Job.IsConfirmed = Job.Record.Spec.IsIdempotent || IsArmed ||
                    Job.Record.Phase != job_phase::Waiting;
  Job.VerdictBefore = Job.Record.Verdict;
  handleLostGang(Job, "the gang was incomplete after a take-over");
}

} // namespace galenastage::detail
