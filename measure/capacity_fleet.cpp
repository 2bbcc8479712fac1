#include "measure/capacity_fleet.hpp"

#include <algorithm>
#include <ctime>

namespace galenastage::measure {
namespace {

const data_centre_id DataCentre("ma-north-a");
const pool_id FleetPool("council-budgets");
const organisation_id FleetOrganisation("council");

/// Names the kinds of events, as the reducer's header does.
struct event_namer {
  const char *operator()(const ticked &) const { return "ticked"; }
  const char *operator()(const tables_seen &) const { return "tables_seen"; }
  const char *operator()(const leadership_changed &) const {
    return "leadership_changed";
  }
  const char *operator()(const job_seen &) const { return "job_seen"; }
  const char *operator()(const job_forgotten &) const {
    return "job_forgotten";
  }
  const char *operator()(const jobs_loaded &) const { return "jobs_loaded"; }
  const char *operator()(const worker_listed &) const {
    return "worker_listed";
  }
  const char *operator()(const worker_unlisted &) const {
    return "worker_unlisted";
  }
  const char *operator()(const worker_reported &) const {
    return "worker_reported";
  }
  const char *operator()(const step_answered &) const {
    return "step_answered";
  }
  const char *operator()(const job_saved &) const { return "job_saved"; }
  template <typename Other> const char *operator()(const Other &) const {
    return "other";
  }
};

worker_id workerName(int Index) {
  return worker_id("ma-north-a-worker-" + std::to_string(Index));
}

rack_id rackName(int Index, const fleet_settings &Settings) {
  return rack_id("ma-north-a-rack-" +
                 std::to_string(Index / Settings.WorkersPerRack));
}

std::shared_ptr<const tables> makeTables() {
  tables Tables;
  Tables.Version = 1;
  Tables.DataCentres.push_back({DataCentre, "ma-north", true});
  pool Pool;
  Pool.Name = FleetPool;
  Pool.Organisation = FleetOrganisation;
  Tables.Pools.push_back(Pool);
  return std::make_shared<const tables>(std::move(Tables));
}

scheduler_settings makeSettings() {
  scheduler_settings Settings;
  Settings.DataCentre = DataCentre;
  return Settings;
}

/// Processor time of this thread: other programs on the machine don't count.
std::int64_t readNanoseconds() {
  timespec Now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  constexpr std::int64_t PerSecond = 1'000'000'000;
  return Now.tv_sec * PerSecond + Now.tv_nsec;
}

} // namespace

fleet::fleet(fleet_settings NewSettings)
    : Settings(NewSettings), State(makeSettings()), Tables(makeTables()) {
  for (int I = 0; I < Settings.Workers; ++I) {
    const worker_id Name = workerName(I);
    const rack_id Rack = rackName(I, Settings);
    Workers.emplace(Name,
                    fleet_worker{standin::worker_model(Name, DataCentre, Rack,
                                                       Settings.Accelerators),
                                 {}});
    apply(worker_listed{Name, Rack, Settings.Accelerators, false});
  }
  confirmTables();
  apply(leadership_changed{true, Epoch});
  apply(jobs_loaded{});
  advance(State.Settings.RebuildWindow + milliseconds(1'000));
}

void fleet::submit(const job_spec &Spec) {
  job_record Record;
  Record.Spec = Spec;
  Record.DataCentre = DataCentre;
  Record.Reason = "accepted";
  Record.SubmittedAt = wall_instant(Now.time_since_epoch());
  Stored[Spec.Id] = {Record, ++Revision};
  apply(job_seen{Record, Revision});
}

void fleet::advance(milliseconds Duration) {
  const instant End = Now + Duration;
  instant NextTick = Now;
  while (Now < End) {
    if (Now >= NextTick) {
      NextTick = Now + Settings.TickInterval;
      for (auto &[Name, Worker] : Workers)
        if (Worker.DownUntil <= Now)
          Worker.Model.advance(Now);
      confirmTables();
      apply(ticked{wall_instant(Now.time_since_epoch())});
    }
    const instant Next = Delayed.empty() ? NextTick : Delayed.front().Due;
    Now = std::max(Now, std::min({Next, NextTick, End}));
    deliverDue();
  }
}

void fleet::crashWorker(int Index, milliseconds Duration) {
  fleet_worker &Worker = Workers.at(workerName(Index));
  Worker.Model.crash();
  Worker.DownUntil = Now + Duration;
}

void fleet::takeOver() {
  apply(leadership_changed{false, Epoch});
  ++Epoch;
  apply(leadership_changed{true, Epoch});
  const auto Records = Stored;
  for (const auto &[Id, Entry] : Records)
    apply(job_seen{Entry.first, Entry.second});
  apply(jobs_loaded{});
}

int fleet::countJobs(job_phase Phase) const {
  return static_cast<int>(std::ranges::count_if(Stored, [&](const auto &Entry) {
    return Entry.second.first.Phase == Phase;
  }));
}

int fleet::runningTasks() const {
  int Tasks = 0;
  for (const auto &[Id, Entry] : Stored)
    if (Entry.first.Phase == job_phase::Running)
      Tasks += Entry.first.Spec.Tasks;
  return Tasks;
}

worker_report fleet::reportOf(int Index) {
  fleet_worker &Worker = Workers.at(workerName(Index));
  return Worker.Model.renew({Epoch, State.Settings.Lease, {}}, Now);
}

// Events

void fleet::apply(scheduler_event_body Body) {
  const char *Kind = std::visit(event_namer{}, Body);
  const scheduler_event Event{Now, std::move(Body), State.Epoch};
  const std::int64_t Began = readNanoseconds();
  const scheduler_effects Effects = reduce(State, Event);
  event_cost &Cost = Counts.Events[Kind];
  const std::int64_t Spent = readNanoseconds() - Began;
  Cost.Nanoseconds += Spent;
  ++Cost.Count;
  Counts.LongestEvent = std::max(Counts.LongestEvent, Spent);
  for (const scheduler_effect &Effect : Effects)
    std::visit([this](const auto &Value) { perform(Value); }, Effect);
}

void fleet::answer(scheduler_event_body Body) {
  Delayed.push_back({Now + 2 * Settings.LinkDelay, std::move(Body)});
}

void fleet::deliverDue() {
  while (!Delayed.empty() && Delayed.front().Due <= Now) {
    scheduler_event_body Body = std::move(Delayed.front().Body);
    Delayed.pop_front();
    apply(std::move(Body));
  }
}

void fleet::confirmTables() {
  if (IsStoreReachable)
    apply(tables_seen{Tables, Now});
}

// Effects

fleet::fleet_worker *fleet::findUp(const worker_id &Worker) {
  const auto Found = Workers.find(Worker);
  const bool IsUp = Found != Workers.end() && Found->second.DownUntil <= Now;
  return IsUp ? &Found->second : nullptr;
}

template <typename Request, typename Act>
void fleet::takeStep(step_answered::step_kind Kind, const worker_id &Worker,
                     const Request &Sent, Act ActOn) {
  ++Counts.WorkerMessages;
  step_answered Answer;
  Answer.Kind = Kind;
  Answer.Attempt = Sent.Attempt;
  Answer.Worker = Worker;
  fleet_worker *Up = findUp(Worker);
  if (!Up) {
    Answer.Reason = "not reachable";
    answer(std::move(Answer));
    return;
  }
  const worker_answer Heard = ActOn(Up->Model);
  Answer.IsAccepted = Heard.IsAccepted;
  Answer.HighestEpoch = Heard.HighestEpoch;
  Answer.Reason = Heard.Reason;
  Answer.Verdict = verdict::Ran;
  answer(std::move(Answer));
}

void fleet::perform(const send_reserve &Effect) {
  takeStep(step_answered::step_kind::Reserve, Effect.Worker, Effect.Request,
           [&](standin::worker_model &Model) {
             return Model.reserve(Effect.Request, Now);
           });
}

void fleet::perform(const send_start &Effect) {
  takeStep(step_answered::step_kind::Start, Effect.Worker, Effect.Request,
           [&](standin::worker_model &Model) {
             return Model.start(Effect.Request, Now);
           });
}

void fleet::perform(const send_release &Effect) {
  takeStep(step_answered::step_kind::Release, Effect.Worker, Effect.Request,
           [&](standin::worker_model &Model) {
             return Model.release(Effect.Request, Now);
           });
}

void fleet::perform(const send_renew &Effect) {
  ++Counts.WorkerMessages;
  ++Counts.Renewals;
  fleet_worker *Up = findUp(Effect.Worker);
  if (!Up)
    return;
  worker_report Report = Up->Model.renew(Effect.Request, Now);
  answer(worker_reported{std::move(Report), Now});
}

void fleet::perform(const save_job &Effect) {
  ++Counts.StoreWrites;
  Stored[Effect.Record.Spec.Id] = {Effect.Record, ++Revision};
  answer(job_saved{Effect.Record.Spec.Id, job_saved::outcome::Saved, Revision});
}

job_spec makeFleetJob(int Index, int Tasks, milliseconds RunTime) {
  constexpr std::size_t IdDigits = 16;
  std::string Id = std::to_string(Index);
  Id.insert(0, IdDigits - Id.size(), '0');
  job_spec Spec;
  Spec.Id = job_id(Id);
  Spec.Organisation = FleetOrganisation;
  Spec.Pool = FleetPool;
  Spec.Tasks = Tasks;
  Spec.AcceleratorsPerTask = 1;
  Spec.DeclaredRunTime = RunTime;
  Spec.IsCheckpointable = true;
  return Spec;
}

} // namespace galenastage::measure
