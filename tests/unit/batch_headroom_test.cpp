// Executors that are kept for guaranteed work.

#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

const headroom_settings Settings;
constexpr instant Start{milliseconds(100'000)};
constexpr double Unbounded = 1'000;

struct headroom_fixture : test::scheduler_fixture {
  std::vector<std::string> Ids;

  /// Two racks of four executors; the guarantee covers all of them.
  headroom_fixture() {
    setGuarantee(64);
    std::vector<executor_report> Reports;
    for (int I = 0; I < 8; ++I) {
      Ids.push_back("x" + std::to_string(I));
      Reports.push_back(report(Ids.back(), I < 4 ? "r1" : "r2"));
    }
    post(recovery_finished{});
    list(Reports);
    for (const std::string &Id : Ids)
      answer(Id);
  }
  void setGuarantee(int Accelerators) {
    deployment_config Config = State.Config;
    Config.Organisations[0].GuaranteedAccelerators = Accelerators;
    post(configuration_changed{Config});
  }
  [[nodiscard]] std::set<std::string> kept() const {
    std::set<std::string> Kept;
    for (const auto &[Id, Executor] : State.Executors)
      if (Executor.IsKept)
        Kept.insert(Id.Value);
    return Kept;
  }
  void endAll(const std::vector<start_run> &Starts) {
    for (const start_run &Start : Starts)
      answer(Start.To.Id.Value, {}, {end(Start.Run, run_end::Done)});
    while (!State.Saving.empty())
      save();
  }
  /// Runs urgent work and ends it. Returns where it ran.
  std::set<std::string> passUrgent(const std::string &Id, int Count) {
    const auto Starts = run(job(Id, 0, Count, 8));
    REQUIRE(static_cast<int>(Starts.size()) == Count);
    std::set<std::string> Where;
    for (const start_run &Start : Starts)
      Where.insert(Start.To.Id.Value);
    pass(Settings.UpdateInterval);
    endAll(Starts);
    pass(Settings.UpdateInterval);
    CHECK(explainStaleIndex(State, Now).empty());
    return Where;
  }
};

} // namespace

TEST_CASE("headroom: the peak grows at once and decays") {
  urgent_demand Demand;
  recordUse(Demand, 10, Start, Settings);
  CHECK(recentPeak(Demand, Start, Settings) == 10);
  recordUse(Demand, 2, Start, Settings);
  CHECK(recentPeak(Demand, Start + Settings.DecayTime / 2, Settings) ==
        Approx(5));
  CHECK(recentPeak(Demand, Start + Settings.DecayTime, Settings) == Approx(2));
  recordUse(Demand, 12, Start + Settings.DecayTime, Settings);
  CHECK(recentPeak(Demand, Start + Settings.DecayTime, Settings) == 12);
}

TEST_CASE("headroom: what is kept is bounded by guarantees and by a share of "
          "the service") {
  urgent_demand Demand;
  recordUse(Demand, 40, Start, Settings);
  CHECK(countKept(Demand, Unbounded, 1'000, Start, Settings) == 50);
  CHECK(countKept(Demand, 30.9, 1'000, Start, Settings) == 30);
  CHECK(countKept(Demand, Unbounded, 20, Start, Settings) == 10);
  CHECK(countKept(Demand, 0, 1'000, Start, Settings) == 0);
  recordUse(Demand, 0, Start, Settings);
  CHECK(countKept(Demand, Unbounded, 1'000, Start + Settings.DecayTime,
                  Settings) == 0);
}

TEST_CASE("headroom: the scarcest resource counts") {
  const resources Typical{128'000, 512'000, 8};
  CHECK(inExecutors({15'000, 10'000, 8}, Typical) == Approx(1));
  CHECK(inExecutors({64'000, 10'000, 1}, Typical) == Approx(0.5));
  CHECK(inExecutors({64'000, 10'000, 1}, {}) == 0);
}

// Guards against capacity of urgent work that other work takes in the pause
// between two urgent jobs, and that must be taken back by stops.
TEST_CASE_METHOD(headroom_fixture,
                 "headroom: the next urgent job finds room between patient "
                 "work") {
  passUrgent("urgent1", 3);
  CHECK(kept().size() >= 3);
  submit(job("patient", 2, 100, 1, "none"));
  while (!State.Saving.empty())
    save();
  for (const std::string &Id : kept())
    CHECK(State.Executors.at(executor_id(Id)).Runs.empty());
  submit(job("urgent2", 0, 3, 8));
  CHECK(all<stop_run>().empty());
  CHECK(State.Plans.empty());
  CHECK(save().size() == 3);
}

TEST_CASE_METHOD(headroom_fixture,
                 "headroom: executors are kept in few racks") {
  passUrgent("urgent", 2);
  passUrgent("urgent2", 3);
  std::set<rack_id> Racks;
  for (const std::string &Id : kept())
    Racks.insert(State.Executors.at(executor_id(Id)).Report.Rack);
  CHECK(kept().size() > 2);
  CHECK(Racks.size() == 1);
}

// Guards against other work that starves beside idle executors.
TEST_CASE_METHOD(headroom_fixture,
                 "headroom: nothing is kept once no urgent work has come for "
                 "the decay time") {
  passUrgent("urgent", 3);
  REQUIRE_FALSE(kept().empty());
  pass(Settings.DecayTime);
  CHECK(kept().empty());
  submit(job("patient", 2, 64, 1, "none"));
  std::size_t Started = save().size();
  CHECK(Started == 64);
}

TEST_CASE_METHOD(headroom_fixture, "headroom: nothing is kept without "
                                   "guarantees") {
  setGuarantee(0);
  passUrgent("urgent", 3);
  CHECK(kept().empty());
}

TEST_CASE_METHOD(headroom_fixture,
                 "headroom: a guarantee that is lowered lowers what is kept") {
  passUrgent("urgent", 3);
  REQUIRE(kept().size() >= 3);
  setGuarantee(16);
  pass(Settings.UpdateInterval);
  CHECK(kept().size() == 2);
  setGuarantee(0);
  pass(Settings.UpdateInterval);
  CHECK(kept().empty());
}

TEST_CASE_METHOD(headroom_fixture,
                 "headroom: nothing is kept for an organisation that has "
                 "left") {
  passUrgent("urgent", 3);
  deployment_config Config = State.Config;
  Config.Organisations.erase(Config.Organisations.begin());
  post(configuration_changed{Config});
  pass(Settings.UpdateInterval);
  CHECK(kept().empty());
}

TEST_CASE_METHOD(headroom_fixture,
                 "headroom: an executor that can't be used is replaced") {
  passUrgent("urgent", 2);
  const std::string Lost = *kept().begin();
  const std::size_t Before = kept().size();
  SECTION("it doesn't answer") {
    post(hold_failed{executor_id(Lost), 1, hold_failure::NoAnswer});
  }
  SECTION("it has left the list") {
    std::vector<executor_report> Rest;
    for (const std::string &Id : Ids)
      if (Id != Lost)
        Rest.push_back(
            report(Id, State.Executors.at(executor_id(Id)).Report.Rack.Value));
    list(Rest);
  }
  pass(Settings.UpdateInterval);
  CHECK_FALSE(kept().contains(Lost));
  CHECK(kept().size() == Before);
  CHECK(explainStaleIndex(State, Now).empty());
}

TEST_CASE_METHOD(headroom_fixture,
                 "headroom: nothing of an earlier term is kept") {
  passUrgent("urgent", 3);
  post(leadership_lost{});
  CHECK(kept().empty());
  CHECK(explainStaleIndex(State, Now).empty());
}

// Guards against urgent work beyond a small guarantee that waits for seconds
// beside free kept executors.
TEST_CASE_METHOD(headroom_fixture,
                 "headroom: short urgent work beyond its guarantee uses kept "
                 "executors when no other is free") {
  passUrgent("urgent", 3);
  const std::set<std::string> Kept = kept();
  job_spec Filler = job("filler", 2, 100, 1, "none");
  SECTION("no other is free") {
    submit(Filler);
    while (!State.Saving.empty())
      save();
    submit(job("beyond", 0, 1, 8, "none"));
    const auto &Runs = State.Jobs.at(job_id("beyond")).Runs;
    REQUIRE(Runs.size() == 1);
    CHECK(Kept.contains(Runs.begin()->second.Value));
  }
  SECTION("others are free") {
    submit(job("beyond", 0, 1, 8, "none"));
    const auto &Runs = State.Jobs.at(job_id("beyond")).Runs;
    REQUIRE(Runs.size() == 1);
    CHECK_FALSE(Kept.contains(Runs.begin()->second.Value));
  }
}

// Guards against a step that may only run on kept executors and never starts.
TEST_CASE_METHOD(headroom_fixture,
                 "headroom: a step that is bound to a rack isn't kept out for "
                 "ever") {
  passUrgent("urgent", 3);
  job_spec Bound = job("bound", 1, 4, 8, "none");
  Bound.Steps[0].IsGang = true;
  Bound.Steps[0].Requirement =
      State.Executors.at(executor_id(*kept().begin())).Report.Rack.Value;
  submit(Bound);
  const auto IsRunning = [&] {
    return !State.Jobs.at(job_id("bound")).Runs.empty();
  };
  int Urgent = 0;
  for (milliseconds Time{0}; Time < Settings.LongestExclusion;
       Time += milliseconds(1'000)) {
    CHECK_FALSE(IsRunning());
    const auto Starts = run(job("again" + std::to_string(++Urgent), 0, 1, 8));
    endAll(Starts);
    pass(milliseconds(1'000));
  }
  pass(milliseconds(20));
  CHECK_FALSE(kept().empty());
  CHECK(IsRunning());
}

TEST_CASE_METHOD(headroom_fixture, "headroom: switched off, nothing is kept") {
  State.Settings.Headroom.IsEnabled = false;
  passUrgent("urgent", 3);
  CHECK(kept().empty());
}
