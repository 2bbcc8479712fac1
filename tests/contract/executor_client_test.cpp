// Tests the executor client against a simulated executor on loopback.

#include "platform/executor_client.hpp"
#include "standin/run_service.hpp"
#include "tests/support/run_task.hpp"
#include "tests/support/tcp_relay.hpp"

#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

struct executor_fixture {
  asio::io_context Context{1};
  standin::run_service Service{
      Context, {"127.0.0.1", 0}, {"i-1", milliseconds(0), 2}};
  platform::executor_client Client{Context, ""};

  [[nodiscard]] executor_target target(std::uint64_t Token,
                                       const std::string &Id = "i-1") const {
    return {executor_id(Id), Service.localEndpoint(), Service.incarnation(),
            Token, Token};
  }
  static run_name runOf(int Index, int Attempt = 1) {
    return {{job_id("0123456789abcdef"), 0, 0, Index}, Attempt};
  }
  start_answered start(std::uint64_t Token, const run_name &Run,
                       std::int64_t LeaseEndMs = 60'000,
                       const std::string &Id = "i-1") {
    return test::runTask(Context, Client.start({target(Token, Id), Run, "spec",
                                                "", LeaseEndMs}));
  }
  stop_answered stop(std::uint64_t Token, const run_name &Run) {
    return test::runTask(Context, Client.stop({target(Token), Run}));
  }
  std::variant<runs_reported, hold_failed> hold(std::uint64_t Token,
                                                std::int64_t LastSeen,
                                                const std::string &Id = "i-1") {
    return test::runTask(
        Context, Client.hold({target(Token, Id), LastSeen, 60'000, {}}));
  }
};

} // namespace

TEST_CASE_METHOD(executor_fixture,
                 "executor: an accepted start runs and its end is reported") {
  CHECK(start(5, runOf(1)).Outcome == order_outcome::Accepted);
  const auto Answer = hold(5, 0);
  REQUIRE(std::holds_alternative<runs_reported>(Answer));
  const auto &Report = std::get<runs_reported>(Answer);
  REQUIRE(Report.Ended.size() == 1); // the simulated run ends at once
  CHECK(Report.Ended.front().Run == runOf(1));
  CHECK(Report.Ended.front().End == run_end::Done);
  CHECK(Report.Incarnation == Service.incarnation());
}

TEST_CASE_METHOD(executor_fixture,
                 "executor: each refusal is returned with its reason") {
  CHECK(start(5, runOf(1), 0).Reason == "late");
  CHECK(stop(5, runOf(2)).IsAccepted);
  const start_answered Old = start(5, runOf(2));
  CHECK(Old.Outcome == order_outcome::Refused);
  CHECK(Old.Reason == "old");
  CHECK(start(5, runOf(2, 2)).Outcome == order_outcome::Accepted);
  const start_answered Fenced = start(4, runOf(3));
  CHECK(Fenced.Outcome == order_outcome::Refused);
  CHECK(Fenced.Reason == "fence");
  CHECK_FALSE(stop(4, runOf(3)).IsAccepted);
  const auto Hold = hold(4, 0);
  REQUIRE(std::holds_alternative<hold_failed>(Hold));
  CHECK(std::get<hold_failed>(Hold).Failure == hold_failure::Fenced);
  Service.Faults.IsUnhealthy = true;
  CHECK(start(5, runOf(4)).Outcome == order_outcome::Refused);
}

TEST_CASE_METHOD(
    executor_fixture,
    "executor: a different executor at the same address refuses orders") {
  const start_answered Start = start(5, runOf(1), 60'000, "i-2");
  CHECK(Start.Outcome == order_outcome::Refused);
  CHECK(Start.Reason == "status 421");
  const auto Hold = hold(5, 0, "i-2");
  REQUIRE(std::holds_alternative<hold_failed>(Hold));
  CHECK(std::get<hold_failed>(Hold).Failure == hold_failure::Replaced);
  CHECK(Service.starts() == 0);
}

TEST_CASE_METHOD(executor_fixture,
                 "executor: a lost answer is an unknown outcome") {
  Service.Faults.LosesAnswers = true;
  CHECK(start(5, runOf(1)).Outcome == order_outcome::Unknown);
  CHECK_FALSE(stop(5, runOf(1)).IsAccepted);
  const auto Hold = hold(5, 0);
  REQUIRE(std::holds_alternative<hold_failed>(Hold));
  CHECK(std::get<hold_failed>(Hold).Failure == hold_failure::ConnectionLost);
  CHECK(Service.starts() == 1); // it ran although its answer was lost
}

TEST_CASE_METHOD(executor_fixture,
                 "executor: a crash at a start is an unknown outcome, and the "
                 "next hold shows the restart") {
  const std::int64_t Before = std::get<runs_reported>(hold(5, 0)).Incarnation;
  Service.Faults.CrashesOnStart = true;
  CHECK(start(5, runOf(1)).Outcome == order_outcome::Unknown);
  const auto Report = std::get<runs_reported>(hold(5, 0));
  CHECK(Report.Incarnation > Before);
  CHECK(Report.Active.empty());
}

// Guards against an answer of the next life that is taken for one of the life
// that the order was for.
TEST_CASE_METHOD(executor_fixture,
                 "executor: an answer tells which life it was meant for, and "
                 "the clock of the one that gave it") {
  const std::int64_t Before = Service.incarnation();
  const start_answered Start = start(5, runOf(1));
  CHECK(Start.From.Meant == Before);
  REQUIRE(Start.From.ClockMs);
  CHECK(*Start.From.ClockMs >= 0);
  CHECK(Start.From.Fault.empty());
  const executor_target Former = target(5);
  Service.restart();
  const stop_answered Stop =
      test::runTask(Context, Client.stop({Former, runOf(1)}));
  CHECK(Stop.IsAccepted);
  CHECK(Stop.From.Meant == Before);
  REQUIRE(Stop.From.ClockMs);
  CHECK(Service.incarnation() > Before);
}

TEST_CASE_METHOD(executor_fixture,
                 "executor: ends are reported in pages until acknowledged") {
  for (int I = 0; I < 5; ++I)
    start(5, runOf(I));
  std::int64_t LastSeen = 0;
  std::set<run_name> Seen;
  for (int Page = 0; Page < 3; ++Page) {
    const auto Answer = hold(5, LastSeen);
    const auto &Report = std::get<runs_reported>(Answer);
    CHECK(Report.Ended.size() == (Page < 2 ? 2 : 1));
    for (const ended_run &Ended : Report.Ended) {
      CHECK(Ended.Number == LastSeen + 1);
      LastSeen = Ended.Number;
      Seen.insert(Ended.Run);
    }
  }
  CHECK(Seen.size() == 5);
  CHECK(std::get<runs_reported>(hold(5, LastSeen)).Ended.empty());
}

TEST_CASE_METHOD(
    executor_fixture,
    "executor: a restart raises the incarnation and clears the ends") {
  start(5, runOf(1));
  const std::int64_t Before = std::get<runs_reported>(hold(5, 0)).Incarnation;
  Service.restart();
  const auto After = std::get<runs_reported>(hold(5, 1));
  CHECK(After.Incarnation > Before);
  CHECK(After.Ended.empty());
}

// Guards against a silent executor whose log lines don't tell that it answers.
TEST_CASE("executor: a hold that is refused or can't be read says why") {
  asio::io_context Context{1};
  unsigned Status = 200;
  http_server Service(
      Context, {"127.0.0.1", 0}, [&](http_request) -> task<http_response> {
        co_return jsonResponse(Status, R"({"clock_ms":1,"active":7})");
      });
  platform::executor_client Client(Context, "");
  const executor_target To{executor_id("i-1"), Service.localEndpoint(), 1, 5,
                           5};
  const auto Hold = [&] {
    const auto Answer =
        test::runTask(Context, Client.hold({To, 0, 60'000, {}}));
    REQUIRE(std::holds_alternative<hold_failed>(Answer));
    return std::get<hold_failed>(Answer);
  };
  CHECK(Hold().Failure == hold_failure::Unreadable);
  CHECK_FALSE(Hold().Reason.empty());
  Status = 503;
  CHECK(Hold().Failure == hold_failure::Refused);
  CHECK(Hold().Reason == "status 503");
}

// Guards against orders that wait for one silent connection after the other.
TEST_CASE_METHOD(executor_fixture,
                 "executor: after a hold that got no answer in time, a start "
                 "uses a new connection") {
  test::tcp_relay Relay(Context, Service.localEndpoint());
  executor_target To = target(5);
  To.Address = Relay.localEndpoint();
  const hold_executor Hold{To, 0, 60'000, {}};
  constexpr int Parallel = 3; // connections that are idle afterwards
  int Answered = 0;
  for (int I = 0; I < Parallel; ++I)
    asio::co_spawn(Context, Client.hold(Hold),
                   [&](std::exception_ptr, const auto &) { ++Answered; });
  while (Answered < Parallel)
    Context.run_one();
  REQUIRE(Relay.connections() == Parallel);
  Relay.silenceConnections();
  const auto Silent = test::runTask(Context, Client.hold(Hold));
  REQUIRE(std::holds_alternative<hold_failed>(Silent));
  CHECK(std::get<hold_failed>(Silent).Failure == hold_failure::NoAnswer);
  const start_answered Start =
      test::runTask(Context, Client.start({To, runOf(1), "spec", "", 60'000}));
  CHECK(Start.Outcome == order_outcome::Accepted);
  CHECK(Relay.connections() == Parallel + 1);
}
