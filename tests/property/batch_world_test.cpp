#include "tests/support/batch_world.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch::test;

namespace {

constexpr std::uint64_t Seeds = 40; // simulated runs for each test case

void checkWorlds(const world_settings &Settings) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const world_report Report = runWorld(Settings, Seed);
    CAPTURE(Seed, Report.Starts, Report.Leaders, Report.Completed);
    for (const std::string &Violation : Report.Violations)
      FAIL_CHECK(Violation);
    CHECK(Report.Starts > 0);
    if (!Report.Violations.empty())
      return; // one failing seed is enough for debugging
  }
}

} // namespace

TEST_CASE("batch: a calm world finishes every job") { checkWorlds({}); }

TEST_CASE("batch: runs that fail use up their attempts and no more") {
  world_settings Settings;
  Settings.Faults.FailingRuns = 0.3;
  checkWorlds(Settings);
}

TEST_CASE("batch: orders without an answer, some carried out late") {
  world_settings Settings;
  Settings.Faults.LostOrders = 0.2;
  Settings.Faults.LateOrders = 0.5;
  checkWorlds(Settings);
}

TEST_CASE("batch: leaders are lost, and some thaw later") {
  world_settings Settings;
  Settings.Faults.LeaderLosses = 4;
  Settings.Faults.HasFrozenLeaders = true;
  checkWorlds(Settings);
}

TEST_CASE("batch: executors restart under their id") {
  world_settings Settings;
  Settings.Faults.ExecutorRestarts = 8;
  checkWorlds(Settings);
}

TEST_CASE("batch: executors are cut off and run on") {
  world_settings Settings;
  Settings.Faults.ExecutorCuts = 6;
  checkWorlds(Settings);
}

TEST_CASE("batch: the store is away, and answers of it are lost") {
  world_settings Settings;
  Settings.Faults.StoreOutages = 3;
  Settings.Faults.LostWrites = 0.2;
  checkWorlds(Settings);
}

// Guards against second starts of tasks whose end was reported to a hold of the
// term before.
TEST_CASE("batch: terms end in short outages of the store, and the same "
          "instance leads again") {
  world_settings Settings;
  Settings.Faults.StoreOutages = 10;
  checkWorlds(Settings);
}

TEST_CASE("batch: terms end in short outages while orders and writes lose "
          "their answers") {
  world_settings Settings;
  Settings.Faults.StoreOutages = 8;
  Settings.Faults.LostOrders = 0.1;
  Settings.Faults.LateOrders = 0.5;
  Settings.Faults.LostWrites = 0.2;
  Settings.Faults.FailingRuns = 0.1;
  Settings.Faults.ExecutorCuts = 2;
  checkWorlds(Settings);
}

// Guards against a task that crashes executor after executor without end.
TEST_CASE("batch: jobs crash the executors that start them") {
  world_settings Settings;
  Settings.Faults.CrashingJobs = 0.2;
  checkWorlds(Settings);
}

TEST_CASE("batch: jobs crash executors while leaders are lost and the store is "
          "away") {
  world_settings Settings;
  Settings.Faults.CrashingJobs = 0.2;
  Settings.Faults.LeaderLosses = 3;
  Settings.Faults.StoreOutages = 3;
  Settings.Faults.LostWrites = 0.1;
  checkWorlds(Settings);
}

// Guards against jobs that fail because others, or no job at all, crashed their
// executors.
TEST_CASE("batch: no job fails in outages of several executors") {
  world_settings Settings;
  Settings.Executors = 16;
  Settings.Faults.Outages = 8;
  checkWorlds(Settings);
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    CHECK(runWorld(Settings, Seed).FailedInnocents == 0);
  }
}

// Guards against starts on capacity that has gone.
TEST_CASE("batch: capacities shrink and grow while the store is away") {
  world_settings Settings;
  Settings.Faults.CapacityChanges = 16;
  Settings.Faults.StoreOutages = 4;
  Settings.Faults.LostWrites = 0.2;
  checkWorlds(Settings);
}

// Guards against runs that are stopped for a departure and started twice or
// never, and against starts on executors that drain.
TEST_CASE("batch: executors leave with a notice") {
  world_settings Settings;
  Settings.Faults.LeavingExecutors = 0.6;
  checkWorlds(Settings);
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    CHECK(runWorld(Settings, Seed).LostUnsaved == 0);
  }
}

TEST_CASE("batch: executors leave while leaders are lost, the store is away "
          "and orders lose their answers") {
  world_settings Settings;
  Settings.Executors = 12;
  Settings.Faults.LeavingExecutors = 0.6;
  Settings.Faults.LeaderLosses = 3;
  Settings.Faults.HasFrozenLeaders = true;
  Settings.Faults.StoreOutages = 4;
  Settings.Faults.LostWrites = 0.1;
  Settings.Faults.LostOrders = 0.1;
  Settings.Faults.LateOrders = 0.5;
  Settings.Faults.ExecutorCuts = 2;
  checkWorlds(Settings);
}

// Guards against starts on an executor by the labels of its life before.
TEST_CASE("batch: executors restart under their id as another kind") {
  world_settings Settings;
  Settings.Jobs = 60;
  Settings.Faults.KindChanges = 24;
  Settings.Faults.LostOrders = 0.1;
  Settings.Faults.LateOrders = 0.5;
  checkWorlds(Settings);
}

// Guards against queue lengths that stay wrong after a write of them failed.
TEST_CASE("batch: the store refuses all writes for a second") {
  world_settings Settings;
  Settings.Executors = 2;
  Settings.Jobs = 60;
  Settings.Length = milliseconds(400'000);
  Settings.Faults.RefusedWrites = 12;
  checkWorlds(Settings);
}

TEST_CASE("batch: the store refuses some writes and loses answers of others") {
  world_settings Settings;
  Settings.Jobs = 60;
  Settings.Length = milliseconds(400'000);
  Settings.Faults.FailingWrites = 0.2;
  Settings.Faults.LostWrites = 0.2;
  Settings.Faults.LeaderLosses = 3;
  checkWorlds(Settings);
}

TEST_CASE("batch: all faults at once") {
  world_settings Settings;
  Settings.Faults = {0.1, 0.5, 0.1, 0.1, 3, 4, 4, 2, true};
  Settings.Faults.CrashingJobs = 0.1;
  Settings.Faults.CapacityChanges = 4;
  checkWorlds(Settings);
}
