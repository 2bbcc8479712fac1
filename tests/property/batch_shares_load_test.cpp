// Loads in which organisations compete for one service, in virtual time.

#include "tests/support/batch_world.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace galenastage;
using namespace galenastage::batch::test;

namespace {

constexpr std::uint64_t Seed = 1;
const organisation_id Flooding("o0");
const organisation_id Modest("o1");

/// Two organisations without guarantees, each with more work than half of the
/// 128 accelerators can do. The first sends ten times as many jobs.
world_settings makeFlood() {
  world_settings Settings;
  Settings.Executors = 16;
  Settings.Organisations = 2;
  Settings.Guaranteed = 0;
  Settings.Arrivals = milliseconds(16'000);
  Settings.CountedFrom = milliseconds(5'000);
  Settings.CountedUntil = milliseconds(15'000);
  job_load Load;
  Load.Priority = 2;
  Load.MeanWidth = 25;
  Load.Accelerators = {1};
  Load.Work = milliseconds(2'000);
  for (int Organisation = 0; Organisation < 2; ++Organisation) {
    Load.Organisation = Organisation;
    Load.PerSecond = Organisation == 0 ? 16 : 1.6;
    Settings.Loads.push_back(Load);
  }
  return Settings;
}

milliseconds percentile(std::vector<milliseconds> Times, int Percent) {
  REQUIRE_FALSE(Times.empty());
  std::ranges::sort(Times);
  return Times[(Times.size() - 1) * static_cast<std::size_t>(Percent) / 100];
}

job_load makeGangs(int Organisation) {
  job_load Load;
  Load.PerSecond = 2;
  Load.MeanWidth = 4;
  Load.Accelerators = {1, 2};
  Load.Work = milliseconds(2'000);
  Load.IsGang = true;
  Load.StretchFactor = 1.5;
  Load.TargetDuration = milliseconds(250);
  Load.Organisation = Organisation;
  return Load;
}

} // namespace

TEST_CASE("load: an organisation that sends ten times as many jobs doesn't "
          "take the room of another one with an equal claim") {
  world_report Report = runWorld(makeFlood(), Seed);
  const double Flood = Report.RoomOf[Flooding];
  const double Other = Report.RoomOf[Modest];
  CAPTURE(Flood, Other);
  CHECK(Other >= 0.8 * Flood);
  CHECK(Flood >= 0.8 * Other);
}

TEST_CASE("load: urgent work within a guarantee starts within its bound while "
          "another organisation floods the service") {
  world_settings Settings = makeFlood();
  Settings.Guaranteed = 48;
  Settings.Loads[1] = makeGangs(1);
  world_report Report = runWorld(Settings, Seed);
  for (const std::string &Violation : Report.Violations)
    CHECK(Violation == "");
  const milliseconds Bound{2'900};
  const auto Starts = Report.TimesOf[Modest][0].Starts;
  CHECK(percentile(Starts, 100) < Bound);
}

// Guards against a service that urgent work beyond a guarantee keeps full.
TEST_CASE("load: a guaranteed gang starts within its bound while urgent work "
          "beyond another guarantee fills the service") {
  world_settings Settings = makeFlood();
  Settings.Guaranteed = 48;
  Settings.Loads[0] = makeGangs(0);
  Settings.Loads[0].PerSecond = 8;
  Settings.Loads[0].Work = milliseconds(8'000);
  Settings.Loads[1] = makeGangs(1);
  Settings.Loads[1].PerSecond = 1;
  world_report Report = runWorld(Settings, Seed);
  for (const std::string &Violation : Report.Violations)
    CHECK(Violation == "");
  const milliseconds Bound{2'900};
  const auto Starts = Report.TimesOf[Modest][0].Starts;
  CHECK(percentile(Starts, 100) < Bound);
}
