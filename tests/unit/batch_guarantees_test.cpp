// Guaranteed work takes back capacity from urgent work beyond the guarantee of
// its organisation.

#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

struct guarantees_fixture : test::scheduler_fixture {
  guarantees_fixture() {
    guarantee({{"small", 4}, {"none", 0}, {"other", 4}, {"more", 0}});
  }

  /// Applies a configuration with these guarantees only.
  void guarantee(const std::vector<std::pair<std::string, int>> &Guarantees) {
    deployment_config Config = State.Config;
    ++Config.Version;
    Config.Organisations.clear();
    for (const auto &[Name, Accelerators] : Guarantees)
      Config.Organisations.push_back(
          {organisation_id(Name), {"key-" + Name}, Accelerators});
    post(configuration_changed{Config});
    check();
  }
  void check() { CHECK(explainStaleIndex(State, Now) == ""); }

  static job_spec gang(const std::string &Id, int Count,
                       const std::string &Organisation) {
    job_spec Job = job(Id, 0, Count, 1, Organisation);
    Job.Steps[0].IsGang = true;
    return Job;
  }
  /// Starts a job later than those before it.
  std::vector<start_run> runLater(job_spec Job) {
    Now += milliseconds(500);
    Wall += milliseconds(500);
    auto Starts = run(std::move(Job));
    check();
    return Starts;
  }
  /// Number of the last event's stops by job.
  [[nodiscard]] std::map<std::string, int> stops() const {
    std::map<std::string, int> Count;
    for (const stop_run &Stop : all<stop_run>())
      ++Count[Stop.Run.Task.Job.Value];
    return Count;
  }
  /// All runs that are stopping end.
  void endStopped(const std::string &Id) {
    std::vector<active_run> Active;
    std::vector<ended_run> Ended;
    for (const auto &[Name, Run] : State.Executors.at(executor_id(Id)).Runs) {
      if (Run.Phase == run_phase::Stopping)
        Ended.push_back(end(Name, run_end::Stopped));
      else if (Run.Phase == run_phase::Active)
        Active.push_back({Name, "", 10});
    }
    answer(Id, Active, Ended);
    check();
  }
  using counts = std::map<std::string, int>;
};

} // namespace

// Guards against a service that urgent work without a guarantee keeps full.
TEST_CASE_METHOD(guarantees_fixture,
                 "guarantees: a guaranteed gang takes the place of urgent work "
                 "beyond another guarantee") {
  settle({"x"});
  run(job("beyond", 0, 8, 1, "none"));
  check();
  submit(gang("g", 4, "small"));
  CHECK(stops() == counts{{"beyond", 4}});
  check();
  endStopped("x");
  const auto Starts = save();
  REQUIRE(Starts.size() == 4);
  CHECK(Starts[0].Run.Task.Job == job_id("g"));
  check();
}

TEST_CASE_METHOD(guarantees_fixture,
                 "guarantees: urgent work within a guarantee isn't stopped for "
                 "another one") {
  settle({"x"});
  run(job("covered", 0, 4, 1, "small"));
  runLater(job("beyond", 0, 4, 1, "none"));
  submit(gang("g", 4, "other"));
  CHECK(stops() == counts{{"beyond", 4}});
  check();
}

// Guarantees that add up to more than the service has.
TEST_CASE_METHOD(guarantees_fixture,
                 "guarantees: a guarantee larger than what is left waits") {
  guarantee({{"small", 8}, {"other", 8}});
  settle({"x"});
  run(job("covered", 0, 8, 1, "small"));
  submit(gang("g", 4, "other"));
  CHECK(stops().empty());
  pass(milliseconds(500));
  CHECK(stops().empty());
  check();
}

