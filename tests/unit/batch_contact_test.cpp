// Contact with executors: each one that is listed is held again soon after a
// trouble, and nothing of the life before is taken for the present one.

#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

const executor_id X("x");

struct contact_fixture : test::scheduler_fixture {
  executor_state &x() { return State.Executors.at(X); }

  /// Starts a job on x whose start and hold fail before they are sent.
  void failToStart() {
    settle({"x"});
    submit(job("a", 1, 1, 1));
    const start_run Start = save().at(0);
    REQUIRE(all<hold_executor>().size() == 1);
    post(start_answered{X, Start.Run, order_outcome::Refused, "refused"});
    post(hold_failed{X, 1, hold_failure::ConnectionLost});
    REQUIRE(x().Runs.empty());
  }
  /// Starts a job on x whose start gets no answer, until its stop is ordered.
  /// It lasts: other starts aren't stopped but awaited.
  run_name startUnanswered() {
    settle({"x"});
    job_spec Job = job("a", 1, 1, 1);
    Job.Steps[0].IsLongRunning = true;
    submit(Job);
    const start_run Start = save().at(0);
    post(start_answered{X, Start.Run, order_outcome::Unknown, ""});
    answer("x");
    REQUIRE(all<stop_run>().size() == 1);
    return Start.Run;
  }
  /// The answer of another life of x to a hold.
  void answerAs(std::int64_t Incarnation, std::vector<active_run> Active = {},
                std::vector<ended_run> Ended = {}) {
    Now += milliseconds(20);
    post(runs_reported{X, Incarnation, Now.time_since_epoch().count(), Now,
                       std::move(Active), std::move(Ended)});
  }
  void listAs(std::int64_t Incarnation) {
    executor_report Report = report("x");
    Report.Incarnation = Incarnation;
    list({Report});
  }
};

} // namespace

