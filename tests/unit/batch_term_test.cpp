// Answers to orders of an earlier term of leadership that arrive while the same
// instance leads again: none may change the state of the present term.

#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

constexpr std::uint64_t Next = 9; // token of the second term

struct term_fixture : test::scheduler_fixture {
  run_name Run;          // started in the first term, on executor x
  job_spec Job;          // with one task
  job_progress Progress; // as stored by the first term

  term_fixture() {
    settle({"x"});
    Job = job("a", 1, 1, 1);
    submit(Job);
    Progress = all<save_progress>().front().Jobs.front().Progress;
    Run = save().front().Run;
    post(start_answered{executor_id("x"), Run, order_outcome::Accepted, ""});
  }

  /// Ends the first term; the same instance leads again.
  void changeTerm() {
    post(leadership_lost{});
    post(leadership_gained{Next, Now + milliseconds(1'000'000)});
  }
  void load() {
    post(executors_listed{{report("x")}});
    post(job_found{Job, Progress});
    post(recovery_finished{});
  }
  /// A second term in which the run is known to be active.
  void continueRun() {
    changeTerm();
    load();
    answer("x", {{Run, "", 10}});
    pass(milliseconds(100)); // the next hold has been sent
  }
  runs_reported reportOf(std::vector<active_run> Active,
                         std::vector<ended_run> Ended) const {
    return {executor_id("x"),
            1,
            Now.time_since_epoch().count(),
            Now,
            std::move(Active),
            std::move(Ended)};
  }
  executor_state &x() { return State.Executors.at(executor_id("x")); }
  bool isStarted() const { return !all<start_run>().empty(); }
};

} // namespace

// Guards against a second start after an end that was acknowledged to the
// executor, but never stored.
TEST_CASE_METHOD(term_fixture,
                 "batch: an end that was reported to a hold of an earlier term "
                 "is neither acknowledged nor lost") {
  changeTerm();
  const ended_run End = end(Run, run_end::Done);
  SECTION("before the jobs are loaded") {
    postOf(Token, reportOf({}, {End}));
    CHECK(Last.empty());
    load();
  }
  SECTION("after the jobs are loaded") {
    load();
    REQUIRE(all<hold_executor>().size() == 1);
    postOf(Token, reportOf({}, {End}));
    CHECK(Last.empty());
  }
  CHECK(x().LastSeenSaved == 0);
  answer("x", {}, {End});
  CHECK_FALSE(isStarted());
  REQUIRE(all<save_progress>().size() == 1);
  CHECK(all<save_progress>().front().Jobs.front().Progress.Phase ==
        job_phase::Completed);
  CHECK(x().LastSeenSaved == 0);
  post(progress_saved{true});
  CHECK(x().LastSeenSaved == End.Number);
}

