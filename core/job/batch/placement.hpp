#pragma once

// Chooses executors for the tasks of one unit. Pure functions on a snapshot of
// the free capacity.

#include "core/job/batch/model.hpp"

namespace galenastage::batch {

/// A run that may be preempted. Runs of one gang share a Group.
struct preemptible_run {
  int Group = 0; // stopping one run of a group stops all
  resources Needs;
  double LostWork = 0; // of the whole group, in weighted core-seconds
};

/// An executor that tasks may be placed on.
struct candidate {
  executor_id Executor;
  rack_id Rack;
  resources Free;
  int RemainingLimit = 0; // tasks of the step within MaxPerExecutor
  std::vector<preemptible_run> Preemptible; // empty: nothing may be preempted
};

struct placement_request {
  resources Needs;           // of each task
  int Count = 1;             // tasks that start together
  bool NeedsOneRack = false; // all tasks in the same rack
  rack_id PreferredRack;     // empty: any
};

struct placement_choice {
  std::vector<executor_id> Executors; // one for each task
  std::vector<int>
      PreemptedGroups; // to stop first; empty: capacity is free now
  double LostWork = 0; // of these groups, in weighted core-seconds

  friend bool operator==(const placement_choice &,
                         const placement_choice &) = default;
};

/// Places the tasks in free capacity by best fit: the rack with the least free
/// capacity that suffices, and in it the executors with the least free capacity
/// first. This keeps whole executors and racks free for large gangs.
std::optional<placement_choice>
placeInFreeCapacity(const placement_request &Request,
                    const std::vector<candidate> &Candidates);

/// Returns the executor for one task, or null: in the rack with the least free
/// capacity, the executor with the least. Packing small tasks into few racks
/// keeps the others free for gangs that need one rack.
const candidate *findBestFit(const placement_request &Request,
                             const std::vector<candidate> &Candidates);

/// Frees capacity by preempting the runs that lose the least work.
std::optional<placement_choice>
placeByPreemption(const placement_request &Request,
                  const std::vector<candidate> &Candidates);

} // namespace galenastage::batch