// Guards against an executor that gets no work any more after a short cut.
TEST_CASE_METHOD(contact_fixture,
                 "contact: an idle executor that didn't answer is held again "
                 "within 3 s, and gets work") {
  failToStart();
  int Holds = 0;
  const instant Failed = Now;
  while (Now - Failed < milliseconds(10'000)) {
    pass(milliseconds(100));
    if (all<hold_executor>().empty())
      continue;
    ++Holds;
    CHECK(all<hold_executor>().front().Wait == milliseconds(0));
    post(hold_failed{X, 1, hold_failure::ConnectionLost});
  }
  CHECK(Holds >= 4);
  CHECK(Holds <= 10); // each of them costs a call
  const instant Healed = Now;
  while (all<hold_executor>().empty() && Now - Healed < milliseconds(3'000))
    pass(milliseconds(100));
  REQUIRE(all<hold_executor>().size() == 1);
  answer("x");
  pass(milliseconds(100));
  REQUIRE(State.Saving.size() == 1);
  CHECK(saveAll().size() == 1);
}

TEST_CASE_METHOD(contact_fixture,
                 "contact: idle executors that answer aren't held") {
  settle({"x", "y"});
  std::size_t Holds = 0;
  for (int I = 0; I < 600; ++I) {
    pass(milliseconds(100));
    Holds += all<hold_executor>().size();
  }
  CHECK(Holds == 0);
}

// Guards against a hold that is waiting for an end when the executor is back:
// with its wait, contact takes longer than 3 s.
TEST_CASE_METHOD(contact_fixture,
                 "contact: a silent executor with runs answers at once") {
  settle({"x"});
  const run_name Run = run(job("a", 1, 1, 1)).at(0).Run;
  answer("x", {{Run, "", 10}});
  pass(milliseconds(100));
  post(hold_failed{X, 1, hold_failure::NoAnswer});
  pass(milliseconds(300));
  REQUIRE(all<hold_executor>().size() == 1);
  CHECK(all<hold_executor>().front().Wait == milliseconds(0));
}

// Guards against ends of a new life that a hold for the life before forgets.
TEST_CASE_METHOD(contact_fixture,
                 "contact: a hold acknowledges nothing while the executor is "
                 "silent") {
  settle({"x"});
  const auto Starts = run(job("a", 1, 2, 1));
  answer("x", {{Starts[1].Run, "", 10}}, {end(Starts[0].Run, run_end::Done)});
  post(progress_saved{true});
  REQUIRE(all<hold_executor>().front().LastSeen == 1);
  post(hold_failed{X, 1, hold_failure::ConnectionLost});
  pass(milliseconds(300));
  REQUIRE(all<hold_executor>().size() == 1);
  CHECK(all<hold_executor>().front().LastSeen == 0);
  answer("x", {{Starts[1].Run, "", 10}},
         {{1, Starts[0].Run, run_end::Done, ""}});
  pass(milliseconds(100));
  REQUIRE(all<hold_executor>().size() == 1);
  CHECK(all<hold_executor>().front().LastSeen == 1);
}

// Guards against a last end that is never acknowledged, since the life before
// had more ends.
TEST_CASE_METHOD(contact_fixture,
                 "contact: ends of a new life are acknowledged by their own "
                 "numbers") {
  settle({"x"});
  const auto Starts = run(job("a", 1, 2, 1));
  answer("x", {{Starts[1].Run, "", 10}},
         {{57, Starts[0].Run, run_end::Done, ""}});
  post(progress_saved{true});
  answer("x", {{Starts[1].Run, "", 10}});
  pass(milliseconds(100));
  REQUIRE(all<hold_executor>().size() == 1);
  answerAs(2);
  listAs(2); // nothing starts by the entry of the life before
  pass(milliseconds(100));
  const auto Again = saveAll();
  REQUIRE(Again.size() == 1);
  post(start_answered{X, Again[0].Run, order_outcome::Accepted, ""});
  answerAs(2, {}, {{1, Again[0].Run, run_end::Done, ""}});
  post(progress_saved{true});
  REQUIRE(all<hold_executor>().size() == 1);
  CHECK(all<hold_executor>().front().LastSeen == 1);
}

// Guards against second starts of tasks that are done: a hold for the life
// before made the next one forget an end that nobody had seen.
TEST_CASE_METHOD(
    contact_fixture,
    "contact: ends are acknowledged once, in case an idle executor "
    "has restarted since") {
  settle({"x"});
  const auto Starts = run(job("a", 1, 1, 1));
  answer("x", {}, {{57, Starts[0].Run, run_end::Done, ""}});
  post(progress_saved{true});
  REQUIRE(all<hold_executor>().size() == 1);
  CHECK(all<hold_executor>().front().LastSeen == 57);
  answer("x");
  pass(milliseconds(5'000));
  CHECK(all<hold_executor>().empty()); // idle, nothing to acknowledge
  submit(job("b", 1, 1, 1));
  REQUIRE(save().size() == 1);
  REQUIRE(all<hold_executor>().size() == 1);
  CHECK(all<hold_executor>().front().LastSeen == 0);
}

// Guards against a run that nobody knows of: the life before had accepted its
// stop, the new one may still accept its late start.
TEST_CASE_METHOD(contact_fixture,
                 "contact: a stop that the life before accepted is repeated "
                 "after a restart") {
  const run_name Run = startUnanswered();
  Now += milliseconds(20);
  post(stop_answered{X, Run, true, {1}});
  answerAs(2);
  REQUIRE(x().Runs.contains(Run));
  REQUIRE(all<stop_run>().size() == 1);
  post(stop_answered{X, Run, true, {1}}); // late, of the life before
  CHECK_FALSE(x().Runs.at(Run).IsStopAccepted);
  Now += milliseconds(20);
  post(stop_answered{X, Run, true, {2}});
  answerAs(2);
  CHECK_FALSE(x().Runs.contains(Run));
  listAs(2);
  pass(milliseconds(100));
  CHECK(saveAll().size() == 1); // the task is started again
}

TEST_CASE_METHOD(contact_fixture,
                 "contact: a start that was closed before a restart is closed "
                 "in the new life as well") {
  const run_name Run = startUnanswered();
  Now += milliseconds(20);
  post(stop_answered{X, Run, true, {1}});
  answer("x");
  REQUIRE_FALSE(x().Runs.contains(Run));
  SECTION("seen by the list") { listAs(2); }
  SECTION("seen by a hold") { answerAs(2); }
  REQUIRE(all<stop_run>().size() == 1);
  CHECK(all<stop_run>().front().Run == Run);
  const std::int64_t SentTo = all<stop_run>().front().To.Incarnation;
  REQUIRE(x().Runs.contains(Run));
  Now += milliseconds(20);
  post(stop_answered{X, Run, true, {SentTo}});
  answerAs(2);
  CHECK_FALSE(x().Runs.contains(Run));
}

// Guards against two runs of a task: of a wide job only some of the closed
// starts were remembered, and the new life begins the others when they come
// late.
TEST_CASE_METHOD(contact_fixture,
                 "contact: all closed starts of a wide job are closed again "
                 "after a restart") {
  constexpr int Wide = 200;
  settle({"x"});
  job_spec Job = job("a", 1, Wide, 0);
  Job.Steps[0].Needs = {10, 10, 0};
  Job.Steps[0].IsLongRunning = true;
  submit(Job);
  const std::vector<start_run> Starts = save();
  REQUIRE(Starts.size() == Wide);
  for (const start_run &Start : Starts)
    post(start_answered{X, Start.Run, order_outcome::Unknown, ""});
  answer("x");
  Now += milliseconds(20);
  for (const start_run &Start : Starts)
    post(stop_answered{X, Start.Run, true, {1}});
  answer("x");
  REQUIRE(x().ClosedStarts.size() == Wide);
  listAs(2);
  CHECK(all<stop_run>().size() == Wide);
}

TEST_CASE_METHOD(contact_fixture,
                 "contact: closed starts are forgotten once they can't come") {
  const run_name Run = startUnanswered();
  Now += milliseconds(20);
  post(stop_answered{X, Run, true, {1}});
  answer("x");
  post(cancel_requested{job_id("a")});
  pass(State.Settings.LateStarts);
  listAs(2);
  CHECK(all<stop_run>().empty());
  CHECK(x().Runs.empty());
}

// Guards against what the life before answers after the list told of the next.
TEST_CASE_METHOD(contact_fixture,
                 "contact: the answer to a hold of the life before isn't "
                 "used") {
  settle({"x"});
  const auto Starts = run(job("a", 1, 1, 1));
  answer("x", {{Starts[0].Run, "", 10}});
  pass(milliseconds(100));
  REQUIRE(x().IsHolding);
  const std::uint64_t Before = x().HoldNumber;
  listAs(2);
  REQUIRE(all<hold_executor>().size() == 1);
  CHECK(all<hold_executor>().front().LastSeen == 0);
  CHECK(all<hold_executor>().front().Number > Before);
  Now += milliseconds(20);
  runs_reported Late{X, 1, Now.time_since_epoch().count(), Now, {}, {}};
  Late.Ended = {{57, Starts[0].Run, run_end::Failed, ""}};
  Late.Number = Before;
  post(Late);
  CHECK(x().LastSeenProcessed == 0);
  CHECK_FALSE(x().HasAnsweredHold);
  CHECK(x().IsHolding);
  post(hold_failed{X, 1, hold_failure::NoAnswer, "", Before});
  CHECK_FALSE(x().IsUnresponsive);
  CHECK(x().IsHolding);
}

// Guards against a task that waits for good: its choice was stored while the
// leader lease had run out, and the lease was renewed after that.
TEST_CASE_METHOD(contact_fixture,
                 "contact: a start that was stored without a leader lease is "
                 "ordered once it is renewed") {
  settle({"x"});
  submit(job("a", 1, 1, 1));
  State.ValidUntil = Now;
  CHECK(save().empty());
  post(leadership_extended{Now + milliseconds(10'000)});
  REQUIRE(all<save_progress>().size() == 1);
  CHECK(save().size() == 1);
}

// Guards against two runs of a task: the executor was idle for long, so that
// its clock had fallen behind the reading that the lease was computed from.
TEST_CASE_METHOD(contact_fixture,
                 "contact: the drift of a clock that was read long ago counts "
                 "towards a lease") {
  settle({"x", "y"});
  pass(milliseconds(20'000));
  const auto Starts = run(job("a", 1, 1, 1));
  REQUIRE(Starts.size() == 1);
  const instant Ordered = Now;
  const executor_id Id = Starts[0].To.Id;
  const executor_state &Executor = State.Executors.at(Id);
  const instant ReadAt = Executor.ClockReadAt;
  constexpr double SlowClock = 0.98;
  const std::chrono::duration<double, std::milli> OnItsClock(
      static_cast<double>(Starts[0].LeaseEndMs - Executor.ClockMs));
  const auto Expires =
      ReadAt + std::chrono::duration_cast<milliseconds>(OnItsClock / SlowClock);
  REQUIRE(Expires > Ordered + milliseconds(8'500));
  CHECK(Executor.Leases.Until >= Expires);
  CHECK(Executor.Leases.Until <=
        Ordered + State.Settings.MaxLease + milliseconds(500));
}

TEST_CASE_METHOD(contact_fixture,
                 "contact: the line on a silent executor says why a hold "
                 "failed") {
  settle({"x"});
  REQUIRE(run(job("a", 1, 1, 1)).size() == 1);
  const effects Output =
      reduce(State, {Now, Wall, Token,
                     hold_failed{X, 1, hold_failure::Unreadable, "no born"}});
  std::vector<log_field> Fields;
  for (const effect &Effect : Output)
    if (const auto *Write = std::get_if<write_log>(&Effect))
      if (Write->Line.Event->Name == events::ExecutorSilent.Name)
        Fields = Write->Line.Fields;
  CHECK(std::ranges::count(Fields, log_field{"cause", "unreadable answer"}) ==
        1);
  CHECK(std::ranges::count(Fields, log_field{"reason", "no born"}) == 1);
}
