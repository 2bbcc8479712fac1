// Runs that leave an executor before it goes.

#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace galenastage;
using namespace galenastage::batch;
using test::scheduler_fixture;

namespace {

constexpr milliseconds StopTimeout{900};

struct departure_fixture : scheduler_fixture {
  std::map<std::string, executor_report> Reports;

  explicit departure_fixture(const std::vector<std::string> &Ids) {
    for (const std::string &Id : Ids)
      Reports[Id] = report(Id);
    settle(Ids);
  }
  void relist() {
    std::vector<executor_report> Listed;
    Listed.reserve(Reports.size());
    for (const auto &[Id, Report] : Reports)
      Listed.push_back(Report);
    list(std::move(Listed));
  }
  void drain(const std::string &Id, milliseconds Remaining) {
    Reports[Id].IsDraining = true;
    Reports[Id].Remaining = Remaining;
  }
  /// Announces one departure.
  void announce(const std::string &Id, milliseconds Remaining) {
    drain(Id, Remaining);
    relist();
  }
  /// An executor whose runs fill it is made by a job of its size.
  static job_spec saving(job_spec Job) {
    Job.Steps[0].IsCheckpointing = true;
    return Job;
  }
  static job_spec lasting(job_spec Job, milliseconds Estimate) {
    Job.Steps[0].Estimate = Estimate;
    return Job;
  }
  /// The executor reports the end of stopped runs; the end is stored. Returns
  /// the starts that are ordered once their executors are stored as well.
  std::vector<start_run> endStopped(const std::string &Id,
                                    const std::vector<run_name> &Runs) {
    std::vector<ended_run> Ended;
    for (const run_name &Run : Runs)
      Ended.push_back(end(Run, run_end::Stopped));
    answer(Id, {}, Ended);
    std::vector<start_run> Starts = save();
    pass(milliseconds(20));
    for (const start_run &Start : save())
      Starts.push_back(Start);
    return Starts;
  }
  /// A job of one task that fills an executor for 20 s, and its run.
  start_run runFull(const std::string &Id, int Priority = 2,
                    bool IsCheckpointing = false) {
    job_spec Job = lasting(job(Id, Priority, 1, 8, "none"), seconds(20));
    Job.Steps[0].IsCheckpointing = IsCheckpointing;
    const auto Starts = run(Job);
    REQUIRE(Starts.size() == 1);
    return Starts[0];
  }
  void accept(const std::vector<start_run> &Starts) {
    for (const start_run &Start : Starts)
      post(start_answered{Start.To.Id, Start.Run, order_outcome::Accepted, ""});
  }
  /// Where room is reserved for the task of the job.
  executor_id targetOf(const std::string &Job) const {
    const auto Found = State.DeparturePlans.find({job_id(Job), 0, 0, 0});
    return Found == State.DeparturePlans.end()
               ? executor_id()
               : Found->second.Executors.front();
  }
  [[nodiscard]] std::string index() const {
    return explainStaleIndex(State, Now);
  }
};

departing_unit unitOf(milliseconds Remaining, milliseconds Left, bool CanSave) {
  return {Remaining, Left, false, CanSave};
}

} // namespace

TEST_CASE("departure: what is done in time stays, the rest moves while a stop "
          "can still end") {
  const auto Choose = [](const departing_unit &Unit) {
    return chooseAction(Unit, StopTimeout);
  };
  using action = departure_action;
  CHECK(Choose(unitOf(seconds(2), seconds(3), false)) == action::Stay);
  CHECK(Choose(unitOf(seconds(2), seconds(3), true)) == action::Stay);
  CHECK(Choose(unitOf(seconds(9), seconds(3), false)) == action::Move);
  CHECK(Choose(unitOf(seconds(9), seconds(3), true)) == action::Stay);
  CHECK(Choose(unitOf(seconds(9), 2 * StopTimeout, true)) == action::Move);
  CHECK(Choose(unitOf(seconds(9), StopTimeout, false)) == action::Move);
  CHECK(Choose(unitOf(seconds(9), StopTimeout, true)) == action::Save);
  CHECK(Choose(unitOf(seconds(9), seconds(-1), false)) == action::Stay);
  CHECK(Choose(unitOf(seconds(9), seconds(-1), true)) == action::Save);
  CHECK(Choose({seconds(0), seconds(3), true, false}) == action::Move);
}

