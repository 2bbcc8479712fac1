#pragma once

// Chooses executors for the tasks of one unit. Pure: it sees free room as
// numbers and changes nothing.

#include "core/job/batch/model.hpp"

namespace galenastage::batch {

/// A run that may be stopped to make room. Runs of one gang share a Group.
struct stoppable_run {
  int Group = 0;       // stopping one run of a group stops all
  resources Needs;     //
  double LostWork = 0; // of the whole group, in weighed seconds
};

/// One executor as the placement sees it.
struct room {
  executor_id Executor;
  rack_id Rack;
  resources Free;
  int MoreAllowed = 0; // tasks of the step that its limit still allows
  std::vector<stoppable_run> Stoppable; // empty: nothing may be stopped
};

struct placement_ask {
  resources Needs;           // of each task
  int Count = 1;             // tasks that start together
  bool NeedsOneRack = false; // not spread over racks
  rack_id PreferredRack;     // empty: any
};

struct placement_choice {
  std::vector<executor_id> Executors; // one for each task
  std::vector<int> StoppedGroups;     // to stop first; empty: room is free now

  friend bool operator==(const placement_choice &,
                         const placement_choice &) = default;
};

/// Finds free room. It packs tightly: the executors with the least room left
/// first, and the rack with the least room that is enough, so that whole
/// executors and racks stay for wide gangs.
std::optional<placement_choice> placeInFreeRoom(const placement_ask &Ask,
                                                const std::vector<room> &Rooms);

/// Finds the executor for one task, null when there is none: in the rack with
/// the least room left, there the executor with the least. Small work gathers
/// in few racks, so that others stay free for gangs that need one rack.
const room *findTightest(const placement_ask &Ask,
                         const std::vector<room> &Rooms);

/// Finds room by stopping the runs that lose the least work.
std::optional<placement_choice> placeByStopping(const placement_ask &Ask,
                                                const std::vector<room> &Rooms);

} // namespace galenastage::batch
