#include "core/job/batch/pace.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

const pace_settings Settings;
constexpr instant Start{milliseconds(100'000)};

/// A run that reports these percentages at intervals of Apart.
run_pace report(const std::vector<int> &Percents, milliseconds Apart) {
  run_pace Pace;
  instant Now = Start;
  for (const int Percent : Percents) {
    recordProgress(Pace, Percent, Now);
    Now += Apart;
  }
  return Pace;
}

} // namespace

TEST_CASE("pace: a slow run isn't stalled") {
  // A 10 s task on an executor that is 10 times slower: 1% per second.
  const run_pace Slow = report({20, 21, 22, 23}, milliseconds(1'000));
  CHECK_FALSE(isStalled(Slow, Settings));
  const run_pace StalledRuns = report({20, 21, 21, 21}, milliseconds(700));
  CHECK(isStalled(StalledRuns, Settings));
}

TEST_CASE("pace: missing reports aren't a stall") {
  run_pace Pace = report({20}, milliseconds(700));
  CHECK_FALSE(isStalled(Pace, Settings));
  recordProgress(Pace, 60, Start + milliseconds(30'000));
  CHECK_FALSE(isStalled(Pace, Settings));
}

TEST_CASE(
    "pace: a run moves once the stall lasted as long as its unsaved work") {
  run_pace Pace = report({50}, milliseconds(0));
  recordProgress(Pace, 50, Start + Settings.MoveAfter - milliseconds(1));
  CHECK_FALSE(isWorthMoving(Pace, Settings, milliseconds(0)));
  recordProgress(Pace, 50, Start + Settings.MoveAfter);
  CHECK(isWorthMoving(Pace, Settings, milliseconds(0)));
  CHECK_FALSE(isWorthMoving(Pace, Settings, 2 * Settings.MoveAfter));
}