// Guards against a run that is lost with an executor that had announced its
// departure.
TEST_CASE("departure: a task that won't end in time starts elsewhere once its "
          "run has ended") {
  const bool CanSave = GENERATE(true, false);
  departure_fixture Fixture({"x", "y"});
  job_spec Job = scheduler_fixture::job("j", 2, 1, 8);
  Job.Steps[0].IsCheckpointing = CanSave;
  const auto Starts = Fixture.run(departure_fixture::lasting(Job, seconds(20)));
  REQUIRE(Starts.size() == 1);
  const std::string From = Starts[0].To.Id.Value;
  const std::string To = From == "x" ? "y" : "x";
  Fixture.answer(From, {{Starts[0].Run, "", 0}});

  Fixture.announce(From, seconds(CanSave ? 3 : 4));
  const auto Stops = Fixture.all<stop_run>();
  REQUIRE(Stops.size() == 1);
  CHECK(Stops[0].Run == Starts[0].Run);
  CHECK(Fixture.index() == "");

  // The room is kept for it: another job of the same size waits.
  Fixture.submit(scheduler_fixture::job("late", 2, 1, 8));
  Fixture.pass(milliseconds(100));
  CHECK(Fixture.save().empty());

  const auto Moved = Fixture.endStopped(From, {Starts[0].Run});
  REQUIRE(Moved.size() == 1);
  CHECK(Moved[0].To.Id.Value == To);
  CHECK(Moved[0].Run.Task == Starts[0].Run.Task);
  CHECK(Moved[0].Run.Attempt == Starts[0].Run.Attempt + 1);
  const unit_progress &Progress = Fixture.State.Jobs.at(job_id("j"))
                                      .Progress.Occurrences.at(0)
                                      .Steps[0]
                                      .Units[0];
  CHECK(Progress.Failures == 0);
  CHECK(Fixture.index() == "");
}

TEST_CASE("departure: a task that ends in time stays") {
  departure_fixture Fixture({"x", "y"});
  const auto Starts = Fixture.run(departure_fixture::lasting(
      scheduler_fixture::job("j", 2, 1, 8), seconds(2)));
  REQUIRE(Starts.size() == 1);
  Fixture.announce(Starts[0].To.Id.Value, seconds(4));
  CHECK(Fixture.all<stop_run>().empty());
}

