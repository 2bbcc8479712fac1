// Room that is kept free for guaranteed work.

#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>
#include <tuple>

namespace galenastage::batch {
namespace detail {
namespace {

constexpr int WholePercent = 100;

/// Fast executors are kept before slow ones.
int speedRank(speed_class Speed) {
  switch (Speed) {
  case speed_class::Fast:
    return 0;
  case speed_class::Normal:
    return 1;
  case speed_class::Unknown:
    return 2;
  case speed_class::Slow:
    break;
  }
  return 3;
}

/// Sums over the open executors of a service.
struct open_capacity {
  resources Sum;
  int Count = 0;

  [[nodiscard]] resources typical() const {
    return Count == 0 ? resources{}
                      : resources{Sum.MilliCpu / Count, Sum.MemoryMb / Count,
                                  Sum.Accelerators / Count};
  }
};

} // namespace

void event_handler::noteUrgentNeeds(const job_state &Job,
                                    const resources &Needs, int Count) {
  service_headroom &Room = State.Headroom[Job.Queue.Service];
  Room.Use += Needs * Count;
  recordUse(Room.Demand, inExecutors(Room.Use, Room.Typical), Now,
            State.Settings.Headroom);
  if (Count > 0)
    State.UrgentSeen[Job.Spec.Organisation] = Now;
}

void event_handler::recountUrgentNeeds() {
  for (auto &[Service, Room] : State.Headroom)
    Room.Use = {};
  for (auto &[Service, Use] : countUrgentNeeds(State))
    State.Headroom[Service].Use = Use;
}

/// Guarantees of the organisations that had urgent work recently.
int event_handler::guaranteesInUse() const {
  int Sum = 0;
  for (const organisation_config &Organisation : State.Config.Organisations) {
    const auto Seen = State.UrgentSeen.find(Organisation.Name);
    const auto Use = State.GuaranteedUse.find(Organisation.Name);
    const bool IsUsed =
        (Use != State.GuaranteedUse.end() && Use->second > 0) ||
        (Seen != State.UrgentSeen.end() &&
         Now - Seen->second < State.Settings.Headroom.DecayTime);
    Sum += IsUsed ? Organisation.GuaranteedAccelerators : 0;
  }
  return Sum;
}

void event_handler::updateKept() {
  const headroom_settings &Settings = State.Settings.Headroom;
  if (!Settings.IsEnabled || Now < State.NextHeadroom)
    return;
  State.NextHeadroom = Now + Settings.UpdateInterval;
  refreshIndex();
  for (auto &[Service, Room] : State.Headroom)
    updateKept(Service, Room);
}

void event_handler::updateKept(const service_id &Service,
                               service_headroom &Room) {
  const headroom_settings &Settings = State.Settings.Headroom;
  const std::size_t Before = Room.Kept.size();
  releaseUnusable(Service, Room);
  open_capacity Open;
  if (const indexed_service *Known = State.Capacity.find(Service))
    Known->fromLargest([&](const indexed_rack &Rack) {
      Open.Sum += Rack.Capacity;
      Open.Count += static_cast<int>(Rack.Open.size());
      return true;
    });
  Room.Capacity = Open.Sum;
  Room.Typical = Open.typical();
  recordUse(Room.Demand, inExecutors(Room.Use, Room.Typical), Now, Settings);
  const double Guaranteed =
      inExecutors({0, 0, guaranteesInUse()}, Room.Typical);
  const int Wanted =
      countKept(Room.Demand, Guaranteed, Open.Count, Now, Settings);
  const int Missing = Wanted - static_cast<int>(Room.Kept.size());
  if (Missing > 0)
    keepMore(Service, Room, Missing);
  else if (Missing < 0)
    keepFewer(Room, -Missing);
  if (Room.Kept.size() != Before && Now >= Room.NextLog) {
    Room.NextLog = Now + Settings.LogInterval;
    const auto Print = [](double Value) {
      return std::to_string(static_cast<int>(Value));
    };
    log(events::KeptChanged,
        {{"service", Service.Value},
         {"kept", std::to_string(Room.Kept.size())},
         {"use", Print(Room.Demand.Use)},
         {"peak", Print(recentPeak(Room.Demand, Now, Settings))},
         {"guaranteed", Print(Guaranteed)}});
  }
}

void event_handler::setKept(executor_state &Executor, service_headroom &Room,
                            bool IsKept) {
  if (IsKept)
    Room.Kept.insert(Executor.Report.Id);
  else
    Room.Kept.erase(Executor.Report.Id);
  Executor.IsKept = IsKept;
  touch(Executor);
}

/// Releases executors that nothing may start on.
void event_handler::releaseUnusable(const service_id &Service,
                                    service_headroom &Room) {
  const std::set<executor_id> Kept = Room.Kept;
  for (const executor_id &Id : Kept) {
    const auto Found = State.Executors.find(Id);
    if (Found == State.Executors.end())
      Room.Kept.erase(Id);
    else if (!isUsable(Found->second, Service))
      setKept(Found->second, Room, false);
  }
}

/// Keeps executors of few racks: of those where the most are kept already, then
/// of those where the least other work runs.
void event_handler::keepMore(const service_id &Service, service_headroom &Room,
                             int Count) {
  const indexed_service *Known = State.Capacity.find(Service);
  if (!Known)
    return;
  const std::map<rack_id, int> KeptIn = countKeptByRack(Room);
  std::vector<std::tuple<int, std::int64_t, const indexed_rack *>> Racks;
  Known->fromLargest([&](const indexed_rack &Rack) {
    const auto Kept = KeptIn.find(Rack.Id);
    Racks.emplace_back(Kept == KeptIn.end() ? 0 : -Kept->second,
                       capacityWeight(Rack.Preemptible), &Rack);
    return true;
  });
  std::ranges::sort(Racks, [](const auto &Left, const auto &Right) {
    return std::tie(std::get<0>(Left), std::get<1>(Left),
                    std::get<2>(Left)->Id) < std::tie(std::get<0>(Right),
                                                      std::get<1>(Right),
                                                      std::get<2>(Right)->Id);
  });
  for (const auto &[Kept, Other, Rack] : Racks) {
    std::vector<std::tuple<int, std::int64_t, executor_id>> Members;
    for (const auto &[Id, Executor] : Rack->Open)
      if (!Executor.IsKept)
        Members.emplace_back(speedRank(Executor.Speed),
                             capacityWeight(Executor.Preemptible), Id);
    std::ranges::sort(Members);
    for (const auto &[Speed, Weight, Id] : Members) {
      if (Count-- == 0)
        return;
      setKept(State.Executors.at(Id), Room, true);
    }
    if (Count == 0)
      return;
  }
}

/// Releases executors of the racks where the fewest are kept, those with the
/// most other work first.
void event_handler::keepFewer(service_headroom &Room, int Count) {
  const std::map<rack_id, int> KeptIn = countKeptByRack(Room);
  std::vector<std::tuple<int, rack_id, std::int64_t, executor_id>> Order;
  for (const executor_id &Id : Room.Kept) {
    const executor_state &Executor = State.Executors.at(Id);
    const resources Free = Executor.Report.Capacity - Executor.Used;
    Order.emplace_back(KeptIn.at(Executor.Report.Rack), Executor.Report.Rack,
                       capacityWeight(Free), Id);
  }
  std::ranges::sort(Order);
  for (int I = 0; I < Count; ++I)
    setKept(State.Executors.at(std::get<3>(Order[static_cast<std::size_t>(I)])),
            Room, false);
}

std::map<rack_id, int>
event_handler::countKeptByRack(const service_headroom &Room) const {
  std::map<rack_id, int> Counts;
  for (const executor_id &Id : Room.Kept)
    ++Counts[State.Executors.at(Id).Report.Rack];
  return Counts;
}

std::vector<executor_filter>
event_handler::preferredRoom(const placement_query &Query) const {
  const auto Room = State.Headroom.find(Query.Job.Queue.Service);
  if (Room == State.Headroom.end() || Room->second.Kept.empty())
    return {executor_filter::all()};
  const placement_request Request{
      reservedResources(Query.Step), countTasks(Query.Step), false, {}};
  if (mayReclaim(Query.Job, Request))
    return {executor_filter::kept(true), executor_filter::all()};
  // Urgent work beyond its guarantee ends soon, and waited up to 5.8 s without
  // this (simulated, guarantees of 30% of the service).
  const bool IsShort = Query.Job.Queue.Priority == 0 &&
                       Query.Step.Estimate <= State.Settings.Headroom.ShortWork;
  if (IsShort)
    return {executor_filter::kept(false), executor_filter::all()};
  return {mayUseKept(Query, Room->second) ? executor_filter::all()
                                          : executor_filter::kept(false)};
}

bool event_handler::mayUseKept(const placement_query &Query,
                               const service_headroom &Room) const {
  const step_spec &Step = Query.Step;
  const auto &Units = Query.Job.Units.at(Query.Unit.Occurrence);
  const instant Ready = Units[Query.Unit.Step][Query.Unit.Unit].Ready;
  if (Now - Ready < State.Settings.Headroom.LongestExclusion)
    return false;
  const std::int64_t Weight =
      capacityWeight(reservedResources(Step)) * countTasks(Step);
  const bool IsWide =
      Weight * 2 * WholePercent >
      capacityWeight(Room.Capacity) *
          (WholePercent - State.Settings.Headroom.MaxSharePercent);
  return IsWide || !Step.Requirement.empty() || Step.MaxPerExecutor > 0;
}

std::string event_handler::explainStaleHeadroom() const {
  const auto Uses = countUrgentNeeds(State);
  for (const auto &[Service, Room] : State.Headroom) {
    const auto Use = Uses.find(Service);
    if (!(Room.Use == (Use == Uses.end() ? resources{} : Use->second)))
      return "the urgent use of " + Service.Value + " is stale";
    for (const executor_id &Id : Room.Kept)
      if (const auto Found = State.Executors.find(Id);
          Found != State.Executors.end() && !Found->second.IsKept)
        return Id.Value + " isn't marked as kept";
  }
  std::set<executor_id> Kept;
  for (const auto &[Service, Room] : State.Headroom)
    Kept.insert(Room.Kept.begin(), Room.Kept.end());
  for (const auto &[Id, Executor] : State.Executors)
    if (Executor.IsKept && !Kept.contains(Id))
      return Id.Value + " is marked as kept";
  return {};
}

} // namespace detail

std::map<service_id, resources> countUrgentNeeds(const scheduler_state &State) {
  std::map<service_id, resources> Uses;
  for (const auto &[Id, Executor] : State.Executors)
    for (const auto &[Name, Run] : Executor.Runs) {
      const auto Job = State.Jobs.find(Name.Task.Job);
      if (Run.IsUrgent && Job != State.Jobs.end())
        Uses[Job->second.Queue.Service] += Run.Needs;
    }
  for (const auto &[Unit, Plan] : State.Plans)
    if (const auto Job = State.Jobs.find(Unit.Job); Job != State.Jobs.end())
      Uses[Job->second.Queue.Service] +=
          reservedResources(Job->second.Spec.Steps[Unit.Step]) *
          static_cast<int>(Plan.Executors.size());
  return Uses;
}

} // namespace galenastage::batch