TEST_CASE_METHOD(guarantees_fixture,
                 "guarantees: work of lower priority is stopped first") {
  settle({"x"});
  run(job("beyond", 0, 4, 1, "none"));
  // More work to lose than the urgent runs have.
  runLater(job("patient", 2, 4, 1, "none"));
  pass(milliseconds(4'000));
  submit(gang("g", 4, "small"));
  CHECK(stops() == counts{{"patient", 4}});
}

TEST_CASE_METHOD(guarantees_fixture,
                 "guarantees: the organisation furthest beyond its guarantee "
                 "is stopped first") {
  settle({"x"});
  // The latest runs are of the one that is less far beyond.
  run(job("far", 0, 5, 1, "none"));
  runLater(job("near", 0, 3, 1, "more"));
  submit(gang("g", 3, "small"));
  CHECK(stops() == counts{{"far", 3}});
}

TEST_CASE_METHOD(guarantees_fixture,
                 "guarantees: the latest runs beyond a guarantee are stopped "
                 "first") {
  settle({"x"});
  run(job("first", 0, 4, 1, "none"));
  runLater(job("second", 0, 4, 1, "none"));
  submit(gang("g", 4, "small"));
  CHECK(stops() == counts{{"second", 4}});
}

// Guards against half a gang beyond a guarantee.
TEST_CASE_METHOD(guarantees_fixture,
                 "guarantees: a gang that exceeds the guarantee is beyond it "
                 "as a whole, and smaller work after it is not") {
  settle({"x"});
  run(gang("covered", 2, "small"));
  runLater(gang("wide", 4, "small"));
  runLater(gang("after", 2, "small"));
  submit(gang("g", 2, "other"));
  CHECK(stops() == counts{{"wide", 4}});
  check();
}

TEST_CASE_METHOD(guarantees_fixture,
                 "guarantees: what was beyond is within when earlier urgent "
                 "work has ended") {
  settle({"x"});
  const auto Starts = run(gang("covered", 4, "small"));
  runLater(gang("wide", 4, "small"));
  std::vector<active_run> Active;
  std::vector<ended_run> Ended;
  for (const auto &[Name, Run] : State.Executors.at(executor_id("x")).Runs)
    if (Name.Task.Job == job_id("covered"))
      Ended.push_back(end(Name, run_end::Done));
    else
      Active.push_back({Name, "", 10});
  answer("x", Active, Ended);
  save();
  check();
  run(job("patient", 2, 4, 1, "none"));
  submit(gang("g", 4, "other"));
  CHECK(stops() == counts{{"patient", 4}});
  check();
}

TEST_CASE_METHOD(guarantees_fixture,
                 "guarantees: long-running urgent work isn't stopped") {
  settle({"x"});
  job_spec Service = job("service", 0, 8, 1, "none");
  Service.Steps[0].IsLongRunning = true;
  run(Service);
  submit(gang("g", 4, "small"));
  CHECK(stops().empty());
}

TEST_CASE_METHOD(guarantees_fixture,
                 "guarantees: a changed guarantee counts from the "
                 "configuration on") {
  settle({"x"});
  run(job("a", 0, 4, 1, "small"));
  runLater(job("b", 0, 4, 1, "other"));
  SECTION("lowered") {
    guarantee({{"small", 1}, {"other", 4}, {"third", 2}});
    submit(gang("g", 2, "third"));
    CHECK(stops() == counts{{"a", 2}});
  }
  SECTION("raised") {
    guarantee({{"small", 0}, {"other", 4}, {"third", 2}});
    guarantee({{"small", 4}, {"other", 4}, {"third", 2}});
    submit(gang("g", 2, "third"));
    CHECK(stops().empty());
  }
  SECTION("moved") {
    guarantee({{"small", 0}, {"other", 4}, {"third", 4}});
    submit(gang("g", 4, "third"));
    CHECK(stops() == counts{{"a", 4}});
  }
  SECTION("removed with the organisation and its keys") {
    guarantee({{"small", 4}, {"third", 4}});
    submit(gang("g", 4, "third"));
    CHECK(stops() == counts{{"b", 4}});
  }
  SECTION("its jobs aren't of priority 0 any more") {
    deployment_config Config = State.Config;
    Config.Queues[0].Priority = 1;
    post(configuration_changed{Config});
    check();
    CHECK(State.UrgentUse.empty());
    CHECK(State.GuaranteedUse.empty());
  }
}

// Guards against capacity that stays reserved for a guarantee that has gone.
TEST_CASE_METHOD(guarantees_fixture,
                 "guarantees: a guarantee that is removed during a reclaim "
                 "ends it") {
  settle({"x"});
  run(job("beyond", 0, 8, 1, "none"));
  submit(gang("g", 4, "small"));
  submit(gang("h", 4, "other"));
  REQUIRE(State.Plans.size() == 2);
  guarantee({{"small", 0}, {"none", 0}, {"other", 4}});
  REQUIRE(State.Plans.size() == 1);
  CHECK(State.Plans.begin()->first.Job == job_id("h"));
  CHECK(State.Executors.at(executor_id("x")).Reserved ==
        resources{4'000, 4'000, 4});
  endStopped("x");
  CHECK(State.Jobs.at(job_id("h")).Runs.size() == 4);
  CHECK(State.Executors.at(executor_id("x")).Reserved == resources{});
}

TEST_CASE_METHOD(guarantees_fixture,
                 "guarantees: a guarantee that stays during a reclaim keeps "
                 "its plan") {
  settle({"x"});
  run(job("beyond", 0, 8, 1, "none"));
  submit(gang("g", 4, "small"));
  guarantee({{"small", 4}, {"none", 2}, {"other", 4}});
  REQUIRE(State.Plans.size() == 1);
  endStopped("x");
  CHECK(save().size() == 4);
}

// Guards against marks that only the leader which started the runs knows.
TEST_CASE_METHOD(guarantees_fixture,
                 "guarantees: the next leader reclaims from urgent runs that "
                 "an earlier one has started, by its own configuration") {
  settle({"x"});
  const auto Starts = run(job("beyond", 0, 8, 1, "none"));
  const job_spec Spec = State.Jobs.at(job_id("beyond")).Spec;
  const job_progress Progress = State.Jobs.at(job_id("beyond")).Progress;
  submit(gang("g", 4, "small"));
  const job_spec Waiting = State.Jobs.at(job_id("g")).Spec;
  REQUIRE(State.Plans.size() == 1);
  post(leadership_gained{Token + 1, Now + milliseconds(1'000'000)});
  check();
  CHECK(State.UrgentUse.empty());
  post(job_found{Spec, Progress});
  check();
  SECTION("the guarantee has been given to another one meanwhile") {
    guarantee({{"none", 8}, {"small", 4}});
    post(job_found{Waiting, {}});
    post(recovery_finished{});
    endStopped("x");
    CHECK(stops().empty());
  }
  SECTION("the guarantee is as before") {
    post(job_found{Waiting, {}});
    post(recovery_finished{});
    std::vector<active_run> Active;
    for (const start_run &Start : Starts)
      Active.push_back({Start.Run, "", 10});
    answer("x", Active);
    CHECK(stops() == counts{{"beyond", 4}});
    check();
  }
}
