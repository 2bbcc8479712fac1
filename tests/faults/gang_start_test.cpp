#include "core/job/scheduler.hpp"
#include "standin/worker_model.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace galenastage;

namespace {

const worker_id WorkerOne("worker-1");
const worker_id WorkerTwo("worker-2");
const job_id Job("job-1");

/// Feeds events to the reducer of a leading scheduler, one at a time.
struct driven_scheduler {
  scheduler_state State{{}};
  instant Now{};
  std::vector<scheduler_effect> Effects; // all so far
  std::shared_ptr<tables> Tables = std::make_shared<tables>();

  driven_scheduler() {
    State.Settings.DataCentre = data_centre_id("dc-a");
    Tables->Version = 1;
    pool Pool;
    Pool.Name = pool_id("budgets");
    Tables->Pools.push_back(Pool);
    Tables->DataCentres.push_back({data_centre_id("dc-a"), "north", true});
    Tables->DataCentres.push_back({data_centre_id("dc-b"), "north", true});
    for (const worker_id &Worker : {WorkerOne, WorkerTwo})
      apply(worker_listed{Worker, rack_id("rack"), 8, false});
  }

  void apply(scheduler_event_body Body) {
    applyOf(State.Epoch, std::move(Body));
  }
  /// Applies the answer to an order of that epoch.
  void applyOf(epoch Epoch, scheduler_event_body Body) {
    for (scheduler_effect &Effect :
         reduce(State, {Now, std::move(Body), Epoch}))
      Effects.push_back(std::move(Effect));
  }

  void seeTables(bool IsInService) {
    ++Tables->Version;
    Tables->DataCentres.front().IsInService = IsInService;
    apply(tables_seen{std::make_shared<tables>(*Tables), Now});
  }

  /// Becomes leader with these job records and these tasks on worker 1.
  void takeOver(const std::vector<job_record> &Records,
                std::vector<task_report> Tasks = {}, epoch Epoch = 7) {
    apply(leadership_changed{true, Epoch});
    for (const job_record &Record : Records)
      apply(job_seen{Record, 10});
    apply(jobs_loaded{});
    report(WorkerOne, std::move(Tasks));
    report(WorkerTwo, {});
    pass(State.Settings.RebuildWindow);
  }

  void report(const worker_id &Worker, std::vector<task_report> Tasks) {
    worker_report Report;
    Report.Worker = Worker;
    Report.HighestEpoch = 7;
    Report.Tasks = std::move(Tasks);
    apply(worker_reported{std::move(Report), Now});
  }

  void pass(milliseconds Time) {
    Now += Time;
    apply(tables_seen{std::make_shared<tables>(*Tables), Now});
    apply(ticked{});
  }

  void answer(step_answered::step_kind Kind, const worker_id &Worker,
              std::uint32_t Attempt) {
    step_answered Answer;
    Answer.Kind = Kind;
    Answer.Attempt = {Job, Attempt};
    Answer.Worker = Worker;
    Answer.IsAccepted = true;
    apply(std::move(Answer));
  }

  template <typename Effect> std::vector<Effect> sent() const {
    std::vector<Effect> Found;
    for (const scheduler_effect &Each : Effects)
      if (const auto *Match = std::get_if<Effect>(&Each))
        Found.push_back(*Match);
    return Found;
  }
};

job_record recordOf(job_phase Phase, bool IsIdempotent) {
  job_record Record;
  Record.Spec.Id = Job;
  Record.Spec.Pool = pool_id("budgets");
  Record.Spec.AcceleratorsPerTask = 8;
  Record.Spec.IsIdempotent = IsIdempotent;
  Record.DataCentre = data_centre_id("dc-a");
  Record.Phase = Phase;
  return Record;
}

task_report taskOf(std::uint32_t Attempt, task_state State) {
  return {{Job, Attempt}, State, 1, 8, milliseconds(0)};
}

} // namespace

