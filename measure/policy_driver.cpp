#include "measure/policy.hpp"
#include "standin/worker_model.hpp"

#include <algorithm>
#include <cmath>
#include <deque>

namespace galenastage::measure {
namespace {

using standin::worker_model;

constexpr seconds CrashOutage{600};
constexpr seconds RackLossAt{8 * 3'600};
constexpr seconds RackLossLength{1'800};
constexpr seconds FailingFrom{2 * 3'600}; // one worker fails everything
constexpr seconds FailingUntil{9 * 3'600};
constexpr seconds CancelWaveAt{3 * 3'600};
constexpr std::size_t CancelOneIn = 4; // of the jobs that wait or run
constexpr seconds SampleInterval{10};  // of fragmentation
constexpr std::uint64_t FaultSeedOffset = 7'919;
constexpr double SecondsPerHour = 3'600;
constexpr double CrashesPerFleetHour = 0.5;

struct fake_worker {
  worker_model Model;
  std::size_t DataCentre = 0;
  instant DownUntil{}; // no power before this
};

/// A job as the store and the experiment know it.
struct tracked_job {
  arrival Arrival;
  job_record Record;
  std::int64_t Revision = 0;
  std::size_t Owner = 0; // data centre
  bool HasStarted = false;
  instant RunningSince{};
  milliseconds Base{0}; // progress at that moment
  instant EvictedFor{}; // when gangs were stopped for it
  instant EndedAt{};
};

/// A data centre's reducer and its queue of pending events.
struct site {
  data_centre_id Name;
  scheduler_state State;
};

double toSeconds(milliseconds Time) {
  return static_cast<double>(Time.count()) / 1'000;
}

int acceleratorsOf(const job_spec &Spec) {
  return Spec.Tasks * Spec.AcceleratorsPerTask;
}

class simulation {
public:
  simulation(const deployment &Deployment, std::uint64_t Seed,
             const placement_strategy &Strategy)
      : Deployment(Deployment), Random(Seed + FaultSeedOffset),
        Arrivals(drawArrivals(Deployment, Seed)),
        Tables(std::make_shared<tables>(Deployment.Tables)) {
    for (int I = 0; I < Deployment.DataCentres; ++I)
      addSite(Strategy);
  }

  policy_result run() {
    for (seconds At{0}; At < Horizon; At += seconds(1)) {
      Now = instant(seconds(1'000) + At); // a clock that has run for a while
      injectFaults(At);
      submitArrivals(At);
      for (std::size_t I = 0; I < Sites.size(); ++I) {
        post(I, tables_seen{Tables, Now});
        post(I, ticked{wallNow()});
      }
      drain();
      if (At.count() % SampleInterval.count() == 0)
        sampleFragmentation();
    }
    return collect();
  }

private:
  // Set-up

  void addSite(const placement_strategy &Strategy) {
    const std::size_t Index = Sites.size();
    scheduler_settings Settings;
    Settings.DataCentre = Deployment.Tables.DataCentres[Index].Name;
    Settings.RenewInterval = seconds(2);
    Settings.Strategy = Strategy;
    Sites.push_back({Settings.DataCentre, scheduler_state(Settings)});
    Now = instant(seconds(900));
    post(Index, tables_seen{Tables, Now});
    for (int R = 0; R < Deployment.RacksPerDataCentre; ++R)
      for (int W = 0; W < Deployment.WorkersPerRack; ++W)
        addWorker(Index, R, W);
    post(Index, leadership_changed{true, 1});
    post(Index, jobs_loaded{});
    drain();
    Now = instant(seconds(990));
    post(Index, ticked{wallNow()});
    drain();
  }

  void addWorker(std::size_t Site, int Rack, int Number) {
    const std::string RackName =
        Sites[Site].Name.Value + "-r" + std::to_string(100 + Rack);
    const worker_id Name(RackName + "-w" + std::to_string(10 + Number));
    Workers.emplace(
        Name,
        fake_worker{worker_model(Name, Sites[Site].Name, rack_id(RackName),
                                 Deployment.AcceleratorsPerWorker, Checkpoints),
                    Site,
                    {}});
    post(Site, worker_listed{Name, rack_id(RackName),
                             Deployment.AcceleratorsPerWorker, false});
  }

  // Arrivals and faults

  void submitArrivals(seconds At) {
    for (; NextArrival < Arrivals.size() && Arrivals[NextArrival].At <= At;
         ++NextArrival) {
      const arrival &Arrival = Arrivals[NextArrival];
      tracked_job &Job = Jobs[Arrival.Spec.Id];
      Job.Arrival = Arrival;
      Job.Owner = Arrival.Entry;
      Job.Revision = ++Revision;
      Job.Record.Spec = Arrival.Spec;
      Job.Record.SubmittedAt = wallNow();
      Job.Record.DataCentre = Sites[Job.Owner].Name;
      post(Job.Owner, job_seen{Job.Record, Job.Revision});
    }
  }

  void injectFaults(seconds At) {
    const double CrashChance = CrashesPerFleetHour / SecondsPerHour;
    if (Random.uniform() < CrashChance)
      powerOff(*workerAt(Random.below(Workers.size())), CrashOutage);
    if (At == RackLossAt)
      loseRack();
    if (At == FailingFrom)
      FailingWorker = Random.below(Workers.size());
    if (At == FailingFrom || At == FailingUntil)
      workerAt(FailingWorker)->second.Model.Faults.FailsEverything =
          At == FailingFrom;
    if (At == CancelWaveAt)
      cancelWave();
    if (At == DepartureAt) {
      WorkBefore = usefulWork();
      setService(false);
    }
    if (At == DepartureAt + PowerOffAfter)
      for (auto &Entry : Workers)
        if (Entry.second.DataCentre == 0)
          powerOff(Entry, DepartureLength - PowerOffAfter);
    if (At == DepartureAt + DepartureLength)
      setService(true);
    if (At == DepartureAt + 2 * DepartureLength)
      WorkAfter = usefulWork();
  }

  std::map<worker_id, fake_worker>::iterator workerAt(std::size_t Number) {
    return std::next(Workers.begin(), static_cast<std::ptrdiff_t>(Number));
  }

  void powerOff(std::pair<const worker_id, fake_worker> &Entry,
                seconds Length) {
    Entry.second.Model.advance(Now); // marks tasks that end by now as ended
    Entry.second.Model.crash();
    Entry.second.DownUntil = std::max(Entry.second.DownUntil, Now + Length);
  }

  void loseRack() {
    const auto First = workerAt(Random.below(Workers.size()));
    const std::string &Name = First->first.Value;
    const std::string Rack = Name.substr(0, Name.rfind("-w"));
    for (auto &Entry : Workers)
      if (Entry.first.Value.starts_with(Rack + "-w"))
        powerOff(Entry, RackLossLength);
  }

  void cancelWave() {
    for (auto &[Id, Job] : Jobs) {
      if (isFinal(Job.Record.Phase) || Random.below(CancelOneIn) != 0)
        continue;
      Job.Record.IsCancelRequested = true;
      Job.Revision = ++Revision;
      post(Job.Owner, job_seen{Job.Record, Job.Revision});
    }
  }

  void setService(bool IsInService) {
    auto Edited = std::make_shared<tables>(*Tables);
    ++Edited->Version;
    Edited->DataCentres.front().IsInService = IsInService;
    Tables = std::move(Edited);
  }

  // Events and effects

  void post(std::size_t Site, scheduler_event_body Body) {
    Queue.emplace_back(Site, std::move(Body));
  }

  void drain() {
    while (!Queue.empty()) {
      auto [Site, Body] = std::move(Queue.front());
      Queue.pop_front();
      scheduler_effects Effects = reduce(
          Sites[Site].State, {Now, std::move(Body), Sites[Site].State.Epoch});
      for (scheduler_effect &Effect : Effects)
        std::visit([&, At = Site](auto &Value) { perform(At, Value); }, Effect);
    }
  }

  template <typename Call>
  void step(std::size_t Site, step_answered::step_kind Kind,
            const worker_id &Name, const attempt_id &Attempt, Call MakeCall) {
    step_answered Answer;
    Answer.Kind = Kind;
    Answer.Attempt = Attempt;
    Answer.Worker = Name;
    fake_worker &Worker = Workers.at(Name);
    if (Now < Worker.DownUntil) {
      Answer.Reason = "unreachable";
    } else {
      const worker_answer Said = MakeCall(Worker.Model);
      Answer.IsAccepted = Said.IsAccepted;
      Answer.HighestEpoch = Said.HighestEpoch;
      Answer.Reason = Said.Reason;
    }
    post(Site, std::move(Answer));
  }

  void perform(std::size_t Site, send_reserve &Effect) {
    step(Site, step_answered::step_kind::Reserve, Effect.Worker,
         Effect.Request.Attempt, [&](worker_model &Model) {
           return Model.reserve(Effect.Request, Now);
         });
  }

  void perform(std::size_t Site, send_start &Effect) {
    // The record has the declared run time; the worker uses the actual one.
    Effect.Request.DeclaredRunTime =
        Jobs.at(Effect.Request.Attempt.Job).Arrival.RealRunTime;
    step(Site, step_answered::step_kind::Start, Effect.Worker,
         Effect.Request.Attempt,
         [&](worker_model &Model) { return Model.start(Effect.Request, Now); });
  }

  void perform(std::size_t Site, send_release &Effect) {
    step(Site, step_answered::step_kind::Release, Effect.Worker,
         Effect.Request.Attempt, [&](worker_model &Model) {
           return Model.release(Effect.Request, Now);
         });
  }

  void perform(std::size_t Site, send_renew &Effect) {
    fake_worker &Worker = Workers.at(Effect.Worker);
    if (Now >= Worker.DownUntil)
      post(Site, worker_reported{Worker.Model.renew(Effect.Request, Now), Now});
  }

  void perform(std::size_t Site, save_job &Effect) {
    tracked_job &Job = Jobs.at(Effect.Record.Spec.Id);
    job_saved Saved{Effect.Record.Spec.Id, job_saved::outcome::Conflict, 0};
    if (Job.Owner == Site && Job.Revision == Effect.Revision) {
      track(Job, Effect.Record);
      Job.Record = Effect.Record;
      Job.Revision = ++Revision;
      Saved.Outcome = job_saved::outcome::Saved;
      Saved.Revision = Job.Revision;
    }
    post(Site, std::move(Saved));
  }

  void perform(std::size_t Site, move_job &Effect) {
    tracked_job &Job = Jobs.at(Effect.Record.Spec.Id);
    if (Job.Owner != Site || Job.Revision != Effect.Revision)
      return;
    Job.Record = Effect.Record;
    Job.Revision = ++Revision;
    for (std::size_t I = 0; I < Sites.size(); ++I)
      if (Sites[I].Name == Effect.Record.DataCentre)
        Job.Owner = I;
    post(Site, job_forgotten{Effect.Record.Spec.Id});
    post(Job.Owner, job_seen{Job.Record, Job.Revision});
  }

  void perform(std::size_t, step_down &) {}

  void perform(std::size_t, write_log &Effect) {
    if (*Effect.Line.Event != events::GangEvicted)
      return;
    ++Result.Evictions;
    Jobs.at(job_id(Effect.Line.Fields[1].Value)).EvictedFor = Now;
  }

  // Measures

  /// Records starts and ends when they are saved.
  void track(tracked_job &Job, const job_record &Next) {
    const bool WasRunning = Job.Record.Phase == job_phase::Running;
    const bool IsRunning = Next.Phase == job_phase::Running;
    if (IsRunning && !WasRunning)
      noteStart(Job);
    if (WasRunning && !IsRunning && Next.Phase != job_phase::Finished &&
        Next.Phase != job_phase::Cancelled)
      noteStop(Job);
    if (isFinal(Next.Phase))
      Job.EndedAt = Now;
  }

  void noteStart(tracked_job &Job) {
    const job_spec &Spec = Job.Arrival.Spec;
    if (!Job.HasStarted && Spec.Class == work_class::Urgent)
      Result.UrgentStarts.push_back(toSeconds(sinceSubmission(Job, Now)));
    if (Job.EvictedFor != instant{})
      Result.Reclaims.push_back(toSeconds(Now - Job.EvictedFor));
    Job.EvictedFor = instant{};
    Job.HasStarted = true;
    Job.RunningSince = Now;
    Job.Base = saved(Job);
  }

  void noteStop(const tracked_job &Job) {
    const milliseconds Lost = progress(Job) - saved(Job);
    Result.LostWork += std::max(0.0, toSeconds(Lost)) *
                       acceleratorsOf(Job.Arrival.Spec) / SecondsPerHour;
  }

  milliseconds saved(const tracked_job &Job) const {
    const auto Found = Checkpoints->find(Job.Arrival.Spec.Id);
    return Found == Checkpoints->end() ? milliseconds(0) : Found->second;
  }

  milliseconds progress(const tracked_job &Job) const {
    return std::min(Job.Arrival.RealRunTime,
                    Job.Base + (Now - Job.RunningSince));
  }

  /// Accelerator hours of work that is done and not lost.
  double usefulWork() const {
    double Sum = 0;
    for (const auto &[Id, Job] : Jobs) {
      milliseconds Done = saved(Job);
      if (Job.Record.Phase == job_phase::Finished)
        Done = Job.Arrival.RealRunTime;
      else if (Job.Record.Phase == job_phase::Running)
        Done = progress(Job);
      else if (isFinal(Job.Record.Phase))
        Done = milliseconds(0);
      Sum += toSeconds(Done) * acceleratorsOf(Job.Arrival.Spec);
    }
    return Sum / SecondsPerHour;
  }

  /// Both fillings take the largest shapes first.
  void sampleFragmentation() {
    ++Samples;
    for (site &Site : Sites) {
      if (!isInService(*Tables, Site.Name))
        continue;
      capacity_index Index;
      for (const auto &[Name, Worker] : Site.State.Workers)
        if (Worker.isUsable())
          Index.add(Worker.capacity(Name));
      std::vector<placement_request> Waiting;
      int Wanted = 0;
      for (const auto &[Id, Job] : Site.State.Jobs) {
        if (Job.Step != gang_step::Waiting)
          continue;
        const job_spec &Spec = Job.Record.Spec;
        Waiting.push_back({Spec.Tasks, Spec.AcceleratorsPerTask, {}, true});
        Wanted += acceleratorsOf(Spec);
      }
      std::ranges::sort(
          Waiting, std::greater{}, [](const placement_request &Request) {
            return std::pair(Request.Tasks * Request.AcceleratorsPerTask,
                             Request.AcceleratorsPerTask);
          });
      const int Free = Index.freeAccelerators();
      IdleSum += std::min(Free, Wanted);
      FragmentedSum += std::max(0, fillPooled(Free, Waiting) -
                                       fillScattered(Index, Waiting));
    }
  }

  /// Accelerators that the requests would use if all free ones were together.
  static int fillPooled(int Free,
                        const std::vector<placement_request> &Requests) {
    int Used = 0;
    for (const placement_request &Request : Requests) {
      const int Needed = Request.Tasks * Request.AcceleratorsPerTask;
      Used += Needed <= Free - Used ? Needed : 0;
    }
    return Used;
  }

  /// Accelerators that the requests can use as the free ones stand.
  static int fillScattered(capacity_index &Index,
                           const std::vector<placement_request> &Requests) {
    int Used = 0;
    std::set<placement_request> Failed;
    for (const placement_request &Request : Requests) {
      if (Failed.contains(Request))
        continue;
      const auto Members = Index.choose(Request);
      if (Members.empty())
        Failed.insert(Request);
      Index.take(Members, Request);
      Used += Members.empty() ? 0 : Request.Tasks * Request.AcceleratorsPerTask;
    }
    return Used;
  }

  policy_result collect() {
    for (auto &[Id, Job] : Jobs) {
      switch (Job.Record.Phase) {
      case job_phase::Finished:
        ++Result.Finished;
        break;
      case job_phase::Cancelled:
        ++Result.Cancelled;
        continue;
      case job_phase::Failed:
      case job_phase::Refused:
        ++Result.Failed;
        Result.WithFailures.push_back(toSeconds(sinceSubmission(Job, Now)));
        continue;
      default:
        ++Result.Unfinished;
        Job.EndedAt = Now;
      }
      const double Time = toSeconds(sinceSubmission(Job, Job.EndedAt));
      const job_spec &Spec = Job.Arrival.Spec;
      Result.Completion[{Spec.Class, Spec.Organisation}].push_back(Time);
      Result.AllCompletions.push_back(Time);
      Result.WithFailures.push_back(Time);
    }
    for (auto &[Key, Times] : Result.Completion)
      std::ranges::sort(Times);
    std::ranges::sort(Result.AllCompletions);
    std::ranges::sort(Result.WithFailures);
    std::ranges::sort(Result.UrgentStarts);
    std::ranges::sort(Result.Reclaims);
    const int Fleet =
        static_cast<int>(Workers.size()) * Deployment.AcceleratorsPerWorker;
    Result.Fragmentation = FragmentedSum / Samples / Fleet;
    Result.IdleWhileWanted = IdleSum / Samples / Fleet;
    Result.DepartureWork = WorkAfter - WorkBefore;
    return std::move(Result);
  }

  [[nodiscard]] wall_instant wallNow() const {
    return wall_instant(Now.time_since_epoch());
  }

  [[nodiscard]] static milliseconds sinceSubmission(const tracked_job &Job,
                                                    instant Moment) {
    return Moment.time_since_epoch() -
           Job.Record.SubmittedAt.time_since_epoch();
  }

  const deployment &Deployment;
  random_source Random; // of faults
  std::vector<arrival> Arrivals;
  std::size_t NextArrival = 0;
  std::shared_ptr<const tables> Tables;
  std::shared_ptr<standin::checkpoint_map> Checkpoints =
      std::make_shared<standin::checkpoint_map>();
  std::vector<site> Sites;
  std::map<worker_id, fake_worker> Workers;
  std::map<job_id, tracked_job> Jobs;
  std::deque<std::pair<std::size_t, scheduler_event_body>> Queue;
  instant Now{};
  std::int64_t Revision = 0;
  std::size_t FailingWorker = 0;
  double WorkBefore = 0;
  double WorkAfter = 0;
  double FragmentedSum = 0;
  double IdleSum = 0;
  double Samples = 0;
  policy_result Result;
};

} // namespace

policy_result runPolicy(const deployment &Deployment, std::uint64_t Seed,
                        const placement_strategy &Strategy) {
  return simulation(Deployment, Seed, Strategy).run();
}

double quantile(const std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  const double Position = Share * static_cast<double>(Sorted.size() - 1);
  return Sorted[static_cast<std::size_t>(std::lround(Position))];
}

double mean(const std::vector<double> &Values) {
  double Sum = 0;
  for (const double Value : Values)
    Sum += Value;
  return Values.empty() ? 0 : Sum / static_cast<double>(Values.size());
}

} // namespace galenastage::measure
