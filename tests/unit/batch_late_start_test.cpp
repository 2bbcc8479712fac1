// Starts that an executor carries out late, in a life after the one that they
// were sent to: an order names the executor's id only.

#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

const executor_id X("x");
const executor_id Y("y");

struct late_start_fixture : test::scheduler_fixture {
  /// Starts a job on x, which doesn't answer. The other executor is y.
  run_name startUnanswered(bool IsLasting = false) {
    settle({"x"});
    job_spec Job = job("a", 1, 1, 1);
    Job.Steps[0].IsLongRunning = IsLasting;
    submit(Job);
    const start_run Start = save().at(0);
    post(start_answered{X, Start.Run, order_outcome::Unknown, ""});
    post(hold_failed{X, 1, hold_failure::ConnectionLost});
    list({report("x"), report("y")});
    answer("y");
    return Start.Run;
  }
  void answerAs(std::int64_t Life, std::vector<active_run> Active = {}) {
    Now += milliseconds(20);
    post(runs_reported{
        X, Life, Now.time_since_epoch().count(), Now, std::move(Active), {}});
  }
  static executor_report entryOf(std::int64_t Life) {
    executor_report Report = report("x");
    Report.Incarnation = Life;
    return Report;
  }
  /// Lets time pass, with y alone in the list; returns the starts that follow.
  std::vector<start_run> passWithoutX(milliseconds Time) {
    std::vector<start_run> Starts;
    const instant Until = Now + Time;
    while (Now < Until) {
      pass(std::min(milliseconds(100),
                    std::chrono::duration_cast<milliseconds>(Until - Now)));
      for (const hold_executor &Hold : all<hold_executor>())
        if (Hold.To.Id == X)
          post(hold_failed{X, 1, hold_failure::ConnectionLost});
      list({report("y")});
      std::ranges::move(saveAll(), std::back_inserter(Starts));
    }
    return Starts;
  }
};

} // namespace