// Guards against a gang that is armed without the reservations and the record
// of the present epoch: a later leader may use the same attempt number again.
TEST_CASE("answers to orders of an earlier epoch don't advance a gang") {
  driven_scheduler Scheduler;
  const job_record Waiting = recordOf(job_phase::Waiting, false);
  Scheduler.takeOver({Waiting});
  const auto Reserved = Scheduler.sent<send_reserve>();
  REQUIRE(Reserved.size() == 1);
  Scheduler.apply(leadership_changed{false, 7});
  Scheduler.takeOver({Waiting}, {}, 9);
  REQUIRE(Scheduler.sent<send_reserve>().size() == 2);
  const send_reserve Present = Scheduler.sent<send_reserve>().back();
  REQUIRE(Present.Request.Attempt == Reserved.front().Request.Attempt);

  step_answered Answer;
  Answer.Attempt = Present.Request.Attempt;
  Answer.Worker = Present.Worker;
  Answer.IsAccepted = true;
  Scheduler.applyOf(7, Answer);
  CHECK(Scheduler.sent<save_job>().empty());
  Scheduler.applyOf(9, Answer);
  REQUIRE(Scheduler.sent<save_job>().size() == 1);
  CHECK(Scheduler.sent<save_job>().front().Epoch == 9);

  const job_saved Saved{Job, job_saved::outcome::Saved, 11};
  Scheduler.applyOf(7, Saved);
  CHECK(Scheduler.sent<send_start>().empty());
  Scheduler.applyOf(9, Saved);
  CHECK(Scheduler.sent<send_start>().size() == 1);
}

TEST_CASE("a start that another scheduler saved isn't started again") {
  driven_scheduler Scheduler;
  Scheduler.takeOver({recordOf(job_phase::Waiting, false)});
  REQUIRE(Scheduler.sent<send_reserve>().size() == 1);
  Scheduler.answer(step_answered::step_kind::Reserve,
                   Scheduler.sent<send_reserve>().front().Worker, 1);
  REQUIRE(Scheduler.sent<save_job>().size() == 1);
  // The previous leader's write reached the store first.
  job_record Foreign = recordOf(job_phase::Starting, false);
  Foreign.Attempt = 1;
  Foreign.Verdict = verdict::Unknown;
  Foreign.Placement = {worker_id("worker-9")};
  Scheduler.apply(job_saved{Job, job_saved::outcome::Conflict, 0});
  Scheduler.apply(job_seen{Foreign, 11});
  for (int I = 0; I < 100; ++I) {
    Scheduler.apply(job_saved{Job, job_saved::outcome::Saved, 12 + I});
    Scheduler.pass(milliseconds(100));
  }
  CHECK(Scheduler.sent<send_start>().empty());
  const job_record Last = Scheduler.sent<save_job>().back().Record;
  CHECK(Last.Phase == job_phase::Failed);
  CHECK(Last.Verdict == verdict::Unknown);
}

TEST_CASE("another scheduler's start is respected during the release of an own "
          "attempt") {
  driven_scheduler Scheduler;
  Scheduler.takeOver({recordOf(job_phase::Waiting, false)});
  Scheduler.pass(Scheduler.State.Settings.StepTimeout);
  REQUIRE(Scheduler.sent<send_release>().size() == 1);
  job_record Foreign = recordOf(job_phase::Starting, false);
  Foreign.Attempt = 1;
  Scheduler.apply(job_seen{Foreign, 11});
  Scheduler.answer(step_answered::step_kind::Release,
                   Scheduler.sent<send_release>().front().Worker, 1);
  const job_record Last = Scheduler.sent<save_job>().back().Record;
  CHECK(Last.Phase == job_phase::Failed);
  CHECK(Last.Verdict == verdict::Unknown);
}

TEST_CASE("a late answer to a release doesn't end a job again") {
  driven_scheduler Scheduler;
  Scheduler.takeOver({});
  Scheduler.apply(job_seen{recordOf(job_phase::Waiting, true), 10});
  Scheduler.pass(milliseconds(100));
  REQUIRE(Scheduler.sent<send_reserve>().size() == 1);
  const worker_id Worker = Scheduler.sent<send_reserve>().front().Worker;
  Scheduler.answer(step_answered::step_kind::Reserve, Worker, 1);
  Scheduler.answer(step_answered::step_kind::Start, Worker, 1);
  REQUIRE(Scheduler.sent<save_job>().back().Record.Phase == job_phase::Running);
  job_record Cancelled = recordOf(job_phase::Waiting, true);
  Cancelled.IsCancelRequested = true;
  Scheduler.apply(job_seen{Cancelled, 11});
  Scheduler.answer(step_answered::step_kind::Release, Worker, 1);
  Scheduler.answer(step_answered::step_kind::Release, Worker, 1);
  Scheduler.apply(job_saved{Job, job_saved::outcome::Saved, 12});
  const job_record Last = Scheduler.sent<save_job>().back().Record;
  CHECK(Last.Phase == job_phase::Cancelled);
  CHECK(Last.Verdict == verdict::Unknown);
}

