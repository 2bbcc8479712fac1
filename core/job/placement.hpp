#pragma once

#include "core/types.hpp"

#include <map>
#include <span>
#include <vector>

// Index of this file
// [1] Workers as placement sees them
// [2] Requests and placements
// [3] The index of workers by rack

namespace galenastage {

// [1] Workers as placement sees them

/// What one pool is guaranteed on a worker, and what it holds there that can't
/// be stopped.
struct pool_use {
  pool_id Pool;
  int Guaranteed = 0;  // accelerators of the pool's bound cell
  int Unstoppable = 0; // accelerators under work that mustn't be stopped

  friend bool operator==(const pool_use &, const pool_use &) = default;
};

/// A worker as placement sees it.
struct worker_capacity {
  worker_id Worker;
  rack_id Rack;
  int Free = 0;  // accelerators nobody holds; below 0 when promised twice
  int Total = 0; // accelerators in all
  std::vector<pool_use> Pools; // those with a cell or unstoppable work here

  friend bool operator==(const worker_capacity &,
                         const worker_capacity &) = default;
};

/// Accelerators that are neither guaranteed to a pool nor under unstoppable
/// work beyond a pool's guarantee. Below 0, some guarantee can't be reclaimed.
int unguaranteedRoom(const worker_capacity &Worker);

/// Accelerators on which this pool may start unstoppable work: the unguaranteed
/// ones and those left of its own cell.
int unstoppableRoom(const worker_capacity &Worker, const pool_id &Pool);

/// Counts accelerators under unstoppable work of a pool on a worker.
void addUnstoppable(worker_capacity &Worker, const pool_id &Pool,
                    int Accelerators);

// [2] Requests and placements

struct placement_request {
  int Tasks = 1;
  int AcceleratorsPerTask = 1;
  pool_id Pool;            // matters to unstoppable work only
  bool IsStoppable = true; // may run on cells guaranteed to other pools
  std::vector<worker_id> Avoid = {}; // no task goes there

  friend auto operator<=>(const placement_request &,
                          const placement_request &) = default;
  friend bool operator==(const placement_request &,
                         const placement_request &) = default;
};

/// The part of a gang that goes to one worker.
struct placed_member {
  worker_id Worker;
  int Tasks = 0;
  int Accelerators = 0;

  friend bool operator==(const placed_member &,
                         const placed_member &) = default;
};

// [3] The index of workers by rack

/// Workers grouped by rack, for many placements in a row: what one takes, the
/// next doesn't see.
class capacity_index {
public:
  void add(worker_capacity Worker);

  /// Chooses adjacent workers for a whole gang: one rack when one suffices, the
  /// one that it fills best; otherwise the fewest racks. Returns nothing when
  /// the gang doesn't fit whole. Nothing is taken yet.
  [[nodiscard]] std::vector<placed_member>
  choose(const placement_request &Request) const;

  /// Chooses the first workers that fit, in order of racks and names.
  [[nodiscard]] std::vector<placed_member>
  chooseFirst(const placement_request &Request) const;

  /// Takes the accelerators of a placement out of the index.
  void take(std::span<const placed_member> Members,
            const placement_request &Request);

  /// Puts accelerators aside for another job; they count as not free.
  void setAside(std::span<const placed_member> Members);

  /// Puts back what a member of a gang holds, as if it had ended.
  void giveBack(const placed_member &Member, const placement_request &Request);

  [[nodiscard]] int freeAccelerators() const;

private:
  struct rack {
    std::vector<worker_capacity> Workers;
  };
  struct rack_fit;

  worker_capacity *find(const worker_id &Worker);

  std::vector<rack> Racks;
  std::size_t LastRack = 0; // of the worker that was added last
  std::map<rack_id, std::size_t> RackByName;
  std::map<worker_id, std::pair<std::size_t, std::size_t>> Positions;
};

/// Tasks of this request that fit on the worker.
int slotsOn(const worker_capacity &Worker, const placement_request &Request);

} // namespace galenastage
