#include "core/job/placement.hpp"

#include <algorithm>

namespace galenastage {
namespace {

const pool_use *findUse(const worker_capacity &Worker, const pool_id &Pool) {
  const auto Found = std::ranges::find(Worker.Pools, Pool, &pool_use::Pool);
  return Found == Worker.Pools.end() ? nullptr : &*Found;
}

/// Places up to Left tasks on the worker and reduces Left accordingly.
void fillWorker(const worker_capacity &Worker, const placement_request &Request,
                int &Left, std::vector<placed_member> &Members) {
  const int Tasks = std::min(Left, slotsOn(Worker, Request));
  if (Tasks == 0)
    return;
  Members.push_back(
      {Worker.Worker, Tasks, Tasks * Request.AcceleratorsPerTask});
  Left -= Tasks;
}

/// Places up to Left tasks on the workers of one rack, preferring partly used
/// workers, so that entirely free ones stay available.
void fillRack(std::vector<const worker_capacity *> Workers,
              const placement_request &Request, int &Left,
              std::vector<placed_member> &Members) {
  std::ranges::stable_sort(Workers, {}, [&](const worker_capacity *W) {
    const int Slots = slotsOn(*W, Request);
    // Workers that can take all remaining tasks come first, least free first;
    // then the others, most slots first.
    return std::pair(Slots < Left, Slots < Left ? -Slots : W->Free);
  });
  for (const worker_capacity *Worker : Workers)
    fillWorker(*Worker, Request, Left, Members);
}

} // namespace

int unguaranteedRoom(const worker_capacity &Worker) {
  int Room = Worker.Total;
  for (const pool_use &Use : Worker.Pools)
    Room -= std::max(Use.Guaranteed, Use.Unstoppable);
  return Room;
}

int unstoppableRoom(const worker_capacity &Worker, const pool_id &Pool) {
  const int Shared = std::max(0, unguaranteedRoom(Worker));
  const pool_use *Use = findUse(Worker, Pool);
  return Shared + (Use ? std::max(0, Use->Guaranteed - Use->Unstoppable) : 0);
}

void addUnstoppable(worker_capacity &Worker, const pool_id &Pool,
                    int Accelerators) {
  const auto Found = std::ranges::find(Worker.Pools, Pool, &pool_use::Pool);
  if (Found == Worker.Pools.end())
    Worker.Pools.push_back({Pool, 0, Accelerators});
  else
    Found->Unstoppable += Accelerators;
}

int slotsOn(const worker_capacity &Worker, const placement_request &Request) {
  if (std::ranges::find(Request.Avoid, Worker.Worker) != Request.Avoid.end())
    return 0;
  int Room = std::max(0, Worker.Free);
  if (!Request.IsStoppable)
    Room = std::min(Room, unstoppableRoom(Worker, Request.Pool));
  return Room / Request.AcceleratorsPerTask;
}

struct capacity_index::rack_fit {
  const rack *Rack = nullptr;
  int Slots = 0; // tasks of the request that fit
};

void capacity_index::add(worker_capacity Worker) {
  // Workers usually arrive sorted, with those of one rack together; this saves
  // the look-up of the rack.
  const bool IsSameRack =
      !Racks.empty() && Racks[LastRack].Workers.front().Rack == Worker.Rack;
  if (!IsSameRack) {
    const auto [Row, IsNew] = RackByName.try_emplace(Worker.Rack, Racks.size());
    if (IsNew)
      Racks.emplace_back();
    LastRack = Row->second;
  }
  std::vector<worker_capacity> &Workers = Racks[LastRack].Workers;
  Positions.emplace_hint(Positions.end(), Worker.Worker,
                         std::pair(LastRack, Workers.size()));
  Workers.push_back(std::move(Worker));
}

std::vector<placed_member>
capacity_index::choose(const placement_request &Request) const {
  std::vector<rack_fit> Fits;
  for (const rack &Rack : Racks) {
    rack_fit Fit{&Rack};
    for (const worker_capacity &Worker : Rack.Workers)
      Fit.Slots += slotsOn(Worker, Request);
    if (Fit.Slots > 0)
      Fits.push_back(Fit);
  }
  // Racks that can hold the whole gang come first, fewest slots first; then the
  // others, most slots first.
  std::ranges::stable_sort(Fits, {}, [&](const rack_fit &Fit) {
    const bool IsTooSmall = Fit.Slots < Request.Tasks;
    return std::pair(IsTooSmall, IsTooSmall ? -Fit.Slots : Fit.Slots);
  });
  std::vector<placed_member> Members;
  int Left = Request.Tasks;
  for (const rack_fit &Fit : Fits) {
    if (Left == 0)
      break;
    std::vector<const worker_capacity *> Workers;
    for (const worker_capacity &Worker : Fit.Rack->Workers)
      Workers.push_back(&Worker);
    fillRack(std::move(Workers), Request, Left, Members);
  }
  if (Left > 0)
    Members.clear();
  return Members;
}

std::vector<placed_member>
capacity_index::chooseFirst(const placement_request &Request) const {
  std::vector<placed_member> Members;
  int Left = Request.Tasks;
  for (const rack &Rack : Racks)
    for (const worker_capacity &Worker : Rack.Workers)
      fillWorker(Worker, Request, Left, Members);
  if (Left > 0)
    Members.clear();
  return Members;
}

void capacity_index::take(std::span<const placed_member> Members,
                          const placement_request &Request) {
  subtractFree(Members);
  if (Request.IsStoppable)
    return;
  for (const placed_member &Member : Members)
    if (worker_capacity *Worker = find(Member.Worker))
      addUnstoppable(*Worker, Request.Pool, Member.Accelerators);
}

void capacity_index::subtractFree(std::span<const placed_member> Members) {
  for (const placed_member &Member : Members)
    if (worker_capacity *Worker = find(Member.Worker))
      Worker->Free -= Member.Accelerators;
}

void capacity_index::release(const placed_member &Member,
                             const placement_request &Request) {
  worker_capacity *Worker = find(Member.Worker);
  if (!Worker)
    return;
  Worker->Free += Member.Accelerators;
  if (!Request.IsStoppable)
    addUnstoppable(*Worker, Request.Pool, -Member.Accelerators);
}

int capacity_index::freeAccelerators() const {
  int Free = 0;
  for (const rack &Rack : Racks)
    for (const worker_capacity &Worker : Rack.Workers)
      Free += std::max(0, Worker.Free);
  return Free;
}

worker_capacity *capacity_index::find(const worker_id &Worker) {
  const auto Found = Positions.find(Worker);
  if (Found == Positions.end())
    return nullptr;
  const auto [Rack, Row] = Found->second;
  return &Racks[Rack].Workers[Row];
}

} // namespace galenastage
