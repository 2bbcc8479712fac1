// Reports that list a part of the ends: a run that such a report doesn't list
// is unknown, not lost.

#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

const executor_id X("x");

struct partial_fixture : test::scheduler_fixture {
  executor_state &x() { return State.Executors.at(X); }

  void answerPart(std::vector<active_run> Active,
                  std::vector<ended_run> Ended) {
    Now += milliseconds(20);
    runs_reported Report{X,
                         1,
                         Now.time_since_epoch().count(),
                         Now,
                         std::move(Active),
                         std::move(Ended)};
    Report.IsWhole = false;
    post(Report);
  }
  /// Starts a job on x, which lists its runs as active once.
  std::vector<run_name> runOnX(job_spec Job) {
    settle({"x"});
    std::vector<run_name> Runs;
    std::vector<active_run> Active;
    for (const start_run &Start : run(std::move(Job))) {
      Runs.push_back(Start.Run);
      Active.push_back({Start.Run, "", 10});
    }
    answer("x", Active);
    return Runs;
  }
  [[nodiscard]] job_phase phase() const {
    return State.Jobs.at(job_id("a")).Progress.Phase;
  }
};

} // namespace

// Guards against second starts of tasks that are done.
TEST_CASE_METHOD(partial_fixture,
                 "partial: tasks whose ends follow later aren't started "
                 "again") {
  const auto Runs = runOnX(job("a", 1, 3, 1));
  answerPart({}, {end(Runs[0], run_end::Done)});
  CHECK(x().Runs.size() == 2);
  CHECK(save().empty());
  REQUIRE(all<hold_executor>().size() == 1); // acknowledges, for the next part
  CHECK(all<hold_executor>().front().LastSeen == 1);
  answerPart({}, {end(Runs[1], run_end::Done)});
  CHECK(x().Runs.size() == 1);
  CHECK(save().empty());
  answer("x", {}, {end(Runs[2], run_end::Done)});
  CHECK(phase() == job_phase::Completed);
  CHECK(x().Used == resources{});
}

TEST_CASE_METHOD(partial_fixture,
                 "partial: a run that a whole report doesn't list is lost") {
  const auto Runs = runOnX(job("a", 1, 3, 1));
  answerPart({}, {end(Runs[0], run_end::Done)});
  save();
  answer("x", {}, {end(Runs[1], run_end::Done)});
  CHECK(x().Runs.size() == 1); // the next attempt
  save();
  CHECK(State.Jobs.at(job_id("a"))
            .Progress.Occurrences.at(0)
            .Steps[0]
            .Units[2]
            .Attempts == 2);
}

TEST_CASE_METHOD(partial_fixture,
                 "partial: the same ends come again while the store is slow") {
  const auto Runs = runOnX(job("a", 1, 3, 1));
  const std::vector<ended_run> First{end(Runs[0], run_end::Done)};
  answerPart({}, First);
  for (int I = 0; I < 40; ++I) {
    pass(milliseconds(500));
    CHECK(all<start_run>().empty());
    REQUIRE(all<hold_executor>().size() == 1);
    CHECK(all<hold_executor>().front().LastSeen == 0);
    CHECK(all<hold_executor>().front().Wait == milliseconds(0));
    answerPart({}, First);
  }
  CHECK(x().Runs.size() == 2);
  CHECK_FALSE(x().IsStalled);
  CHECK(save().empty());
  pass(milliseconds(100));
  answer("x", {}, {end(Runs[1], run_end::Done), end(Runs[2], run_end::Done)});
  CHECK(phase() == job_phase::Completed);
}

