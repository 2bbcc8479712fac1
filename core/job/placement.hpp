#pragma once

#include "core/types.hpp"

#include <map>
#include <span>
#include <vector>

// Index of this file
// [1] Worker capacity
// [2] Requests and placements
// [3] The index of workers by rack

namespace galenastage {

// [1] Worker capacity

/// One pool's guaranteed and unstoppable accelerators on a worker.
struct pool_use {
  pool_id Pool;
  int Guaranteed = 0;  // accelerators of the pool's bound cell
  int Unstoppable = 0; // accelerators held by work that must not be stopped

  friend bool operator==(const pool_use &, const pool_use &) = default;
};

/// The capacity of one worker.
struct worker_capacity {
  worker_id Worker;
  rack_id Rack;
  int Free = 0;  // accelerators not held; below 0 when overcommitted
  int Total = 0; // accelerators
  std::vector<pool_use> Pools; // those with a cell or unstoppable work here

  friend bool operator==(const worker_capacity &,
                         const worker_capacity &) = default;
};

/// Accelerators that are neither guaranteed to a pool nor held by unstoppable
/// work beyond its pool's guarantee. Below 0, some guarantee can't be
/// reclaimed.
int unguaranteedRoom(const worker_capacity &Worker);

/// Accelerators that unstoppable work of this pool may use: the unguaranteed
/// ones and the unused part of the pool's own cell. Stoppable work that holds
/// them now is not considered.
int unstoppableRoom(const worker_capacity &Worker, const pool_id &Pool);

/// Adds to the accelerators that unstoppable work of a pool holds on a worker.
/// The number may be negative.
void addUnstoppable(worker_capacity &Worker, const pool_id &Pool,
                    int Accelerators);

// [2] Requests and placements

struct placement_request {
  int Tasks = 1;
  int AcceleratorsPerTask = 1;
  pool_id Pool;            // only used for unstoppable work
  bool IsStoppable = true; // may borrow cells guaranteed to other pools
  std::vector<worker_id> Avoid = {}; // workers not to be used

  friend auto operator<=>(const placement_request &,
                          const placement_request &) = default;
  friend bool operator==(const placement_request &,
                         const placement_request &) = default;
};

/// The part of a gang that is placed on one worker.
struct placed_member {
  worker_id Worker;
  int Tasks = 0;
  int Accelerators = 0;

  friend bool operator==(const placed_member &,
                         const placed_member &) = default;
};

// [3] The index of workers by rack

/// Workers grouped by rack, for several placements in a row. Accelerators taken
/// by one placement are not available to the next.
class capacity_index {
public:
  void add(worker_capacity Worker);

  /// Chooses workers for a whole gang: the best-fitting rack if one can hold
  /// it, otherwise the racks with the most room first. Returns an empty list if
  /// the gang doesn't fit. Does not change the index.
  [[nodiscard]] std::vector<placed_member>
  choose(const placement_request &Request) const;

  /// Chooses the first workers that fit, rack by rack in order of insertion.
  /// Returns an empty list if the gang doesn't fit. Does not change the index.
  [[nodiscard]] std::vector<placed_member>
  chooseFirst(const placement_request &Request) const;

  /// Marks the accelerators of a placement as held.
  void take(std::span<const placed_member> Members,
            const placement_request &Request);

  /// Subtracts accelerators from the free ones without counting them as
  /// unstoppable work.
  void subtractFree(std::span<const placed_member> Members);

  /// Marks the accelerators of a gang member as free again.
  void release(const placed_member &Member, const placement_request &Request);

  [[nodiscard]] int freeAccelerators() const;

private:
  struct rack {
    std::vector<worker_capacity> Workers;
  };
  struct rack_fit;

  worker_capacity *find(const worker_id &Worker);

  std::vector<rack> Racks;
  std::size_t LastRack = 0; // rack of the worker added last
  std::map<rack_id, std::size_t> RackByName;
  std::map<worker_id, std::pair<std::size_t, std::size_t>> Positions;
};

/// The number of tasks of this request that fit on the worker.
int slotsOn(const worker_capacity &Worker, const placement_request &Request);

} // namespace galenastage
