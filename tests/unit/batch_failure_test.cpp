// Failed runs: each counts once, however often its end is reported.

#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

/// Executors whose ends are never acknowledged, so that they report them again
/// and again.
struct failure_fixture : test::scheduler_fixture {
  std::map<std::string, std::vector<ended_run>> Unacknowledged;
  std::vector<executor_report> Reports;

  failure_fixture() {
    for (queue_config &Queue : Config.Queues)
      Queue.MaxAttempts = 3;
    post(configuration_changed{Config});
    for (const char *Id : {"x1", "x2", "x3", "x4"})
      Reports.push_back(report(Id));
    settle({"x1", "x2", "x3", "x4"});
  }

  void reportAll() {
    for (const auto &[Id, Ended] : Unacknowledged)
      answer(Id, {}, Ended);
    saveAll();
  }
  void reportEnd(const start_run &Start, run_end How) {
    auto &Ended = Unacknowledged[Start.To.Id.Value];
    Ended.push_back({std::ssize(Ended) + 1, Start.Run, How, ""});
    answer(Start.To.Id.Value, {}, Ended);
  }
  /// Starts that follow when the delay after a failure is over.
  std::vector<start_run> nextStarts() {
    for (int Tries = 0; Tries < 10; ++Tries) {
      if (auto Starts = save(); !Starts.empty())
        return Starts;
      pass(milliseconds(300));
    }
    return {};
  }
  const job_progress &progress() { return State.Jobs.at(job_id("a")).Progress; }
  const unit_progress &unit() {
    return progress().Occurrences.at(0).Steps[0].Units[0];
  }
};

} // namespace

// Guards against a job that fails too early: a new leader was told of the ends
// of both attempts and counted the first one again, as only the last one was
// stored.
TEST_CASE_METHOD(failure_fixture,
                 "batch: a failure counts once, however many leaders are told "
                 "of it") {
  submit(job("a", 1, 1, 8));
  for (int Attempt = 1; Attempt <= 2; ++Attempt) {
    const auto Starts = nextStarts();
    REQUIRE(Starts.size() == 1);
    REQUIRE(Starts[0].Run.Attempt == Attempt);
    reportEnd(Starts[0], run_end::Failed);
    CHECK(unit().Failures == Attempt);
  }
  REQUIRE(Unacknowledged.size() == 2);
  post(evacuations_changed{{data_centre_id("a")}}); // nothing starts any more
  saveAll();
  for (int Leader = 0; Leader < 4; ++Leader) {
    changeLeader(Reports);
    reportAll();
    CHECK(unit().Failures == 2);
    REQUIRE(progress().Phase == job_phase::Running);
  }
  post(evacuations_changed{{}});
  for (const char *Id : {"x1", "x2", "x3", "x4"})
    if (!Unacknowledged.contains(Id))
      answer(Id);
  const auto Starts = nextStarts();
  REQUIRE(Starts.size() == 1);
  reportEnd(Starts[0], run_end::Failed);
  CHECK(unit().Failures == 3);
  CHECK(progress().Phase == job_phase::Failed);
}

// Guards against the same in one term: an executor that was away reports again
// what it had no acknowledgement for.
TEST_CASE_METHOD(failure_fixture,
                 "batch: a failure counts once when its executor is listed "
                 "again") {
  submit(job("a", 1, 1, 8));
  for (int Attempt = 1; Attempt <= 2; ++Attempt) {
    const auto Starts = nextStarts();
    REQUIRE(Starts.size() == 1);
    reportEnd(Starts[0], run_end::Failed);
  }
  post(evacuations_changed{{data_centre_id("a")}});
  saveAll();
  for (int Times = 0; Times < 4; ++Times) {
    list({});
    list(Reports);
    reportAll();
    CHECK(unit().Failures == 2);
    CHECK(progress().Phase == job_phase::Running);
  }
}

