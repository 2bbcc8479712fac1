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
  const auto choose = [](const departing_unit &Unit) {
    return chooseAction(Unit, StopTimeout);
  };
  using action = departure_action;
  CHECK(choose(unitOf(seconds(2), seconds(3), false)) == action::Stay);
  CHECK(choose(unitOf(seconds(2), seconds(3), true)) == action::Stay);
  CHECK(choose(unitOf(seconds(9), seconds(3), false)) == action::Move);
  CHECK(choose(unitOf(seconds(9), seconds(3), true)) == action::Move);
  CHECK(choose(unitOf(seconds(9), StopTimeout, false)) == action::Move);
  CHECK(choose(unitOf(seconds(9), StopTimeout, true)) == action::Save);
  CHECK(choose(unitOf(seconds(9), seconds(-1), false)) == action::Stay);
  CHECK(choose(unitOf(seconds(9), seconds(-1), true)) == action::Save);
  CHECK(choose({seconds(0), seconds(3), true, false}) == action::Move);
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

  Fixture.announce(From, seconds(4));
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