TEST_CASE_METHOD(partial_fixture,
                 "partial: runs of an earlier leader aren't lost before a "
                 "whole report") {
  const job_spec Job = job("a", 1, 3, 1);
  const auto Runs = runOnX(Job);
  const job_progress Stored = State.Jobs.at(job_id("a")).Progress;
  post(leadership_lost{});
  post(leadership_gained{9, Now + milliseconds(1'000'000)});
  list({report("x")});
  post(job_found{Job, Stored});
  post(recovery_finished{});
  answerPart({}, {end(Runs[0], run_end::Done)});
  CHECK(x().Runs.size() == 2);
  CHECK(save().empty());
  answer("x", {}, {end(Runs[1], run_end::Done)});
  saveAll();
  CHECK(x().Runs.size() == 1); // the last start may still arrive
  Now += State.Settings.LateStarts;
  answer("x");
  CHECK(saveAll().size() == 1); // and its task starts again
}

TEST_CASE_METHOD(partial_fixture,
                 "partial: a gang keeps its members until all ends are "
                 "known") {
  job_spec Job = job("a", 1, 2, 1);
  Job.Steps[0].IsGang = true;
  const auto Runs = runOnX(Job);
  REQUIRE(Runs.size() == 2);
  SECTION("done") {
    answerPart({}, {end(Runs[0], run_end::Done)});
    CHECK(x().Runs.size() == 1);
    CHECK(phase() == job_phase::Completed);
    CHECK(save().empty());
    answer("x", {}, {end(Runs[1], run_end::Done)});
    CHECK(x().Used == resources{});
  }
  SECTION("broken") {
    answerPart({}, {end(Runs[0], run_end::Broken)});
    CHECK(x().Runs.contains(Runs[1]));
    CHECK(save().empty());
    pass(milliseconds(1'000));
    CHECK(save().empty());
    answer("x", {}, {end(Runs[1], run_end::Failed)});
    CHECK_FALSE(x().Runs.contains(Runs[1]));
    CHECK(State.Jobs.at(job_id("a"))
              .Progress.Occurrences.at(0)
              .Steps[0]
              .Units[0]
              .Failures == 1);
  }
}

TEST_CASE_METHOD(partial_fixture,
                 "partial: a stop that was accepted ends a run only with a "
                 "whole report") {
  const auto Runs = runOnX(job("a", 1, 2, 1));
  post(cancel_requested{job_id("a")});
  REQUIRE(all<stop_run>().size() == 2);
  for (const run_name &Run : Runs)
    post(stop_answered{X, Run, true, {1}});
  answerPart({}, {end(Runs[0], run_end::Stopped)});
  CHECK(x().Runs.contains(Runs[1]));
  CHECK(x().Used.Accelerators == 1);
  answer("x");
  CHECK(x().Runs.empty());
}

TEST_CASE_METHOD(partial_fixture,
                 "partial: runs are lost with a restart, whatever was listed") {
  const auto Runs = runOnX(job("a", 1, 2, 1));
  answerPart({}, {end(Runs[0], run_end::Done)});
  post(progress_saved{true});
  Now += milliseconds(20);
  post(runs_reported{X, 2, 1, Now, {}, {}});
  CHECK_FALSE(x().HasMoreEnds);
  CHECK_FALSE(x().Runs.contains(Runs[1]));
  executor_report Next = report("x");
  Next.Incarnation = 2;
  list({Next});
  pass(milliseconds(100));
  CHECK(saveAll().size() == 1);
}

// Guards against a start without an answer that waits for good: the stop that
// closes it is ordered as soon as a report is whole.
TEST_CASE_METHOD(partial_fixture,
                 "partial: an unanswered start is stopped after a whole "
                 "report") {
  const auto Runs = runOnX(job("a", 1, 2, 1));
  job_spec Lasting = job("b", 1, 1, 1);
  Lasting.Steps[0].IsLongRunning = true;
  submit(Lasting);
  const run_name Late = save().at(0).Run;
  post(start_answered{X, Late, order_outcome::Unknown, ""});
  answerPart({{Runs[1], "", 10}}, {end(Runs[0], run_end::Done)});
  CHECK(all<stop_run>().empty());
  answer("x", {{Runs[1], "", 20}});
  REQUIRE(all<stop_run>().size() == 1);
  CHECK(all<stop_run>().front().Run == Late);
}
