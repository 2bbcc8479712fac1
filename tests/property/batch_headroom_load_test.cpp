// Bursts of urgent gangs on a service that is full of other work, in the shape
// of the glazier's heaviest day (docs/design/hard-load.md).

#include "tests/support/batch_world.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace galenastage;
using namespace galenastage::batch::test;

namespace {

constexpr std::uint64_t Seeds = 3;

world_settings makeGlazierDay(bool HasHeadroom) {
  world_settings Settings;
  Settings.Executors = 350;
  Settings.PerRack = 20;
  Settings.Capacity = {128'000, 524'288, 8};
  Settings.Arrivals = milliseconds(33'000);
  Settings.Length = milliseconds(240'000);
  Settings.StopTime = milliseconds(400);
  Settings.Scheduler.StopTimeout = Settings.StopTime;
  Settings.Scheduler.CheckpointInterval = milliseconds(500);
  Settings.Scheduler.RestoreTime = milliseconds(250);
  Settings.Scheduler.Headroom.IsEnabled = HasHeadroom;
  job_load Urgent;
  Urgent.PerSecond = 10.6;
  Urgent.MeanWidth = 5;
  Urgent.MilliCpu = 15'000;
  Urgent.MemoryMb = 60'000;
  Urgent.Accelerators = {1, 2, 4, 8};
  Urgent.Work = milliseconds(2'500);
  Urgent.IsGang = true;
  Urgent.RackLocal = 0.8;
  Urgent.StretchFactor = 1.5;
  Urgent.TargetDuration = milliseconds(250);
  Urgent.EstimateError = 0.5;
  Urgent.BurstPeriod = milliseconds(8'000);
  job_load Ordinary;
  Ordinary.Priority = 1;
  Ordinary.PerSecond = 2.5;
  Ordinary.MeanWidth = 13;
  Ordinary.MilliCpu = 52'000;
  Ordinary.MemoryMb = 150'000;
  Ordinary.Accelerators = {1, 2, 4, 8};
  Ordinary.Work = milliseconds(11'000);
  Ordinary.IsGang = true;
  Ordinary.RackLocal = 0.6;
  Ordinary.Checkpointing = 0.45;
  Ordinary.TargetDuration = milliseconds(1'000);
  Ordinary.EstimateError = 0.5;
  job_load Patient;
  Patient.Priority = 2;
  Patient.PerSecond = 2.5;
  Patient.MeanWidth = 39;
  Patient.MilliCpu = 11'000;
  Patient.MemoryMb = 44'000;
  Patient.Accelerators = {1};
  Patient.Work = milliseconds(9'500);
  Patient.Checkpointing = 0.45;
  Patient.TargetDuration = milliseconds(3'000);
  Patient.EstimateError = 0.5;
  Settings.Loads = {Urgent, Ordinary, Patient};
  Settings.Organisations = 10;
  constexpr double GuaranteedShare = 0.62; // of all accelerators
  Settings.Guaranteed =
      static_cast<int>(Settings.Executors * Settings.Capacity.Accelerators *
                       GuaranteedShare / Settings.Organisations);
  return Settings;
}

milliseconds percentile(std::vector<milliseconds> Times, int Percent) {
  REQUIRE_FALSE(Times.empty());
  std::ranges::sort(Times);
  return Times[(Times.size() - 1) * static_cast<std::size_t>(Percent) / 100];
}

} // namespace

// Guards against urgent gangs that wait for stops, and the work those throw
// away, because other work took the capacity which the gangs before had left.
TEST_CASE("load: bursts of urgent gangs find room that earlier ones left") {
  constexpr milliseconds MostMedian{100};
  constexpr milliseconds MostOfNinety{350};
  double LostWithout = 0;
  double LostWith = 0;
  std::vector<milliseconds> Waits;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const world_report Without = runWorld(makeGlazierDay(false), Seed);
    const world_report With = runWorld(makeGlazierDay(true), Seed);
    for (const std::string &Violation : With.Violations)
      CHECK(Violation == "");
    CHECK(With.Completed == Without.Completed);
    LostWithout += Without.LostWork;
    LostWith += With.LostWork;
    const auto &Starts = With.Times.at(0).Starts;
    Waits.insert(Waits.end(), Starts.begin(), Starts.end());
  }
  CHECK(LostWith < LostWithout / 2);
  CHECK(percentile(Waits, 50) <= MostMedian);
  CHECK(percentile(Waits, 90) <= MostOfNinety);
}