// Guards against throwing work away for nothing, and against losing a
// checkpoint for want of room.
TEST_CASE("departure: without room a task stays, unless a stop saves its work "
          "at the last moment") {
  const bool CanSave = GENERATE(true, false);
  departure_fixture Fixture({"x", "y"});
  Fixture.run(departure_fixture::lasting(
      scheduler_fixture::job("full", 2, 1, 8), seconds(20)));
  job_spec Job = scheduler_fixture::job("j", 2, 1, 8);
  Job.Steps[0].IsCheckpointing = CanSave;
  const auto Starts = Fixture.run(departure_fixture::lasting(Job, seconds(20)));
  REQUIRE(Starts.size() == 1);
  Fixture.announce(Starts[0].To.Id.Value, seconds(4));
  CHECK(Fixture.all<stop_run>().empty());
  int Stops = 0;
  milliseconds Passed{0};
  for (; Passed < seconds(4) && Stops == 0; Passed += milliseconds(100)) {
    Fixture.pass(milliseconds(100));
    Stops += static_cast<int>(Fixture.all<stop_run>().size());
  }
  CHECK(Stops == (CanSave ? 1 : 0));
  if (CanSave) { // 4 s less the margins of 1.2 s and the stop
    CHECK(Passed >= milliseconds(1'900));
    CHECK(Passed <= milliseconds(2'100));
  }
}

// Guards against a gang that is broken by the departure of one member.
TEST_CASE("departure: a gang moves whole, and only its leaving member changes "
          "its executor") {
  departure_fixture Fixture({"x", "y", "z"});
  job_spec Job = scheduler_fixture::job("j", 2, 2, 8);
  Job.Steps[0].IsGang = true;
  Job.Steps[0].IsRackLocal = GENERATE(true, false);
  const auto Starts = Fixture.run(departure_fixture::lasting(Job, seconds(20)));
  REQUIRE(Starts.size() == 2);
  const std::string Leaving = Starts[0].To.Id.Value;
  const std::string Staying = Starts[1].To.Id.Value;
  Fixture.announce(Leaving, seconds(4));
  REQUIRE(Fixture.all<stop_run>().size() == 2);
  CHECK(Fixture.index() == "");
  CHECK(Fixture.endStopped(Leaving, {Starts[0].Run}).empty());
  const auto Moved = Fixture.endStopped(Staying, {Starts[1].Run});
  REQUIRE(Moved.size() == 2);
  CHECK(Moved[0].To.Id.Value != Leaving);
  CHECK(Moved[0].To.Id.Value != Staying);
  CHECK(Moved[1].To.Id.Value == Staying);
  CHECK(Fixture.index() == "");
}

// Guards against losing a gang that is spread over racks for want of one rack.
TEST_CASE("departure: a gang outside its preferred rack takes any room") {
  departure_fixture Fixture({"x", "y", "z"});
  for (const char *Id : {"x", "y", "z"})
    Fixture.Reports[Id].Rack = rack_id(std::string("rack-") + Id);
  Fixture.relist();
  job_spec Job = scheduler_fixture::job("j", 2, 2, 8);
  Job.Steps[0].IsGang = true;
  Job.Steps[0].IsRackLocal = true;
  const auto Starts = Fixture.run(departure_fixture::lasting(Job, seconds(20)));
  REQUIRE(Starts.size() == 2);
  Fixture.announce(Starts[0].To.Id.Value, seconds(4));
  CHECK(Fixture.all<stop_run>().size() == 2);
}

TEST_CASE("departure: a gang without room for the leaving member stays whole") {
  departure_fixture Fixture({"x", "y"});
  job_spec Job = scheduler_fixture::job("j", 2, 2, 8);
  Job.Steps[0].IsGang = true;
  const auto Starts = Fixture.run(departure_fixture::lasting(Job, seconds(20)));
  REQUIRE(Starts.size() == 2);
  Fixture.announce(Starts[0].To.Id.Value, seconds(4));
  CHECK(Fixture.all<stop_run>().empty());
}

TEST_CASE("departure: nothing moves while departures are switched off, or "
          "without a time") {
  const bool IsEnabled = GENERATE(true, false);
  departure_fixture Fixture({"x", "y"});
  Fixture.State.Settings.Departures.IsEnabled = IsEnabled;
  const auto Starts = Fixture.run(departure_fixture::lasting(
      scheduler_fixture::job("j", 2, 1, 8), seconds(20)));
  REQUIRE(Starts.size() == 1);
  Fixture.announce(Starts[0].To.Id.Value, IsEnabled ? seconds(0) : seconds(4));
  CHECK(Fixture.all<stop_run>().empty());
  CHECK(Fixture.index() == "");
}

// Guards against the least urgent work taking the only room when several
// executors leave at once.
TEST_CASE("departure: of executors that leave together, urgent units and those "
          "with the least slack move first") {
  departure_fixture Fixture({"u", "v", "w", "x", "y"});
  const start_run Early = Fixture.runFull("b", 2);
  Fixture.pass(seconds(1));
  const start_run Late = Fixture.runFull("a", 2);
  Fixture.pass(seconds(1));
  const start_run Urgent = Fixture.runFull("c", 1);
  for (const start_run &Run : {Early, Late, Urgent})
    Fixture.drain(Run.To.Id.Value, seconds(4));
  Fixture.relist();
  const auto Stops = Fixture.all<stop_run>();
  REQUIRE(Stops.size() == 2);
  CHECK(Stops[0].Run == Urgent.Run);
  CHECK(Stops[1].Run == Early.Run);
  CHECK(Fixture.index() == "");
}

TEST_CASE("departure: nothing moves after the departure is withdrawn, but what "
          "was stopped starts again") {
  departure_fixture Fixture({"x", "y"});
  const bool IsStoppedBefore = GENERATE(true, false);
  const start_run Other = Fixture.runFull("other");
  std::optional<start_run> Blocking;
  if (!IsStoppedBefore) {
    Blocking = Fixture.runFull("blocking");
  }
  Fixture.announce(Other.To.Id.Value, seconds(4));
  CHECK(Fixture.all<stop_run>().size() == (IsStoppedBefore ? 1 : 0));
  Fixture.Reports[Other.To.Id.Value] =
      scheduler_fixture::report(Other.To.Id.Value);
  Fixture.relist();
  CHECK(Fixture.State.Draining.empty());
  if (IsStoppedBefore) {
    const auto Starts = Fixture.endStopped(Other.To.Id.Value, {Other.Run});
    REQUIRE(Starts.size() == 1);
    CHECK(Starts[0].Run.Attempt == Other.Run.Attempt + 1);
  } else {
    Fixture.answer(Blocking->To.Id.Value, {},
                   {Fixture.end(Blocking->Run, run_end::Done)});
    for (int I = 0; I < 50; ++I) {
      Fixture.pass(milliseconds(100));
      CHECK(Fixture.all<stop_run>().empty());
    }
  }
  CHECK(Fixture.index() == "");
}

TEST_CASE("departure: a unit whose target leaves, too, starts on a third "
          "executor") {
  departure_fixture Fixture({"x", "y", "z"});
  const start_run Run = Fixture.runFull("j");
  const std::string From = Run.To.Id.Value;
  Fixture.announce(From, seconds(4));
  const std::string Target = Fixture.targetOf("j").Value;
  REQUIRE_FALSE(Target.empty());
  Fixture.announce(Target, seconds(4));
  Fixture.pass(milliseconds(20));
  CHECK(Fixture.targetOf("j").isEmpty());
  const auto Starts = Fixture.endStopped(From, {Run.Run});
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].To.Id.Value != From);
  CHECK(Starts[0].To.Id.Value != Target);
  CHECK(Fixture.index() == "");
}

// Guards against a unit that is forgotten, or runs twice, when the leader that
// has stopped it is lost.
TEST_CASE("departure: the next leader starts a unit that was stopped to move "
          "once its end is known") {
  departure_fixture Fixture({"x", "y"});
  const start_run Run = Fixture.runFull("j", 2, true);
  const std::string From = Run.To.Id.Value;
  const std::string To = From == "x" ? "y" : "x";
  Fixture.announce(From, seconds(3));
  REQUIRE(Fixture.all<stop_run>().size() == 1);
  const job_state Stored = Fixture.State.Jobs.at(job_id("j"));
  Fixture.post(leadership_lost{});
  CHECK(Fixture.State.DeparturePlans.empty());
  Fixture.post(leadership_gained{scheduler_fixture::Token + 1,
                                 Fixture.Now + milliseconds(1'000'000)});
  Fixture.post(job_found{Stored.Spec, Stored.Progress});
  Fixture.relist();
  Fixture.post(recovery_finished{});
  Fixture.answer(To);
  Fixture.pass(milliseconds(100));
  CHECK(Fixture.save().empty());
  Fixture.answer(From, {}, {{1, Run.Run, run_end::Stopped, "saved"}});
  Fixture.pass(milliseconds(20));
  auto Starts = Fixture.save();
  if (Starts.empty())
    Starts = Fixture.save();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].To.Id.Value == To);
  CHECK(Starts[0].Checkpoint == "saved");
  CHECK(Starts[0].Run.Attempt == Run.Run.Attempt + 1);
  CHECK(Fixture.index() == "");
}

