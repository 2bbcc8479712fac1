// Which executors are fast, and which work needs them.

#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>
#include <cmath>

namespace galenastage::batch::detail {
namespace {

/// Speed and deviation with two decimals, for log lines.
std::string printHundredths(double Value) {
  const long Hundredths = std::lround(Value * 100);
  const std::string Digits = std::to_string(Hundredths % 100);
  return std::to_string(Hundredths / 100) + (Digits.size() < 2 ? ".0" : ".") +
         Digits;
}

bool isOtherMachine(const executor_speed &Known,
                    const executor_report &Report) {
  return Known.Service != Report.Service || Known.Kind != Report.Kind ||
         Known.Capacity != Report.Capacity;
}

} // namespace

bool isUnprobed(const indexed_executor &Executor) {
  return Executor.IsOpen && Executor.Speed == speed_class::Unknown &&
         !Executor.IsKept && Executor.Free == Executor.Capacity;
}

// Placement

bool event_handler::isTight(const placement_query &Query, double Factor) const {
  const job_state &Job = Query.Job;
  const int Occurrence = Query.Unit.Occurrence;
  const milliseconds Path =
      remainingCriticalPath(Job.Spec, &Job.Progress.Occurrences.at(Occurrence));
  const speed_settings &Settings = State.Settings.Speeds;
  const double OnSlow = static_cast<double>(Path.count()) *
                        Settings.TightMargin * Factor / Settings.SlowSpeed;
  return WallNow + milliseconds(static_cast<std::int64_t>(OnSlow)) >
         objectiveOf(Job, Occurrence);
}

std::vector<executor_filter>
event_handler::preferredSpeeds(const placement_query &Query) const {
  using enum speed_class;
  const speed_settings &Settings = State.Settings.Speeds;
  const auto Sums = State.SpeedSums.find(Query.Job.Queue.Service);
  const bool IsAny = !Settings.IsEnabled || Sums == State.SpeedSums.end();
  if (IsAny)
    return {executor_filter::all()};
  if (!Sums->second.IsUneven)
    return {executor_filter::all()};
  if (isTight(Query))
    return {executor_filter::ofSpeeds({Fast}),
            executor_filter::ofSpeeds({Fast, Normal}),
            executor_filter::ofSpeeds({Fast, Normal, Unknown}),
            executor_filter::all()};
  // The slowest task of a wide gang takes longer than its mean.
  const double Spread =
      Query.Step.IsGang
          ? std::exp(Settings.TaskDeviation *
                     std::sqrt(2 * std::log(std::max(1, Query.Step.Count))))
          : 1;
  if (isTight(Query, Spread))
    return {executor_filter::ofSpeeds({Normal, Unknown}),
            executor_filter::ofSpeeds({Normal, Unknown, Fast}),
            executor_filter::all()};
  const executor_filter AllButFast =
      executor_filter::ofSpeeds({Unknown, Slow, Normal});
  const bool IsFull =
      Query.Service->percentInUse() >= Settings.SpreadBelowPercent;
  if (IsFull)
    return {AllButFast, executor_filter::all()};
  return {executor_filter::ofSpeeds({Slow}),
          executor_filter::ofSpeeds({Slow, Unknown}), AllButFast,
          executor_filter::all()};
}

std::optional<placement_choice>
event_handler::placeProbing(const placement_query &Query,
                            const placement_request &Request) {
  const speed_settings &Settings = State.Settings.Speeds;
  const service_id &Service = Query.Job.Queue.Service;
  const auto Unprobed = State.Unprobed.find(Service);
  const auto Sums = State.SpeedSums.find(Service);
  // Some probes are needed to see whether speeds are uneven, in a small service
  // of a part of its executors.
  constexpr int FirstProbes = 4; // times the executors that tell it
  constexpr int ProbedPart = 4;  // one of so many executors
  const int Wanted = std::min(
      FirstProbes * Settings.LeastCertain,
      std::max(Settings.LeastCertain, Query.Service->executors() / ProbedPart));
  const bool IsWanted = Sums == State.SpeedSums.end() ||
                        Sums->second.IsUneven || Sums->second.Certain < Wanted;
  const bool MayProbe =
      Settings.IsEnabled && IsWanted &&
      std::ssize(State.Probing) < Settings.MostProbes &&
      Unprobed != State.Unprobed.end() && !Query.Step.IsGang &&
      !Query.Step.IsLongRunning && Query.Step.Affinity.isEmpty() &&
      Query.isUnrestricted() &&
      Query.Service->percentInUse() < Settings.ProbeBelowPercent &&
      !isTight(Query);
  if (!MayProbe)
    return std::nullopt;
  for (const executor_id &Id : Unprobed->second)
    if (State.Executors.at(Id).Report.Capacity.covers(Request.Needs)) {
      State.Probing.insert(Id);
      return placement_choice{{Id}, {}};
    }
  return std::nullopt;
}

bool event_handler::isProbed(const executor_state &Executor) const {
  return State.Probing.contains(Executor.Report.Id);
}

std::optional<placement_choice>
event_handler::chooseFastReclaim(placement_query Query,
                                 const placement_request &Request,
                                 std::map<unit_name, int> &Groups) {
  using enum speed_class;
  const auto Sums = State.SpeedSums.find(Query.Job.Queue.Service);
  const bool AvoidsSlow = State.Settings.Speeds.IsEnabled &&
                          Sums != State.SpeedSums.end() &&
                          Sums->second.IsUneven && isTight(Query);
  const executor_filter Allowed = Query.Allowed;
  if (AvoidsSlow) {
    Query.Allowed =
        Allowed & executor_filter::ofSpeeds({Unknown, Normal, Fast});
    if (auto Choice = chooseReclaim(Query, Request, Groups))
      return Choice;
  }
  Query.Allowed = Allowed;
  return chooseReclaim(Query, Request, Groups);
}

// Observations

void event_handler::measureProgress(const executor_state &Executor,
                                    job_state &Job, const run_name &Name,
                                    const run_state &Run) {
  const speed_settings &Settings = State.Settings.Speeds;
  const bool IsMeasurable = Settings.IsEnabled &&
                            Run.Phase == run_phase::Active &&
                            !Run.IsLongRunning && !Executor.IsStalled;
  if (!IsMeasurable)
    return;
  const unit_name Unit = unitNameOf(Job, Name.Task);
  speed_probe &Probe = unitState(Job, Unit).Probe;
  const bool HasStalled = Probe.HasBegun && Probe.Attempt == Name.Attempt &&
                          isStalled(Run.Pace, State.Settings.Pace);
  if (HasStalled)
    Probe.IsOver = true;
  if (const auto Share = measure(Probe, Settings, Name.Attempt,
                                 Run.Pace.Percent, Run.IsCheckpointing, Now))
    learnFrom(Job, Unit, Name.Attempt, *Share);
}

void event_handler::measureDone(const executor_state &Executor, job_state &Job,
                                const run_name &Name, instant Sent) {
  const speed_settings &Settings = State.Settings.Speeds;
  const unit_name Unit = unitNameOf(Job, Name.Task);
  speed_probe &Probe = unitState(Job, Unit).Probe;
  // An end without a hold in flight is known late; a hold that waited for it is
  // answered when it happens.
  constexpr milliseconds Waited{200};
  constexpr int Precision = 10; // of the duration that is measured
  const bool IsPrompt =
      Now - Sent >= Waited || Executor.HoldGap <= (Now - Probe.At) / Precision;
  if (!Settings.IsEnabled || !IsPrompt ||
      Job.Spec.Steps[Unit.Step].IsLongRunning)
    return;
  if (const auto Share = measureEnd(Probe, Settings, Name.Attempt, Now))
    learnFrom(Job, Unit, Name.Attempt, *Share);
}

std::vector<executor_id> event_handler::listMeasured(const job_state &Job,
                                                     const unit_name &Unit,
                                                     int Attempt) {
  const unit_progress *Progress = findProgress(Unit);
  const step_spec &Step = Job.Spec.Steps[Unit.Step];
  const auto Tasks = static_cast<std::size_t>(countTasks(Step));
  if (!Progress || Progress->Attempts != Attempt ||
      Progress->Placed.size() != Tasks)
    return {};
  std::vector<executor_id> Executors;
  std::set<rack_id> Racks;
  for (const task_placement &Placed : Progress->Placed) {
    const auto Found = State.Executors.find(Placed.Executor);
    if (Found == State.Executors.end())
      return {};
    const executor_report &Report = Found->second.Report;
    const bool IsAway =
        !Step.Affinity.isEmpty() && Report.Rack != Step.Affinity;
    Racks.insert(Report.Rack);
    if (IsAway || (Step.IsRackLocal && Racks.size() > 1))
      return {};
    if (std::ranges::count(Executors, Placed.Executor) == 0)
      Executors.push_back(Placed.Executor);
  }
  return Executors;
}

void event_handler::learnFrom(job_state &Job, const unit_name &Unit,
                              int Attempt, double SharePerSecond) {
  const speed_settings &Settings = State.Settings.Speeds;
  const std::vector<executor_id> Ids = listMeasured(Job, Unit, Attempt);
  const double Estimate =
      std::chrono::duration<double>(Job.Spec.Steps[Unit.Step].Estimate).count();
  if (Ids.empty() || Estimate <= 0)
    return;
  const double Unobserved = Settings.SpeedDeviation * Settings.SpeedDeviation;
  std::vector<log_estimate> Members;
  for (const executor_id &Id : Ids) {
    const auto Known = State.Speeds.find(Id);
    if (Known == State.Speeds.end())
      Members.push_back({0, Unobserved});
    else
      Members.push_back(age(Settings, Known->second.Estimate,
                            std::chrono::duration_cast<milliseconds>(
                                Now - Known->second.LearnedAt)));
  }
  log_estimate &Pace =
      Job.Paces.try_emplace(Unit.Step, paceOf(Job, Unit.Step)).first->second;
  learnPace(Settings, Pace, Members, std::log(SharePerSecond * Estimate));
  for (std::size_t I = 0; I < Ids.size(); ++I)
    setSpeed(State.Executors.at(Ids[I]), Members[I]);
}

void event_handler::setSpeed(executor_state &Executor,
                             const log_estimate &Estimate) {
  const executor_report &Report = Executor.Report;
  executor_speed &Known = State.Speeds[Report.Id];
  speed_sums &Sums = State.SpeedSums[Report.Service];
  if (Known.Observations > 0)
    Sums.remove(Known);
  Known.Service = Report.Service;
  Known.Kind = Report.Kind;
  Known.Capacity = Report.Capacity;
  Known.Estimate = Estimate;
  Known.LearnedAt = Now;
  ++Known.Observations;
  State.Probing.erase(Report.Id);
  State.AreSpeedsUnsaved = true;
  const double Mean = Sums.mean();
  Sums.add(Known);
  if (Sums.updateUneven(State.Settings.Speeds))
    classifyAll(Report.Service);
  else
    setClass(Report.Id, Known, Mean);
}

/// Executors have classes only while the speeds of their service are uneven.
void event_handler::setClass(const executor_id &Id, executor_speed &Known,
                             double Mean) {
  speed_sums &Sums = State.SpeedSums.at(Known.Service);
  const speed_class Class =
      Sums.IsUneven
          ? classify(State.Settings.Speeds, Known.Estimate, Mean, Known.Class)
          : speed_class::Unknown;
  if (Class == Known.Class)
    return;
  Sums.remove(Known);
  const speed_class Before = std::exchange(Known.Class, Class);
  Sums.add(Known);
  if (const auto Executor = State.Executors.find(Id);
      Executor != State.Executors.end()) {
    Executor->second.Speed = Class;
    touch(Executor->second);
  }
  log(events::SpeedClassChanged,
      {{"executor", Id.Value},
       {"class", std::string(name(Class))},
       {"before", std::string(name(Before))},
       {"speed", printHundredths(std::exp(Known.Estimate.Mean - Mean))},
       {"deviation", printHundredths(std::sqrt(Known.Estimate.Variance))},
       {"observations", std::to_string(Known.Observations)}});
}

void event_handler::classifyAll(const service_id &Service) {
  const double Mean = State.SpeedSums.at(Service).mean();
  for (auto &[Id, Known] : State.Speeds)
    if (Known.Service == Service)
      setClass(Id, Known, Mean);
}

// The stored record

/// Estimates are less certain than when they were stored; for how long the
/// store had them isn't known.
void event_handler::apply(const speeds_found &Event) {
  const speed_settings &Settings = State.Settings.Speeds;
  constexpr milliseconds Assumed{10'000}; // without a leader
  if (!Settings.IsEnabled)
    return;
  for (const stored_speed &Stored : Event.Speeds) {
    const auto Executor = State.Executors.find(Stored.Executor);
    executor_speed Known{Stored.Service,
                         Stored.Kind,
                         Stored.Capacity,
                         age(Settings, Stored.Estimate, Assumed),
                         Now,
                         2};
    const bool IsUsable = !State.Speeds.contains(Stored.Executor) &&
                          (Executor == State.Executors.end() ||
                           !isOtherMachine(Known, Executor->second.Report));
    if (!IsUsable)
      continue;
    State.SpeedSums[Stored.Service].add(Known);
    State.Speeds[Stored.Executor] = Known;
  }
  for (auto &[Service, Sums] : State.SpeedSums) {
    Sums.updateUneven(Settings);
    classifyAll(Service);
  }
  forgetOldSpeeds();
  log(events::SpeedsRead, {{"executors", std::to_string(State.Speeds.size())},
                           {"stored", std::to_string(Event.Speeds.size())}});
}

void event_handler::saveSpeeds() {
  const bool IsDue = State.AreSpeedsUnsaved && isLeading() &&
                     State.IsRecovered && Now >= State.NextSpeedSave;
  if (!IsDue || !State.Publishing.insert(published_record::Speeds).second)
    return;
  State.AreSpeedsUnsaved = false;
  State.NextSpeedSave = Now + State.Settings.Speeds.SaveInterval;
  save_speeds Save{State.Token, {}};
  for (const auto &[Id, Known] : State.Speeds)
    Save.Speeds.push_back(
        {Id, Known.Service, Known.Kind, Known.Capacity, Known.Estimate});
  Out.emplace_back(std::move(Save));
}

// Restarts

void event_handler::recallSpeed(executor_state &Executor, bool IsRestarted) {
  const auto Found = State.Speeds.find(Executor.Report.Id);
  if (Found == State.Speeds.end())
    return;
  executor_speed &Known = Found->second;
  const bool IsSame = !isOtherMachine(Known, Executor.Report);
  const bool IsResized = !IsRestarted &&
                         Known.Service == Executor.Report.Service &&
                         Known.Kind == Executor.Report.Kind;
  if (!IsSame && !IsResized) {
    forgetSpeed(Executor);
    return;
  }
  Known.Capacity = Executor.Report.Capacity;
  if (std::exchange(Executor.Speed, Known.Class) != Known.Class)
    touch(Executor);
}

void event_handler::forgetSpeed(executor_state &Executor) {
  const auto Found = State.Speeds.find(Executor.Report.Id);
  if (Found == State.Speeds.end())
    return;
  State.SpeedSums[Found->second.Service].remove(Found->second);
  State.Speeds.erase(Found);
  if (std::exchange(Executor.Speed, speed_class::Unknown) !=
      speed_class::Unknown)
    touch(Executor);
}

void event_handler::forgetOldSpeeds() {
  constexpr std::size_t MostGone = 1'000; // executors
  if (State.Speeds.size() <= State.Executors.size() + MostGone)
    return;
  std::erase_if(State.Speeds, [&](const auto &Item) {
    const bool IsGone = !State.Executors.contains(Item.first);
    if (IsGone)
      State.SpeedSums[Item.second.Service].remove(Item.second);
    return IsGone;
  });
}

std::string event_handler::explainStaleSpeeds() const {
  std::map<service_id, speed_sums> Recount;
  for (const auto &[Id, Known] : State.Speeds)
    Recount[Known.Service].add(Known);
  constexpr double Rounding = 1e-6; // of sums that change often
  for (const auto &[Service, Sums] : State.SpeedSums) {
    const speed_sums &Fresh = Recount[Service];
    if (Fresh.Observed != Sums.Observed || Fresh.Certain != Sums.Certain ||
        Fresh.Classes != Sums.Classes ||
        std::abs(Fresh.Squares - Sums.Squares) > Rounding ||
        std::abs(Fresh.Variances - Sums.Variances) > Rounding ||
        std::abs(Fresh.Logs - Sums.Logs) > Rounding)
      return "the speeds of " + Service.Value + " differ from a recount";
  }
  for (const auto &[Id, Executor] : State.Executors) {
    const auto Known = State.Speeds.find(Id);
    const speed_class Class = Known == State.Speeds.end() ? speed_class::Unknown
                                                          : Known->second.Class;
    if (Executor.Speed != Class)
      return "the speed of " + Id.Value + " is stale";
  }
  return {};
}

// Durations

log_estimate event_handler::paceOf(const job_state &Job, int Step) const {
  if (const auto Known = Job.Paces.find(Step); Known != Job.Paces.end())
    return Known->second;
  const speed_settings &Settings = State.Settings.Speeds;
  const auto Queue = State.QueuePaces.find(Job.Queue.Name);
  return {Queue == State.QueuePaces.end() ? 0 : Queue->second.Mean,
          Settings.StepDeviation * Settings.StepDeviation};
}

/// Estimates deviate from those of other jobs; only what jobs have in common is
/// the queue's.
void event_handler::learnEstimates(const job_state &Job) {
  const speed_settings &Settings = State.Settings.Speeds;
  const double Prior = Settings.StepDeviation * Settings.StepDeviation;
  const double Least = Settings.LeastDeviation * Settings.LeastDeviation;
  for (const auto &[Step, Pace] : Job.Paces) {
    log_estimate &Queue =
        State.QueuePaces.try_emplace(Job.Queue.Name, log_estimate{0, Prior})
            .first->second;
    const double Gain =
        Queue.Variance / (Queue.Variance + Pace.Variance + Prior);
    Queue.Mean += Gain * (Pace.Mean - Queue.Mean);
    Queue.Variance = std::max(Least, Queue.Variance * (1 - Gain));
  }
}

double event_handler::speedOf(const job_state &Job,
                              const unit_name &Unit) const {
  const auto &Occurrences = Job.Progress.Occurrences;
  const auto Occurrence = Occurrences.find(Unit.Occurrence);
  if (Occurrence == Occurrences.end() || Occurrence->second.IsDone)
    return 0;
  std::optional<double> Slowest;
  const unit_progress &Progress =
      Occurrence->second.Steps[Unit.Step].Units[Unit.Unit];
  for (const task_placement &Placed : Progress.Placed) {
    const auto Known = State.Speeds.find(Placed.Executor);
    const double Log =
        Known == State.Speeds.end() ? 0 : Known->second.Estimate.Mean;
    Slowest = std::min(Slowest.value_or(Log), Log);
  }
  return Slowest.value_or(0);
}

milliseconds event_handler::remainingTime(const job_state &Job,
                                          const run_name &Name,
                                          const run_state &Run) const {
  constexpr int WholePercent = 100;
  const speed_settings &Settings = State.Settings.Speeds;
  const unit_name Unit = unitNameOf(Job, Name.Task);
  const auto Units = Job.Units.find(Unit.Occurrence);
  const speed_probe Probe = Units == Job.Units.end() || Units->second.empty()
                                ? speed_probe{}
                                : Units->second[Unit.Step][Unit.Unit].Probe;
  const int Percent = std::clamp(Run.Pace.Percent, 0, WholePercent);
  const int Rest = WholePercent - Percent;
  const int Advance = Percent - Probe.Percent;
  const bool IsMeasured = Probe.Attempt == Name.Attempt && Probe.HasBegun &&
                          Advance >= Settings.LeastPercent &&
                          Run.Pace.SeenAt > Probe.At;
  double Seconds = 0; // from the last report
  if (IsMeasured) {
    const std::chrono::duration<double> Span = Run.Pace.SeenAt - Probe.At;
    Seconds = Span.count() * Rest / Advance;
  } else {
    const std::chrono::duration<double> Estimate =
        Job.Spec.Steps[Unit.Step].Estimate;
    const double Pace = paceOf(Job, Unit.Step).Mean + speedOf(Job, Unit);
    Seconds = Estimate.count() * Rest / WholePercent / std::exp(Pace);
  }
  const milliseconds Whole(std::llround(1'000 * Seconds));
  if (Percent == 0)
    return Whole; // it may not have begun
  const auto SinceSeen =
      std::chrono::duration_cast<milliseconds>(Now - Run.Pace.SeenAt);
  return std::max(milliseconds(0), Whole - SinceSeen);
}

} // namespace galenastage::batch::detail
