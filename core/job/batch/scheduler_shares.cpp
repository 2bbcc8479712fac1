// Which organisation's work goes first.

#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>

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
  advancePlans();
  std::vector<share_queue> Queues = listByOrganisation();
  refreshIndex();
  for (share_queue &Queue : Queues)
    updateClaim(Queue);
  goes_later Order{evenShare(Queues)};
  std::ranges::make_heap(Queues, Order);
  while (!Queues.empty()) {
    std::ranges::pop_heap(Queues, Order);
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
}

/// The units of a step are identical but for suspects: when one doesn't fit,
/// none of the others does.
bool event_handler::placeNext(share_queue &Queue) {
  const waiting_step &Step = Queue.next();
  unit_name Unit = Step.First;
  Unit.Unit = Step.Units[Queue.NextUnit];
  const bool IsSuspect = findProgress(Unit)->hasSuspect();
  const bool IsPlaced = place(Unit);
  ++Queue.NextUnit;
  const bool IsOver = Queue.NextUnit == Step.Units.size();
  if (IsOver || (!IsPlaced && !IsSuspect)) {
    Queue.Steps.pop_back();
    Queue.NextUnit = 0;
  }
  return IsPlaced;
}

std::vector<share_queue> event_handler::listByOrganisation() {
  std::map<organisation_id, std::vector<const waiting_step *>> Waiting;
  for (const waiting_step *Step : listWaiting()) {
    const bool IsShared = State.Settings.Shares.IsEnabled;
    Waiting[IsShared ? State.Jobs.at(Step->First.Job).Spec.Organisation
                     : organisation_id()]
        .push_back(Step);
  }
  std::vector<share_queue> Queues;
  for (auto &[Organisation, Steps] : Waiting) {
    std::ranges::sort(Steps, [](const auto *Left, const auto *Right) {
      return ranksBefore(Right, Left);
    });
    Queues.push_back({Organisation, std::move(Steps), 0, {}});
  }
  return Queues;
}

void event_handler::updateClaim(share_queue &Queue) const {
  const waiting_step &Step = Queue.next();
  const job_state &Job = State.Jobs.at(Step.First.Job);
  const step_spec &Spec = Job.Spec.Steps[Step.First.Step];
  Queue.Claim.IsGuaranteed =
      mayReclaim(Job, {reservedResources(Spec), countTasks(Spec), false, {}});
  Queue.Claim.IsDue = !Step.IsMissed && Step.LatestStart - WallNow <=
                                            State.Settings.Shares.DueWithin;
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
