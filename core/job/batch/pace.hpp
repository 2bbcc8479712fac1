#pragma once

// Distinguishes stalled runs from slow ones by the percentage of work that
// executors report. Pure functions: the time is an argument.

#include "core/types.hpp"

namespace galenastage::batch {

struct pace_settings {
  // Within 1 s even a 10 s task that runs 10 times slower advances by 1%.
  milliseconds StallAfter{1'000};
  milliseconds MoveAfter{8'000};       // most stalls end earlier on their own
  milliseconds MaxUnsaved{2'000};      // most work a checkpointing run can lose
  milliseconds SuspectDuration{3'000}; // of an idle stalled executor
  int MaxMoves = 3; // of one unit; beyond that the job itself is at fault

  friend bool operator==(const pace_settings &,
                         const pace_settings &) = default;
};

/// Reported progress of one run.
struct run_pace {
  int Percent = 0;      // of its work
  instant AdvancedAt{}; // last increase, or the first report
  instant SeenAt{};     // last report; a stall is measured up to here

  friend bool operator==(const run_pace &, const run_pace &) = default;
};

/// Records a report. True when the run has advanced since the previous one.
bool recordProgress(run_pace &Pace, int Percent, instant Now);

/// Whether the run has not advanced for StallAfter.
bool isStalled(const run_pace &Pace, const pace_settings &Settings);

/// Whether to restart a stalled run on another executor: after MoveAfter, and
/// once the stall has lasted as long as the unsaved work that the restart would
/// repeat. Moving earlier loses more work than it saves time, because most jobs
/// still meet their objective after a stall of a few seconds.
bool isWorthMoving(const run_pace &Pace, const pace_settings &Settings,
                   milliseconds Unsaved);

} // namespace galenastage::batch
