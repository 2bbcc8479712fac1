// Work that waits longest: reservations for gangs, and the order after long.

#include "tests/support/scheduler_fixture.hpp"

#include "apps/instance/metrics.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

struct reservation_fixture : test::scheduler_fixture {
  /// Two executors, each with eight tasks of one accelerator, and a gang that
  /// needs both.
  void fill() {
    settle({"x", "y"});
    for (int I = 0; I < 2; ++I)
      for (const start_run &Start :
           run(job("small" + std::to_string(I), 1, 8, 1, "none")))
        Running[Start.To.Id.Value].push_back(Start.Run);
    submit(gang("gang"));
    CHECK(all<save_progress>().empty());
  }
  static job_spec gang(const std::string &Id, int Accelerators = 8) {
    job_spec Job = job(Id, 1, 2, Accelerators, "small");
    Job.Steps[0].IsGang = true;
    return Job;
  }
  /// Passes time in which the executors report progress.
  void wait(milliseconds Time) {
    for (const instant End = Now + Time; Now < End;) {
      Percent += PercentStep;
      for (const std::string Id : {"x", "y"})
        report(Id, 0);
      pass(milliseconds(460));
      check();
    }
  }
  /// The executor reports that its first runs have ended.
  void report(const std::string &Id, std::size_t Done) {
    std::vector<run_name> &Runs = Running[Id];
    std::vector<ended_run> Ended;
    for (std::size_t I = 0; I < Done; ++I)
      Ended.push_back(end(Runs[I], run_end::Done));
    Runs.erase(Runs.begin(), Runs.begin() + static_cast<std::ptrdiff_t>(Done));
    std::vector<active_run> Active;
    for (const run_name &Run : Runs)
      Active.push_back({Run, "", Percent});
    answer(Id, Active, Ended);
  }
  void check() { CHECK(explainStaleIndex(State, Now) == ""); }
  resources reservedOn(const std::string &Id) {
    return State.Executors.at(executor_id(Id)).Reserved;
  }
  bool hasStarted(const std::string &Id) {
    return !State.Jobs.at(job_id(Id)).Runs.empty();
  }
  using scheduler_fixture::report;

  std::map<std::string, std::vector<run_name>> Running;
  int Percent = 10;
  int PercentStep = 5; // in half a second
};

const resources OneTask{1'000, 1'000, 8};

} // namespace

