#include "standin/worker_model.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::standin;

namespace {

const attempt_id Attempt{job_id("job"), 1};

instant at(int Milliseconds) { return instant(milliseconds(Milliseconds)); }

/// A worker whose 10 s task started at 0 and has a lease of one minute.
worker_model runningWorker() {
  worker_model Worker(worker_id("w"), data_centre_id("d"), rack_id("r"), 8);
  Worker.reserve({1, Attempt, 1, 4, milliseconds(2'000)}, at(0));
  Worker.start({1, Attempt, milliseconds(2'000), milliseconds(10'000)}, at(0));
  Worker.renew({1, milliseconds(60'000), {{Attempt, true}}}, at(0));
  return Worker;
}

task_state stateAt(worker_model &Worker, int Milliseconds) {
  Worker.advance(at(Milliseconds));
  return Worker.report(at(Milliseconds)).Tasks.front().State;
}

} // namespace

TEST_CASE("a throttled task takes longer in proportion to the slowdown") {
  worker_model Worker = runningWorker();
  REQUIRE(Worker.throttle({1, Attempt, 50}, at(4'000)).IsAccepted);
  CHECK(stateAt(Worker, 15'999) == task_state::Running);
  CHECK(stateAt(Worker, 16'000) == task_state::Succeeded);
}

TEST_CASE(
    "a throttle needs a known attempt, a valid speed and a current epoch") {
  worker_model Worker = runningWorker();
  CHECK_FALSE(Worker.throttle({1, {job_id("other"), 1}, 50}, at(1)).IsAccepted);
  CHECK_FALSE(Worker.throttle({1, Attempt, 0}, at(1)).IsAccepted);
  CHECK_FALSE(Worker.throttle({1, Attempt, 101}, at(1)).IsAccepted);
  CHECK_FALSE(Worker.throttle({0, Attempt, 50}, at(1)).IsAccepted);
}

TEST_CASE("usage is reported with the configured lag") {
  worker_model Worker = runningWorker();
  Worker.Faults.UsageLagMilliseconds = 3'000;
  CHECK(Worker.usage(at(2'999)).BusyAccelerators == 0);
  CHECK(Worker.usage(at(3'000)).BusyAccelerators == 4);
  CHECK(Worker.usage(at(10'500)).BusyAccelerators == 4);
  CHECK(Worker.usage(at(13'500)).BusyAccelerators == 0);
  CHECK(Worker.usage(at(13'500)).AgeAtAnswer == milliseconds(3'000));
}
