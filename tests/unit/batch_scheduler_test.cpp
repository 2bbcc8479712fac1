// The reducer of the batch scheduler: the effects of each event, and the
// effects that must not occur.

#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace galenastage;
using namespace galenastage::batch;
using galenastage::batch::test::scheduler_fixture;

TEST_CASE_METHOD(
    scheduler_fixture,
    "batch: nothing starts before the executor has answered a hold "
    "and its choice is stored") {
  post(recovery_finished{});
  list({report("x")});
  submit(job("a", 1, 1, 1));
  CHECK(all<save_progress>().empty());
  answer("x");
  REQUIRE(all<save_progress>().size() == 1);
  const job_progress Saved = all<save_progress>().front().Jobs.front().Progress;
  CHECK(Saved.Occurrences.at(0).Steps[0].Units[0].Placed ==
        std::vector{task_placement{executor_id("x"), 1}});
  CHECK(all<start_run>().empty());
  post(progress_saved{false});
  CHECK(all<start_run>().empty());
  REQUIRE(all<save_progress>().size() == 1); // the save is retried
  const auto Starts = save();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].To.Token == Token);
  CHECK(Starts[0].Run.Attempt == 1);
}

TEST_CASE_METHOD(scheduler_fixture,
                 "batch: an end is acknowledged only after it is stored") {
  settle({"x"});
  const auto Starts = run(job("a", 1, 2, 1));
  answer("x", {{Starts[1].Run, "", 10}}, {end(Starts[0].Run, run_end::Done)});
  for (const hold_executor &Hold : all<hold_executor>())
    CHECK(Hold.LastSeen == 0);
  REQUIRE(all<save_progress>().size() == 1);
  post(progress_saved{true});
  REQUIRE(all<hold_executor>().size() == 1);
  CHECK(all<hold_executor>().front().LastSeen == 1);
}

TEST_CASE_METHOD(
    scheduler_fixture,
    "batch: an unanswered start of a task that lasts is retried only after its "
    "stop was accepted and a later report doesn't list it") {
  settle({"x", "y"});
  job_spec Lasting = job("a", 1, 1, 1);
  Lasting.Steps[0].IsLongRunning = true;
  submit(Lasting);
  const start_run Start = save().at(0);
  const std::string Id = Start.To.Id.Value;
  post(start_answered{Start.To.Id, Start.Run, order_outcome::Unknown, ""});
  answer(Id);
  REQUIRE(all<stop_run>().size() == 1);
  CHECK(all<save_progress>().empty());
  pass(milliseconds(600)); // the unanswered stop is sent again
  CHECK(all<stop_run>().size() == 1);
  Now += milliseconds(20);
  post(stop_answered{Start.To.Id, Start.Run, true});
  CHECK(all<save_progress>().empty());
  answer(Id);
  REQUIRE(all<save_progress>().size() == 1);
  const save_progress Saved = all<save_progress>().front();
  const auto &Steps = Saved.Jobs.front().Progress.Occurrences.at(0).Steps;
  CHECK(Steps[0].Units[0].Attempts == 2);
  // Two lives of one executor don't run at the same time.
  CHECK(Steps[0].Units[0].Placed.front().Executor == Start.To.Id);
}

TEST_CASE_METHOD(
    scheduler_fixture,
    "batch: a task within the guarantee preempts lower-priority runs") {
  settle({"x"});
  const auto LowPriority = run(job("patient", 2, 8, 1, "none"));
  REQUIRE(LowPriority.size() == 8);
  submit(job("urgent", 0, 1, 4));
  CHECK(all<stop_run>().size() == 4);
  CHECK(all<save_progress>().empty()); // the capacity isn't free yet
}

TEST_CASE_METHOD(
    scheduler_fixture,
    "batch: a priority 0 task over the guarantee preempts nothing, but "
    "starts first when capacity becomes free") {
  settle({"x"});
  const auto LowPriority = run(job("patient", 2, 8, 1, "none"));
  submit(job("ordinary", 1, 1, 8, "none"));
  submit(job("urgent", 0, 1, 8)); // the guarantee is 4
  CHECK(all<stop_run>().empty());
  pass(milliseconds(3'000));
  CHECK(all<stop_run>().empty());
  std::vector<ended_run> Ended;
  for (const start_run &Start : LowPriority)
    Ended.push_back(end(Start.Run, run_end::Done));
  answer("x", {}, Ended);
  const auto Starts = save();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].Run.Task.Job == job_id("urgent"));
}

