#pragma once

// Prices the runs that a reclaim may stop, by the work that a stop would throw
// away. Pure functions on what is known of one unit.

#include "core/types.hpp"

namespace galenastage::batch {

struct victim_settings {
  milliseconds StartTime{100}; // from the order to start until a task works
  // A reclaim that loses more than this many times the urgent work itself
  // waits first: urgent work that ends may leave enough meanwhile.
  double DearFactor = 8;
  milliseconds Patience{1'200}; // well within the bound of guaranteed starts
  milliseconds FirstPause{250}; // before a restart; doubles with each stop
  milliseconds LongestPause{2'000};
  int PauseAbovePercent = 60; // accelerators in use; below, no pause

  friend bool operator==(const victim_settings &,
                         const victim_settings &) = default;
};

/// A unit that a reclaim may stop.
struct victim {
  bool HasBegun = true; // its start was ordered
  bool IsCheckpointing = false;
  milliseconds Elapsed{0}; // since its start
  double Weight = 0;       // of all its tasks, in weighted cores
  int Stops = 0;           // by earlier reclaims
};

/// Work thrown away by a stop, in weighted core-seconds. A stop saves a
/// checkpoint, so a checkpointing unit only loses the time to restore it.
double lossOf(const victim &Victim, milliseconds RestoreTime);

/// The loss and the cost of the restart. Each earlier stop adds what a stop
/// and a restart cost at least, so that the true loss dominates: a
/// checkpointing unit that was stopped a few times remains cheaper than one
/// that loses the work of several seconds.
double priceOf(const victim &Victim, milliseconds RestoreTime,
               milliseconds StopTimeout, const victim_settings &Settings);

/// Cost of a gang's spread over several racks, in weighted core-seconds. It
/// takes three times as long, and its job misses its objective, which counts
/// as much as the work. Weight: of all its tasks, in weighted cores.
double spreadCost(double Weight, milliseconds Estimate);

/// How long a unit waits before it may start again after this many stops, so
/// that it doesn't take the capacity that the next urgent job needs.
milliseconds pauseAfter(int Stops, const victim_settings &Settings);

} // namespace galenastage::batch