// Guards against a run that counted as vanished because a report from before
// its start was delivered after one that listed it.
TEST_CASE_METHOD(term_fixture,
                 "batch: a report to a hold of an earlier term doesn't end a "
                 "run") {
  continueRun();
  postOf(Token, reportOf({}, {}));
  pass(milliseconds(1'000));
  CHECK_FALSE(isStarted());
  CHECK(x().Runs.contains(Run));
  CHECK(x().Runs.size() == 1);
}

// Guards against an executor that counts as full for good: its run was adopted
// with its whole capacity, for want of the job, and added again with the job.
TEST_CASE_METHOD(term_fixture,
                 "batch: a run reported to an earlier term while the jobs are "
                 "loaded takes its capacity once") {
  changeTerm();
  postOf(Token, reportOf({{Run, "", 10}}, {}));
  load();
  answer("x", {{Run, "", 20}});
  CHECK(x().Used == reservedResources(Job.Steps[0]));
  answer("x", {}, {end(Run, run_end::Done)});
  CHECK(x().Used == resources{});
}

TEST_CASE_METHOD(term_fixture,
                 "batch: a failed hold of an earlier term leaves the present "
                 "one in flight") {
  continueRun();
  REQUIRE(x().IsHolding);
  for (const hold_failure Failure :
       {hold_failure::NoAnswer, hold_failure::Fenced, hold_failure::Replaced}) {
    postOf(Token, hold_failed{executor_id("x"), 1, Failure});
    CHECK(x().IsHolding);
    CHECK_FALSE(x().IsUnresponsive);
    CHECK(x().Runs.contains(Run));
  }
}

TEST_CASE_METHOD(term_fixture,
                 "batch: the answer to a start of an earlier term changes "
                 "nothing") {
  continueRun();
  for (const order_outcome Outcome :
       {order_outcome::Accepted, order_outcome::Refused,
        order_outcome::Unknown}) {
    postOf(Token, start_answered{executor_id("x"), Run, Outcome, "fence"});
    CHECK(Last.empty());
    REQUIRE(x().Runs.contains(Run));
    CHECK(x().Runs.at(Run).Phase == run_phase::Active);
    CHECK_FALSE(x().Runs.at(Run).IsAccepted);
  }
}

TEST_CASE_METHOD(term_fixture,
                 "batch: the answer to a stop of an earlier term doesn't "
                 "confirm one of the present") {
  continueRun();
  post(cancel_requested{Job.Id});
  REQUIRE(all<stop_run>().size() == 1);
  postOf(Token, stop_answered{executor_id("x"), Run, true});
  CHECK_FALSE(x().Runs.at(Run).IsStopAccepted);
}

// Guards against starts whose executors are not stored.
TEST_CASE_METHOD(term_fixture,
                 "batch: a save of an earlier term doesn't confirm one of the "
                 "present") {
  changeTerm();
  Progress = {}; // the first term stored nothing
  load();
  answer("x");
  REQUIRE(all<save_progress>().size() == 1);
  CHECK(all<save_progress>().front().Token == Next);
  postOf(Token, progress_saved{true});
  CHECK_FALSE(isStarted());
  post(progress_saved{true});
  CHECK(isStarted());
}

TEST_CASE_METHOD(term_fixture,
                 "batch: what was read from the store in an earlier term isn't "
                 "taken for the present") {
  changeTerm();
  postOf(Token, job_found{Job, Progress});
  postOf(Token, recovery_finished{});
  CHECK(State.Jobs.empty());
  CHECK_FALSE(State.IsRecovered);
  load();
  postOf(Token, executors_listed{{}});
  CHECK(x().IsListed);
  postOf(Token, cancel_requested{Job.Id});
  CHECK(State.Jobs.at(Job.Id).Progress.Phase != job_phase::Cancelled);
  const instant ValidUntil = State.ValidUntil;
  postOf(Token, leadership_extended{ValidUntil + milliseconds(1)});
  CHECK(State.ValidUntil == ValidUntil);
  postOf(Token, leadership_lost{});
  CHECK(State.Token == Next);
}

TEST_CASE_METHOD(term_fixture,
                 "batch: an answer without a term changes nothing") {
  changeTerm();
  postOf(NoTerm, job_found{Job, Progress});
  CHECK(State.Jobs.empty());
  post(leadership_lost{});
  postOf(NoTerm, job_found{Job, Progress});
  CHECK(State.Jobs.empty());
}

TEST_CASE_METHOD(term_fixture, "batch: each order tells the term it is of") {
  submit(job("b", 1, 1, 1));
  REQUIRE_FALSE(Last.empty());
  for (const effect &Effect : Last)
    CHECK(termOf(Effect) == Token);
  CHECK_FALSE(termOf(write_log{}).has_value());
}

// Guards against a placement on an executor that isn't known any more: it left
// the list between the last pass of a term and the end of the term.
TEST_CASE_METHOD(test::scheduler_fixture,
                 "batch: an executor that leaves just before a term ends isn't "
                 "in the index of the next term") {
  settle({"x", "y"});
  const auto Starts = run(job("a", 2, 1, 1, "none"));
  REQUIRE(Starts.size() == 1);
  pass(State.Settings.PlacementInterval); // no other pass follows at this time
  list({report(Starts[0].To.Id.Value)});
  REQUIRE(State.Executors.size() == 1);
  post(leadership_lost{});
  CHECK(explainStaleIndex(State, Now).empty());
}

// Guards against placing work on an executor that has gone: the change of
// leader came before the capacity index had left it out.
TEST_CASE("term: executors that left in the last term get nothing") {
  test::scheduler_fixture Fixture;
  Fixture.settle({"x"});
  const auto Ended = Fixture.run(test::scheduler_fixture::job("i", 2, 1, 1));
  REQUIRE(Ended.size() == 1);
  Fixture.answer("x", {}, {Fixture.end(Ended[0].Run, run_end::Done)});
  Fixture.save();
  Fixture.list({});
  Fixture.post(leadership_lost{});
  CHECK(explainStaleIndex(Fixture.State, Fixture.Now) == "");
  Fixture.post(leadership_gained{test::scheduler_fixture::Token + 1,
                                 Fixture.Now + milliseconds(1'000'000)});
  Fixture.settle({"y"});
  const auto Starts = Fixture.run(test::scheduler_fixture::job("j", 2, 1, 1));
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].To.Id == executor_id("y"));
}

// Guards against a last end that no hold acknowledges: the number that the hold
// in flight named was of the life before, and looked like one of the present.
TEST_CASE_METHOD(term_fixture,
                 "batch: the last end of an executor that started again is "
                 "acknowledged") {
  std::vector<ended_run> Before; // of the first life
  Before.push_back(end(Run, run_end::Done));
  answer("x", {}, Before);
  saveAll();
  REQUIRE(all<hold_executor>().size() == 1);
  CHECK(all<hold_executor>()[0].LastSeen == 1);
  REQUIRE(x().IsHolding); // the executor restarts, and answers it then
  const bool IsListedFirst = GENERATE(true, false);
  executor_report Report = report("x");
  Report.Incarnation = 2;
  if (IsListedFirst)
    list({Report});
  const auto answerAnew = [&](std::vector<ended_run> Ended) {
    Now += milliseconds(20);
    post(runs_reported{executor_id("x"), 2, 1, Now, {}, std::move(Ended)});
  };
  answerAnew({}); // to a hold of the first life, if that is known to be over
  answerAnew({});
  list({Report});
  const auto Starts = run(job("b", 1, 1, 1));
  REQUIRE(Starts.size() == 1);
  answerAnew({{1, Starts[0].Run, run_end::Done, ""}});
  saveAll();
  CHECK(x().LastSeenSaved == 1);
  CHECK(x().LastSeenAcknowledged == 0);
  pass(milliseconds(1'000));
  REQUIRE(x().IsHolding);
  CHECK(x().HoldLastSeen == 1);
  answerAnew({});
  CHECK(x().LastSeenAcknowledged == 1);
}
