#pragma once

// Tells runs that stand still from runs that are merely slow, by the share of
// their work that executors report. Pure: time arrives as an argument.

#include "core/types.hpp"

namespace galenastage::batch {

struct pace_settings {
  // A task of 10 s that runs 10 times slower still advances by a percent in it.
  milliseconds StallAfter{1'000};
  milliseconds MoveAfter{8'000};  // most stalls end by themselves before
  milliseconds MaxUnsaved{2'000}; // work that a checkpointing run can lose
  milliseconds Suspicion{3'000};  // an executor without runs stays suspected
  int MaxMoves = 3; // of one unit; then the job, not an executor, is at fault

  friend bool operator==(const pace_settings &,
                         const pace_settings &) = default;
};

/// What was seen of one run's progress.
struct run_pace {
  int Percent = 0;      // of its work
  instant AdvancedAt{}; // when that last rose, or the run was first listed
  instant SeenAt{};     // of the last report; what isn't seen proves nothing

  friend bool operator==(const run_pace &, const run_pace &) = default;
};

/// Notes a report. True when the run has advanced since the one before.
bool notePercent(run_pace &Pace, int Percent, instant Now);

/// Whether the run has not advanced for so long that it stands still.
bool isStandingStill(const run_pace &Pace, const pace_settings &Settings);

/// Whether a run that stands still is to start again elsewhere: after
/// MoveAfter, and once waiting has cost as much time as the work that a new
/// start does again. Moving sooner throws away more work than it saves time: a
/// stall of a few seconds leaves most jobs within their objective.
bool isWorthMoving(const run_pace &Pace, const pace_settings &Settings,
                   milliseconds Unsaved);

} // namespace galenastage::batch