// Guards against two runs of a task, and against room that stays reserved.
TEST_CASE(
    "departure: while the stop is unanswered the unit starts nowhere, and "
    "its room is given up") {
  departure_fixture Fixture({"x", "y"});
  const start_run Run = Fixture.runFull("j");
  const std::string From = Run.To.Id.Value;
  const std::string To = From == "x" ? "y" : "x";
  Fixture.announce(From, seconds(4));
  REQUIRE(Fixture.all<stop_run>().size() == 1);
  Fixture.post(stop_answered{Run.To.Id, Run.Run, false});
  Fixture.post(hold_failed{Run.To.Id, 1, hold_failure::NoAnswer});
  int Stops = 0;
  const instant Announced = Fixture.Now;
  const milliseconds Lease = Fixture.State.Settings.MaxLease;
  for (; Fixture.Now < Announced + Lease - seconds(1);) {
    Fixture.pass(milliseconds(100));
    Stops += static_cast<int>(Fixture.all<stop_run>().size());
    CHECK(Fixture.all<start_run>().empty());
    if (Fixture.Now == Announced + seconds(4)) { // it goes
      Fixture.Reports.erase(From);
      Fixture.relist();
    }
  }
  CHECK(Stops > 2);
  CHECK(Fixture.State.Executors.at(executor_id(To)).Reserved == resources{});
  CHECK(Fixture.index() == "");
  Fixture.pass(seconds(3));
  const auto Starts = Fixture.save();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].To.Id.Value == To);
}

