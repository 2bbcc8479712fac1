#include "apps/instance/speed_record.hpp"
#include "core/job/batch/scheduler_internal.hpp"
#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

#include <cmath>

using namespace galenastage;
using namespace galenastage::batch;
using namespace galenastage::batch::test;

namespace {

const speed_settings Settings;

log_estimate unknownExecutor() {
  return {0, Settings.SpeedDeviation * Settings.SpeedDeviation};
}
log_estimate unknownStep() {
  return {0, Settings.StepDeviation * Settings.StepDeviation};
}

/// Observes a gang of the members with this pace.
void observeGang(std::vector<log_estimate> &Members, double Pace) {
  log_estimate Step = unknownStep();
  learnPace(Settings, Step, Members, Pace);
}

speed_class classOf(const log_estimate &Estimate) {
  return classify(Settings, Estimate, 0, speed_class::Unknown);
}

} // namespace

// The model

TEST_CASE("speed: tasks of one step tell slow executors from fast ones though "
          "the estimate is wrong") {
  log_estimate Step = unknownStep();
  constexpr double Shorter = 0.4; // logarithm; the work was overestimated
  std::vector<log_estimate> Slow(6, unknownExecutor());
  std::vector<log_estimate> Fast(6, unknownExecutor());
  for (int Round = 0; Round < 2; ++Round)
    for (std::size_t I = 0; I < Slow.size(); ++I) {
      learnPace(Settings, Step, std::span(&Slow[I], 1), Shorter - 0.5);
      learnPace(Settings, Step, std::span(&Fast[I], 1), Shorter + 0.5);
    }
  double Mean = 0;
  for (std::size_t I = 0; I < Slow.size(); ++I)
    Mean += (Slow[I].Mean + Fast[I].Mean) / (2.0 * Slow.size());
  for (const log_estimate &Executor : Slow)
    CHECK(classify(Settings, Executor, Mean, speed_class::Unknown) ==
          speed_class::Slow);
  for (const log_estimate &Executor : Fast)
    CHECK(classify(Settings, Executor, Mean, speed_class::Unknown) ==
          speed_class::Fast);
  CHECK(Step.Mean == Approx(Shorter).margin(0.2));
}

TEST_CASE("speed: members of fast gangs are normal or better after three") {
  std::vector<log_estimate> Members(5, unknownExecutor());
  for (int Gang = 0; Gang < 3; ++Gang)
    observeGang(Members, 0.1);
  for (const log_estimate &Member : Members)
    CHECK((classOf(Member) == speed_class::Normal ||
           classOf(Member) == speed_class::Fast));
}

TEST_CASE("speed: a slow gang doesn't lower members that are known as fast") {
  std::vector<log_estimate> Members(5, {0.5, 0.01});
  Members[2] = unknownExecutor();
  for (int Gang = 0; Gang < 2; ++Gang)
    observeGang(Members, -0.7);
  CHECK(classOf(Members[2]) == speed_class::Slow);
  for (const std::size_t I : {0, 1, 3, 4})
    CHECK(classOf(Members[I]) == speed_class::Fast);
}

TEST_CASE("speed: a slow gang of unknown members doesn't make them all slow") {
  std::vector<log_estimate> Members(5, unknownExecutor());
  observeGang(Members, -0.8);
  for (const log_estimate &Member : Members)
    CHECK(classOf(Member) == speed_class::Unknown);
}

TEST_CASE("speed: one task of seven times the size doesn't make its executor "
          "slow") {
  log_estimate Step{0, 0.01};
  std::vector<log_estimate> Known{{0, 0.02}};
  learnPace(Settings, Step, Known, -std::log(7));
  CHECK(classOf(Known[0]) == speed_class::Normal);
  CHECK(std::abs(Step.Mean) < 0.1);
}