TEST_CASE_METHOD(scheduler_fixture,
                 "batch: long-running runs aren't preempted") {
  settle({"x"});
  job_spec Service = job("service", 2, 8, 1, "none");
  Service.Steps[0].IsLongRunning = true;
  run(Service);
  submit(job("urgent", 0, 1, 4));
  CHECK(all<stop_run>().empty());
}

TEST_CASE_METHOD(scheduler_fixture,
                 "batch: nothing starts on draining executors or in evacuated "
                 "data centres") {
  settle({"x", "y"});
  executor_report Draining = report("x");
  Draining.IsDraining = true;
  executor_report Elsewhere = report("y");
  Elsewhere.DataCentre = data_centre_id("b");
  list({Draining, Elsewhere});
  post(evacuations_changed{{data_centre_id("b")}});
  submit(job("a", 1, 1, 1));
  CHECK(all<save_progress>().empty());
  Now += milliseconds(20);
  post(evacuations_changed{{}});
  REQUIRE(all<save_progress>().size() == 1);
  CHECK(save().at(0).To.Id == executor_id("y"));
}

TEST_CASE_METHOD(
    scheduler_fixture,
    "batch: after the leader lease expired nothing starts, and stops "
    "wait until it is renewed") {
  settle({"x"});
  const auto Starts = run(job("a", 1, 1, 1));
  State.ValidUntil = Now;
  submit(job("b", 1, 1, 1));
  CHECK(Last.empty());
  post(cancel_requested{job_id("a")});
  CHECK(Last.empty());
  post(leadership_extended{Now + milliseconds(10'000)});
  CHECK(all<save_progress>().size() == 1);
  pass(milliseconds(600));
  CHECK(all<stop_run>().size() == 1);
}

TEST_CASE_METHOD(scheduler_fixture,
                 "batch: a job cancelled before its executor is stored never "
                 "starts") {
  settle({"x"});
  submit(job("a", 1, 1, 1));
  post(cancel_requested{job_id("a")});
  CHECK(all<stop_run>().empty()); // no start was ordered
  CHECK(save().empty());
  CHECK(save().empty()); // stores the cancelled phase
}

TEST_CASE_METHOD(scheduler_fixture,
                 "batch: occurrences start when they are due") {
  settle({"x"});
  job_spec Job = job("a", 1, 1, 1);
  Job.Schedule = {2, Wall + milliseconds(5'000), milliseconds(3'000)};
  submit(Job);
  pass(milliseconds(4'900));
  CHECK(all<save_progress>().empty());
  pass(milliseconds(100));
  REQUIRE(all<save_progress>().size() == 1);
  CHECK(save().at(0).Run.Task.Occurrence == 0);
  pass(milliseconds(2'900));
  CHECK(all<save_progress>().empty());
  pass(milliseconds(100));
  CHECK(save().at(0).Run.Task.Occurrence == 1);
}

TEST_CASE_METHOD(
    scheduler_fixture,
    "batch: a job fails after MaxAttempts failures; an expired lease "
    "doesn't count") {
  settle({"x", "y"});
  submit(job("a", 1, 1, 1));
  for (int Attempt = 1; Attempt <= 3; ++Attempt) {
    const auto Starts = save();
    REQUIRE(Starts.size() == 1);
    CHECK(Starts[0].Run.Attempt == Attempt);
    post(start_answered{Starts[0].To.Id, Starts[0].Run, order_outcome::Accepted,
                        ""});
    // The lease of the second expires, which is no failure of the task.
    runs_reported Report{Starts[0].To.Id, 1, 1, Now, {}, {}};
    Report.Ended = {{Attempt, Starts[0].Run,
                     Attempt == 2 ? run_end::Lapsed : run_end::Failed, ""}};
    Now += milliseconds(20);
    post(Report);
    if (Attempt != 2)
      post(progress_saved{true});
    pass(milliseconds(300));
  }
  CHECK(State.Jobs.at(job_id("a")).Progress.Phase == job_phase::Failed);
}

TEST_CASE_METHOD(
    scheduler_fixture,
    "batch: a new leader adopts listed runs and restarts the other "
    "recorded ones after their leases have expired") {
  settle({"x"});
  job_spec Job = job("a", 1, 2, 1);
  job_progress Progress;
  Progress.Phase = job_phase::Running;
  Progress.Occurrences[0] = beginOccurrence(Job);
  auto &Units = Progress.Occurrences[0].Steps[0].Units;
  Units[0].Attempts = 3;
  Units[0].Placed = {{executor_id("x"), 1}};
  Units[1].Attempts = 1;
  Units[1].Placed = {{executor_id("gone"), 1}}; // not listed in the store
  Now += milliseconds(20);
  Job.Submitted = Wall;
  post(job_found{Job, Progress});
  const run_name Running{{job_id("a"), 0, 0, 0}, 3};
  answer("x", {{Running, "", 40}});
  CHECK(all<save_progress>().empty());
  CHECK(all<stop_run>().empty());
  pass(State.Settings.LateStarts - milliseconds(1'000));
  CHECK(saveAll().empty());
  pass(milliseconds(2'000));
  const auto Starts = saveAll();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].Run.Task.Index == 1);
  CHECK(Starts[0].Run.Attempt == 2);
}

TEST_CASE_METHOD(scheduler_fixture,
                 "batch: nothing starts on an executor while none of its runs "
                 "advances") {
  settle({"x", "y"});
  const auto Starts = run(job("a", 1, 2, 1)); // on the same executor
  REQUIRE(Starts[0].To.Id == Starts[1].To.Id);
  const std::string StalledId = Starts[0].To.Id.Value;
  const auto Report = [&](int First, int Second) {
    answer(StalledId,
           {{Starts[0].Run, "", First}, {Starts[1].Run, "", Second}});
  };
  Report(10, 10);
  pass(milliseconds(1'200));
  Report(10, 30); // one advances, so the executor works
  CHECK(run(job("b", 1, 1, 1)).at(0).To.Id.Value == StalledId);
  pass(milliseconds(1'200));
  Report(10, 30);
  CHECK(run(job("c", 1, 1, 1)).at(0).To.Id.Value != StalledId);
  CHECK(all<stop_run>().empty());
  Report(11, 30);
  CHECK_FALSE(State.Executors.at(executor_id(StalledId)).IsStalled);
}

TEST_CASE_METHOD(scheduler_fixture,
                 "batch: a stalled run restarts on another executor at most "
                 "MaxMoves times") {
  settle({"x", "y"});
  auto Starts = run(job("a", 1, 1, 1));
  const int MaxMoves = State.Settings.Pace.MaxMoves;
  for (int Move = 0; Move <= MaxMoves; ++Move) {
    REQUIRE(Starts.size() == 1);
    const std::string Id = Starts[0].To.Id.Value;
    answer(Id, {{Starts[0].Run, "", 10}});
    pass(State.Settings.Pace.MoveAfter);
    answer(Id, {{Starts[0].Run, "", 10}});
    pass(milliseconds(100));
    if (Move == MaxMoves) {
      CHECK(all<stop_run>().empty()); // the fault lies in the job
      return;
    }
    REQUIRE(all<stop_run>().size() == 1);
    Now += milliseconds(20);
    post(stop_answered{Starts[0].To.Id, Starts[0].Run, true});
    answer(Id, {}, {end(Starts[0].Run, run_end::Stopped)});
    const std::string Other = Id == "x" ? "y" : "x";
    post(progress_saved{true}); // stores the end
    if (all<start_run>().empty())
      post(progress_saved{true});
    Starts = all<start_run>();
    REQUIRE(Starts.size() == 1);
    if (Move == 0)
      CHECK(Starts[0].To.Id.Value == Other);
    post(start_answered{Starts[0].To.Id, Starts[0].Run, order_outcome::Accepted,
                        ""});
    Ends = 0;
    State.Executors.at(executor_id(Other)).LastSeenProcessed = 0;
  }
}

TEST_CASE_METHOD(scheduler_fixture,
                 "batch: a gang that broke without a known cause has lost its "
                 "unreachable member and restarts immediately") {
  settle({"x", "y", "z"});
  job_spec Gang = job("gang", 1, 2, 8);
  Gang.Steps[0].IsGang = true;
  const auto Starts = run(Gang);
  REQUIRE(Starts.size() == 2);
  const auto Lose = [&](const start_run &Start) {
    post(hold_failed{Start.To.Id, 1, hold_failure::NoAnswer});
  };
  const auto Restarts = [&] { return !all<save_progress>().empty(); };
  SECTION("broken before the other executor becomes unresponsive") {
    answer(Starts[0].To.Id.Value, {}, {end(Starts[0].Run, run_end::Broken)});
    post(progress_saved{true});
    Lose(Starts[1]);
    Now += milliseconds(20);
    post(time_passed{});
    CHECK(State.Executors.at(Starts[1].To.Id).Runs.empty());
  }
  SECTION("broken after the other executor became unresponsive") {
    Lose(Starts[1]);
    answer(Starts[0].To.Id.Value, {}, {end(Starts[0].Run, run_end::Broken)});
    CHECK(State.Executors.at(Starts[1].To.Id).Runs.empty());
    CHECK(Restarts());
  }
  SECTION("a failure is the cause: the other may still run") {
    answer(Starts[0].To.Id.Value, {}, {end(Starts[0].Run, run_end::Failed)});
    Lose(Starts[1]);
    CHECK_FALSE(State.Executors.at(Starts[1].To.Id).Runs.empty());
  }
  SECTION("an expired lease is the cause: the other may still run") {
    Lose(Starts[1]);
    answer(Starts[0].To.Id.Value, {}, {end(Starts[0].Run, run_end::Lapsed)});
    CHECK_FALSE(State.Executors.at(Starts[1].To.Id).Runs.empty());
  }
}

TEST_CASE_METHOD(
    scheduler_fixture,
    "batch: a gang member with an unanswered start may still start "
    "after the gang broke") {
  settle({"x", "y", "z"});
  job_spec Gang = job("gang", 1, 2, 8);
  Gang.Steps[0].IsGang = true;
  submit(Gang);
  const auto Starts = save();
  REQUIRE(Starts.size() == 2);
  post(start_answered{Starts[0].To.Id, Starts[0].Run, order_outcome::Accepted,
                      ""});
  post(start_answered{Starts[1].To.Id, Starts[1].Run, order_outcome::Unknown,
                      ""});
  post(hold_failed{Starts[1].To.Id, 1, hold_failure::NoAnswer});
  answer(Starts[0].To.Id.Value, {}, {end(Starts[0].Run, run_end::Broken)});
  CHECK_FALSE(State.Executors.at(Starts[1].To.Id).Runs.empty());
}

TEST_CASE_METHOD(scheduler_fixture,
                 "batch: a late end of an earlier attempt doesn't stop the "
                 "current attempt of the gang") {
  settle({"x", "y", "z"});
  job_spec Gang = job("gang", 1, 2, 8);
  Gang.Steps[0].IsGang = true;
  const auto First = run(Gang);
  REQUIRE(First.size() == 2);
  // One executor is lost; after its lease expired the gang restarts.
  post(hold_failed{First[1].To.Id, 1, hold_failure::NoAnswer});
  answer(First[0].To.Id.Value, {}, {end(First[0].Run, run_end::Lapsed)});
  post(progress_saved{true});
  pass(State.Settings.MaxLease + milliseconds(1'000));
  const auto Second = save();
  REQUIRE(Second.size() == 2);
  for (const start_run &Start : Second)
    post(start_answered{Start.To.Id, Start.Run, order_outcome::Accepted, ""});
  // The lost executor returns and reports the end of the first attempt.
  Ends = 0;
  answer(First[1].To.Id.Value, {}, {end(First[1].Run, run_end::Lapsed)});
  CHECK(all<stop_run>().empty());
}

TEST_CASE_METHOD(
    scheduler_fixture,
    "batch: the last attempt of a task goes to an executor without "
    "failures since its last success") {
  settle({"x", "y", "z"});
  const executor_id Fullest = run(job("f", 1, 6, 1)).at(0).To.Id;
  const auto First = run(job("a", 1, 1, 1));
  REQUIRE(First.at(0).To.Id == Fullest);
  // Best fit chooses the next fullest, but a task of another job failed there.
  const executor_id Suspect("y");
  REQUIRE(Fullest != Suspect);
  executor_state &Next = State.Executors.at(Suspect);
  Next.Used.Accelerators = 4;
  Next.Health.FailedJobs = {job_id("other")};
  CHECK(run(job("b", 1, 1, 3)).at(0).To.Id == Suspect); // a first attempt may
  runs_reported Report{Fullest, 1, 1, Now, {}, {}};
  Report.Ended = {{1, First[0].Run, run_end::Failed, ""}};
  Now += milliseconds(20);
  post(Report);
  post(progress_saved{true});
  pass(milliseconds(300));
  const auto Last = save();
  REQUIRE(Last.size() == 1);
  CHECK(Last[0].Run.Attempt == 2); // of MaxAttempts
  CHECK(Last[0].To.Id == executor_id("z"));
}
