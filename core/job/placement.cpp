#include "core/job/placement.hpp"

#include <algorithm>
#include <map>

namespace galenastage {
namespace {

struct rack_view {
  std::vector<const worker_capacity *> Workers;
  int Slots = 0; // tasks of this request that fit
};

int slotsOn(const worker_capacity &Worker, const placement_request &Request) {
  return std::max(0, Worker.Free) / Request.AcceleratorsPerTask;
}

std::vector<rack_view> groupByRack(std::span<const worker_capacity> Workers,
                                   const placement_request &Request) {
  std::map<rack_id, rack_view> Racks;
  for (const worker_capacity &Worker : Workers) {
    const int Slots = slotsOn(Worker, Request);
    if (Slots == 0)
      continue;
    rack_view &Rack = Racks[Worker.Rack];
    Rack.Workers.push_back(&Worker);
    Rack.Slots += Slots;
  }
  std::vector<rack_view> Views;
  Views.reserve(Racks.size());
  for (auto &[Name, Rack] : Racks)
    Views.push_back(std::move(Rack));
  return Views;
}

/// Fills the fullest workers first, so that whole workers stay whole.
void fillRack(rack_view Rack, const placement_request &Request, int &Left,
              std::vector<placed_member> &Members) {
  std::ranges::stable_sort(Rack.Workers, {}, [&](const worker_capacity *W) {
    const int Slots = slotsOn(*W, Request);
    // A worker that takes all that is left goes before one that doesn't.
    return std::pair(Slots < Left, Slots < Left ? -Slots : W->Free);
  });
  for (const worker_capacity *Worker : Rack.Workers) {
    if (Left == 0)
      return;
    const int Tasks = std::min(Left, slotsOn(*Worker, Request));
    Members.push_back(
        {Worker->Worker, Tasks, Tasks * Request.AcceleratorsPerTask});
    Left -= Tasks;
  }
}

} // namespace

std::vector<placed_member>
choosePlacement(std::span<const worker_capacity> Workers,
                const placement_request &Request) {
  std::vector<rack_view> Racks = groupByRack(Workers, Request);
  // Racks that hold the whole gang first, the tightest of them in front; then
  // the others, the roomiest in front.
  std::ranges::stable_sort(Racks, {}, [&](const rack_view &Rack) {
    const bool IsTooSmall = Rack.Slots < Request.Tasks;
    return std::pair(IsTooSmall, IsTooSmall ? -Rack.Slots : Rack.Slots);
  });
  std::vector<placed_member> Members;
  int Left = Request.Tasks;
  for (rack_view &Rack : Racks) {
    if (Left == 0)
      break;
    fillRack(std::move(Rack), Request, Left, Members);
  }
  if (Left > 0)
    Members.clear();
  return Members;
}

} // namespace galenastage
