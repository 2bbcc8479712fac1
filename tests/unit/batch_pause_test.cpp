// Starts pause while the leader may not know of recent cancellations.

#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

/// A second term of the leader, which has loaded its jobs some time ago.
struct pause_fixture : test::scheduler_fixture {
  instant Loaded;

  pause_fixture() {
    post(leadership_lost{});
    constexpr std::uint64_t Term = Token + 1;
    postOf(Term, leadership_gained{Term, Now + milliseconds(1'000'000)});
    Loaded = Now;
    post(requests_current{Loaded});
    post(configuration_current{longFrom(Now)});
    post(executors_listed{{}, longFrom(Now)});
    settle({"x"});
  }
  void passUntil(milliseconds SinceLoaded) {
    pass(SinceLoaded - std::chrono::duration_cast<milliseconds>(Now - Loaded));
  }
  [[nodiscard]] milliseconds maxAge() const {
    return State.Settings.MaxRequestAge;
  }
};

} // namespace

// Guards against starts long after the cancellation of the job.
TEST_CASE_METHOD(pause_fixture,
                 "batch: nothing is placed while cancellations may be unknown "
                 "for too long") {
  submit(job("a", 1, 1, 1));
  CHECK(save().size() == 1);
  passUntil(maxAge() + milliseconds(1));
  submit(job("b", 1, 1, 1));
  CHECK(all<save_progress>().empty());
  pass(milliseconds(100));
  CHECK(all<save_progress>().empty());
  post(cancel_requested{job_id("b")});
  post(progress_saved{true});
  post(requests_current{Now});
  pass(milliseconds(100));
  CHECK(save().empty());
  submit(job("c", 1, 1, 1));
  CHECK(save().size() == 1);
}

// Guards against starts that were decided in time and ordered after a save that
// took long.
TEST_CASE_METHOD(pause_fixture,
                 "batch: a stored start is withdrawn when cancellations may be "
                 "unknown for too long") {
  submit(job("a", 1, 1, 1));
  REQUIRE(all<save_progress>().size() == 1);
  passUntil(maxAge() + milliseconds(1));
  CHECK(save().empty());
  CHECK(State.Executors.at(executor_id("x")).Runs.empty());
  SECTION("the task starts once the leader knows") {
    post(requests_current{Now});
    pass(milliseconds(100));
    const auto Starts = save();
    REQUIRE(Starts.size() == 1);
    CHECK(Starts.front().Run.Attempt == 2);
  }
  SECTION("it doesn't if the job was cancelled") {
    post(cancel_requested{job_id("a")});
    post(progress_saved{true});
    post(requests_current{Now});
    pass(milliseconds(100));
    CHECK(save().empty());
  }
}

TEST_CASE_METHOD(pause_fixture,
                 "batch: a pause of starts stops nothing and holds on") {
  const auto Started = run(job("a", 1, 1, 1));
  REQUIRE(Started.size() == 1);
  answer("x", {{Started.front().Run, "", 10}});
  passUntil(maxAge() + milliseconds(500));
  answer("x", {{Started.front().Run, "", 20}});
  CHECK(all<stop_run>().empty());
  pass(milliseconds(100));
  CHECK(State.Executors.at(executor_id("x")).IsHolding);
}

TEST_CASE_METHOD(pause_fixture,
                 "batch: an answer to an older watch doesn't take knowledge "
                 "back") {
  post(requests_current{Now});
  const instant Known = State.RequestsAsOf;
  post(requests_current{Now - milliseconds(500)});
  CHECK(State.RequestsAsOf == Known);
}

// Guards against starts on executors that drain, in data centres that are
// evacuated or for queues that were removed, all of it long ago.
TEST_CASE_METHOD(test::scheduler_fixture,
                 "batch: nothing starts by an old list of executors or an old "
                 "configuration") {
  const bool IsOfList = GENERATE(true, false);
  CAPTURE(IsOfList);
  post(leadership_lost{});
  const std::uint64_t Term = Token + 1;
  State.ConfigurationAsOf = {};
  postOf(Term, leadership_gained{Term, longFrom(Now)});
  post(requests_current{longFrom(Now)});
  const auto Tell = [&](instant Old) {
    const instant Other = longFrom(Now);
    post(executors_listed{{report("x")}, IsOfList ? Old : Other});
    post(configuration_current{IsOfList ? Other : Old});
  };
  Tell(Now);
  settle({"x"});
  const milliseconds MaxAge =
      IsOfList ? State.Settings.MaxListAge : State.Settings.MaxConfigurationAge;
  const instant Told = Now;
  submit(job("a", 1, 1, 1));
  REQUIRE(all<save_progress>().size() == 1); // decided in time
  pass(MaxAge + milliseconds(100));
  CHECK(save().empty()); // withdrawn
  pass(milliseconds(100));
  CHECK(all<save_progress>().empty());
  REQUIRE(Now > Told + MaxAge);
  Tell(Now);
  pass(milliseconds(100));
  CHECK(save().size() == 1);
}

// Guards against work that is thrown away for nothing.
TEST_CASE_METHOD(pause_fixture,
                 "batch: a pause of starts doesn't stop stalled runs") {
  const auto Started = run(job("a", 1, 1, 1));
  REQUIRE(Started.size() == 1);
  answer("x", {{Started.front().Run, "", 10}});
  pass(State.Settings.Pace.MoveAfter);
  answer("x", {{Started.front().Run, "", 10}});
  pass(milliseconds(100));
  CHECK(State.Executors.at(executor_id("x")).IsStalled);
  CHECK(all<stop_run>().empty());
  post(requests_current{Now});
  pass(milliseconds(100));
  CHECK(all<stop_run>().size() == 1);
}
