#include "core/job/scheduler_internal.hpp"

#include "core/recovery/evidence.hpp"

#include <algorithm>

namespace galenastage {

namespace {

/// Whether the event answers an order of another epoch than the present one.
/// Attempt numbers don't tell: a later leader may use the same one again.
bool isOutdated(const scheduler_state &State, const scheduler_event &Event) {
  const bool IsAnswer = std::holds_alternative<worker_reported>(Event.Body) ||
                        std::holds_alternative<step_answered>(Event.Body) ||
                        std::holds_alternative<job_saved>(Event.Body);
  return IsAnswer && Event.Epoch != State.Epoch;
}

} // namespace

scheduler_effects reduce(scheduler_state &State, const scheduler_event &Event) {
  scheduler_effects Effects;
  if (isOutdated(State, Event)) {
    Effects.emplace_back(
        write_log{{&events::AnswerOutdated,
                   {{"term", std::to_string(Event.Epoch)},
                    {"present", std::to_string(State.Epoch)}}}});
    return Effects;
  }
  detail::scheduler_run Run(State, Event.Now, Effects);
  std::visit([&](const auto &Body) { Run.apply(Body); }, Event.Body);
  Run.refreshGuarantees();
  return Effects;
}

bool mayStartTasks(const scheduler_state &State, instant Now) {
  if (!State.Tables)
    return false;
  const start_evidence Evidence{
      isInService(*State.Tables, State.Settings.DataCentre), State.TablesAsOf,
      State.OutageAsOf};
  return mayStart(Evidence, start_rule::StopUnlessTotalOutage,
                  State.Settings.MaxEvidenceAge, Now);
}

bool isStoppable(const job_spec &Spec) { return Spec.IsIdempotent; }

placement_request placementRequest(const job_spec &Spec) {
  return {Spec.Tasks, Spec.AcceleratorsPerTask, Spec.Pool, isStoppable(Spec)};
}

void known_worker::hold(const attempt_id &Attempt, int Count,
                        const job_spec &Spec) {
  drop(Attempt);
  Held[Attempt] = Count;
  HeldAccelerators += Count;
  if (!isStoppable(Spec))
    Unstoppable[Attempt] = Spec.Pool;
}

void known_worker::drop(const attempt_id &Attempt) {
  const auto Found = Held.find(Attempt);
  if (Found == Held.end())
    return;
  HeldAccelerators -= Found->second;
  Held.erase(Found);
  Unstoppable.erase(Attempt);
}

void known_worker::dropAll() {
  Held.clear();
  Unstoppable.clear();
  HeldAccelerators = 0;
}

int known_worker::freeAccelerators() const {
  return Accelerators - HeldAccelerators;
}

bool known_worker::isUsable() const {
  return isReachable() && !Health.IsQuarantined;
}

bool known_worker::isReachable() const {
  return IsListed && !IsLeaving && !IsSilent;
}

worker_capacity known_worker::capacity(const worker_id &Name) const {
  worker_capacity Row{Name, Rack, freeAccelerators(), Accelerators, Cells};
  for (const auto &[Attempt, Pool] : Unstoppable)
    addUnstoppable(Row, Pool, Held.at(Attempt));
  return Row;
}

namespace detail {
namespace {

/// Maximum number of placement passes caused by arrivals between two ticks.
constexpr int MaxPassesBetweenTicks = 4;

const std::vector<data_centre_id> &permittedDataCentres(const job_spec &Spec,
                                                        const pool &Pool) {
  return Spec.DataCentres.empty() ? Pool.DataCentres : Spec.DataCentres;
}

} // namespace

// Events

void scheduler_run::apply(const ticked &Event) {
  State.WallNow = Event.WallNow;
  State.Policy.PassesSinceTick = 0;
  if (!State.IsLeading)
    return;
  expireEndedJobs();
  detectSilentWorkers();
  checkDeadlines();
  if (State.IsRebuilding && State.IsLoaded && Now >= State.RebuildEnds)
    finishRebuild();
  renewWorkers();
  if (canAct())
    placeWaitingJobs();
}

void scheduler_run::apply(const tables_seen &Event) {
  const bool IsOlder =
      State.Tables && Event.Tables->Version < State.Tables->Version;
  if (IsOlder)
    return; // a stale read must not replace newer tables
  const bool IsNew =
      !State.Tables || State.Tables->Version < Event.Tables->Version;
  State.Tables = Event.Tables;
  State.TablesAsOf = std::max(State.TablesAsOf, Event.AsOf);
  State.OutageAsOf = Event.OutageAsOf;
  if (!IsNew)
    return;
  State.Policy.IsPlanStale = true;
  log(events::TablesInForce,
      {{"version", std::to_string(State.Tables->Version)}});
  if (canAct())
    placeWaitingJobs();
}

void scheduler_run::apply(const leadership_changed &Event) {
  if (Event.IsLeading == State.IsLeading && Event.Epoch == State.Epoch)
    return;
  State.IsLeading = Event.IsLeading;
  State.Epoch = Event.Epoch;
  State.Policy.IsPlanStale = true;
  State.IsLoaded = false;
  State.IsRebuilding = Event.IsLeading;
  State.Jobs.clear();
  for (auto &[Name, Worker] : State.Workers) {
    Worker.dropAll();
    Worker.Reported.clear();
    Worker.NextRenew = Now;
  }
  log(Event.IsLeading ? events::LeadershipGained : events::LeadershipLost,
      {{"data_centre", State.Settings.DataCentre.Value},
       {"epoch", std::to_string(Event.Epoch)}});
  if (Event.IsLeading)
    renewWorkers();
}

void scheduler_run::apply(const job_seen &Event) {
  const job_id &Id = Event.Record.Spec.Id;
  scheduled_job *Known = findJob(Id);
  if (!Known) {
    addNewJob(Event);
    return;
  }
  if (Event.Revision <= Known->Revision)
    return;
  Known->Revision = Event.Revision;
  Known->MovingTo = {}; // a newer record is still here, so the move failed
  if (isFinal(Event.Record.Phase) && !isFinal(Known->Record.Phase)) {
    apply(job_forgotten{Id});
    return;
  }
  if (!canAct()) {
    Known->Record = Event.Record; // not acted on yet
    return;
  }
  Known->Record.IsCancelRequested |= Event.Record.IsCancelRequested;
  if (isForeignStart(*Known, Event.Record))
    handleForeignStart(*Known);
  if (Known->IsSaveWanted)
    saveJob(*Known);
  if (Known->Record.IsCancelRequested && canAct())
    cancelJob(*Known);
}

void scheduler_run::apply(const job_forgotten &Event) {
  scheduled_job *Job = findJob(Event.Job);
  if (!Job)
    return;
  const attempt_id Attempt = attemptOf(*Job);
  for (const gang_member &Member : Job->Members)
    releaseStaleAttempt(Member.Place.Worker, Attempt);
  forgetJob(*Job);
}

void scheduler_run::apply(const jobs_loaded &) {
  State.IsLoaded = true;
  State.RebuildEnds = Now + State.Settings.RebuildWindow;
}

void scheduler_run::apply(const job_saved &Event) {
  scheduled_job *Job = findJob(Event.Job);
  if (!Job)
    return;
  Job->IsSaveInFlight = false;
  if (Event.Outcome != job_saved::outcome::Saved) {
    // After a conflict, the newer record arrives as job_seen, which saves
    // again. If the store is unreachable, the next tick saves again.
    Job->IsSaveWanted = true;
    return;
  }
  Job->Revision = std::max(Job->Revision, Event.Revision);
  Job->MovingTo = {};
  if (Job->IsSaveWanted) {
    saveJob(*Job);
    return;
  }
  if (isFinal(Job->Record.Phase)) {
    forgetJob(*Job);
    return;
  }
  if (Job->Step == gang_step::Saving)
    armGang(*Job);
}

// Job records from the store

void scheduler_run::addNewJob(const job_seen &Event) {
  const job_id &Id = Event.Record.Spec.Id;
  for (const auto *Generation : {&State.Ended, &State.PreviousEnded}) {
    const auto Ended = Generation->find(Id);
    if (Ended != Generation->end() && Event.Revision <= Ended->second)
      return;
  }
  if (isFinal(Event.Record.Phase))
    return;
  scheduled_job &Job = State.Jobs[Id];
  Job.Record = Event.Record;
  Job.Revision = Event.Revision;
  Job.WaitingSince = Now;
  if (!canAct())
    return;
  if (Job.Record.Phase != job_phase::Waiting)
    adoptGang(Job,
              collectReports(&Id)); // started by a previous leader
  if (Job.Record.IsCancelRequested)
    cancelJob(Job);
  // In a burst, further jobs wait for the next tick: a pass costs as much for
  // one job as for many.
  if (State.Policy.PassesSinceTick++ < MaxPassesBetweenTicks)
    placeWaitingJobs();
}

/// Whether the stored start was saved by another scheduler: a late write of the
/// previous leader.
bool scheduler_run::isForeignStart(const scheduled_job &Job,
                                   const job_record &Stored) const {
  const bool IsStart =
      Stored.Phase == job_phase::Starting || Stored.Phase == job_phase::Running;
  const bool MayBeginHere =
      Job.Step != gang_step::Arming && Job.Step != gang_step::Running;
  if (!IsStart || !MayBeginHere)
    return false;
  const auto Own = Job.SavedStarts.find(Stored.Attempt);
  return Own == Job.SavedStarts.end() || Own->second != Stored.Placement;
}

void scheduler_run::handleForeignStart(scheduled_job &Job) {
  Job.Record.Verdict = verdict::Unknown;
  Job.VerdictBefore = verdict::Unknown;
  if (Job.Record.Spec.IsIdempotent || isFinal(Job.Record.Phase))
    return;
  const std::string Why =
      "another scheduler saved its start and may have run it";
  if (Job.Step != gang_step::Releasing) {
    releaseGang(Job, job_phase::Failed, Why);
    return;
  }
  if (Job.PhaseAfterRelease == job_phase::Waiting) {
    Job.PhaseAfterRelease = job_phase::Failed;
    Job.Record.Reason = Why;
  }
}

void scheduler_run::forgetJob(const scheduled_job &Job) {
  const job_id Id = Job.Record.Spec.Id;
  State.Ended[Id] = Job.Revision;
  State.Jobs.erase(Id);
}

void scheduler_run::expireEndedJobs() {
  if (Now - State.EndedSince < State.Settings.EndedRetention)
    return;
  State.PreviousEnded = std::exchange(State.Ended, {});
  State.EndedSince = Now;
}

// Job life cycle

/// Refuses a job that can never run under these tables. Returns false if it
/// can.
bool scheduler_run::refuseIfImpossible(scheduled_job &Job) {
  const pool *Pool = findPool(*State.Tables, Job.Record.Spec.Pool);
  if (Pool)
    return refuseIfTooLarge(Job, *Pool);
  log(events::JobRefused, {{"job", Job.Record.Spec.Id.Value}});
  endJob(Job, job_phase::Refused,
         "no pool is called '" + Job.Record.Spec.Pool.Value + "'");
  return true;
}

/// Refuses a job that is too large for the workers here, if it may run in no
/// other data centre. Workers that are down are counted, as they may return.
bool scheduler_run::refuseIfTooLarge(scheduled_job &Job, const pool &Pool) {
  const job_spec &Spec = Job.Record.Spec;
  const auto &Permitted = permittedDataCentres(Spec, Pool);
  const bool IsOnlyHere =
      Permitted.size() == 1 && Permitted.front() == State.Settings.DataCentre;
  const bool IsFleetKnown =
      Now - State.Policy.FleetGrewAt >= State.Settings.FleetSettleTime;
  if (!IsOnlyHere || !IsFleetKnown || State.Workers.empty())
    return false;
  int Slots = 0;
  for (const auto &[Name, Worker] : State.Workers)
    Slots += Worker.Accelerators / Spec.AcceleratorsPerTask;
  if (Slots >= Spec.Tasks)
    return false;
  const std::string &Here = State.Settings.DataCentre.Value;
  log(events::JobRefused, {{"job", Spec.Id.Value}});
  if (Slots == 0)
    endJob(Job, job_phase::Refused,
           "no worker of " + Here + " has " +
               std::to_string(Spec.AcceleratorsPerTask) + " accelerators");
  else
    endJob(Job, job_phase::Refused,
           Here + " holds " + std::to_string(Slots) + " of its " +
               std::to_string(Spec.Tasks) + " tasks at most");
  return true;
}

/// Moves the job to a data centre where it may run. Returns false if it may run
/// here.
bool scheduler_run::moveIfNotPermitted(scheduled_job &Job) {
  const pool *Pool = findPool(*State.Tables, Job.Record.Spec.Pool);
  const auto &Permitted = permittedDataCentres(Job.Record.Spec, *Pool);
  if (isPermitted(*State.Tables, Permitted, State.Settings.DataCentre))
    return false;
  std::vector<data_centre_id> Targets;
  for (const data_centre_row &Row : State.Tables->DataCentres)
    if (isPermitted(*State.Tables, Permitted, Row.Name))
      Targets.push_back(Row.Name);
  if (Targets.empty()) {
    setReason(Job, "no permitted data centre is in service");
    return true;
  }
  const std::size_t Spread = std::hash<job_id>{}(Job.Record.Spec.Id);
  moveJob(Job, Targets[Spread % Targets.size()]);
  return true;
}

bool scheduler_run::isPermittedElsewhere(const scheduled_job &Job) const {
  const pool *Pool = findPool(*State.Tables, Job.Record.Spec.Pool);
  if (!Pool)
    return false;
  const auto &Permitted = permittedDataCentres(Job.Record.Spec, *Pool);
  return std::ranges::any_of(
      State.Tables->DataCentres, [&](const data_centre_row &Row) {
        return Row.Name != State.Settings.DataCentre &&
               isPermitted(*State.Tables, Permitted, Row.Name);
      });
}

void scheduler_run::moveJob(scheduled_job &Job, const data_centre_id &To) {
  if (Job.IsSaveInFlight)
    return; // its revision is unknown; retried at the next tick
  Job.RetryAt = Now + State.Settings.RetryDelay;
  Job.MovingTo = To;
  job_record Record = Job.Record;
  Record.DataCentre = To;
  Record.Reason = "moved from " + State.Settings.DataCentre.Value;
  log(events::JobMoved, {{"job", Record.Spec.Id.Value}, {"to", To.Value}});
  emit(move_job{State.Epoch, std::move(Record), Job.Revision,
                State.Settings.DataCentre});
}

void scheduler_run::cancelJob(scheduled_job &Job) {
  if (isFinal(Job.Record.Phase))
    return;
  switch (Job.Step) {
  case gang_step::Waiting:
    endJob(Job, job_phase::Cancelled, "cancelled by the caller");
    break;
  case gang_step::Releasing:
    if (Job.PhaseAfterRelease == job_phase::Waiting)
      Job.PhaseAfterRelease = job_phase::Cancelled;
    break;
  default:
    releaseGang(Job, job_phase::Cancelled, "cancelled by the caller");
  }
}

void scheduler_run::endJob(scheduled_job &Job, job_phase Phase,
                           std::string Reason) {
  Job.Record.Phase = Phase;
  Job.Record.Reason = std::move(Reason);
  Job.Record.FinishedAt = State.WallNow;
  logJob(events::JobEnded, Job);
  saveJob(Job);
}

void scheduler_run::saveJob(scheduled_job &Job) {
  if (Job.IsSaveInFlight) {
    Job.IsSaveWanted = true;
    return;
  }
  Job.IsSaveInFlight = true;
  Job.IsSaveWanted = false;
  emit(save_job{State.Epoch, Job.Record, Job.Revision});
}

void scheduler_run::setReason(scheduled_job &Job, std::string Reason) {
  if (Job.Record.Reason == Reason)
    return;
  Job.Record.Reason = std::move(Reason);
  saveJob(Job);
}

// Helpers

std::string joinNames(const std::vector<worker_id> &Names) {
  std::string Joined;
  for (const worker_id &Name : Names)
    Joined += (Joined.empty() ? "" : " ") + Name.Value;
  return Joined;
}

scheduled_job *scheduler_run::findJob(const job_id &Id) {
  const auto Found = State.Jobs.find(Id);
  return Found == State.Jobs.end() ? nullptr : &Found->second;
}

known_worker *scheduler_run::findWorker(const worker_id &Id) {
  const auto Found = State.Workers.find(Id);
  return Found == State.Workers.end() ? nullptr : &Found->second;
}

attempt_id scheduler_run::attemptOf(const scheduled_job &Job) const {
  return {Job.Record.Spec.Id, Job.Record.Attempt};
}

bool scheduler_run::canAct() const {
  return State.IsLeading && State.IsLoaded && !State.IsRebuilding;
}

void scheduler_run::log(const log_event &Event, std::vector<log_field> Fields) {
  emit(write_log{{&Event, std::move(Fields)}});
}

void scheduler_run::logJob(const log_event &Event, const scheduled_job &Job) {
  log(Event, {{"job", Job.Record.Spec.Id.Value},
              {"attempt", std::to_string(Job.Record.Attempt)},
              {"phase", std::string(name(Job.Record.Phase))},
              {"verdict", std::string(name(Job.Record.Verdict))},
              {"reason", Job.Record.Reason}});
}

} // namespace detail
} // namespace galenastage