// Guards against starts beyond the limit: an end of an attempt that was taken
// for lost comes after one of a later attempt, and counts as well.
TEST_CASE_METHOD(failure_fixture,
                 "batch: a failure that is reported after one of a later "
                 "attempt counts, once") {
  submit(job("a", 1, 1, 8));
  const auto First = nextStarts();
  REQUIRE(First.size() == 1);
  post(hold_failed{First[0].To.Id, 1, hold_failure::NoAnswer});
  pass(milliseconds(20'000)); // its lease expires
  const auto Second = nextStarts();
  REQUIRE(Second.size() == 1);
  REQUIRE(Second[0].Run.Attempt == 2);
  reportEnd(Second[0], run_end::Failed);
  saveAll();
  CHECK(unit().Failures == 1);
  for (int Times = 0; Times < 3; ++Times) {
    Unacknowledged[First[0].To.Id.Value] = {
        {1, First[0].Run, run_end::Failed, ""}};
    reportAll();
    CHECK(unit().Failures == 2);
    changeLeader(Reports);
    post(evacuations_changed{{data_centre_id("a")}});
    reportAll();
    CHECK(unit().Failures == 2);
  }
  CHECK(progress().Phase == job_phase::Running);
}

TEST_CASE_METHOD(failure_fixture,
                 "batch: the members of a gang report one failure, to one "
                 "leader or to several") {
  job_spec Gang = job("a", 1, 2, 8);
  Gang.Steps[0].IsGang = true;
  submit(Gang);
  for (int Attempt = 1; Attempt <= 2; ++Attempt) {
    const auto Starts = nextStarts();
    REQUIRE(Starts.size() == 2);
    REQUIRE(Starts[0].Run.Attempt == Attempt);
    reportEnd(Starts[0], run_end::Failed);
    if (Attempt == 2) {
      saveAll();
      changeLeader(Reports);
      reportAll();
    }
    reportEnd(Starts[1], run_end::Failed);
    CHECK(unit().Failures == Attempt);
  }
  saveAll();
  for (int Leader = 0; Leader < 3; ++Leader) {
    changeLeader(Reports);
    reportAll();
    CHECK(unit().Failures == 2);
  }
  CHECK(progress().Phase == job_phase::Running);
}

TEST_CASE_METHOD(failure_fixture,
                 "batch: a task that lasts may fail any number of times, and "
                 "its record stays small") {
  job_spec Lasting = job("a", 1, 1, 1);
  Lasting.Steps[0].IsLongRunning = true;
  submit(Lasting);
  std::size_t Longest = 0;
  for (int Attempt = 1; Attempt <= 200; ++Attempt) {
    const auto Starts = nextStarts();
    REQUIRE(Starts.size() == 1);
    const bool Fails = Attempt % 2 == 0;
    reportEnd(Starts[0], Fails ? run_end::Failed : run_end::Lapsed);
    CHECK(unit().Failures == Attempt / 2);
    Longest = std::max(Longest, Stored.at(job_id("a")).size());
  }
  CHECK(progress().Phase == job_phase::Running);
  CHECK(Longest < 400);
}

// Guards against a start beyond max_attempts: a member behind a cut had failed,
// and its end was inferred without a failure.
TEST_CASE_METHOD(test::scheduler_fixture,
                 "failure: a gang whose last attempt may have failed unheard "
                 "waits for its member") {
  settle({"x", "y", "z"});
  job_spec Gang = job("gang", 1, 2, 8);
  Gang.Steps[0].IsGang = true;
  Gang.Queue.MaxAttempts = 2;
  const auto First = run(Gang);
  REQUIRE(First.size() == 2);
  answer(First[0].To.Id.Value, {}, {end(First[0].Run, run_end::Failed)});
  answer(First[1].To.Id.Value, {}, {end(First[1].Run, run_end::Broken)});
  post(progress_saved{true});
  pass(milliseconds(1'000));
  const auto Second = saveAll();
  REQUIRE(Second.size() == 2);
  for (const start_run &Start : Second)
    post(start_answered{Start.To.Id, Start.Run, order_outcome::Accepted, ""});
  const executor_id Cut = Second[1].To.Id;
  post(hold_failed{Cut, 1, hold_failure::NoAnswer});
  answer(Second[0].To.Id.Value, {}, {end(Second[0].Run, run_end::Broken)});
  saveAll();
  CHECK(State.Executors.at(Cut).Runs.contains(Second[1].Run));
  SECTION("it is heard of as failed") {
    answer(Cut.Value, {}, {end(Second[1].Run, run_end::Failed)});
    CHECK(State.Jobs.at(job_id("gang")).Progress.Phase == job_phase::Failed);
  }
  SECTION("its lease ends") {
    std::size_t Starts = 0;
    for (int I = 0; I < 120; ++I) {
      pass(milliseconds(100));
      Starts += saveAll().size();
    }
    CHECK(Starts == 2); // the third attempt
  }
}