TEST_CASE("departure: a notice that is seen late saves what can be saved, and "
          "stops nothing else") {
  const bool CanSave = GENERATE(true, false);
  departure_fixture Fixture({"x", "y"});
  const start_run Run = Fixture.runFull("j", 2, CanSave);
  Fixture.announce(Run.To.Id.Value, milliseconds(500));
  CHECK(Fixture.all<stop_run>().size() == (CanSave ? 1 : 0));
}

TEST_CASE("departure: a moved unit starts only after its executor is stored") {
  departure_fixture Fixture({"x", "y"});
  const start_run Run = Fixture.runFull("j");
  Fixture.announce(Run.To.Id.Value, seconds(4));
  Fixture.answer(Run.To.Id.Value, {}, {Fixture.end(Run.Run, run_end::Stopped)});
  for (int I = 0; I < 5; ++I) {
    Fixture.pass(milliseconds(100));
    CHECK(Fixture.all<start_run>().empty());
    Fixture.post(progress_saved{false});
    CHECK(Fixture.all<start_run>().empty());
  }
  auto Starts = Fixture.save();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].To.Id != Run.To.Id);
}

// Guards against an interruption of more tasks of a step than it allows.
TEST_CASE("departure: a step misses no more tasks than it may at a time") {
  const bool IsLongRunning = GENERATE(true, false);
  departure_fixture Fixture({"x"});
  job_spec Job = departure_fixture::lasting(
      scheduler_fixture::job("j", 2, 3, 2, "none"), seconds(20));
  Job.Steps[0].IsLongRunning = IsLongRunning;
  Job.Steps[0].MaxMissing = IsLongRunning ? 0 : 1;
  const auto Runs = Fixture.run(Job);
  REQUIRE(Runs.size() == 3);
  Fixture.Reports["y"] = scheduler_fixture::report("y");
  Fixture.relist();
  Fixture.answer("y");
  Fixture.announce("x", seconds(4));
  REQUIRE(Fixture.all<stop_run>().size() == 1);
  const run_name First = Fixture.all<stop_run>()[0].Run;
  Fixture.pass(milliseconds(100));
  CHECK(Fixture.all<stop_run>().empty());
  const auto Starts = Fixture.endStopped("x", {First});
  REQUIRE(Starts.size() == 1);
  Fixture.pass(milliseconds(100));
  CHECK(Fixture.all<stop_run>().empty());
  Fixture.accept(Starts);
  Fixture.pass(milliseconds(100));
  CHECK(Fixture.all<stop_run>().size() == 1);
}