TEST_CASE("a cancelled own record isn't taken for another scheduler's start") {
  driven_scheduler Scheduler;
  Scheduler.takeOver({recordOf(job_phase::Waiting, false)});
  Scheduler.answer(step_answered::step_kind::Reserve,
                   Scheduler.sent<send_reserve>().front().Worker, 1);
  // The save was applied but its answer lost, and then a caller cancelled.
  job_record Cancelled = Scheduler.sent<save_job>().back().Record;
  Cancelled.IsCancelRequested = true;
  Scheduler.apply(job_saved{Job, job_saved::outcome::Conflict, 0});
  Scheduler.apply(job_seen{Cancelled, 12});
  for (int I = 0; I < 100; ++I) {
    Scheduler.apply(job_saved{Job, job_saved::outcome::Saved, 13 + I});
    Scheduler.pass(milliseconds(100));
  }
  const job_record Last = Scheduler.sent<save_job>().back().Record;
  CHECK(Last.Phase == job_phase::Cancelled);
  CHECK(Last.Verdict == verdict::NotRun);
}

TEST_CASE("an unknown job whose record says running isn't started again") {
  driven_scheduler Scheduler;
  Scheduler.takeOver({});
  Scheduler.apply(job_seen{recordOf(job_phase::Running, false), 11});
  for (int I = 0; I < 100; ++I)
    Scheduler.pass(milliseconds(100));
  CHECK(Scheduler.sent<send_reserve>().empty());
  REQUIRE_FALSE(Scheduler.sent<save_job>().empty());
  CHECK(Scheduler.sent<save_job>().back().Record.Phase == job_phase::Failed);
}

TEST_CASE("a stale record of a job that has ended doesn't restore the job") {
  driven_scheduler Scheduler;
  job_record Record = recordOf(job_phase::Waiting, true);
  Record.IsCancelRequested = true;
  Scheduler.takeOver({Record});
  Scheduler.apply(job_saved{Job, job_saved::outcome::Saved, 11});
  Scheduler.Effects.clear();
  Scheduler.apply(job_seen{recordOf(job_phase::Waiting, true), 10});
  Scheduler.pass(milliseconds(100));
  CHECK(Scheduler.sent<send_reserve>().empty());
}

TEST_CASE("a job whose move is not known to have failed isn't placed here") {
  driven_scheduler Scheduler;
  Scheduler.seeTables(false);
  Scheduler.takeOver({recordOf(job_phase::Waiting, true)});
  REQUIRE(Scheduler.sent<move_job>().size() == 1);
  Scheduler.seeTables(true);
  for (int I = 0; I < 50; ++I)
    Scheduler.pass(milliseconds(100));
  CHECK(Scheduler.sent<send_reserve>().empty());
  CHECK(Scheduler.sent<move_job>().size() > 1);
  CHECK(Scheduler.sent<move_job>().back().Record.DataCentre ==
        data_centre_id("dc-b"));
}

TEST_CASE("another gang's attempt of the same number is released") {
  driven_scheduler Scheduler;
  Scheduler.takeOver({recordOf(job_phase::Waiting, true)});
  const worker_id Chosen = Scheduler.sent<send_reserve>().front().Worker;
  const worker_id Other = Chosen == WorkerOne ? WorkerTwo : WorkerOne;
  Scheduler.report(Other, {taskOf(1, task_state::Running)});
  REQUIRE(Scheduler.sent<send_release>().size() == 1);
  CHECK(Scheduler.sent<send_release>().front().Worker == Other);
}

TEST_CASE("a gang that was only reserved before a take-over is placed again") {
  driven_scheduler Scheduler;
  Scheduler.takeOver({recordOf(job_phase::Waiting, false)},
                     {taskOf(1, task_state::Reserved)});
  Scheduler.answer(step_answered::step_kind::Release, WorkerOne, 1);
  Scheduler.apply(job_saved{Job, job_saved::outcome::Saved, 11});
  Scheduler.pass(milliseconds(2'000));
  CHECK(Scheduler.sent<send_reserve>().size() == 1);
}

TEST_CASE("a worker doesn't pass a reservation from one epoch to another") {
  standin::worker_model Worker(WorkerOne, data_centre_id("dc-a"),
                               rack_id("rack"), 8);
  const attempt_id Attempt{Job, 1};
  const instant Now{};
  REQUIRE(
      Worker.reserve({1, Attempt, 1, 8, milliseconds(2'000)}, Now).IsAccepted);
  CHECK(Worker.reserve({1, Attempt, 1, 8, milliseconds(2'000)}, Now)
            .IsAccepted); // a repeat
  CHECK_FALSE(
      Worker.reserve({2, Attempt, 1, 8, milliseconds(2'000)}, Now).IsAccepted);
  CHECK_FALSE(Worker.start({2, Attempt, milliseconds(2'000), seconds(1)}, Now)
                  .IsAccepted);
}
