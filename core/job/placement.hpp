#pragma once

#include "core/types.hpp"

#include <span>
#include <vector>

namespace galenastage {

/// A worker as placement sees it.
struct worker_capacity {
  worker_id Worker;
  rack_id Rack;
  int Free = 0;  // accelerators nobody holds
  int Total = 0; // accelerators in all
};

struct placement_request {
  int Tasks = 1;
  int AcceleratorsPerTask = 1;
};

/// The part of a gang that goes to one worker.
struct placed_member {
  worker_id Worker;
  int Tasks = 0;
  int Accelerators = 0;

  friend bool operator==(const placed_member &,
                         const placed_member &) = default;
};

/// Chooses adjacent workers for a whole gang: one rack when one suffices, the
/// one that it fills best; otherwise the fewest racks. Returns nothing when the
/// gang doesn't fit whole.
std::vector<placed_member>
choosePlacement(std::span<const worker_capacity> Workers,
                const placement_request &Request);

} // namespace galenastage
