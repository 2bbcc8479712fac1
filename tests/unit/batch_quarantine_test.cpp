// Executors on which different jobs failed, and how they come back.

#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

struct quarantine_fixture : test::scheduler_fixture {
  const executor_id X{"x"};
  run_name Lasting; // on x, since before the failures
  std::vector<active_run> Active;

  executor_state &x() { return State.Executors.at(X); }
  milliseconds firstDelay() const {
    return State.Settings.Quarantine.FirstDelay;
  }

  static job_spec lasting(const std::string &Id) {
    job_spec Job = job(Id, 1, 1, 1);
    Job.Steps[0].IsLongRunning = true;
    return Job;
  }
  void accept(const start_run &Start) {
    post(start_answered{X, Start.Run, order_outcome::Accepted, ""});
    Active.push_back({Start.Run, "", 100});
    answer("x", Active);
  }
  void fail(const start_run &Start) {
    post(start_answered{X, Start.Run, order_outcome::Accepted, ""});
    answer("x", Active, {end(Start.Run, run_end::Failed)});
    saveAll();
  }
  /// Two jobs of one task each fail on x, beside the task that lasts.
  void quarantine() {
    settle({"x"});
    const start_run Start = run(lasting("old")).at(0);
    Lasting = Start.Run;
    Active.push_back({Lasting, "", 100});
    answer("x", Active);
    submit(job("a", 1, 1, 1));
    const start_run First = saveAll().at(0);
    submit(job("b", 1, 1, 1));
    const start_run Second = saveAll().at(0);
    fail(First);
    fail(Second);
    REQUIRE(x().Health.IsQuarantined);
  }
  /// The starts within the time, of which none is answered; x goes on.
  std::vector<start_run> startsWithin(milliseconds Time) {
    std::vector<start_run> Starts;
    const instant Until = Now + Time;
    while (Now < Until) {
      answer("x", Active);
      pass(milliseconds(80));
      std::ranges::move(saveAll(), std::back_inserter(Starts));
    }
    return Starts;
  }
};

} // namespace

// Guards against an executor that stays closed for as long as a lasting task
// runs there: a probe needed an empty executor (review, case 15).
TEST_CASE_METHOD(quarantine_fixture,
                 "quarantine: an executor is probed beside a task that lasts") {
  quarantine();
  CHECK(startsWithin(firstDelay() - milliseconds(500)).empty());
  const auto Probe = startsWithin(milliseconds(1'000));
  REQUIRE(Probe.size() == 1); // of the two that wait
  SECTION("it ends well") {
    post(start_answered{X, Probe[0].Run, order_outcome::Accepted, ""});
    answer("x", Active, {end(Probe[0].Run, run_end::Done)});
    CHECK_FALSE(x().Health.IsQuarantined);
    CHECK(startsWithin(milliseconds(500)).size() == 1);
  }
  SECTION("it fails") {
    fail(Probe[0]);
    CHECK(x().Health.Delay == 2 * firstDelay());
    CHECK(startsWithin(2 * firstDelay() - milliseconds(500)).empty());
    CHECK(startsWithin(milliseconds(1'000)).size() == 1);
  }
}

// Guards against the same where the probe itself has no end.
TEST_CASE_METHOD(quarantine_fixture,
                 "quarantine: a probe that lasts opens its executor once it "
                 "has run for a while") {
  quarantine();
  post(cancel_requested{job_id("a")});
  post(cancel_requested{job_id("b")});
  submit(lasting("c"));
  const auto Probe = startsWithin(firstDelay() + milliseconds(500));
  REQUIRE(Probe.size() == 1);
  accept(Probe[0]);
  submit(job("d", 1, 1, 1));
  const milliseconds Time = State.Settings.ProbeTime;
  CHECK(startsWithin(Time - milliseconds(700)).empty());
  CHECK(startsWithin(milliseconds(1'000)).size() == 1);
  CHECK_FALSE(x().Health.IsQuarantined);
}
