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
  [[nodiscard]] std::int64_t clockX() const { return (Now - Born).count(); }
  void restartX() {
    ++Life;
    Born = Now;
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

} // namespace

// Guards against two runs of a task: the executor restarts, takes a start that
// was for its life before, and is cut off. Its clock began anew, so that the
// lease is as long as the executor allows.
TEST_CASE_METHOD(lease_fixture,
                 "leases: a run that the next life began isn't given up before "
                 "the executor's limit") {
  begin();
  const start_run Start = startOnX("a");
  restartX();
  Now += milliseconds(600);
  const instant Handled = Now;
  acceptX(Start);
  loseHold();
  untilNextStart();
  CHECK(Now >= Handled + State.Settings.MaxLease);
  CHECK(Now < Handled + State.Settings.MaxLease + milliseconds(15'000));
}
