#include "core/job/batch/capacity_index.hpp"

#include <algorithm>

namespace galenastage::batch {
namespace {

constexpr int WholePercent = 100;

resources largerOf(const resources &Left, const resources &Right) {
  return {std::max(Left.MilliCpu, Right.MilliCpu),
          std::max(Left.MemoryMb, Right.MemoryMb),
          std::max(Left.Accelerators, Right.Accelerators)};
}

} // namespace

bool indexed_executor::hasLabel(std::string_view Label) const {
  return Kind == Label || Rack.Value == Label;
}

std::int64_t capacityWeight(const resources &Amount) {
  // As weightedCores, but exact: a sum of needs is compared with a sum of
  // what is free.
  constexpr std::int64_t MilliCpuPerAccelerator = 8'000;
  return Amount.MilliCpu + MilliCpuPerAccelerator * Amount.Accelerators;
}

int countFits(const resources &Free, const resources &Needs, int Limit) {
  int Fits = std::max(0, Limit);
  const auto Bound = [&](int Have, int Need) {
    if (Need > 0)
      Fits = std::min(Fits, std::max(0, Have) / Need);
  };
  Bound(Free.MilliCpu, Needs.MilliCpu);
  Bound(Free.MemoryMb, Needs.MemoryMb);
  Bound(Free.Accelerators, Needs.Accelerators);
  return Fits;
}

std::string_view name(speed_class Class) {
  switch (Class) {
  case speed_class::Unknown:
    return "unknown";
  case speed_class::Slow:
    return "slow";
  case speed_class::Normal:
    return "normal";
  case speed_class::Fast:
    break;
  }
  return "fast";
}

free_capacity &free_capacity::operator+=(const free_capacity &Other) {
  Free += Other.Free;
  Largest = largerOf(Largest, Other.Largest);
  for (std::size_t Each = 1; Each < Tasks.size(); ++Each)
    Tasks[Each] += Other.Tasks[Each];
  return *this;
}

void free_capacity::add(const indexed_executor &Executor) {
  Free += Executor.Free;
  Largest = largerOf(Largest, Executor.Free);
  for (int Each = 1; Each <= MostCounted; ++Each)
    Tasks[static_cast<std::size_t>(Each)] += Executor.Free.Accelerators / Each;
}

int free_capacity::boundFits(const resources &Needs, int Limit) const {
  const int Fits = Largest.covers(Needs) ? countFits(Free, Needs, Limit) : 0;
  const int Each = Needs.Accelerators;
  return Each > 0 && Each <= MostCounted
             ? std::min(Fits, Tasks[static_cast<std::size_t>(Each)])
             : Fits;
}

free_capacity indexed_rack::freeOf(executor_filter Allowed) const {
  free_capacity Sum;
  for (int Group = 0; Group < executor_filter::Groups; ++Group)
    if (Allowed.includes(Group))
      Sum += Groups[static_cast<std::size_t>(Group)];
  return Sum;
}

int indexed_rack::boundFits(const resources &Needs, int Limit,
                            executor_filter Allowed) const {
  int Fits = 0;
  for (int Group = 0; Group < executor_filter::Groups; ++Group)
    if (Allowed.includes(Group) && Fits < Limit)
      Fits += Groups[static_cast<std::size_t>(Group)].boundFits(Needs,
                                                                Limit - Fits);
  return Fits;
}

const indexed_rack *indexed_service::findRack(const rack_id &Id) const {
  const auto Found = Numbers.find(Id);
  return Found == Numbers.end()
             ? nullptr
             : &Racks[static_cast<std::size_t>(Found->second)];
}

int indexed_service::percentInUse() const {
  return TotalAccelerators == 0
             ? WholePercent
             : WholePercent * UsedAccelerators / TotalAccelerators;
}

void indexed_service::add(const executor_id &Id,
                          const indexed_executor &Executor) {
  ++Listed;
  UsedAccelerators += Executor.Used.Accelerators;
  TotalAccelerators += Executor.Capacity.Accelerators;
  if (!Executor.IsOpen)
    return;
  const auto [Found, IsNew] =
      Numbers.try_emplace(Executor.Rack, static_cast<int>(Racks.size()));
  if (IsNew) {
    Racks.emplace_back();
    Racks.back().Id = Executor.Rack;
  }
  indexed_rack &Rack = Racks[static_cast<std::size_t>(Found->second)];
  Rack.Open.emplace(Id, Executor);
  change(Rack, Found->second, Executor, 1);
}

void indexed_service::remove(const executor_id &Id,
                             const indexed_executor &Executor) {
  --Listed;
  UsedAccelerators -= Executor.Used.Accelerators;
  TotalAccelerators -= Executor.Capacity.Accelerators;
  if (!Executor.IsOpen)
    return;
  const int Number = Numbers.at(Executor.Rack);
  indexed_rack &Rack = Racks[static_cast<std::size_t>(Number)];
  Rack.Open.erase(Id);
  change(Rack, Number, Executor, -1);
}

/// Adjusts the sums for an executor that was added (Sign 1) or removed (-1).
void indexed_service::change(indexed_rack &Rack, int Number,
                             const indexed_executor &Executor, int Sign) {
  ByFree.erase({capacityWeight(Rack.Free), Number});
  Rack.Free += Executor.Free * Sign;
  Rack.Preemptible += Executor.Preemptible * Sign;
  Rack.Capacity += Executor.Capacity * Sign;
  Free += Executor.Free * Sign;
  free_capacity &Group =
      Rack.Groups[static_cast<std::size_t>(Executor.group())];
  Group = {};
  for (const auto &[Id, Member] : Rack.Open)
    if (Member.group() == Executor.group())
      Group.add(Member);
  if (!Rack.Open.empty())
    ByFree.emplace(capacityWeight(Rack.Free), Number);
}

bool operator==(const indexed_service &Left, const indexed_service &Right) {
  const auto AreRacksIn = [](const indexed_service &All,
                             const indexed_service &Others) {
    return std::ranges::all_of(All.Racks, [&](const indexed_rack &Rack) {
      const indexed_rack *Other = Others.findRack(Rack.Id);
      return Other ? *Other == Rack : Rack.Open.empty();
    });
  };
  return AreRacksIn(Left, Right) && AreRacksIn(Right, Left) &&
         Left.ByFree.size() == Right.ByFree.size() && Left.Free == Right.Free &&
         Left.Listed == Right.Listed &&
         Left.UsedAccelerators == Right.UsedAccelerators &&
         Left.TotalAccelerators == Right.TotalAccelerators;
}

void capacity_index::update(const executor_id &Id,
                            const indexed_executor &Executor) {
  const auto Known = Executors.find(Id);
  if (Known != Executors.end() && Known->second == Executor)
    return;
  remove(Id);
  Services[Executor.Service].add(Id, Executor);
  Executors.insert_or_assign(Id, Executor);
  Total.add(Executor.Capacity, 1);
}

void capacity_index::remove(const executor_id &Id) {
  const auto Known = Executors.find(Id);
  if (Known == Executors.end())
    return;
  const auto Service = Services.find(Known->second.Service);
  Service->second.remove(Id, Known->second);
  if (Service->second.isEmpty())
    Services.erase(Service);
  Total.add(Known->second.Capacity, -1);
  Executors.erase(Known);
}

const indexed_service *capacity_index::find(const service_id &Id) const {
  const auto Found = Services.find(Id);
  return Found == Services.end() ? nullptr : &Found->second;
}

} // namespace galenastage::batch
