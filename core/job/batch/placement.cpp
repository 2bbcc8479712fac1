#include "core/job/batch/placement.hpp"

#include <algorithm>
#include <limits>

namespace galenastage::batch {
namespace {

/// How many tasks of these needs fit.
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

using rooms_of_rack = std::map<rack_id, std::vector<const room *>>;

rooms_of_rack groupByRack(const std::vector<room> &Rooms) {
  rooms_of_rack Racks;
  for (const room &Room : Rooms)
    Racks[Room.Rack].push_back(&Room);
  return Racks;
}

/// Fills the executors in order; empty when there isn't room for all tasks.
std::vector<executor_id> fill(const placement_ask &Ask,
                              const std::vector<const room *> &Rooms) {
  std::vector<executor_id> Chosen;
  for (const room *Room : Rooms) {
    const int Fits = countFits(Room->Free, Ask.Needs, Room->MoreAllowed);
    for (int I = 0; I < Fits; ++I) {
      Chosen.push_back(Room->Executor);
      if (static_cast<int>(Chosen.size()) == Ask.Count)
        return Chosen;
    }
  }
  return {};
}

void sortTightestFirst(std::vector<const room *> &Rooms) {
  std::ranges::stable_sort(Rooms, [](const room *Left, const room *Right) {
    return weigh(Left->Free) < weigh(Right->Free);
  });
}

double totalFree(const std::vector<const room *> &Rooms) {
  double Total = 0;
  for (const room *Room : Rooms)
    Total += weigh(Room->Free);
  return Total;
}

std::optional<placement_choice> placeInOneRack(const placement_ask &Ask,
                                               const rooms_of_rack &Racks) {
  std::optional<placement_choice> Best;
  double BestFree = std::numeric_limits<double>::max();
  for (const auto &[Rack, Members] : Racks) {
    std::vector<const room *> Rooms = Members;
    sortTightestFirst(Rooms);
    std::vector<executor_id> Chosen = fill(Ask, Rooms);
    if (Chosen.empty())
      continue;
    const bool IsPreferred = !Rack.isEmpty() && Rack == Ask.PreferredRack;
    const double Free = IsPreferred ? -1 : totalFree(Rooms);
    if (Free < BestFree) {
      BestFree = Free;
      Best = placement_choice{std::move(Chosen), {}};
    }
  }
  return Best;
}

/// The room that stopping every stoppable run of a rack would give, cheapest
/// runs first.
struct stopping_trial {
  std::vector<executor_id> Executors;
  std::vector<int> Groups;
  double LostWork = 0;
};

/// Stops groups one at a time, cheapest for the room it gives first, until the
/// tasks fit.
std::optional<stopping_trial>
tryStopping(const placement_ask &Ask, const std::vector<const room *> &From) {
  std::vector<room> Rooms;
  for (const room *Room : From)
    Rooms.push_back(*Room);
  const auto fillNow = [&] {
    std::vector<const room *> Pointers;
    for (const room &Room : Rooms)
      Pointers.push_back(&Room);
    sortTightestFirst(Pointers);
    return fill(Ask, Pointers);
  };

  std::map<int, double> Costs; // per group: lost work for the room it gives
  std::map<int, double> Lost;
  for (const room &Room : Rooms)
    for (const stoppable_run &Run : Room.Stoppable) {
      Lost[Run.Group] = Run.LostWork;
      Costs[Run.Group] += weigh(Run.Needs);
    }
  std::vector<int> Order;
  for (auto &[Group, Cost] : Costs) {
    Cost = (Lost[Group] + 1) / std::max(Cost, 1e-3);
    Order.push_back(Group);
  }
  std::ranges::stable_sort(
      Order, [&](int Left, int Right) { return Costs[Left] < Costs[Right]; });

  stopping_trial Trial;
  Trial.Executors = fillNow();
  for (int Group : Order) {
    if (!Trial.Executors.empty())
      break;
    for (room &Room : Rooms)
      for (const stoppable_run &Run : Room.Stoppable)
        if (Run.Group == Group)
          Room.Free += Run.Needs;
    Trial.Groups.push_back(Group);
    Trial.LostWork += Lost[Group];
    Trial.Executors = fillNow();
  }
  if (Trial.Executors.empty())
    return std::nullopt;

  // A group that gives no room where the tasks go needn't stop.
  std::erase_if(Trial.Groups, [&](int Group) {
    for (const room &Room : Rooms)
      for (const stoppable_run &Run : Room.Stoppable)
        if (Run.Group == Group &&
            std::ranges::find(Trial.Executors, Room.Executor) !=
                Trial.Executors.end())
          return false;
    Trial.LostWork -= Lost[Group];
    return true;
  });
  return Trial;
}

} // namespace

std::optional<placement_choice>
placeInFreeRoom(const placement_ask &Ask, const std::vector<room> &Rooms) {
  rooms_of_rack Racks;
  for (const room &Room : Rooms)
    if (countFits(Room.Free, Ask.Needs, Room.MoreAllowed) > 0)
      Racks[Room.Rack].push_back(&Room);
  if (auto InOneRack = placeInOneRack(Ask, Racks))
    return InOneRack;
  if (Ask.NeedsOneRack)
    return std::nullopt;
  // As few racks as possible: the fullest offers first.
  std::vector<const room *> All;
  std::vector<std::vector<const room *>> ByOffer;
  for (const auto &[Rack, Members] : Racks)
    ByOffer.push_back(Members);
  std::ranges::stable_sort(ByOffer, [](const auto &Left, const auto &Right) {
    return totalFree(Left) > totalFree(Right);
  });
  for (std::vector<const room *> &Members : ByOffer) {
    sortTightestFirst(Members);
    All.insert(All.end(), Members.begin(), Members.end());
  }
  std::vector<executor_id> Chosen = fill(Ask, All);
  if (Chosen.empty())
    return std::nullopt;
  return placement_choice{std::move(Chosen), {}};
}

const room *findTightest(const placement_ask &Ask,
                         const std::vector<room> &Rooms) {
  const room *Best = nullptr;
  bool IsBestPreferred = false;
  double BestFree = 0;
  for (const room &Room : Rooms) {
    if (countFits(Room.Free, Ask.Needs, Room.MoreAllowed) == 0)
      continue;
    const bool IsPreferred =
        !Ask.PreferredRack.isEmpty() && Room.Rack == Ask.PreferredRack;
    const double Free = weigh(Room.Free);
    const bool IsBetter = !Best || IsPreferred > IsBestPreferred ||
                          (IsPreferred == IsBestPreferred && Free < BestFree);
    if (!IsBetter)
      continue;
    Best = &Room;
    IsBestPreferred = IsPreferred;
    BestFree = Free;
  }
  return Best;
}

std::optional<placement_choice>
placeByStopping(const placement_ask &Ask, const std::vector<room> &Rooms) {
  std::optional<stopping_trial> Best;
  const auto consider = [&](const std::vector<const room *> &From) {
    auto Trial = tryStopping(Ask, From);
    if (Trial && (!Best || Trial->LostWork < Best->LostWork))
      Best = std::move(Trial);
  };
  for (const auto &[Rack, Members] : groupByRack(Rooms))
    consider(Members);
  if (!Best && !Ask.NeedsOneRack) {
    std::vector<const room *> All;
    for (const room &Room : Rooms)
      All.push_back(&Room);
    consider(All);
  }
  if (!Best)
    return std::nullopt;
  return placement_choice{std::move(Best->Executors), std::move(Best->Groups)};
}

} // namespace galenastage::batch