// Guards against a unit that is moved from one leaving executor to the next
// without end, and against losing a checkpoint for that bound.
TEST_CASE("departure: a unit moves a bounded number of times, and is saved "
          "after that") {
  const bool CanSave = GENERATE(true, false);
  departure_fixture Fixture({"x", "y", "z"});
  Fixture.State.Settings.Departures.MaxMoves = 1;
  const start_run Run = Fixture.runFull("j", 2, CanSave);
  Fixture.announce(Run.To.Id.Value, seconds(3));
  const auto Starts = Fixture.endStopped(Run.To.Id.Value, {Run.Run});
  REQUIRE(Starts.size() == 1);
  Fixture.accept(Starts);
  Fixture.announce(Starts[0].To.Id.Value, seconds(3));
  CHECK(Fixture.all<stop_run>().empty());
  int Stops = 0;
  for (int I = 0; I < 12; ++I) { // the retry of an unanswered stop isn't due
    Fixture.pass(milliseconds(100));
    Stops += static_cast<int>(Fixture.all<stop_run>().size());
  }
  CHECK(Stops == (CanSave ? 1 : 0));
}

TEST_CASE("departure: guaranteed work reclaims the room for its move") {
  const bool IsGuaranteed = GENERATE(true, false);
  departure_fixture Fixture({"x", "y"});
  const auto Urgent = Fixture.run(departure_fixture::lasting(
      scheduler_fixture::job("u", 0, 1, 4, IsGuaranteed ? "small" : "none"),
      seconds(20)));
  REQUIRE(Urgent.size() == 1);
  const start_run Patient = Fixture.runFull("p");
  REQUIRE(Patient.To.Id != Urgent[0].To.Id);
  Fixture.announce(Urgent[0].To.Id.Value, seconds(4));
  CHECK(Fixture.all<stop_run>().size() == (IsGuaranteed ? 2 : 0));
  CHECK(Fixture.index() == "");
  if (!IsGuaranteed)
    return;
  CHECK(Fixture.endStopped(Urgent[0].To.Id.Value, {Urgent[0].Run}).empty());
  // It has its room, and takes no other beside it; z is for the other job.
  Fixture.Reports["z"] = scheduler_fixture::report("z");
  Fixture.relist();
  Fixture.answer("z");
  Fixture.pass(milliseconds(100));
  CHECK(Fixture.save().empty());
  const auto Starts = Fixture.endStopped(Patient.To.Id.Value, {Patient.Run});
  REQUIRE(Starts.size() == 2);
  const bool IsFirst = Starts[0].Run.Task == Urgent[0].Run.Task;
  CHECK(Starts[IsFirst ? 0 : 1].Run.Task == Urgent[0].Run.Task);
  CHECK(Starts[IsFirst ? 0 : 1].To.Id == Patient.To.Id);
  CHECK(Starts[IsFirst ? 1 : 0].To.Id == executor_id("z"));
  CHECK(Fixture.index() == "");
}

// Guards against a log line for each tick.
TEST_CASE("departure: that a unit stays is logged once") {
  departure_fixture Fixture({"x"});
  Fixture.runFull("j");
  Fixture.announce("x", seconds(4));
  Fixture.State.Jobs.at(job_id("j")).Units.at(0)[0][0].StayNoted = 0;
  int Lines = 0;
  for (int I = 0; I < 20; ++I) {
    Fixture.Now += milliseconds(100);
    for (const effect &Effect : reduce(
             Fixture.State, {Fixture.Now, Fixture.Wall, NoTerm, time_passed{}}))
      if (const auto *Write = std::get_if<write_log>(&Effect))
        Lines += Write->Line.Event == &events::UnitLeftBehind ? 1 : 0;
  }
  CHECK(Lines == 1);
}
