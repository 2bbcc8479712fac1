// Executors whose capacity shrinks, or that become unusable, between a decision
// and its start.

#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

struct room_fixture : test::scheduler_fixture {
  static executor_report reportOf(const std::string &Id, int Accelerators) {
    executor_report Report = report(Id);
    Report.Capacity.Accelerators = Accelerators;
    return Report;
  }
};

} // namespace

// Guards against a start on capacity that went while the choice was stored.
TEST_CASE_METHOD(
    room_fixture,
    "batch: a stored start isn't ordered on an executor that can't "
    "take it any more") {
  settle({"x"});
  submit(job("a", 1, 2, 3));
  REQUIRE(all<save_progress>().size() == 1);
  SECTION("its capacity has shrunk") { list({reportOf("x", 5)}); }
  SECTION("it drains") {
    executor_report Draining = report("x");
    Draining.IsDraining = true;
    list({Draining});
  }
  SECTION("its data centre is evacuated") {
    post(evacuations_changed{{data_centre_id("a")}});
  }
  SECTION("it doesn't answer") {
    post(hold_failed{executor_id("x"), 1, hold_failure::NoAnswer});
  }
  SECTION("its entry is gone") { list({}); }
  SECTION("its service isn't the queue's any more") {
    executor_report Other = report("x");
    Other.Service = service_id("other");
    list({Other});
  }
  CHECK(save().empty());
  // Once the executor is as before, both tasks start.
  list({report("x")});
  post(evacuations_changed{{}});
  Now += milliseconds(300);
  post(time_passed{});
  answer("x");
  pass(milliseconds(100));
  std::size_t Started = 0;
  for (int I = 0; I < 4; ++I)
    Started += save().size();
  CHECK(Started == 2);
}

TEST_CASE_METHOD(room_fixture,
                 "batch: a gang isn't started when one of its executors can't "
                 "take its task any more") {
  settle({"x", "y"});
  job_spec Gang = job("a", 1, 2, 8);
  Gang.Steps[0].IsGang = true;
  submit(Gang);
  list({reportOf("x", 4), report("y")});
  CHECK(save().empty());
  CHECK(State.Executors.at(executor_id("y")).Used == resources{});
}

TEST_CASE_METHOD(room_fixture,
                 "batch: nothing starts on an executor over its capacity, of "
                 "whatever resource") {
  settle({"x"});
  run(job("a", 1, 2, 4));
  executor_report Shrunk = report("x");
  Shrunk.Capacity.MilliCpu = 1'500; // the two tasks use 2,000
  list({Shrunk});
  job_spec Filler = job("f", 1, 1, 0);
  Filler.Steps[0].FillsIdleCpu = true; // reserves no cpu
  submit(Filler);
  CHECK(all<save_progress>().empty());
  list({report("x")});
  pass(milliseconds(20));
  CHECK_FALSE(all<save_progress>().empty());
}

// Guards against runs stopped in vain: two stops don't make room for two tasks
// where the runs need two more than the capacity.
TEST_CASE_METHOD(room_fixture,
                 "batch: a reclaim takes nothing back on an executor over its "
                 "capacity") {
  settle({"x"});
  run(job("patient", 2, 8, 1, "none"));
  list({reportOf("x", 6)});
  submit(job("urgent", 0, 1, 2));
  CHECK(all<stop_run>().empty());
  list({report("x")});
  pass(milliseconds(200));
  CHECK(all<stop_run>().size() == 2);
}

// Guards against starts beside a run whose needs aren't known.
TEST_CASE_METHOD(room_fixture,
                 "batch: a run of an unknown job blocks its executor, also "
                 "after its capacity has grown") {
  post(recovery_finished{});
  executor_report Shrunk = report("x");
  Shrunk.Capacity = {8'000, 16'000, 2};
  list({Shrunk});
  const run_name Unknown{{job_id("0123456789abcdef"), 0, 0, 0}, 1};
  answer("x", {{Unknown, "", 10}});
  list({report("x")});
  submit(job("a", 1, 1, 1));
  CHECK(all<save_progress>().empty());
  answer("x", {}, {end(Unknown, run_end::Done)});
  CHECK_FALSE(all<save_progress>().empty());
}

// Guards against a gang that never starts again: its tasks failed on so many
// executors that the others, however empty, can't hold it.
TEST_CASE_METHOD(room_fixture,
                 "batch: a gang uses avoided executors when the others can't "
                 "hold it") {
  settle({"x", "y"});
  job_spec Gang = job("a", 1, 2, 8);
  Gang.Steps[0].IsGang = true;
  const auto Starts = run(Gang);
  REQUIRE(Starts.size() == 2);
  for (const start_run &Start : Starts)
    answer(Start.To.Id.Value, {},
           {end(Start.Run,
                Start.To.Id.Value == "x" ? run_end::Failed : run_end::Broken)});
  std::size_t Started = 0;
  for (int I = 0; I < 10; ++I) {
    Started += save().size();
    pass(State.Settings.ProvenWait);
  }
  CHECK(Started == 2);
}
