// Executors that start again under their id, also as another kind.

#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

struct lives_fixture : test::scheduler_fixture {
  /// An entry of the executor x.
  static executor_report entry(std::int64_t Life, const std::string &Kind) {
    executor_report Report = report("x");
    Report.Incarnation = Life;
    Report.Kind = Kind;
    return Report;
  }
  /// The executor x answers a hold in a life.
  void answerIn(std::int64_t Life, std::vector<active_run> Active = {}) {
    Now += milliseconds(20);
    post(runs_reported{executor_id("x"),
                       Life,
                       Now.time_since_epoch().count(),
                       Now,
                       std::move(Active),
                       {}});
  }
  /// A job of one task that needs the label.
  static job_spec jobFor(const std::string &Id, const std::string &Label) {
    job_spec Job = job(Id, 1, 1, 1);
    Job.Steps[0].Requirement = Label;
    return Job;
  }
  /// Whether a job for the label starts now. It is cancelled if not.
  bool starts(const std::string &Label) {
    const std::string Id = "job" + std::to_string(++Jobs);
    const auto Starts = run(jobFor(Id, Label));
    if (Starts.empty()) {
      post(cancel_requested{job_id(Id)});
      save();
    }
    return !Starts.empty();
  }
  /// Lists x, which has answered a hold in its first life.
  void settleFirst(std::int64_t Life, const std::string &Kind) {
    post(recovery_finished{});
    list({entry(Life, Kind)});
    answerIn(Life);
  }
  int Jobs = 0;
};

} // namespace

// Guards against a start by the labels of the life before: a hold tells of the
// new life earlier than the list.
TEST_CASE_METHOD(lives_fixture,
                 "lives: nothing starts on a restarted executor before the "
                 "list shows the life that answered") {
  settleFirst(5, "big");
  answerIn(6);
  CHECK_FALSE(starts("big"));
  CHECK_FALSE(starts(""));
  list({entry(5, "big")}); // read before the executor wrote its entry
  answerIn(6);
  CHECK_FALSE(starts("big"));
  list({entry(6, "small")});
  CHECK_FALSE(starts("big"));
  CHECK(starts("small"));
}

// Guards against a restart that is counted twice.
TEST_CASE_METHOD(lives_fixture,
                 "lives: an older list is no restart, and runs of the new life "
                 "stay") {
  settleFirst(5, "big");
  answerIn(6);
  answerIn(6);
  list({entry(6, "big")});
  REQUIRE(starts("big"));
  const run_name Run = State.Executors.at(executor_id("x")).Runs.begin()->first;
  answerIn(6, {{Run, "", 10}});
  list({entry(5, "big")});
  CHECK(State.Executors.at(executor_id("x")).Runs.contains(Run));
  CHECK_FALSE(starts("big"));
  list({entry(6, "big")});
  CHECK(starts("big"));
}

// Guards against an executor that stays closed: its clock went back, so that
// its new life has the lower number, and without runs it is not held.
TEST_CASE_METHOD(lives_fixture,
                 "lives: an idle executor is held when the list shows another "
                 "life, also one with a lower number") {
  settleFirst(5, "big");
  pass(milliseconds(100));
  list({entry(3, "small")});
  CHECK(all<hold_executor>().size() == 1);
  CHECK_FALSE(starts("big"));
  CHECK_FALSE(starts("small"));
  answerIn(3);
  answerIn(3);
  CHECK(starts("small"));
  CHECK_FALSE(starts("big"));
}

// Guards against holds without a pause while the list lags.
TEST_CASE_METHOD(lives_fixture,
                 "lives: while the list lags, each list leads to one hold") {
  settleFirst(5, "big");
  answerIn(6);
  answerIn(6);
  int Holds = 0;
  for (int I = 0; I < 7; ++I) {
    list({entry(5, "big")});
    for (int Step = 0; Step < 7; ++Step) {
      Holds += static_cast<int>(all<hold_executor>().size());
      if (!all<hold_executor>().empty())
        answerIn(6);
      else
        pass(milliseconds(100));
    }
  }
  CHECK(Holds <= 7);
}

// Guards against a late answer of the life before that reopens the executor.
TEST_CASE_METHOD(lives_fixture,
                 "lives: after the list has shown a new life, an answer of the "
                 "one before opens nothing") {
  settleFirst(5, "big");
  list({entry(6, "small")});
  answerIn(5);
  CHECK_FALSE(starts("small"));
  CHECK_FALSE(starts("big"));
  list({entry(6, "small")});
  answerIn(6);
  CHECK(starts("small"));
}

// An entry that names no life can't be compared: it counts once one of the life
// before would be gone.
TEST_CASE_METHOD(lives_fixture,
                 "lives: an entry without a life opens an executor, after a "
                 "restart some seconds later") {
  settleFirst(0, "big");
  answerIn(5);
  CHECK(starts("big"));
  answerIn(6);
  answerIn(6);
  CHECK_FALSE(starts("big"));
  for (int I = 0; I < 6; ++I) {
    pass(milliseconds(1'000));
    list({entry(0, "big")});
    answerIn(6);
  }
  CHECK(starts("big"));
}

// Guards against a start by an entry that changed while it was recorded.
TEST_CASE_METHOD(lives_fixture,
                 "lives: a recorded start is withdrawn if the entry has lost "
                 "the label since") {
  settleFirst(0, "big");
  answerIn(5);
  submit(jobFor("a", "big"));
  list({entry(0, "small")});
  CHECK(save().empty());
}

// Guards against a new machine that is shunned for what another one did under
// its id.
TEST_CASE_METHOD(
    lives_fixture,
    "lives: a quarantine ends with its machine, not with a restart "
    "of it") {
  settleFirst(5, "big");
  executor_state &Executor = State.Executors.at(executor_id("x"));
  Executor.Health.IsQuarantined = true;
  Executor.Health.ProbeAt = Now + milliseconds(60'000);
  const bool IsOther = GENERATE(false, true);
  list({entry(6, IsOther ? "small" : "big")});
  CHECK(State.Executors.at(executor_id("x")).Health.IsQuarantined == !IsOther);
}
