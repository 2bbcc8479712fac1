// Which organisation's work goes first.

#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>
#include <tuple>

namespace galenastage::batch {
namespace detail {
namespace {

/// Order of a heap whose top is the queue that goes first.
struct goes_later {
  double EvenShare = 0;

  bool operator()(const share_queue &Left, const share_queue &Right) const {
    const waiting_step &LeftStep = Left.next();
    const waiting_step &RightStep = Right.next();
    if (LeftStep.Priority != RightStep.Priority)
      return LeftStep.Priority > RightStep.Priority;
    const int Claims = compareClaims(Left.Claim, Right.Claim, EvenShare);
    if (Claims != 0)
      return Claims > 0;
    return ranksBefore(&RightStep, &LeftStep);
  }
};

} // namespace

/// Capacity goes to the organisation with the smallest share, one unit at a
/// time, so that within a pass none takes all that is free.
void event_handler::placeWaiting() {
  if (!isLeading() || !State.IsRecovered)
    return;
  if (const std::optional<outdated_source> Outdated = findOutdated()) {
    pauseStarts(*Outdated);
    return;
  }
  updateKept();
  advancePlans();
  advanceDepartures();
  std::vector<share_queue> Queues = listByOrganisation();
  suspendReservations();
  refreshIndex();
  for (share_queue &Queue : Queues)
    updateClaim(Queue);
  goes_later Order{evenShare(Queues)};
  std::ranges::make_heap(Queues, Order);
  while (!Queues.empty()) {
    std::ranges::pop_heap(Queues, Order);
    resumeReservations(&Queues.back().next(), Queues.back().Claim);
    const bool IsPlaced = placeNext(Queues.back());
    if (Queues.back().Steps.empty())
      Queues.pop_back();
    else
      updateClaim(Queues.back());
    // Only a placement changes the even share, and with it the whole order.
    if (IsPlaced && Queues.size() > 1) {
      Order.EvenShare = evenShare(Queues);
      std::ranges::make_heap(Queues, Order);
    } else if (!Queues.empty()) {
      std::ranges::push_heap(Queues, Order);
    }
  }
  resumeReservations(nullptr, {});
  reserveForStarved();
}

/// Most units of a step are identical: when one doesn't fit, none of the others
/// does.
bool event_handler::placeNext(share_queue &Queue) {
  const waiting_step &Step = Queue.next();
  unit_name Unit = Step.First;
  Unit.Unit = Step.Units[Queue.NextUnit];
  // A reservation may just have started it.
  const bool IsWaiting = unitState(State.Jobs.at(Unit.Job), Unit).LiveRuns == 0;
  const bool IsPaused =
      IsWaiting && !Queue.Claim.IsGuaranteed && isPaused(Unit);
  const bool MayStart = IsWaiting && !IsPaused;
  const bool IsPlaced = MayStart && place(Unit);
  if (MayStart && !IsPlaced)
    noteUnplaced(Step, Unit);
  ++Queue.NextUnit;
  const bool IsOver = Queue.NextUnit == Step.Units.size();
  if (IsOver || (MayStart && !IsPlaced && isInterchangeable(Unit))) {
    Queue.Steps.pop_back();
    Queue.NextUnit = 0;
  }
  return IsPlaced;
}

std::vector<share_queue> event_handler::listByOrganisation() {
  std::map<organisation_id, std::vector<waiting_step *>> Waiting;
  for (waiting_step *Step : listWaiting()) {
    const bool IsShared = State.Settings.Shares.IsEnabled;
    Waiting[IsShared ? State.Jobs.at(Step->First.Job).Spec.Organisation
                     : organisation_id()]
        .push_back(Step);
  }
  std::vector<share_queue> Queues;
  for (auto &[Organisation, Steps] : Waiting) {
    if (State.Settings.Shares.IsEnabled)
      markOldest(Steps);
    std::ranges::sort(Steps, [](const auto *Left, const auto *Right) {
      return ranksBefore(Right, Left);
    });
    Queues.push_back({Organisation, {Steps.begin(), Steps.end()}, 0, {}});
  }
  return Queues;
}

void event_handler::markOldest(const std::vector<waiting_step *> &Steps) const {
  std::map<int, waiting_step *> Oldest; // by priority
  for (waiting_step *Step : Steps) {
    waiting_step *&Known = Oldest[Step->Priority];
    if (!Known || std::tie(Step->Ready, Step->First) <
                      std::tie(Known->Ready, Known->First))
      Known = Step;
  }
  for (const auto &[Priority, Step] : Oldest)
    Step->IsOldest = Now - Step->Ready >= State.Settings.Shares.StarvesAfter;
}

void event_handler::updateClaim(share_queue &Queue) const {
  const waiting_step &Step = Queue.next();
  const job_state &Job = State.Jobs.at(Step.First.Job);
  const step_spec &Spec = Job.Spec.Steps[Step.First.Step];
  Queue.Claim.IsGuaranteed =
      mayReclaim(Job, {reservedResources(Spec), countTasks(Spec), false, {}});
  const bool IsAboutToMiss =
      !Step.IsMissed &&
      Step.LatestStart - WallNow <= State.Settings.Shares.DueWithin;
  Queue.Claim.IsDue = Step.IsOldest || IsAboutToMiss;
  Queue.Claim.Share = shareOf(Queue.Organisation);
}

double event_handler::shareOf(const organisation_id &Organisation) const {
  const auto Found = State.Usage.find(Organisation);
  return Found == State.Usage.end()
             ? 0
             : dominantShare(Found->second, State.Capacity.total());
}

double event_handler::evenShare(const std::vector<share_queue> &Queues) const {
  double Sum = 0;
  for (const auto &[Organisation, Used] : State.Usage)
    Sum += dominantShare(Used, State.Capacity.total());
  const auto Idle = std::ranges::count_if(Queues, [&](const auto &Queue) {
    return !State.Usage.contains(Queue.Organisation);
  });
  const std::size_t Count = State.Usage.size() + static_cast<std::size_t>(Idle);
  return Count == 0 ? 0 : Sum / static_cast<double>(Count);
}

// The backlog

void event_handler::noteWorkDone(const job_state &Job, const unit_name &Unit) {
  const step_spec &Step = Job.Spec.Steps[Unit.Step];
  if (!Step.IsLongRunning)
    State.Rates[Job.Queue.Service].Done += workOf(Step) * countTasks(Step);
}

void event_handler::updateRates() {
  constexpr double Weight = 0.1; // of half a second, so 5 s on the whole
  const double Seconds =
      std::chrono::duration<double>(State.Settings.QueueLengthInterval).count();
  for (auto &[Service, Rate] : State.Rates) {
    Rate.PerSecond += Weight * (Rate.Done / Seconds - Rate.PerSecond);
    Rate.Done = 0;
  }
}

void event_handler::publishBacklog() {
  // While work waits, readers see from the record's age that it is current.
  constexpr milliseconds RefreshInterval{1'500};
  if (!State.Settings.Shares.IsEnabled)
    return;
  updateRates();
  for (auto &[Id, Job] : State.Jobs)
    if (!Job.IsWaitingKnown && !isFinal(Job.Progress.Phase))
      updateWaiting(Job);
  backlog Backlog = countBacklog();
  limitSize(Backlog);
  const bool HasWork = std::ranges::any_of(
      Backlog.Services, [](const auto &Item) { return !Item.Entries.empty(); });
  const bool IsOld = Now - State.BacklogPublished >= RefreshInterval;
  const bool IsCurrent = State.PublishedBacklog &&
                         !differsNotably(*State.PublishedBacklog, Backlog) &&
                         !(HasWork && IsOld);
  if (IsCurrent || !State.Publishing.insert(published_record::Backlog).second)
    return;
  State.SentBacklog = Backlog;
  State.BacklogPublished = Now;
  Out.emplace_back(
      publish_backlog{State.Token, ++State.BacklogNumber, std::move(Backlog)});
}

backlog event_handler::countBacklog() const {
  using key = std::pair<organisation_id, int>; // and priority
  std::map<service_id, std::map<key, backlog_entry>> Entries;
  for (const auto &[Id, Job] : State.Jobs) {
    if (isFinal(Job.Progress.Phase) || Job.Open == open_work{})
      continue;
    const int Priority = Job.Queue.Priority;
    const organisation_id &Organisation = Job.Spec.Organisation;
    backlog_entry &Entry = Entries[Job.Queue.Service][{Organisation, Priority}];
    Entry.Organisation = Organisation;
    Entry.Priority = Priority;
    Entry.Waiting += Job.Open.Waiting;
    Entry.Running += Job.Open.Running;
    if (Priority != 0)
      continue;
    if (const auto Used = State.GuaranteedUse.find(Organisation);
        Entry.Accelerators == 0 && Used != State.GuaranteedUse.end())
      Entry.Accelerators = Used->second;
    for (const waiting_step &Step : Job.Waiting) {
      const step_spec &Spec = Job.Spec.Steps[Step.First.Step];
      Entry.Accelerators += static_cast<int>(Step.Units.size()) *
                            countTasks(Spec) * Spec.Needs.Accelerators;
    }
  }
  backlog Backlog;
  for (const auto &[Service, OfService] : Entries) {
    const indexed_service *Known = State.Capacity.find(Service);
    if (!Known)
      continue;
    service_backlog Listed;
    Listed.Service = Service;
    Listed.Capacity = weightedCores(Known->total());
    Listed.Accelerators = static_cast<int>(Known->total().Accelerators);
    if (const auto Rate = State.Rates.find(Service); Rate != State.Rates.end())
      Listed.Rate = Rate->second.PerSecond;
    for (const auto &[Key, Entry] : OfService)
      Listed.Entries.push_back(Entry);
    Backlog.Services.push_back(std::move(Listed));
  }
  return Backlog;
}

void event_handler::addUsage(const organisation_id &Organisation,
                             const resources &Needs, int Count) {
  capacity_sum &Used = State.Usage[Organisation];
  Used.add(Needs, Count);
  if (Used == capacity_sum{})
    State.Usage.erase(Organisation);
}

} // namespace detail

std::map<organisation_id, capacity_sum>
countUsage(const scheduler_state &State) {
  std::map<organisation_id, capacity_sum> Usage;
  for (const auto &[Id, Executor] : State.Executors)
    for (const auto &[Name, Run] : Executor.Runs)
      if (const auto Job = State.Jobs.find(Name.Task.Job);
          Job != State.Jobs.end() && !Run.IsOrphan)
        Usage[Job->second.Spec.Organisation].add(Run.Needs, 1);
  for (const auto &[Unit, Plan] : State.Plans)
    if (const auto Job = State.Jobs.find(Unit.Job); Job != State.Jobs.end())
      Usage[Job->second.Spec.Organisation].add(
          reservedResources(Job->second.Spec.Steps[Unit.Step]),
          static_cast<int>(Plan.Executors.size()));
  std::erase_if(Usage,
                [](const auto &Item) { return Item.second == capacity_sum{}; });
  return Usage;
}

} // namespace galenastage::batch
