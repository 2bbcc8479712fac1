#include "tests/support/promises.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::test;

namespace {

const attempt_id First{job_id("job"), 1};
const attempt_id Second{job_id("job"), 2};

instant at(int Milliseconds) { return instant(milliseconds(Milliseconds)); }

worker_report reportOf(const char *Worker, std::vector<task_report> Tasks) {
  return {worker_id(Worker), data_centre_id("dc-a"), rack_id("rack"), 8, 1,
          std::move(Tasks)};
}

task_report running(const attempt_id &Attempt, int Accelerators = 4) {
  return {Attempt, task_state::Running, 1, Accelerators, milliseconds(0)};
}

tables tablesOf(std::uint64_t Version, bool IsInService) {
  tables Tables;
  Tables.Version = Version;
  Tables.DataCentres.push_back({data_centre_id("dc-a"), "north", IsInService});
  return Tables;
}

job_record recordOf(job_phase Phase, verdict Verdict) {
  job_record Record;
  Record.Spec.Id = job_id("job");
  Record.Phase = Phase;
  Record.Verdict = Verdict;
  return Record;
}

/// Checks the promises for a non-idempotent job of two tasks.
struct promise_fixture {
  promises Promises{promise_bounds{}};

  promise_fixture() {
    job_spec Spec;
    Spec.Id = job_id("job");
    Spec.Tasks = 2;
    Spec.IsIdempotent = false;
    Promises.seeSubmitted(Spec);
    Promises.seeAccepted(Spec.Id);
    for (const char *Worker : {"one", "two", "three"})
      for (const attempt_id &Attempt : {First, Second})
        Promises.seeRenewal(at(0), worker_id(Worker), Attempt);
  }

  bool breaksOnly(promise Promise) const {
    return Promises.broken().size() == 1 && Promises.broken().contains(Promise);
  }
};

} // namespace

TEST_CASE_METHOD(promise_fixture,
                 "a whole gang within its lease breaks nothing") {
  Promises.seeWorker(at(0), reportOf("one", {running(First)}));
  Promises.seeWorker(at(5), reportOf("two", {running(First)}));
  Promises.check(at(5));
  Promises.check(at(20'000));
  CHECK(Promises.broken().empty());
}

TEST_CASE_METHOD(promise_fixture, "a gang that stays partial is detected") {
  Promises.seeWorker(at(0), reportOf("one", {running(First)}));
  Promises.check(at(0));
  Promises.check(at(14'000));
  CHECK(Promises.broken().empty());
  Promises.check(at(14'001));
  CHECK(breaksOnly(promise::GangWhole));
}

TEST_CASE_METHOD(promise_fixture, "a start after a departure is detected") {
  Promises.seeTables(at(0), tablesOf(1, false));
  Promises.seeWorker(at(5'000), reportOf("one", {running(First)}));
  CHECK(Promises.broken().empty());
  Promises.seeWorker(at(5'001), reportOf("two", {running(First)}));
  CHECK(breaksOnly(promise::NoLateStart));
}

TEST_CASE_METHOD(promise_fixture,
                 "work that ran despite a not-run verdict is detected") {
  SECTION("told before") {
    Promises.seeRecord(recordOf(job_phase::Cancelled, verdict::NotRun));
    Promises.seeWorker(at(1), reportOf("one", {running(First)}));
  }
  SECTION("told after") {
    Promises.seeWorker(at(1), reportOf("one", {running(First)}));
    Promises.seeRecord(recordOf(job_phase::Cancelled, verdict::NotRun));
  }
  CHECK(breaksOnly(promise::NotRunIsTrue));
}

TEST_CASE_METHOD(promise_fixture,
                 "a second start of a non-idempotent job is detected") {
  Promises.seeWorker(at(0), reportOf("one", {running(First)}));
  Promises.seeWorker(at(0), reportOf("two", {running(First)}));
  CHECK(Promises.broken().empty());
  Promises.seeWorker(at(0), reportOf("three", {running(Second)}));
  CHECK(breaksOnly(promise::AtMostOnce));
}

TEST_CASE_METHOD(promise_fixture, "a lost job is detected") {
  Promises.checkEnd({}, {});
  CHECK(breaksOnly(promise::NeverLost));
}

TEST_CASE_METHOD(promise_fixture, "a job that never ends is detected") {
  job_record Record = recordOf(job_phase::Waiting, verdict::NotRun);
  Record.DataCentre = data_centre_id("dc-a");
  Promises.checkEnd({Record}, {{job_id("job"), data_centre_id("dc-a")}});
  CHECK(breaksOnly(promise::NeverLost));
}

TEST_CASE_METHOD(promise_fixture,
                 "a version that falls or stays behind is detected") {
  SECTION("in the store") {
    Promises.seeTables(at(0), tablesOf(2, true));
    Promises.seeTables(at(0), tablesOf(1, true));
  }
  SECTION("in a process") {
    Promises.seeVersionInForce("scheduler", 2);
    Promises.seeVersionInForce("scheduler", 1);
  }
  CHECK(breaksOnly(promise::NeverReverts));
}

TEST_CASE_METHOD(promise_fixture, "a task beyond its lease is detected") {
  Promises.seeWorker(at(6'100), reportOf("one", {running(First)}));
  CHECK(Promises.broken().empty());
  Promises.seeWorker(at(6'101), reportOf("one", {running(First)}));
  CHECK(breaksOnly(promise::LeaseHolds));
}

TEST_CASE_METHOD(promise_fixture, "more tasks than accelerators are detected") {
  Promises.seeWorker(at(0), reportOf("one", {running(First, 9)}));
  CHECK(breaksOnly(promise::NoOverAllocation));
}
