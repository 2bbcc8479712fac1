// How long runs may go on after their executor was lost: calls may have been
// handled by another of its lives than they were for.

#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

const executor_id X("x");
const executor_id Y("y");

struct lease_fixture : test::scheduler_fixture {
  std::int64_t Revision = 100; // of the store
  instant Born{};              // of x's present life
  std::int64_t Life = 1;       // its number

  static executor_report entryOf(std::int64_t Life) {
    executor_report Report = report("x");
    Report.Incarnation = Life;
    return Report;
  }
  void relist() {
    post(executors_listed{{entryOf(Life), report("y")}, Now, ++Revision});
  }
  /// x answers a hold.
  void answerX(std::vector<active_run> Active = {}) {
    Now += milliseconds(20);
    post(runs_reported{X, Life, clockX(), Now, std::move(Active), {}});
  }
  std::int64_t Origin = 0; // of its clock
  [[nodiscard]] std::int64_t clockX() const {
    return Origin + (Now - Born).count();
  }
  void restartX(std::int64_t NewOrigin = 0) {
    ++Life;
    Born = Now;
    Origin = NewOrigin;
  }
  /// Lists x, which has run for a minute, and y.
  void begin() {
    Born = Now - milliseconds(60'000);
    post(recovery_finished{});
    relist();
    answerX();
  }
  /// Submits a job of one task, and returns its start on x.
  start_run startOnX(const std::string &Id) {
    submit(job(Id, 1, 1, 1));
    const auto Starts = save();
    REQUIRE(Starts.size() == 1);
    REQUIRE(Starts[0].To.Id == X);
    return Starts[0];
  }
  /// The answer that x gives to an order.
  [[nodiscard]] answer_source sourceX(const executor_target &To) const {
    return {To.Incarnation, 0, clockX(), Now};
  }
  void acceptX(const start_run &Start) {
    post(start_answered{X, Start.Run, order_outcome::Accepted, "",
                        sourceX(Start.To)});
  }
  /// x is cut off, its entry stays; y is there. Returns how long it takes until
  /// something starts, MaxLease + 20 s at most.
  milliseconds untilNextStart() {
    const instant Cut = Now;
    answer("y");
    const instant Until = Now + State.Settings.MaxLease + milliseconds(20'000);
    while (Now < Until) {
      pass(milliseconds(100));
      for (const hold_executor &Hold : all<hold_executor>())
        if (Hold.To.Id == X)
          post(hold_failed{X, 1, hold_failure::NoAnswer});
      if (!saveAll().empty())
        break;
    }
    return std::chrono::duration_cast<milliseconds>(Now - Cut);
  }
  void loseHold() { post(hold_failed{X, 1, hold_failure::NoAnswer}); }
};

constexpr lease_limits Limits{milliseconds(10'000), milliseconds(13'000)};
const instant At{milliseconds(1'000'000)};

} // namespace

TEST_CASE("leases: a call of the life that was meant counts as it asked") {
  const lease_account Account =
      addLease({}, Limits, At, milliseconds(8'000), milliseconds(0));
  CHECK(leasesEnd(Account, Limits) == At + milliseconds(8'160) + LeaseMargin);
  const lease_account Old =
      addLease({}, Limits, At, milliseconds(8'000), milliseconds(20'000));
  CHECK(leasesEnd(Old, Limits) == At + milliseconds(8'560) + LeaseMargin);
  const lease_account Capped =
      addLease({}, Limits, At, milliseconds(60'000), milliseconds(0));
  CHECK(leasesEnd(Capped, Limits) == longestLeaseFrom(At, Limits));
}

// Guards against a bound that ends before a lease that another life gave.
TEST_CASE("leases: a call that another life handled counts from its arrival "
          "with the executor's limit") {
  const lease_account Account = addLongestLease({}, Limits, At);
  CHECK(leasesEnd(Account, Limits) == At + milliseconds(10'200) + LeaseMargin);
}

TEST_CASE("leases: calls without an answer count until the new life rejects "
          "them") {
  const instant Sent = At - milliseconds(2'000);
  const lease_account Lost = addUnanswered({}, Sent);
  CHECK(leasesEnd(Lost, Limits) == instant{}); // no later life is known
  const lease_account Open = expectLateCalls(Lost, Limits, {});
  CHECK(leasesEnd(Open, Limits) ==
        longestLeaseFrom(Sent + Limits.LateCalls, Limits));
  const lease_account Closed = closeLateCalls(Open, Limits, At);
  CHECK(leasesEnd(Closed, Limits) == longestLeaseFrom(At, Limits));
  const instant Again = At + milliseconds(3'000); // in the next life
  const lease_account Reopened =
      closeLateCalls(expectLateCalls(Closed, Limits, {}), Limits, Again);
  CHECK(leasesEnd(Reopened, Limits) == longestLeaseFrom(Again, Limits));
  const lease_account Late =
      closeLateCalls(Open, Limits, At + milliseconds(60'000));
  CHECK(leasesEnd(Late, Limits) == leasesEnd(Open, Limits));
  const lease_account Inherited =
      closeLateCalls(expectLateCalls({}, Limits, Sent), Limits, At);
  CHECK(leasesEnd(Inherited, Limits) == longestLeaseFrom(At, Limits));
  const lease_account Certain = closeLateCalls({}, Limits, At);
  CHECK(Certain == lease_account{});
}

// Guards against two runs of a task: the executor restarts, takes a start that
// was for its life before, and is cut off. Its clock began anew, so that the
// lease is as long as the executor allows.
TEST_CASE_METHOD(lease_fixture,
                 "leases: a run that the next life began isn't given up before "
                 "the executor's limit") {
  const std::int64_t NewOrigin = GENERATE(0, 30'000, 8'000'000);
  CAPTURE(NewOrigin);
  begin();
  const start_run Start = startOnX("a");
  restartX(NewOrigin);
  Now += milliseconds(600);
  const instant Handled = Now;
  acceptX(Start);
  loseHold();
  untilNextStart();
  CHECK(Now >= Handled + State.Settings.MaxLease);
  CHECK(Now < Handled + State.Settings.MaxLease + milliseconds(15'000));
}

// Guards against the same where the new life is known and the run was started
// in it: a hold for the life before had given it a longer lease.
TEST_CASE_METHOD(lease_fixture,
                 "leases: a run in a new life isn't given up before the lease "
                 "that a call for the life before may have given") {
  begin();
  const start_run Before = startOnX("a");
  acceptX(Before);
  answerX({{Before.Run, "", 10}});
  loseHold();
  restartX();
  Now += milliseconds(600);
  answerX(); // tells of the life
  relist();
  pass(milliseconds(100));
  answerX(); // to a hold with the later token
  const instant Closed = Now;
  post(cancel_requested{job_id("a")});
  saveAll();
  const start_run Start = startOnX("b");
  acceptX(Start);
  loseHold();
  untilNextStart();
  CHECK(Now >= Closed + State.Settings.MaxLease);
  CHECK(Now < Closed + State.Settings.MaxLease + milliseconds(1'000));
}

// Guards against a call that is taken for closed in all lives: the next one has
// seen no token, and the late call gives it the executor's limit.
TEST_CASE_METHOD(lease_fixture,
                 "leases: a call without an answer counts in each new life") {
  begin();
  const start_run First = startOnX("a");
  acceptX(First);
  answerX({{First.Run, "", 10}});
  loseHold();
  for (int Restart = 0; Restart < 2; ++Restart) {
    restartX(30'000);
    Now += milliseconds(2'000);
    answerX(); // tells of the life
    relist();
    pass(milliseconds(100));
    answerX(); // to a hold with the later token
  }
  const instant Opened = Now;
  post(cancel_requested{job_id("a")});
  saveAll();
  Now += milliseconds(50);
  const start_run Start = startOnX("b");
  post(start_answered{X,
                      Start.Run,
                      order_outcome::Accepted,
                      "",
                      {Start.To.Incarnation, Life, clockX(), Now}});
  loseHold();
  untilNextStart();
  CHECK(Now >= Opened + State.Settings.MaxLease);
}

TEST_CASE_METHOD(lease_fixture,
                 "leases: a run in a life that is certain is given up by the "
                 "lease that was asked for") {
  begin();
  Now += milliseconds(3'000); // earlier leaders' leases end before this one
  answerX();
  const start_run Start = startOnX("a");
  acceptX(Start);
  answerX({{Start.Run, "", 10}});
  loseHold();
  const milliseconds Waited = untilNextStart();
  CHECK(Waited >= State.Settings.Lease);
  CHECK(Waited < State.Settings.Lease + milliseconds(700));
}

// Guards against calls of before that a new life carries out beside the work
// that it was given.
TEST_CASE_METHOD(lease_fixture,
                 "leases: a new life gets no start and no lease before it has "
                 "answered a later token") {
  begin();
  const start_run Before = startOnX("a");
  REQUIRE(Before.To.Token == Token);
  loseHold();
  restartX();
  Now += milliseconds(600);
  submit(job("b", 1, 1, 1));
  CHECK(saveAll().empty());
  answerX(); // to a hold with the earlier token
  CHECK(saveAll().empty());
  relist();
  CHECK(saveAll().empty());
  pass(milliseconds(100));
  const auto Holds = all<hold_executor>();
  REQUIRE(Holds.size() == 1);
  CHECK(Holds[0].To.Term == Token);
  CHECK(Holds[0].To.Token > Token);
  CHECK(Holds[0].To.Token <= static_cast<std::uint64_t>(Revision));
  CHECK_FALSE(Holds[0].LeaseEndMs);
  answerX();
  pass(milliseconds(100));
  const auto Starts = saveAll();
  REQUIRE_FALSE(Starts.empty());
  CHECK(Starts[0].To.Token == Holds[0].To.Token);
}

// Guards against an executor that rejects all calls of its leader: it was
// forgotten with its entry, and its token with it.
TEST_CASE_METHOD(lease_fixture,
                 "leases: an executor that comes back after it was forgotten "
                 "gets no lower token") {
  begin();
  const start_run Before = startOnX("a");
  post(cancel_requested{job_id("a")});
  saveAll();
  loseHold();
  restartX();
  answerX();
  relist();
  pass(milliseconds(100));
  const auto Holds = all<hold_executor>();
  REQUIRE(Holds.size() == 1);
  REQUIRE(Holds[0].To.Token > Before.To.Token);
  answerX();
  Now += State.Settings.LateStarts + State.Settings.MaxLease;
  answerX(); // the start of before can't arrive any more
  pass(milliseconds(100));
  post(executors_listed{{report("y")}, Now, ++Revision});
  REQUIRE_FALSE(State.Executors.contains(X));
  restartX();
  relist();
  for (const hold_executor &Hold : all<hold_executor>())
    if (Hold.To.Id == X)
      CHECK(Hold.To.Token >= Holds[0].To.Token);
  answerX();
  CHECK(State.Executors.at(X).HasAnsweredHold);
}

// Guards against a second start that waits for the answer to a stop, which the
// executor may never get. Before LateStarts a life after this one may begin it.
TEST_CASE_METHOD(lease_fixture,
                 "leases: a start that a later token has closed is given up "
                 "once it can't arrive") {
  begin();
  const instant Ordered = Now;
  const start_run Start = startOnX("a");
  post(start_answered{X, Start.Run, order_outcome::Unknown, ""});
  loseHold();
  restartX();
  Now += milliseconds(600);
  answerX();
  relist();
  CHECK(State.Executors.at(X).Runs.contains(Start.Run));
  pass(milliseconds(100));
  answerX();
  CHECK(State.Executors.at(X).Runs.contains(Start.Run));
  CHECK(saveAll().empty());
  Now = Ordered + State.Settings.LateStarts;
  answerX();
  CHECK_FALSE(State.Executors.at(X).Runs.contains(Start.Run));
  CHECK(all<stop_run>().empty());
  CHECK(saveAll().size() == 1);
}

// Guards against a start that counts as closed in a life that never heard of
// the stop.
TEST_CASE_METHOD(lease_fixture,
                 "leases: a stop that another life answered closes nothing") {
  begin();
  job_spec Lasting = job("a", 1, 1, 1);
  Lasting.Steps[0].IsLongRunning = true;
  submit(Lasting);
  const start_run Start = save().at(0);
  post(start_answered{X, Start.Run, order_outcome::Unknown, ""});
  answerX();
  REQUIRE(all<stop_run>().size() == 1);
  const stop_run Stop = all<stop_run>().front();
  restartX(GENERATE(0, 30'000, 8'000'000));
  Now += milliseconds(600);
  post(stop_answered{X, Stop.Run, true, sourceX(Stop.To)});
  const run_state &Run = State.Executors.at(X).Runs.at(Start.Run);
  CHECK_FALSE(Run.IsStopAccepted);
  CHECK_FALSE(State.Executors.at(X).HasAnsweredHold);
  CHECK(saveAll().empty());
}

// Guards against two runs of a task: the leader before had started it in a life
// that had just begun, with a lease of the executor's limit.
TEST_CASE_METHOD(lease_fixture,
                 "leases: an inherited run isn't given up before the "
                 "executor's limit") {
  begin();
  const start_run Start = startOnX("a");
  acceptX(Start);
  const instant Gained = Now;
  changeLeader({entryOf(Life), report("y")});
  loseHold();
  untilNextStart();
  CHECK(Now >= Gained + State.Settings.MaxLease);
  CHECK(Now < Gained + State.Settings.LateStarts + milliseconds(1'000));
}

// Guards against an answer without a clock that is taken for the present
// life's.
TEST_CASE_METHOD(lease_fixture,
                 "leases: a start whose answer tells of no life counts once it "
                 "is listed") {
  begin();
  const start_run Start = startOnX("a");
  answer_source From{Start.To.Incarnation};
  From.Sent = Now;
  From.Fault = "clock_ms must be a whole number";
  post(start_answered{X, Start.Run, order_outcome::Accepted, "", From});
  const run_state &Run = State.Executors.at(X).Runs.at(Start.Run);
  CHECK(Run.Phase == run_phase::Unconfirmed);
  answerX({{Start.Run, "", 10}});
  CHECK(State.Executors.at(X).Runs.at(Start.Run).Phase == run_phase::Active);
}