TEST_CASE("speed: an executor that becomes slow and recovers is followed") {
  log_estimate Executor = unknownExecutor();
  speed_class Class = speed_class::Unknown;
  const auto Observe = [&](double Pace, int Tasks) {
    for (int Task = 0; Task < Tasks; ++Task) {
      log_estimate Step{0, 0.02};
      Executor = age(Settings, Executor, milliseconds(2'000));
      learnPace(Settings, Step, std::span(&Executor, 1), Pace);
      Class = classify(Settings, Executor, 0, Class);
    }
  };
  Observe(0, 10);
  CHECK(Class == speed_class::Normal);
  Observe(-0.7, 10);
  CHECK(Class == speed_class::Slow);
  Observe(0, 10);
  CHECK(Class == speed_class::Normal);
}

TEST_CASE("speed: a class doesn't change back and forth at its bound") {
  speed_class Class = speed_class::Unknown;
  int Changes = 0;
  for (int I = 0; I < 20; ++I) {
    const double Log =
        std::log(Settings.SlowBelow) + (I % 2 == 0 ? 0.02 : -0.02);
    const speed_class Next = classify(Settings, {Log, 0.0064}, 0, Class);
    Changes += Next != Class ? 1 : 0;
    Class = Next;
  }
  CHECK(Changes <= 2);
}

TEST_CASE("speed: impossible paces leave finite estimates") {
  for (const double Pace : {-50.0, 50.0}) {
    std::vector<log_estimate> Members(3, unknownExecutor());
    log_estimate Step = unknownStep();
    learnPace(Settings, Step, Members, Pace);
    for (const log_estimate &Member : Members) {
      CHECK(std::abs(Member.Mean) < 2);
      CHECK(Member.Variance > 0);
      CHECK(Member.Variance < 1);
    }
  }
}

// Measuring

TEST_CASE("speed: a run is measured between two reports, once") {
  speed_probe Probe;
  const instant Start{milliseconds(100'000)};
  const auto Report = [&](int Percent, int AfterMs) {
    return measure(Probe, Settings, 1, Percent, false,
                   Start + milliseconds(AfterMs));
  };
  CHECK_FALSE(Report(0, 0));
  CHECK_FALSE(Report(20, 1'000));
  CHECK_FALSE(Report(25, 1'250)); // too little to be precise
  const auto Share = Report(60, 3'000);
  REQUIRE(Share);
  CHECK(*Share == Approx(0.2));
  CHECK_FALSE(Report(90, 4'500));
  CHECK_FALSE(measureEnd(Probe, Settings, 1, Start + milliseconds(5'000)));
}

TEST_CASE("speed: the restore of a checkpoint isn't measured") {
  speed_probe Probe;
  const instant Start{milliseconds(100'000)};
  const auto Report = [&](int Percent, int AfterMs) {
    return measure(Probe, Settings, 2, Percent, true,
                   Start + milliseconds(AfterMs));
  };
  CHECK_FALSE(Report(40, 0));
  CHECK_FALSE(Report(40, 900));
  CHECK_FALSE(Report(50, 1'500));
  const auto Share = Report(70, 2'500);
  REQUIRE(Share);
  CHECK(*Share == Approx(0.2));
}

TEST_CASE(
    "speed: progress that goes back or exceeds the whole isn't measured") {
  for (const int False : {10, 120}) {
    speed_probe Probe;
    instant Now{milliseconds(100'000)};
    for (const int Percent : {30, False, 60, 90}) {
      CHECK_FALSE(measure(Probe, Settings, 1, Percent, false, Now));
      Now += milliseconds(200);
    }
    CHECK_FALSE(measureEnd(Probe, Settings, 1, Now + milliseconds(1'000)));
  }
}

// The scheduler

namespace {

constexpr int Slowest = 0; // of the executors below: every third is slow
constexpr int Wide = 24;

/// Executors that have run a wide step; the pace of every third is half of the
/// others'. Tasks don't wait and have slack.
struct uneven_fixture : scheduler_fixture {
  uneven_fixture() {
    std::vector<std::string> Ids;
    for (int I = 0; I < Wide; ++I)
      Ids.push_back(id(I));
    settle(Ids);
    for (int Round = 0; Round < 3; ++Round)
      observe("wide" + std::to_string(Round));
  }
  static std::string id(int Number) {
    return "x" + std::to_string(100 + Number);
  }
  static bool isSlow(const executor_id &Id) {
    return std::stoi(Id.Value.substr(1)) % 3 == Slowest + 1;
  }
  static job_spec patient(const std::string &Id, int Tasks) {
    job_spec Job = job(Id, 2, Tasks, 8, "none");
    Job.Steps[0].Estimate = milliseconds(8'000);
    return Job;
  }
  /// Runs a task on each executor; reports at 20% and at 60%, then its end.
  void observe(const std::string &Job) {
    const auto Starts = run(patient(Job, Wide));
    REQUIRE(Starts.size() == Wide);
    for (const int Tenths : {2, 6}) {
      pass(milliseconds(1'000));
      for (const start_run &Start : Starts)
        answer(Start.To.Id.Value,
               {{Start.Run, "",
                 10 * (isSlow(Start.To.Id) ? Tenths / 2 : Tenths)}});
    }
    std::map<std::string, std::int64_t> Numbers;
    for (const start_run &Start : Starts)
      answer(Start.To.Id.Value, {},
             {{++EndsOf[Start.To.Id.Value], Start.Run, run_end::Done, ""}});
    while (!State.Saving.empty())
      post(progress_saved{true});
    pass(milliseconds(500));
  }
  std::map<std::string, std::int64_t> EndsOf;
};

} // namespace

TEST_CASE("speed: slow executors are told from the others by a wide step") {
  uneven_fixture Fixture;
  for (const auto &[Id, Executor] : Fixture.State.Executors) {
    CAPTURE(Id.Value);
    CHECK((Executor.Speed == speed_class::Slow) == Fixture.isSlow(Id));
    CHECK(Executor.Speed != speed_class::Unknown);
  }
  CHECK(explainStaleIndex(Fixture.State, Fixture.Now) == "");
}

TEST_CASE("speed: an urgent gang avoids slow executors though their racks are "
          "fuller") {
  uneven_fixture Fixture;
  job_spec Gang = Fixture.job("gang", 0, 4, 1);
  Gang.Steps[0].IsGang = true;
  const auto Starts = Fixture.run(Gang);
  REQUIRE(Starts.size() == 4);
  for (const start_run &Start : Starts)
    CHECK_FALSE(Fixture.isSlow(Start.To.Id));
}

TEST_CASE("speed: a gang starts on slow executors rather than wait") {
  uneven_fixture Fixture;
  job_spec Gang = Fixture.job("gang", 0, Wide, 8);
  Gang.Steps[0].IsGang = true;
  CHECK(Fixture.run(Gang).size() == Wide);
}

TEST_CASE("speed: a new term knows no speeds of the earlier one") {
  uneven_fixture Fixture;
  Fixture.post(leadership_gained{scheduler_fixture::Token + 1,
                                 Fixture.Now + milliseconds(1'000'000)});
  CHECK(Fixture.State.Speeds.empty());
  CHECK(explainStaleIndex(Fixture.State, Fixture.Now) == "");
}

TEST_CASE("speed: a restart under the same id keeps the speed, another machine "
          "doesn't") {
  uneven_fixture Fixture;
  const executor_id Id(Fixture.id(2));
  const speed_class Before = Fixture.State.Executors.at(Id).Speed;
  REQUIRE(Before != speed_class::Unknown);
  std::vector<executor_report> Reports;
  for (int I = 0; I < Wide; ++I)
    if (I != 2)
      Reports.push_back(Fixture.report(Fixture.id(I)));
  Fixture.list(Reports); // gone for a moment
  Reports.push_back(Fixture.report(Id.Value));
  Reports.back().Incarnation = 2;
  Fixture.list(Reports);
  CHECK(Fixture.State.Executors.at(Id).Speed == Before);
  Reports.back().Incarnation = 3;
  Reports.back().Capacity.Accelerators = 4;
  Fixture.list(Reports);
  CHECK(Fixture.State.Executors.at(Id).Speed == speed_class::Unknown);
  CHECK(explainStaleIndex(Fixture.State, Fixture.Now) == "");
}

TEST_CASE("speed: disabled, it learns nothing and prefers nothing") {
  uneven_fixture Fixture;
  Fixture.State.Settings.Speeds.IsEnabled = false;
  Fixture.post(leadership_gained{scheduler_fixture::Token + 1,
                                 Fixture.Now + milliseconds(1'000'000)});
  Fixture.post(recovery_finished{});
  for (int I = 0; I < Wide; ++I)
    Fixture.answer(Fixture.id(I));
  Fixture.EndsOf.clear();
  Fixture.observe("disabled");
  CHECK(Fixture.State.Speeds.empty());
}

// A gang that reclaims slow executors would stop others and end late.
TEST_CASE("speed: a reclaim for urgent work leaves out slow executors") {
  uneven_fixture Fixture;
  Fixture.run(Fixture.patient("fill", Wide));
  job_spec Gang = Fixture.job("gang", 0, 4, 1);
  Gang.Steps[0].IsGang = true;
  Fixture.submit(Gang);
  const auto Stops = Fixture.all<stop_run>();
  REQUIRE_FALSE(Stops.empty());
  for (const stop_run &Stop : Stops)
    CHECK_FALSE(Fixture.isSlow(Stop.To.Id));
}

TEST_CASE("speed: a reclaim uses slow executors if there are no others") {
  uneven_fixture Fixture;
  Fixture.run(Fixture.patient("fill", Wide));
  for (int I = 0; I < Wide; ++I)
    if (!Fixture.isSlow(executor_id(Fixture.id(I))))
      Fixture.post(
          hold_failed{executor_id(Fixture.id(I)), 1, hold_failure::NoAnswer});
  job_spec Gang = Fixture.job("gang", 0, 4, 1);
  Gang.Steps[0].IsGang = true;
  Fixture.submit(Gang);
  CHECK_FALSE(Fixture.all<stop_run>().empty());
}

// Durations

namespace {

milliseconds remainingOf(scheduler_fixture &Fixture, const start_run &Start) {
  const detail::event_handler Handler(
      Fixture.State, {Fixture.Now, Fixture.Wall, NoTerm, time_passed{}});
  return Handler.remainingTime(
      Fixture.State.Jobs.at(Start.Run.Task.Job), Start.Run,
      Fixture.State.Executors.at(Start.To.Id).Runs.at(Start.Run));
}

} // namespace

TEST_CASE("speed: the remaining time follows the measured pace") {
  uneven_fixture Fixture;
  const auto Starts = Fixture.run(Fixture.patient("long", 1));
  REQUIRE(Starts.size() == 1);
  const std::string Id = Starts[0].To.Id.Value;
  Fixture.answer(Id, {{Starts[0].Run, "", 10}});
  Fixture.pass(milliseconds(1'980));
  Fixture.answer(Id, {{Starts[0].Run, "", 30}}); // 20% in 2 s
  CHECK(remainingOf(Fixture, Starts[0]) == milliseconds(7'000));
  Fixture.pass(milliseconds(1'000));
  CHECK(remainingOf(Fixture, Starts[0]) == milliseconds(6'000));
}

TEST_CASE("speed: before the first reports the remaining time is that of the "
          "executor's speed") {
  uneven_fixture Fixture;
  const auto Starts = Fixture.run(Fixture.patient("next", Wide));
  milliseconds OnSlow{0};
  milliseconds OnOther{0};
  for (const start_run &Start : Starts)
    (Fixture.isSlow(Start.To.Id) ? OnSlow : OnOther) =
        remainingOf(Fixture, Start);
  CHECK(OnSlow > 1.4 * OnOther);
}

// By the reports, tasks of these jobs take 3.7 s on two thirds of the executors
// and 7.4 s on the others; the estimate is 8 s.
TEST_CASE("speed: the estimates of a queue are corrected by its completed "
          "jobs") {
  uneven_fixture Fixture;
  const log_estimate Learned = Fixture.State.QueuePaces.at(route_id("q2"));
  CHECK(Learned.Mean > 0.2);
  CHECK(Learned.Mean < 0.7);
  Fixture.post(leadership_lost{});
  CHECK(Fixture.State.QueuePaces.empty());
}

// The record in the store

TEST_CASE("speed: a new leader starts with the stored speeds") {
  uneven_fixture Fixture;
  Fixture.pass(milliseconds(10'000));
  const auto Saves = Fixture.all<save_speeds>();
  REQUIRE(Saves.size() == 1);
  CHECK(Saves[0].Token == scheduler_fixture::Token);
  Fixture.pass(milliseconds(10'000));
  CHECK(Fixture.all<save_speeds>().empty()); // nothing new

  Fixture.post(leadership_gained{scheduler_fixture::Token + 1,
                                 Fixture.Now + milliseconds(1'000'000)});
  Fixture.post(speeds_found{parseSpeeds(printSpeeds(Saves[0].Speeds))});
  for (const auto &[Id, Executor] : Fixture.State.Executors) {
    CAPTURE(Id.Value);
    CHECK((Executor.Speed == speed_class::Slow) == Fixture.isSlow(Id));
  }
  CHECK(explainStaleIndex(Fixture.State, Fixture.Now) == "");
}

TEST_CASE("speed: stored speeds that were read for an earlier term are "
          "ignored") {
  uneven_fixture Fixture;
  Fixture.post(leadership_gained{scheduler_fixture::Token + 1,
                                 Fixture.Now + milliseconds(1'000'000)});
  Fixture.postOf(scheduler_fixture::Token, speeds_found{{{executor_id("x100"),
                                                          service_id("s"),
                                                          "k",
                                                          {32'000, 64'000, 8},
                                                          {-0.5, 0.01}}}});
  CHECK(Fixture.State.Speeds.empty());
}

TEST_CASE("speed: a stored speed of another machine isn't used") {
  uneven_fixture Fixture;
  Fixture.post(leadership_gained{scheduler_fixture::Token + 1,
                                 Fixture.Now + milliseconds(1'000'000)});
  Fixture.post(speeds_found{{{executor_id("x100"),
                              service_id("s"),
                              "other",
                              {32'000, 64'000, 8},
                              {-0.5, 0.01}}}});
  CHECK(Fixture.State.Speeds.empty());
}

TEST_CASE("speed: unreadable records and other versions are ignored") {
  const stored_speed Speed{executor_id("x"),
                           service_id("s"),
                           "k",
                           {1'000, 2'000, 8},
                           {0.125, 0.0625}};
  const std::string Record = printSpeeds({Speed});
  CHECK(parseSpeeds(Record) == std::vector{Speed});
  std::string Other = Record;
  Other.replace(Other.find("\"version\":1"), 11, "\"version\":2");
  CHECK(parseSpeeds(Other).empty());
  for (const char *Text : {"", "{", "[]", "{\"version\":1}",
                           R"({"version":1,"machines":[{"service":4}]})"})
    CHECK(parseSpeeds(Text).empty());
  CHECK(parseSpeeds(Record.substr(0, Record.size() / 2)).empty());
}

TEST_CASE("speed: the record of 5,000 executors fits into one item") {
  constexpr std::size_t MostBytes = 1'048'576; // of an item
  const auto Size = [](int Executors) {
    std::vector<stored_speed> Speeds;
    for (int I = 0; I < Executors; ++I)
      Speeds.push_back({executor_id("executor-00000-" + std::to_string(I)),
                        service_id("service"),
                        "kind",
                        {32'000, 65'536, 8},
                        {-0.512, 0.0144}});
    return printSpeeds(Speeds).size();
  };
  const std::size_t Small = Size(350);
  const std::size_t Large = Size(5'000);
  CAPTURE(Small, Large);
  CHECK(Large < MostBytes / 2);
}

// Found by a simulation with reported progress.
TEST_CASE(
    "speed: an executor that left shortly before a change of leader leaves "
    "the index") {
  uneven_fixture Fixture;
  Fixture.list({Fixture.report(Fixture.id(0)), Fixture.report(Fixture.id(1))});
  Fixture.list({Fixture.report(Fixture.id(0))}); // before the next placement
  Fixture.post(leadership_gained{scheduler_fixture::Token + 1,
                                 Fixture.Now + milliseconds(1'000'000)});
  CHECK(explainStaleIndex(Fixture.State, Fixture.Now) == "");
}

TEST_CASE("speed: progress that follows no work leaves even speeds even") {
  uneven_fixture Fixture;
  const auto Starts = Fixture.run(Fixture.patient("stuck", Wide));
  for (int Report = 0; Report < 4; ++Report) {
    Fixture.pass(milliseconds(700));
    for (const start_run &Start : Starts)
      Fixture.answer(Start.To.Id.Value, {{Start.Run, "", 50}});
  }
  for (const auto &[Id, Speed] : Fixture.State.Speeds)
    CHECK(Speed.Observations == 3);
}
