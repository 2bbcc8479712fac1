#include "core/job/batch/placement.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

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

/// Tries which runs of some executors to stop so that the tasks fit.
class stopping_trial {
public:
  stopping_trial(const placement_ask &Ask,
                 const std::vector<const room *> &From)
      : Ask(Ask) {
    for (const room *Room : From)
      Rooms.push_back(*Room);
    for (const room &Room : Rooms)
      for (const stoppable_run &Run : Room.Stoppable) {
        group &Group = Groups[Run.Group];
        Group.LostWork = Run.LostWork;
        Group.Room += weigh(Run.Needs);
      }
  }

  /// Stops groups one at a time, cheapest for the room it gives first, until
  /// the tasks fit; then spares each group, dearest first, that they can do
  /// without. False when they don't fit at all.
  bool run() {
    std::vector<int> Order;
    for (const auto &[Number, Group] : Groups)
      Order.push_back(Number);
    std::ranges::stable_sort(Order, [&](int Left, int Right) {
      return Groups[Left].price() < Groups[Right].price();
    });
    Executors = fillNow();
    for (int Number : Order) {
      if (!Executors.empty())
        break;
      addRoom(Number, 1);
      Stopped.push_back(Number);
      Executors = fillNow();
    }
    if (Executors.empty())
      return false;
    spareGroups();
    for (int Number : Stopped)
      LostWork += Groups[Number].LostWork;
    return true;
  }

  std::vector<executor_id> Executors; // one for each task
  std::vector<int> Stopped;           // groups
  double LostWork = 0;                // of the groups that stop

private:
  struct group {
    double LostWork = 0;
    double Room = 0; // what stopping it gives, weighed

    /// Lost work for each unit of room; the constant makes many small groups
    /// dearer than one that gives the same room.
    [[nodiscard]] double price() const {
      constexpr double CostOfAnyStop = 1; // weighed seconds: restart, orders
      constexpr double LeastRoom = 1e-3;
      return (LostWork + CostOfAnyStop) / std::max(Room, LeastRoom);
    }
  };

  [[nodiscard]] std::vector<executor_id> fillNow() const {
    std::vector<const room *> Pointers;
    for (const room &Room : Rooms)
      Pointers.push_back(&Room);
    sortTightestFirst(Pointers);
    return fill(Ask, Pointers);
  }

  /// Adds the room that the group holds, or takes it back.
  void addRoom(int Number, int Sign) {
    for (room &Room : Rooms)
      for (const stoppable_run &Run : Room.Stoppable)
        if (Run.Group == Number)
          Room.Free += Run.Needs * Sign;
  }

  void spareGroups() {
    std::vector<int> Dearest = Stopped;
    std::ranges::stable_sort(Dearest, [&](int Left, int Right) {
      return Groups[Left].LostWork > Groups[Right].LostWork;
    });
    for (int Number : Dearest) {
      addRoom(Number, -1);
      std::vector<executor_id> Without = fillNow();
      if (Without.empty()) {
        addRoom(Number, 1);
        continue;
      }
      Executors = std::move(Without);
      std::erase(Stopped, Number);
    }
  }

  const placement_ask &Ask;
  std::vector<room> Rooms;
  std::map<int, group> Groups;
};

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
  std::map<rack_id, double> FreeInRack;
  for (const room &Room : Rooms)
    FreeInRack[Room.Rack] += weigh(Room.Free);
  const auto Rank = [&](const room &Room) {
    const bool IsElsewhere =
        Ask.PreferredRack.isEmpty() || Room.Rack != Ask.PreferredRack;
    return std::tuple(IsElsewhere, FreeInRack[Room.Rack], weigh(Room.Free));
  };
  const room *Best = nullptr;
  for (const room &Room : Rooms) {
    if (countFits(Room.Free, Ask.Needs, Room.MoreAllowed) == 0)
      continue;
    if (!Best || Rank(Room) < Rank(*Best))
      Best = &Room;
  }
  return Best;
}

std::optional<placement_choice>
placeByStopping(const placement_ask &Ask, const std::vector<room> &Rooms) {
  std::optional<placement_choice> Best;
  double LeastLost = 0;
  const auto Consider = [&](const std::vector<const room *> &From) {
    stopping_trial Trial(Ask, From);
    if (!Trial.run() || (Best && Trial.LostWork >= LeastLost))
      return;
    LeastLost = Trial.LostWork;
    Best =
        placement_choice{std::move(Trial.Executors), std::move(Trial.Stopped)};
  };
  for (const auto &[Rack, Members] : groupByRack(Rooms))
    Consider(Members);
  if (!Best && !Ask.NeedsOneRack) {
    std::vector<const room *> All;
    All.reserve(Rooms.size());
    for (const room &Room : Rooms)
      All.push_back(&Room);
    Consider(All);
  }
  return Best;
}

} // namespace galenastage::batch
