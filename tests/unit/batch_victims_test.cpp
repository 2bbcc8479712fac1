// Which runs a reclaim stops, and which it leaves alone.

#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

constexpr milliseconds Restore{250};
constexpr milliseconds StopTime{400};

struct victims_fixture : test::scheduler_fixture {
  /// A job of one gang without a guarantee.
  static job_spec gang(const std::string &Id, int Priority, int Count,
                       int Accelerators) {
    job_spec Job = job(Id, Priority, Count, Accelerators, "none");
    Job.Steps[0].IsGang = true;
    return Job;
  }
  /// Reports the runs that are active on the executor.
  void report(const std::string &Id, const std::vector<start_run> &Starts,
              int Percent) {
    std::vector<active_run> Active;
    for (const start_run &Start : Starts)
      if (Start.To.Id.Value == Id)
        Active.push_back({Start.Run, "", Percent});
    answer(Id, Active);
  }
  /// The jobs of the stops that the last event ordered.
  [[nodiscard]] std::set<std::string> stopped() const {
    std::set<std::string> Jobs;
    for (const stop_run &Stop : all<stop_run>())
      Jobs.insert(Stop.Run.Task.Job.Value);
    return Jobs;
  }
};

} // namespace

TEST_CASE("victims: a checkpointing unit loses only the time to restore it") {
  const victim Saved{true, true, milliseconds(8'000), 10, 0};
  const victim Unsaved{true, false, milliseconds(8'000), 10, 0};
  CHECK(lossOf(Saved, Restore) == Approx(2.5));
  CHECK(lossOf(Unsaved, Restore) == Approx(80));
  const victim Recorded{false, false, milliseconds(8'000), 10, 0};
  CHECK(lossOf(Recorded, Restore) == 0);
}

// Guards against one unit that is stopped up to 13 times.
TEST_CASE("victims: the price of a unit rises with each stop") {
  const victim_settings Settings;
  victim Victim{true, true, milliseconds(8'000), 10, 0};
  double Last = priceOf(Victim, Restore, StopTime, Settings);
  for (Victim.Stops = 1; Victim.Stops < 6; ++Victim.Stops) {
    const double Price = priceOf(Victim, Restore, StopTime, Settings);
    CHECK(Price - Last == Approx(6.5)); // 0.4 s and 0.25 s of ten cores
    Last = Price;
  }
}

// Guards against stops of gangs that lose all of their work, where others were
// stopped before and only have to restore a checkpoint.
TEST_CASE("victims: an old unit that can't save is dearer than one that can") {
  const victim_settings Settings;
  const victim Saved{true, true, milliseconds(8'000), 10, 4};
  const victim Old{true, false, milliseconds(3'000), 10, 0};
  const victim Young{true, false, milliseconds(200), 10, 0};
  const auto Price = [&](const victim &Victim) {
    return priceOf(Victim, Restore, StopTime, Settings);
  };
  CHECK(Price(Saved) < Price(Old));
  CHECK(Price(Young) < Price(Saved));
}

TEST_CASE("victims: the pause after a stop doubles up to a bound") {
  const victim_settings Settings;
  CHECK(pauseAfter(0, Settings) == milliseconds(0));
  CHECK(pauseAfter(1, Settings) == Settings.FirstPause);
  CHECK(pauseAfter(2, Settings) == 2 * Settings.FirstPause);
  CHECK(pauseAfter(50, Settings) == Settings.LongestPause);
}

// Guards against stops for capacity that earlier stops free anyway.
TEST_CASE_METHOD(victims_fixture,
                 "victims: two reclaims don't stop two units for the same "
                 "capacity") {
  settle({"x", "y"});
  run(gang("first", 1, 2, 4));
  run(gang("second", 1, 2, 4));
  submit(job("urgent1", 0, 1, 2));
  REQUIRE(stopped().size() == 1);
  submit(job("urgent2", 0, 1, 2));
  CHECK(stopped().empty());
  CHECK(State.Plans.size() == 2);
  CHECK(explainStaleIndex(State, Now).empty());
}

TEST_CASE_METHOD(victims_fixture,
                 "victims: what plans reserve of stopped runs isn't reserved "
                 "again") {
  settle({"x", "y"});
  run(gang("first", 1, 2, 4));
  run(gang("second", 1, 2, 4));
  submit(job("urgent1", 0, 1, 3));
  REQUIRE(stopped().size() == 1);
  deployment_config Config = State.Config;
  Config.Organisations[0].GuaranteedAccelerators = 100;
  post(configuration_changed{Config});
  submit(job("urgent2", 0, 1, 6));
  // The first stop frees 8 accelerators, 3 of them are taken.
  CHECK(stopped().size() == 1);
}

// Guards against work thrown away just before its end, for capacity that its
// end would have freed sooner than the stop.
TEST_CASE_METHOD(victims_fixture,
                 "victims: a run that is about to end isn't stopped") {
  settle({"x"});
  const auto Starts = run(job("patient", 2, 1, 8, "none"));
  REQUIRE(Starts.size() == 1);
  Now += milliseconds(3'800);
  report("x", Starts, 95);
  submit(job("urgent", 0, 1, 4));
  CHECK(stopped().empty());
  CHECK(State.Plans.size() == 1);
  SECTION("its end starts the urgent job") {
    answer("x", {}, {end(Starts[0].Run, run_end::Done)});
    pass(milliseconds(20));
    CHECK(State.Plans.empty());
    CHECK(State.Jobs.at(job_id("urgent")).Progress.Phase == job_phase::Running);
  }
  SECTION("it is stopped when it takes longer than expected") {
    pass(State.Settings.StopTimeout + milliseconds(20));
    CHECK(stopped() == std::set<std::string>{"patient"});
  }
}

TEST_CASE_METHOD(victims_fixture,
                 "victims: a unit that was stopped often is spared while "
                 "another one frees enough") {
  settle({"x", "y"});
  run(gang("often", 1, 1, 8));
  Now += milliseconds(2'000); // the other one has less to lose
  run(gang("never", 1, 1, 8));
  job_state &Often = State.Jobs.at(job_id("often"));
  Often.Units[0][0][0].Stops = 3;
  State.Jobs.at(job_id("often")).Spec.Steps[0].IsCheckpointing = true;
  for (auto &[Id, Executor] : State.Executors)
    for (auto &[Name, Run] : Executor.Runs)
      Run.IsCheckpointing = Name.Task.Job.Value == "often";
  Now += milliseconds(1'000);
  submit(job("urgent1", 0, 1, 2));
  CHECK(stopped() == std::set<std::string>{"never"});
}

TEST_CASE_METHOD(victims_fixture,
                 "victims: an old gang that can't save isn't stopped for one "
                 "that can") {
  settle({"x", "y"});
  run(gang("unsaved", 1, 2, 4));
  job_spec Saving = gang("saving", 1, 2, 4);
  Saving.Steps[0].IsCheckpointing = true;
  run(Saving);
  State.Jobs.at(job_id("saving")).Units[0][0][0].Stops = 4;
  Now += milliseconds(6'000);
  submit(job("urgent", 0, 1, 2));
  CHECK(stopped() == std::set<std::string>{"saving"});
}

// Guards against a guarantee that isn't kept because all units were stopped
// often.
TEST_CASE_METHOD(victims_fixture,
                 "victims: a unit that was stopped often is stopped when "
                 "nothing else frees enough") {
  settle({"x"});
  run(gang("often", 1, 1, 8));
  State.Jobs.at(job_id("often")).Units[0][0][0].Stops = 20;
  submit(job("urgent", 0, 1, 2));
  CHECK(stopped() == std::set<std::string>{"often"});
}

// Guards against stopped work that takes the capacity which the next urgent
// job needs, and is stopped again.
TEST_CASE_METHOD(victims_fixture,
                 "victims: stopped work pauses while capacity is scarce") {
  settle({"x"});
  const auto Victim = run(job("victim", 2, 1, 4, "none"));
  run(gang("other", 1, 1, 4));
  State.Jobs.at(job_id("other")).Units[0][0][0].Stops = 20;
  submit(job("urgent", 0, 1, 2));
  REQUIRE(stopped() == std::set<std::string>{"victim"});
  answer("x", {}, {end(Victim[0].Run, run_end::Stopped)});
  pass(milliseconds(20));
  for (int I = 0; I < 3; ++I)
    save();
  const auto IsRunning = [&] {
    return !State.Jobs.at(job_id("victim")).Runs.empty();
  };
  CHECK_FALSE(IsRunning());
  const auto &Urgent = State.Jobs.at(job_id("urgent")).Runs;
  REQUIRE(Urgent.size() == 1);
  answer("x", {}, {end(Urgent.begin()->first, run_end::Done)});
  pass(State.Settings.Headroom.Victims.LongestPause);
  CHECK(IsRunning());
}

TEST_CASE_METHOD(victims_fixture,
                 "victims: two reclaims of one pass don't stop two units for "
                 "the same capacity") {
  settle({"x", "y"});
  run(gang("first", 1, 2, 4));
  run(gang("second", 1, 2, 4));
  submit(job("urgent1", 0, 2, 2)); // two units
  CHECK(stopped().size() == 1);
  CHECK(State.Plans.size() == 2);
}

// Guards against a second run of a task whose first one, taken for lost, turns
// out to be done while capacity is being freed for it.
TEST_CASE_METHOD(victims_fixture,
                 "victims: a planned unit that becomes done doesn't start") {
  settle({"x", "y"});
  run(gang("old", 1, 1, 8));
  Now += milliseconds(1'000);
  const auto Young = run(gang("young", 1, 1, 8));
  submit(job("urgent", 0, 2, 2));
  REQUIRE(State.Plans.size() == 2);
  const run_name First{{job_id("urgent"), 0, 0, 0}, 1};
  const std::string Where = Young[0].To.Id.Value;
  answer(Where, {{Young[0].Run, "", 10}}, {end(First, run_end::Done)});
  answer(Where, {}, {end(Young[0].Run, run_end::Stopped)});
  pass(milliseconds(100));
  const job_state &Job = State.Jobs.at(job_id("urgent"));
  REQUIRE(Job.Runs.size() == 1);
  CHECK(Job.Runs.begin()->first.Task.Index == 1);
  CHECK(explainStaleIndex(State, Now).empty());
}

// Guards against a wait for stops while capacity is free elsewhere.
TEST_CASE_METHOD(victims_fixture,
                 "victims: a planned unit starts where capacity becomes free "
                 "first") {
  settle({"x", "y"});
  run(gang("old", 1, 1, 8));
  Now += milliseconds(1'000);
  const auto Young = run(gang("young", 1, 1, 8));
  submit(job("urgent", 0, 1, 2));
  REQUIRE(stopped() == std::set<std::string>{"young"});
  const run_name Old = State.Jobs.at(job_id("old")).Runs.begin()->first;
  const executor_id Where = State.Jobs.at(job_id("old")).Runs.begin()->second;
  answer(Where.Value, {}, {end(Old, run_end::Done)});
  CHECK(State.Plans.empty());
  REQUIRE(State.Jobs.at(job_id("urgent")).Runs.size() == 1);
  CHECK(State.Jobs.at(job_id("urgent")).Runs.begin()->second == Where);
  CHECK(explainStaleIndex(State, Now).empty());
}

TEST_CASE_METHOD(victims_fixture,
                 "victims: a victim that ends meanwhile frees its capacity") {
  settle({"x"});
  const auto Starts = run(gang("victim", 1, 1, 8));
  submit(job("urgent", 0, 1, 2));
  REQUIRE(stopped() == std::set<std::string>{"victim"});
  answer("x", {}, {end(Starts[0].Run, run_end::Done)});
  pass(milliseconds(20));
  CHECK(State.Plans.empty());
  CHECK(State.Jobs.at(job_id("victim")).Progress.Phase == job_phase::Completed);
  CHECK_FALSE(State.Jobs.at(job_id("urgent")).Runs.empty());
}

// Guards against guaranteed work that waits for an executor which doesn't
// carry out stops.
TEST_CASE_METHOD(victims_fixture,
                 "victims: a stop that is overdue is replaced by another one") {
  settle({"x", "y"});
  run(gang("first", 1, 1, 8));
  run(gang("second", 1, 1, 8));
  submit(job("urgent", 0, 1, 2));
  const std::set<std::string> First = stopped();
  REQUIRE(First.size() == 1);
  pass(State.Settings.StopTimeout + State.Settings.PlanGrace - milliseconds(1));
  CHECK(State.Plans.size() == 1);
  pass(milliseconds(20));
  std::set<std::string> Second = stopped();
  Second.erase(*First.begin()); // repeated
  CHECK(Second.size() == 1);
}

// Guards against new stops for all of a gang when one executor of its plan is
// lost.
TEST_CASE_METHOD(victims_fixture,
                 "victims: a plan that loses an executor keeps what its stops "
                 "free") {
  settle({"x", "y", "z"});
  deployment_config Config = State.Config;
  Config.Organisations[0].GuaranteedAccelerators = 100;
  post(configuration_changed{Config});
  for (const char *Id : {"a", "b", "c"})
    run(gang(Id, 1, 1, 8));
  job_spec Urgent = job("urgent", 0, 2, 8);
  Urgent.Steps[0].IsGang = true;
  submit(Urgent);
  const std::set<std::string> First = stopped();
  REQUIRE(First.size() == 2);
  const executor_id Lost = State.Plans.begin()->second.Executors.front();
  post(hold_failed{Lost, 1, hold_failure::NoAnswer});
  pass(milliseconds(20));
  std::set<std::string> More = stopped();
  for (const std::string &Id : First)
    More.erase(Id);
  CHECK(More.size() == 1);
  CHECK(State.Plans.size() == 1);
  CHECK(explainStaleIndex(State, Now).empty());
}

TEST_CASE_METHOD(victims_fixture,
                 "victims: nothing of a plan outlives its term") {
  settle({"x"});
  const auto Starts = run(gang("victim", 1, 1, 8));
  submit(job("urgent", 0, 1, 2));
  REQUIRE(State.Plans.size() == 1);
  const std::uint64_t Before = State.Token;
  post(leadership_lost{});
  CHECK(State.Plans.empty());
  CHECK(State.Executors.at(executor_id("x")).Reserved == resources{});
  post(leadership_gained{Before + 1, Now + milliseconds(1'000'000)});
  postOf(Before, stop_answered{executor_id("x"), Starts[0].Run, true});
  CHECK(State.Plans.empty());
  CHECK(explainStaleIndex(State, Now).empty());
}

// Guards against the loss of a large part of a gang's work to save a short one
// from running in two racks.
TEST_CASE_METHOD(victims_fixture,
                 "victims: a gang is spread over racks when a stop would lose "
                 "more") {
  deployment_config Config = State.Config;
  Config.Organisations[0].GuaranteedAccelerators = 100;
  post(configuration_changed{Config});
  post(recovery_finished{});
  using fixture = test::scheduler_fixture;
  list({fixture::report("x", "r1"), fixture::report("y", "r1"),
        fixture::report("z", "r2"), fixture::report("w", "r2")});
  for (const char *Id : {"x", "y", "z", "w"})
    answer(Id);
  for (const char *Rack : {"r1", "r2"}) {
    job_spec Other = gang(Rack, 1, 1, 8);
    Other.Steps[0].Requirement = Rack;
    run(Other);
  }
  job_spec Urgent = job("urgent", 0, 2, 8);
  Urgent.Steps[0].IsGang = true;
  Urgent.Steps[0].IsRackLocal = true;
  SECTION("the others have lately begun") {
    submit(Urgent);
    CHECK(stopped().size() == 1);
  }
  SECTION("the others have run for long") {
    Now += milliseconds(30'000);
    submit(Urgent);
    CHECK(stopped().empty());
    CHECK(State.Jobs.at(job_id("urgent")).Runs.size() == 2);
  }
}

// Guards against the loss of a large part of a gang's work for a job of a few
// seconds, where another one would have ended soon.
TEST_CASE_METHOD(victims_fixture,
                 "victims: a stop that loses far more than the urgent work "
                 "waits a little") {
  settle({"x"});
  run(gang("old", 1, 1, 8));
  Now += milliseconds(30'000);
  submit(job("urgent", 0, 1, 2));
  CHECK(stopped().empty());
  pass(State.Settings.Headroom.Victims.Patience - milliseconds(1));
  CHECK(stopped().empty());
  pass(State.Settings.PlacementInterval);
  CHECK(stopped() == std::set<std::string>{"old"});
}
