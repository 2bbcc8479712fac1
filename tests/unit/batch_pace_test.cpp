#include "core/job/batch/pace.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

const pace_settings Settings;
constexpr instant Start{milliseconds(100'000)};

/// A run that reports these shares of its work, one every Apart.
run_pace report(const std::vector<int> &Percents, milliseconds Apart) {
  run_pace Pace;
  instant Now = Start;
  for (const int Percent : Percents) {
    notePercent(Pace, Percent, Now);
    Now += Apart;
  }
  return Pace;
}

} // namespace

TEST_CASE("pace: a slow run isn't one that stands still") {
  // A task of 10 s on an executor ten times slower: a percent a second.
  const run_pace Slow = report({20, 21, 22, 23}, milliseconds(1'000));
  CHECK_FALSE(isStandingStill(Slow, Settings));
  const run_pace Still = report({20, 21, 21, 21}, milliseconds(700));
  CHECK(isStandingStill(Still, Settings));
}

TEST_CASE("pace: silence of the executor proves nothing") {
  run_pace Pace = report({20}, milliseconds(700));
  CHECK_FALSE(isStandingStill(Pace, Settings));
  notePercent(Pace, 60, Start + milliseconds(30'000));
  CHECK_FALSE(isStandingStill(Pace, Settings));
}

TEST_CASE("pace: a run moves when waiting has cost as much as its work") {
  run_pace Pace = report({50}, milliseconds(0));
  notePercent(Pace, 50, Start + Settings.MoveAfter - milliseconds(1));
  CHECK_FALSE(isWorthMoving(Pace, Settings, milliseconds(0)));
  notePercent(Pace, 50, Start + Settings.MoveAfter);
  CHECK(isWorthMoving(Pace, Settings, milliseconds(0)));
  CHECK_FALSE(isWorthMoving(Pace, Settings, 2 * Settings.MoveAfter));
}
