#pragma once

// The users' platform in virtual time: a store, executors, and instances that
// lead one after the other, with the faults of a seed. It drives the
// scheduler's reducer and checks what executors and clients see.

#include "core/job/batch/scheduler.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace galenastage::batch::test {

/// What a run of the world may do wrong, in shares of 0 to 1 of the calls.
struct world_faults {
  double LostOrders = 0;         // starts and stops without an answer
  double LateOrders = 0;         // of those: carried out 0 to 8 s later
  double LostWrites = 0;         // saves that take effect without an answer
  double FailingRuns = 0;        // runs that end as failed
  int LeaderLosses = 0;          // leaders killed, frozen or cut from the store
  int ExecutorRestarts = 0;      // under the same id
  int ExecutorCuts = 0;          // from the leader, for 1 to 12 s
  int StoreOutages = 0;          // for 1 to 6 s
  bool HasFrozenLeaders = false; // a lost leader thaws and goes on
};

struct world_settings {
  int Executors = 8;
  int PerRack = 4;
  resources Capacity{32'000, 64'000, 8};
  int Jobs = 20;
  milliseconds Arrivals{20'000}; // jobs arrive in this time
  milliseconds Faulty{40'000};   // faults happen in this time
  milliseconds Length{160'000};  // and this is the end
  world_faults Faults;
};

/// What was seen to go wrong, and how it ended.
struct world_report {
  std::vector<std::string> Violations;
  int Jobs = 0;
  int Completed = 0;
  int Failed = 0;
  int Cancelled = 0;
  int Unfinished = 0;
  int Starts = 0;
  int Leaders = 0;
};

world_report runWorld(const world_settings &Settings, std::uint64_t Seed);

} // namespace galenastage::batch::test
