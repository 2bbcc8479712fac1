#include "core/job/batch/record_size.hpp"
#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>
#include <array>
#include <tuple>

namespace galenastage::batch {
namespace detail {

namespace {

constexpr milliseconds RecoveryMargin{200}; // beyond that of each lease

/// The order that the event answers, or "store" for what was read in a term of
/// leadership; empty for events that belong to no term.
std::string_view originInTerm(const event &Event) {
  using text = std::string_view;
  return std::visit(
      overloaded{
          [](const configuration_changed &) -> text { return {}; },
          [](const evacuations_changed &) -> text { return {}; },
          [](const configuration_current &) -> text { return {}; },
          [](const leadership_gained &) -> text { return {}; },
          [](const time_passed &) -> text { return {}; },
          [](const runs_reported &) -> text { return "hold"; },
          [](const hold_failed &) -> text { return "hold"; },
          [](const start_answered &) -> text { return "start"; },
          [](const stop_answered &) -> text { return "stop"; },
          [](const progress_saved &) -> text { return "save"; },
          [](const record_published &) -> text { return "publication"; },
          [](const job_forgotten &) -> text { return "removal"; },
          [](const auto &) -> text { return "store"; },
      },
      Event.What);
}

} // namespace

unit_name unitNameOf(const job_state &Job, const task_name &Task) {
  return {Task.Job, Task.Occurrence, Task.Step,
          unitOf(Job.Spec.Steps[Task.Step], Task.Index)};
}

std::string printTask(const task_name &Task) {
  return Task.Job.Value + "." + std::to_string(Task.Occurrence) + "." +
         std::to_string(Task.Step) + "." + std::to_string(Task.Index);
}

bool event_handler::rejectOutdated(const event &Event) {
  const std::string_view Origin = originInTerm(Event);
  const bool IsPresent = Event.Term != 0 && Event.Term == State.Token;
  if (Origin.empty() || IsPresent)
    return false;
  log(events::AnswerOutdated, {{"term", std::to_string(Event.Term)},
                               {"present", std::to_string(State.Token)},
                               {"origin", std::string(Origin)}});
  return true;
}

void event_handler::apply(const configuration_changed &Event) {
  State.Config = Event.Config;
  for (auto &[Id, Job] : State.Jobs)
    if (const queue_config *Queue = State.Config.findQueue(Job.Spec.Queue.Name))
      Job.Queue = *Queue;
  recountPolicy();
  State.NeedsPlacement = true;
}

void event_handler::apply(const evacuations_changed &Event) {
  State.Evacuated = Event.DataCentres;
  for (auto &[Id, Executor] : State.Executors)
    touch(Executor);
  State.NeedsPlacement = true;
}

void event_handler::apply(const configuration_current &Event) {
  State.ConfigurationAsOf = std::max(State.ConfigurationAsOf, Event.AsOf);
  resumeStarts();
}

void event_handler::apply(const executors_listed &Event) {
  State.ExecutorsAsOf = std::max(State.ExecutorsAsOf, Event.AsOf);
  State.StoreRevision = std::max(State.StoreRevision, Event.Revision);
  resumeStarts();
  std::set<executor_id> Listed;
  for (const executor_report &Report : Event.Executors) {
    Listed.insert(Report.Id);
    const auto [Found, IsNew] = State.Executors.try_emplace(Report.Id);
    executor_state &Executor = Found->second;
    const bool IsRestarted = Report.Incarnation != 0 &&
                             Executor.Incarnation != 0 &&
                             Report.Incarnation > Executor.Incarnation;
    if (IsNew) // it may have been forgotten, but not its token by the executor
      Executor.Token = State.HighestToken;
    if (IsRestarted)
      dropAllRuns(Executor, run_loss::Restarted);
    if (Report.IsDraining && !Executor.Report.IsDraining)
      log(events::ExecutorDraining,
          {{"executor", Report.Id.Value},
           {"remaining_ms", std::to_string(Report.Remaining.count())},
           {"runs", std::to_string(Executor.Runs.size())}});
    noteDeparture(Executor, Report);
    if (Executor.Report != Report)
      Executor.IsReplaced = false; // it has come back elsewhere
    if (!IsNew)
      forgetOtherMachine(Executor, Report);
    const bool IsChanged =
        IsNew || !Executor.IsListed || Executor.Report != Report;
    const bool IsOther =
        IsNew || Executor.Report.Incarnation != Report.Incarnation;
    Executor.Report = Report;
    recallSpeed(Executor, IsOther);
    Executor.IsListed = true;
    if (IsChanged)
      touch(Executor);
    updateLife(Executor);
    // Without runs it would not be held, and one of the two may be old news.
    Executor.IsLifeUnclear = Executor.IsEntryOutdated;
  }
  for (auto &[Id, Executor] : State.Executors)
    if (!Listed.contains(Id) && Executor.IsListed) {
      Executor.IsListed = false;
      State.Draining.erase(Id);
      touch(Executor);
      log(events::ExecutorUnlisted,
          {{"executor", Id.Value},
           {"runs", std::to_string(Executor.Runs.size())}});
    }
  for (auto &[Id, Executor] : State.Executors)
    forgetClosedStarts(Executor);
  // What plans have reserved there must be given back to the same entry.
  std::erase_if(State.Executors, [&](const auto &Item) {
    const executor_state &Executor = Item.second;
    const bool HasLateCalls =
        Now < Executor.Leases.Unanswered + State.Settings.LateStarts;
    return !Executor.IsListed && Executor.Runs.empty() &&
           Executor.ClosedStarts.empty() && !HasLateCalls &&
           Executor.Reserved == resources{};
  });
  forgetOldSpeeds();
  moveDeparting();
  State.NeedsPlacement = true;
  holdAll();
}

void event_handler::apply(const job_found &Event) {
  if (State.Jobs.contains(Event.Spec.Id))
    return;
  job_state &Job = State.Jobs[Event.Spec.Id];
  Job.Spec = Event.Spec;
  Job.Queue = Event.Spec.Queue;
  if (const queue_config *Queue = State.Config.findQueue(Job.Queue.Name))
    Job.Queue = *Queue;
  if (Event.Progress)
    Job.Progress = *Event.Progress;
  Job.Progress.Organisation = Event.Spec.Organisation;
  Job.CriticalPath = remainingCriticalPath(Job.Spec, nullptr);
  Job.Work = workOf(Job.Spec);
  beginDueOccurrences(Job);
  State.NeedsPlacement = true;
  if (Event.Progress) {
    inheritRuns(Job);
    return;
  }
  log(events::BatchJobFound,
      {{"job", Job.Spec.Id.Value},
       {"queue", Job.Queue.Name.Value},
       {"steps", std::to_string(Job.Spec.Steps.size())}});
}

/// Reserves capacity for the runs that earlier leaders recorded, until their
/// executors answer or their leases expire.
void event_handler::inheritRuns(job_state &Job) {
  if (isFinal(Job.Progress.Phase))
    return;
  for (const auto &[Number, Occurrence] : Job.Progress.Occurrences)
    for (int Step = 0; Step < static_cast<int>(Occurrence.Steps.size()); ++Step)
      for (int Unit = 0;
           Unit < static_cast<int>(Occurrence.Steps[Step].Units.size());
           ++Unit) {
        const unit_progress &Progress = Occurrence.Steps[Step].Units[Unit];
        if (Progress.IsDone)
          continue;
        for (int I = 0; I < static_cast<int>(Progress.Placed.size()); ++I) {
          const int Index = Job.Spec.Steps[Step].IsGang ? I : Unit;
          const run_name Run{{Job.Spec.Id, Number, Step, Index},
                             Progress.Attempts};
          inheritRun(Job, Run, Progress.Placed[I]);
        }
      }
}

void event_handler::inheritRun(job_state &Job, const run_name &Run,
                               const task_placement &Placed) {
  const auto [Found, IsNew] = State.Executors.try_emplace(Placed.Executor);
  executor_state &Executor = Found->second;
  if (IsNew) { // not listed in the store, but it may still be running
    Executor.Report.Id = Placed.Executor;
    Executor.IsListed = false;
  }
  addRun(Executor, Job, Run, run_phase::Unconfirmed);
  Executor.Runs[Run].IsInherited = true;
  Executor.Runs[Run].OrderedTo = Placed.Incarnation;
  Executor.Leases.Until = std::max(Executor.Leases.Until, State.RecoveryUntil);
}

void event_handler::apply(const cancel_requested &Event) {
  const auto Found = State.Jobs.find(Event.Job);
  if (Found == State.Jobs.end()) {
    log(events::CancellationUnmatched, {{"job", Event.Job.Value}});
    return;
  }
  if (isFinal(Found->second.Progress.Phase))
    return;
  endJob(Found->second, job_phase::Cancelled, "cancelled by its client");
}

void event_handler::apply(const requests_current &Event) {
  State.RequestsAsOf = std::max(State.RequestsAsOf, Event.AsOf);
  resumeStarts();
}

std::optional<outdated_source> event_handler::findOutdated() const {
  const scheduler_settings &Settings = State.Settings;
  const std::array Sources{
      std::tuple("jobs", State.RequestsAsOf, Settings.MaxRequestAge),
      std::tuple("executors", State.ExecutorsAsOf, Settings.MaxListAge),
      std::tuple("configuration", State.ConfigurationAsOf,
                 Settings.MaxConfigurationAge)};
  for (const auto &[Name, AsOf, MaxAge] : Sources) {
    if (AsOf == instant{})
      return outdated_source{Name, std::nullopt};
    const auto Age = std::chrono::duration_cast<milliseconds>(Now - AsOf);
    if (Age > MaxAge)
      return outdated_source{Name, Age};
  }
  return std::nullopt;
}

void event_handler::pauseStarts(const outdated_source &Cause) {
  if (State.PausedSince != instant{})
    return;
  State.PausedSince = Now;
  log(events::StartsPaused,
      {{"source", std::string(Cause.Name)},
       {"age_ms", Cause.Age ? std::to_string(Cause.Age->count()) : "unknown"}});
}

void event_handler::resumeStarts() {
  if (State.PausedSince == instant{} || findOutdated())
    return;
  log(events::StartsResumed,
      {{"after_ms", std::to_string((Now - State.PausedSince).count())}});
  State.PausedSince = {};
  State.NeedsPlacement = true;
}

void event_handler::apply(const leadership_gained &Event) {
  clearLeadership();
  State.Token = Event.Token;
  State.ValidUntil = Event.ValidUntil;
  // The leader before may have held a life that began shortly before.
  State.TakenOver = Now;
  State.RecoveryUntil = longestLeaseFrom(Now, leaseLimits()) + RecoveryMargin;
}

void event_handler::apply(const recovery_finished &) {
  State.IsRecovered = true;
  State.NeedsPlacement = true;
  holdAll();
}

void event_handler::apply(const leadership_extended &Event) {
  State.ValidUntil = std::max(State.ValidUntil, Event.ValidUntil);
}

void event_handler::apply(const leadership_lost &) { clearLeadership(); }

void event_handler::clearLeadership() {
  refreshIndex(); // executors that have left must still leave the index
  State.Token = 0;
  State.HighestToken = 0;
  State.HoldsSent = 0;
  State.IsRecovered = false;
  State.RequestsAsOf = {};
  State.ExecutorsAsOf = {};
  State.PausedSince = {};
  State.Jobs.clear();
  State.Plans.clear();
  State.Reservations.clear();
  State.NextReservation = {};
  State.DeparturePlans.clear();
  State.Suspects.clear();
  State.Silences.clear();
  State.SaveQueue.clear();
  State.Saving.clear();
  State.Forgetting.clear();
  State.NextForget = {};
  State.SavesQueued = 0;
  State.SavesFinished = 0;
  State.Publishing.clear();
  State.PublishedLengths.reset();
  State.SentLengths.clear();
  State.GuaranteedUse.clear();
  State.Headroom.clear();
  State.UrgentSeen.clear();
  State.UrgentUse.clear();
  State.Usage.clear();
  State.Rates.clear();
  State.PublishedBacklog = backlog{};
  State.SentBacklog = {};
  State.BacklogPublished = {};
  State.BacklogNumber = 0;
  State.Speeds.clear();
  State.SpeedSums.clear();
  State.QueuePaces.clear();
  State.Probing.clear();
  State.AreSpeedsUnsaved = false;
  State.NextSpeedSave = {};
  for (auto &[Id, Executor] : State.Executors) {
    executor_state Fresh;
    Fresh.Report = Executor.Report;
    Fresh.IsListed = Executor.IsListed;
    Fresh.LeavesAt = Executor.LeavesAt;
    Executor = std::move(Fresh);
    touch(Executor);
  }
}

void event_handler::apply(const progress_saved &Event) {
  if (State.Saving.empty())
    return;
  const std::vector<queued_save> Tried = std::exchange(State.Saving, {});
  std::set<job_id> Refused;
  for (const refused_record &Record : Event.Refused)
    if (changeRefused(Record))
      Refused.insert(Record.Job);
  std::vector<queued_save> Again;
  for (const queued_save &Entry : Tried)
    if (!Event.IsSaved || Refused.contains(Entry.Job))
      Again.push_back(Entry);
  returnToQueue(Again);
  if (!Event.IsSaved)
    return; // retried immediately; the caller spaces its attempts
  State.SavesFinished = State.SaveQueue.empty()
                            ? State.SavesQueued
                            : State.SaveQueue.front().Number - 1;
  for (const queued_save &Entry : Tried)
    if (const auto Found = State.Jobs.find(Entry.Job);
        Found != State.Jobs.end() && !Refused.contains(Entry.Job))
      startRecorded(Found->second);
  for (auto &[Id, Executor] : State.Executors)
    if (Executor.LastSeenProcessed > Executor.LastSeenSaved &&
        State.SavesFinished >= Executor.SaveNeeded) {
      Executor.LastSeenSaved = Executor.LastSeenProcessed;
      Executor.NextHold = Now;
      hold(Executor);
    }
  saveNext();
}

/// Puts entries back to the front with their numbers. A job that has changed
/// since stands in the queue again: its earlier entry covers that change.
void event_handler::returnToQueue(const std::vector<queued_save> &Entries) {
  std::set<job_id> Returned;
  for (const queued_save &Entry : Entries)
    if (const auto Found = State.Jobs.find(Entry.Job);
        Found != State.Jobs.end()) {
      Found->second.IsSaveQueued = true;
      Returned.insert(Entry.Job);
    }
  std::erase_if(State.SaveQueue, [&](const queued_save &Entry) {
    return Returned.contains(Entry.Job);
  });
  State.SaveQueue.insert(State.SaveQueue.begin(), Entries.begin(),
                         Entries.end());
}

/// Fails a job whose progress can't be stored, and drops what only a job that
/// goes on needs, so that the rest can be stored. False: nothing is left to
/// drop.
bool event_handler::changeRefused(const refused_record &Record) {
  const auto Found = State.Jobs.find(Record.Job);
  if (Found == State.Jobs.end())
    return false;
  job_state &Job = Found->second;
  const bool IsOver = isFinal(Job.Progress.Phase);
  const bool IsShort = IsOver && Job.Progress.Occurrences.empty();
  log(events::RecordRefused, {{"job", Record.Job.Value},
                              {"reason", Record.Reason},
                              {"phase", std::string(name(Job.Progress.Phase))},
                              {"retried", IsShort ? "no" : "yes"}});
  if (IsShort)
    return false;
  if (!IsOver)
    endJob(Job, job_phase::Failed,
           "its progress can't be stored: " + Record.Reason);
  Job.Progress.Occurrences.clear();
  return true;
}

void event_handler::apply(const record_published &Event) {
  if (State.Publishing.erase(Event.Record) == 0)
    return;
  const bool IsTriedAgain = Event.Outcome == write_outcome::Failed;
  switch (Event.Record) {
  case published_record::QueueLengths:
    State.PublishedLengths.reset();
    if (!IsTriedAgain)
      State.PublishedLengths = State.SentLengths;
    break;
  case published_record::Backlog:
    State.PublishedBacklog.reset();
    if (!IsTriedAgain)
      State.PublishedBacklog = State.SentBacklog;
    break;
  case published_record::Speeds:
    if (!IsTriedAgain)
      break;
    State.AreSpeedsUnsaved = true;
    State.NextSpeedSave = Now + State.Settings.QueueLengthInterval;
    break;
  }
}

void event_handler::apply(const time_passed &) {
  if (State.Token == 0)
    return;
  for (auto &[Id, Executor] : State.Executors) {
    retryStops(Executor);
    const bool IsOver = !Executor.Runs.empty() &&
                        (Executor.IsUnresponsive || !Executor.IsListed) &&
                        Now >= leasesEnd(Executor.Leases, leaseLimits());
    if (IsOver)
      dropAllRuns(Executor, run_loss::LeaseExpired);
    if (Executor.Health.IsQuarantined)
      touch(Executor); // a probe may have become due
    moveStalled(Executor);
    hold(Executor);
  }
  moveDeparting();
  for (auto &[Id, Job] : State.Jobs)
    beginDueOccurrences(Job);
  forgetOldJobs();
  publishQueueLengths();
  saveSpeeds();
  State.NeedsPlacement = true;
}

void event_handler::holdAll() {
  for (auto &[Id, Executor] : State.Executors)
    hold(Executor);
}

void event_handler::queueSave(job_state &Job) {
  if (Job.IsSaveQueued || State.Forgetting.contains(Job.Spec.Id))
    return;
  Job.IsSaveQueued = true;
  State.SaveQueue.push_back({Job.Spec.Id, ++State.SavesQueued});
}

void event_handler::saveNext() {
  if (!State.Saving.empty() || State.SaveQueue.empty() || !isLeading())
    return;
  save_progress Save{State.Token, {}};
  while (!State.SaveQueue.empty() &&
         static_cast<int>(Save.Jobs.size()) < State.Settings.MaxJobsPerSave) {
    const queued_save Entry = State.SaveQueue.front();
    State.SaveQueue.pop_front();
    State.Saving.push_back(Entry);
    const auto Found = State.Jobs.find(Entry.Job);
    if (Found == State.Jobs.end())
      continue;
    Found->second.IsSaveQueued = false;
    for (const auto &[Run, Executor] : Found->second.Runs)
      State.Executors.at(Executor).Runs.at(Run).IsInSave = true;
    Save.Jobs.push_back({Entry.Job, Found->second.Progress});
  }
  Out.emplace_back(std::move(Save));
}

void event_handler::endJob(job_state &Job, job_phase Phase,
                           std::string_view Cause) {
  Job.Progress.Phase = Phase;
  Job.Progress.Ended = WallNow;
  Job.Units.clear();
  if (Phase == job_phase::Completed)
    learnEstimates(Job);
  queueSave(Job);
  const std::map<run_name, executor_id> Runs = Job.Runs;
  for (const auto &[Run, Id] : Runs)
    if (const auto Found = State.Executors.find(Id);
        Found != State.Executors.end())
      orderStop(Found->second, Run);
  std::vector<unit_name> Planned;
  for (const auto &[Unit, Plan] : State.Plans)
    if (Unit.Job == Job.Spec.Id)
      Planned.push_back(Unit);
  for (const unit_name &Unit : Planned)
    dropPlan(Unit);
  dropReservationsOf(Job.Spec.Id);
  State.NeedsPlacement = true;
  log(events::BatchJobEnded, {{"job", Job.Spec.Id.Value},
                              {"phase", std::string(name(Phase))},
                              {"cause", std::string(Cause)}});
}

void event_handler::noteUnitDone(job_state &Job, int Number) {
  occurrence_progress &Occurrence = Job.Progress.Occurrences[Number];
  if (!std::ranges::all_of(Occurrence.Steps, &step_progress::isDone))
    return;
  Occurrence.IsDone = true;
  Occurrence.Steps.clear();
  const bool IsLast =
      static_cast<int>(Job.Progress.Occurrences.size()) ==
          countOccurrences(Job.Spec) &&
      std::ranges::all_of(Job.Progress.Occurrences,
                          [](const auto &Item) { return Item.second.IsDone; });
  if (IsLast)
    endJob(Job, job_phase::Completed, "all tasks are done");
}

void event_handler::beginDueOccurrences(job_state &Job) {
  if (isFinal(Job.Progress.Phase))
    return;
  auto &Occurrences = Job.Progress.Occurrences;
  while (static_cast<int>(Occurrences.size()) < countOccurrences(Job.Spec)) {
    const int Next = static_cast<int>(Occurrences.size());
    if (WallNow < dueTime(Job.Spec, Next))
      return;
    // A schedule that began long ago has all its occurrences due at once.
    const auto Open = static_cast<int>(std::ranges::count_if(
        Occurrences, [](const auto &Item) { return !Item.second.IsDone; }));
    const bool IsFull =
        Open > 0 && (countOpenTasks(Job.Spec, Job.Progress) >= MaxTasksPerJob ||
                     maxProgressBytes(Job.Spec, Next + 1, Open + 1) >
                         State.Settings.MaxRecordBytes);
    if (IsFull)
      return;
    Occurrences[Next] = beginOccurrence(Job.Spec);
    touch(Job);
    State.NeedsPlacement = true;
  }
}

void event_handler::publishQueueLengths() {
  if (Now < State.NextPublication || !isLeading() || !State.IsRecovered)
    return;
  publishBacklog();
  std::map<route_id, int> Waiting;
  for (const auto &[Id, Job] : State.Jobs)
    if (Job.Progress.Phase == job_phase::Queued)
      ++Waiting[Job.Queue.Name];
  std::vector<queue_length> Lengths;
  Lengths.reserve(Waiting.size());
  for (const auto &[Queue, Count] : Waiting)
    Lengths.push_back({Queue, Count});
  State.NextPublication = Now + State.Settings.QueueLengthInterval;
  const bool IsStored = State.PublishedLengths == Lengths;
  if (IsStored ||
      !State.Publishing.insert(published_record::QueueLengths).second)
    return;
  State.SentLengths = Lengths;
  Out.emplace_back(publish_queue_lengths{State.Token, std::move(Lengths)});
}

/// Few at a time: many jobs may be old when a leader begins.
void event_handler::forgetOldJobs() {
  if (!isLeading() || Now < State.NextForget)
    return;
  for (const auto &[Id, Job] : State.Jobs) {
    if (std::ssize(State.Forgetting) >= State.Settings.MaxForgetting)
      return;
    const bool IsOld = isFinal(Job.Progress.Phase) && !Job.IsSaveQueued &&
                       Job.Runs.empty() &&
                       WallNow - Job.Progress.Ended > State.Settings.Retention;
    // A save in flight would store the progress again.
    const bool IsBusy =
        std::ranges::count(State.Saving, Id, &queued_save::Job) != 0;
    if (IsOld && !IsBusy && State.Forgetting.insert(Id).second)
      Out.emplace_back(forget_job{State.Token, Id});
  }
}

void event_handler::apply(const job_forgotten &Event) {
  if (State.Forgetting.erase(Event.Job) == 0)
    return;
  if (!Event.IsForgotten) {
    State.NextForget = Now + State.Settings.ForgetRetry;
    return;
  }
  const auto Found = State.Jobs.find(Event.Job);
  if (Found != State.Jobs.end() && Found->second.Runs.empty())
    State.Jobs.erase(Found);
}

void event_handler::finish() {
  if (State.NeedsPlacement && Now >= State.NextPlacement) {
    State.NeedsPlacement = false;
    State.NextPlacement = Now + State.Settings.PlacementInterval;
    placeWaiting();
  }
  saveNext();
}

} // namespace detail

unit_state &unitState(job_state &Job, const unit_name &Unit) {
  auto &Steps = Job.Units[Unit.Occurrence];
  if (Steps.empty())
    for (const step_spec &Step : Job.Spec.Steps)
      Steps.emplace_back(static_cast<std::size_t>(countUnits(Step)));
  return Steps[Unit.Step][Unit.Unit];
}

std::optional<std::uint64_t> termOf(const effect &Effect) {
  using term = std::optional<std::uint64_t>;
  return std::visit(
      overloaded{
          [](const start_run &Order) -> term { return Order.To.Term; },
          [](const stop_run &Order) -> term { return Order.To.Term; },
          [](const hold_executor &Order) -> term { return Order.To.Term; },
          [](const write_log &) -> term { return std::nullopt; },
          [](const auto &Write) -> term { return Write.Token; },
      },
      Effect);
}

effects reduce(scheduler_state &State, const event &Event) {
  detail::event_handler Run(State, Event);
  if (!Run.rejectOutdated(Event)) {
    std::visit([&](const auto &What) { Run.apply(What); }, Event.What);
    Run.finish();
  }
  return std::move(Run.Out);
}

} // namespace galenastage::batch