// Guards against small work that always takes what becomes free.
TEST_CASE_METHOD(reservation_fixture,
                 "reservation: a gang that fits nowhere gets the capacity that "
                 "becomes free") {
  fill();
  CHECK(State.Reservations.empty());
  wait(milliseconds(4'500));
  REQUIRE(State.Reservations.size() == 1);
  CHECK(reservedOn("x") == OneTask);
  CHECK(reservedOn("y") == OneTask);
  submit(job("later", 1, 20, 1, "none"));
  report("x", 8);
  check();
  CHECK_FALSE(hasStarted("later"));
  CHECK_FALSE(hasStarted("gang"));
  report("y", 8);
  check();
  CHECK(hasStarted("gang"));
  CHECK(State.Reservations.empty());
  CHECK(reservedOn("x") == resources{});
}

TEST_CASE_METHOD(reservation_fixture,
                 "reservation: work of higher priority and work within a "
                 "guarantee precede it") {
  fill();
  wait(milliseconds(4'500));
  REQUIRE(State.Reservations.size() == 1);
  report("x", 4);
  submit(job("urgent", 0, 4, 1, "none"));
  CHECK(hasStarted("urgent"));
  check();
  CHECK(State.Reservations.size() == 1);
}

// Guards against capacity that nobody may use any more.
TEST_CASE_METHOD(reservation_fixture,
                 "reservation: it ends with its job, its executors, its term "
                 "and its time") {
  fill();
  wait(milliseconds(4'500));
  REQUIRE(State.Reservations.size() == 1);
  SECTION("the job is cancelled") {
    post(cancel_requested{job_id("gang")});
    CHECK(State.Reservations.empty());
  }
  SECTION("an executor drains") {
    executor_report Draining = report("y");
    Draining.IsDraining = true;
    list({report("x"), Draining});
    pass(milliseconds(100));
    CHECK(State.Reservations.empty());
  }
  SECTION("an executor is lost with its runs") {
    list({report("x")});
    pass(milliseconds(100));
    CHECK(State.Reservations.empty());
  }
  SECTION("the next leader begins without it") {
    post(leadership_gained{Token + 1, Now + milliseconds(1'000'000)});
    CHECK(State.Reservations.empty());
  }
  SECTION("the capacity doesn't become free in time") {
    const instant Until = State.Reservations.begin()->second.Until;
    wait(Until - Now);
    // Another one may have been made since.
    for (const auto &[Unit, Reservation] : State.Reservations)
      CHECK(Reservation.Until > Until);
    return;
  }
  check();
  CHECK(reservedOn("x") == resources{});
}

TEST_CASE_METHOD(reservation_fixture,
                 "reservation: there are at most two at a time") {
  fill();
  for (int I = 0; I < 4; ++I)
    submit(gang("gang" + std::to_string(I), 1));
  post(cancel_requested{job_id("gang")});
  wait(milliseconds(8'000));
  CHECK(State.Reservations.size() == 2);
}

TEST_CASE_METHOD(reservation_fixture,
                 "reservation: an organisation with more than the even share "
                 "gets none") {
  settle({"x", "y"});
  for (const start_run &Start : run(job("a", 1, 12, 1, "small")))
    Running[Start.To.Id.Value].push_back(Start.Run);
  for (const start_run &Start : run(job("b", 1, 4, 1, "none")))
    Running[Start.To.Id.Value].push_back(Start.Run);
  submit(gang("gang"));
  wait(milliseconds(5'000));
  CHECK(State.Reservations.empty());
}

// Guards against a gang that never gets one and keeps all others from it.
TEST_CASE_METHOD(reservation_fixture,
                 "reservation: a gang that can't get one doesn't keep others "
                 "from it") {
  settle({"x", "y"});
  for (const start_run &Start : run(job("a", 1, 12, 1, "small")))
    Running[Start.To.Id.Value].push_back(Start.Run);
  for (const start_run &Start : run(job("b", 1, 4, 1, "none")))
    Running[Start.To.Id.Value].push_back(Start.Run);
  submit(gang("gang")); // of the organisation with more than the even share
  job_spec Other = gang("other");
  Other.Organisation = organisation_id("none");
  submit(Other);
  wait(milliseconds(6'500));
  REQUIRE(State.Reservations.size() == 1);
  CHECK(State.Reservations.begin()->first.Job == job_id("other"));
}

// Guards against a late step with much work, which each later one passes.
TEST_CASE_METHOD(reservation_fixture,
                 "shares: after 20 s the step that waits longest goes before "
                 "the others of its organisation") {
  PercentStep = 1;
  settle({"x", "y"});
  for (int I = 0; I < 2; ++I)
    for (const start_run &Start :
         run(job("small" + std::to_string(I), 1, 8, 1, "none")))
      Running[Start.To.Id.Value].push_back(Start.Run);
  submit(job("long", 1, 1, 1, "small")); // its objective is 6 s
  wait(milliseconds(15'000));
  job_spec Later = job("later", 1, 1, 1, "small");
  Later.Steps[0].Estimate = milliseconds(60'000);
  submit(Later);
  SECTION("not before that") {
    report("x", 1);
    CHECK(hasStarted("later"));
    CHECK_FALSE(hasStarted("long"));
  }
  SECTION("after it") {
    wait(milliseconds(6'000));
    report("x", 1);
    CHECK(hasStarted("long"));
    CHECK_FALSE(hasStarted("later"));
  }
}

// Guards against labels that grow with what clients or operators name.
TEST_CASE("metrics: waits of more than 32 organisations are counted together") {
  instance_metrics Metrics;
  for (int I = 0; I < 100; ++I)
    Metrics.noteWait("o" + std::to_string(I), 0, milliseconds(10));
  Metrics.noteWait("", 0, milliseconds(10));
  const std::string Text = Metrics.print();
  std::size_t Counts = 0;
  const std::string Name = "galenastage_unit_wait_seconds_count";
  for (auto At = Text.find(Name); At != std::string::npos;
       At = Text.find(Name, At + 1))
    ++Counts;
  CHECK(Counts == 33);
  CHECK(Text.find("organisation=\"other\",priority=\"0\"} 69") !=
        std::string::npos);
}

TEST_CASE_METHOD(reservation_fixture,
                 "metrics: each start of a unit tells how long it has waited") {
  fill();
  wait(milliseconds(1'000));
  report("x", 8);
  report("y", 8);
  const auto Waits = all<note_wait>();
  REQUIRE(Waits.size() == 1);
  CHECK(Waits[0].Organisation == organisation_id("small"));
  CHECK(Waits[0].Priority == 1);
  CHECK(Waits[0].Waited >= milliseconds(1'000));
}