// Guards against two runs of a task: the executor was taken for lost with its
// lease, came back within seconds and carried out the start of before.
TEST_CASE_METHOD(late_start_fixture,
                 "late starts: a task whose start has no answer starts nowhere "
                 "else before that can't come any more") {
  const instant Ordered = Now;
  const run_name Run = startUnanswered();
  const milliseconds Late = State.Settings.LateStarts;
  REQUIRE(Late > State.Settings.Lease + milliseconds(2'000));
  REQUIRE(passWithoutX(Late - milliseconds(500)).empty());
  SECTION("the executor stays away") {
    const auto Starts = passWithoutX(milliseconds(1'000));
    REQUIRE(Starts.size() == 1);
    CHECK(Starts[0].To.Id == Y);
    CHECK(Now - Ordered >= Late);
  }
  SECTION("it comes back and has begun the run") {
    list({entryOf(2), report("y")});
    answerAs(2, {{Run, "", 10}});
    CHECK(saveAll().empty());
    CHECK(State.Executors.at(X).Runs.at(Run).Phase == run_phase::Active);
  }
  SECTION("it comes back without the run") {
    list({entryOf(2), report("y")});
    answerAs(2);
    CHECK(saveAll().empty());
    CHECK(all<stop_run>().empty()); // it may still begin here
    Now = Ordered + Late + milliseconds(100);
    answerAs(2);
    REQUIRE(all<stop_run>().size() == 1); // in case it began just now
    CHECK(saveAll().empty());
    Now += milliseconds(20);
    post(stop_answered{X, Run, true, {2}});
    answerAs(2);
    pass(milliseconds(100));
    CHECK(saveAll().size() == 1);
  }
}

// Guards against a run that nobody knows of: the executor was dropped from the
// state with its entry, and the promise of its earlier life with it.
TEST_CASE_METHOD(late_start_fixture,
                 "late starts: a start that was closed is closed again when "
                 "the executor comes back under its id") {
  const run_name Run = startUnanswered(true);
  answerAs(1);
  REQUIRE(all<stop_run>().size() == 1);
  Now += milliseconds(20);
  post(stop_answered{X, Run, true, {1}});
  answerAs(1);
  REQUIRE_FALSE(State.Executors.at(X).Runs.contains(Run));
  REQUIRE(passWithoutX(milliseconds(3'000)).empty()); // y must not run it too
  SECTION("its entry names the life") { list({entryOf(2), report("y")}); }
  SECTION("its answer names the life") {
    list({entryOf(0), report("y")});
    answerAs(2);
  }
  REQUIRE(all<stop_run>().size() == 1);
  CHECK(all<stop_run>().front().Run == Run);
}

TEST_CASE_METHOD(late_start_fixture,
                 "late starts: an executor that has gone is forgotten once its "
                 "closed starts can't come") {
  const run_name Run = startUnanswered(true);
  answerAs(1);
  post(stop_answered{X, Run, true, {1}});
  answerAs(1);
  passWithoutX(State.Settings.LateStarts);
  list({report("y")});
  CHECK_FALSE(State.Executors.contains(X));
}

// Guards against the same for a start of the leader before: its token closes it
// in the life that has answered this leader, not in the next one.
TEST_CASE_METHOD(late_start_fixture,
                 "late starts: an inherited start that the token has closed is "
                 "closed again after a restart") {
  const run_name Run = startUnanswered(true);
  changeLeader({report("x"), report("y")});
  answer("y");
  answerAs(1);
  REQUIRE_FALSE(State.Executors.at(X).Runs.contains(Run));
  answerAs(2);
  REQUIRE(all<stop_run>().size() == 1);
  CHECK(all<stop_run>().front().Run == Run);
}

// Guards against a start after the task was done: the stop had closed it in the
// life of then, and the task ran elsewhere while a later life could begin it.
TEST_CASE_METHOD(late_start_fixture,
                 "late starts: a task starts nowhere else while a next life "
                 "may begin its unanswered start") {
  const instant Ordered = Now;
  const run_name Run = startUnanswered();
  const milliseconds Late = State.Settings.LateStarts;
  const auto AwaitLast = [&](std::int64_t Life) {
    while (Now < Ordered + Late - milliseconds(500)) {
      pass(milliseconds(480));
      for (const stop_run &Stop : all<stop_run>())
        post(stop_answered{X, Stop.Run, true, {Life}});
      answerAs(Life);
      answer("y");
      REQUIRE(saveAll().empty());
    }
  };
  SECTION("the executor stays as it is") { AwaitLast(1); }
  SECTION("it restarts") {
    answerAs(1);
    list({entryOf(2), report("y")});
    AwaitLast(2);
  }
  SECTION("another leader takes over") {
    changeLeader({report("x"), report("y")});
    answer("y");
    AwaitLast(1);
  }
  CHECK(State.Executors.at(X).Runs.contains(Run));
  CHECK(State.Jobs.at(job_id("a"))
            .Progress.Occurrences[0]
            .Steps[0]
            .Units[0]
            .Attempts == 1);
}

// Guards against the same for a gang, whose other members don't wait: it starts
// again as a whole once the start can't arrive.
TEST_CASE_METHOD(late_start_fixture,
                 "late starts: a gang starts again once the unanswered start "
                 "of a member can't arrive") {
  settle({"x"});
  job_spec Job = job("a", 1, 2, 1);
  Job.Steps[0].IsGang = true;
  const instant Ordered = Now;
  submit(Job);
  const auto Starts = save();
  REQUIRE(Starts.size() == 2);
  post(start_answered{X, Starts[0].Run, order_outcome::Accepted, ""});
  post(start_answered{X, Starts[1].Run, order_outcome::Unknown, ""});
  answerAs(1, {{Starts[0].Run, "", 0}});
  REQUIRE(all<stop_run>().size() == 1);
  post(stop_answered{X, Starts[1].Run, true, {1}});
  Now += milliseconds(20);
  const std::int64_t Clock = Now.time_since_epoch().count();
  post(runs_reported{
      X, 1, Clock, Now, {}, {end(Starts[0].Run, run_end::Broken)}});
  CHECK(State.Executors.at(X).Runs.empty()); // its room is free
  Now = Ordered + State.Settings.LateStarts - milliseconds(100);
  pass(milliseconds(0));
  CHECK(saveAll().empty());
  pass(milliseconds(500));
  CHECK(saveAll().size() == 2);
}
