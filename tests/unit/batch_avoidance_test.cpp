// Executors that a task avoids, since it failed there, and work elsewhere that
// never ends.

#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

struct avoidance_fixture : test::scheduler_fixture {
  executor_id Full; // by a task that lasts
  run_name Lasting;
  executor_id Left;

  avoidance_fixture() {
    for (queue_config &Queue : Config.Queues)
      Queue.MaxAttempts = 3;
    post(configuration_changed{Config});
    settle({"x", "y"});
    job_spec Job = job("full", 1, 1, 8);
    Job.Steps[0].IsLongRunning = true;
    const start_run Start = run(Job).at(0);
    Full = Start.To.Id;
    Lasting = Start.Run;
    Left = executor_id(Full.Value == "x" ? "y" : "x");
    answerFull();
  }
  void answerFull() { answer(Full.Value, {{Lasting, "", 100}}); }
  /// The first starts within the time, with answers of both executors.
  std::vector<start_run> nextStarts(milliseconds Time) {
    const instant Until = Now + Time;
    while (Now < Until) {
      if (auto Starts = saveAll(); !Starts.empty())
        return Starts;
      answerFull();
      answer(Left.Value);
      pass(milliseconds(60));
    }
    return {};
  }
};

} // namespace

// Guards against a task that never starts again after a failure: the executors
// where it hadn't failed were full for good (review, case 14).
TEST_CASE_METHOD(avoidance_fixture,
                 "avoidance: a task starts again where it failed while lasting "
                 "work fills the other executors") {
  job_spec Job = job("a", 1, 1, 1);
  Job.Steps[0].IsLongRunning = GENERATE(false, true);
  submit(Job);
  start_run Start = save().at(0);
  REQUIRE(Start.To.Id == Left);
  const auto Fail = [&] {
    post(start_answered{Left, Start.Run, order_outcome::Accepted, ""});
    answer(Left.Value, {}, {end(Start.Run, run_end::Failed)});
  };
  const auto Restart = [&](milliseconds Longest) {
    const instant Ended = Now;
    const auto Starts = nextStarts(Longest + milliseconds(500));
    REQUIRE(Starts.size() == 1);
    CHECK(Starts[0].To.Id == Left);
    CHECK(Now - Ended >= State.Settings.AvoidFor);
    Start = Starts[0];
  };
  Fail();
  Restart(State.Settings.AvoidFor);
  SECTION("after a second failure, longer") {
    State.Settings.Quarantine.MaxFailedJobs = 99;
    Fail();
    const instant Ended = Now;
    Restart(State.Settings.MaxAvoidFor);
    CHECK(Now - Ended >= 2 * State.Settings.AvoidFor);
  }
}

TEST_CASE_METHOD(avoidance_fixture,
                 "avoidance: a task starts again where its start was refused "
                 "while lasting work fills the other executors") {
  submit(job("a", 1, 1, 1));
  const start_run Start = save().at(0);
  post(start_answered{Left, Start.Run, order_outcome::Refused, "room"});
  const auto Starts = nextStarts(State.Settings.AvoidFor + milliseconds(200));
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].To.Id == Left);
}

// Guards against room that is left unused: the first unit of a step waited for
// executors that it hadn't failed on, and the others with it.
TEST_CASE_METHOD(avoidance_fixture,
                 "avoidance: a unit that avoids the free executor doesn't keep "
                 "the others of its step from it") {
  submit(job("a", 1, 2, 8));
  const start_run First = save().at(0);
  REQUIRE(First.To.Id == Left);
  post(start_answered{Left, First.Run, order_outcome::Accepted, ""});
  answer(Left.Value, {}, {end(First.Run, run_end::Failed)});
  const start_run Second = saveAll().at(0);
  pass(State.Settings.RestartDelay); // both could start now
  post(start_answered{Left, Second.Run, order_outcome::Accepted, ""});
  answer(Left.Value, {{Second.Run, "", 10}});
  answer(Left.Value); // it is lost
  const auto Starts = nextStarts(milliseconds(500));
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].Run.Task == Second.Run.Task);
}
