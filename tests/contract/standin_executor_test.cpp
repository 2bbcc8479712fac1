// Tests the stand-in's executor: leases, lives, cuts, late calls and the
// ledger. Real time; each check allows any delay of a busy machine.

#include "apps/runtime/process.hpp"
#include "platform/executor_client.hpp"
#include "standin/run_service.hpp"
#include "tests/support/run_task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace galenastage;
using namespace galenastage::batch;
using json = nlohmann::json;

namespace {

constexpr milliseconds LongWork{60'000};
constexpr milliseconds ShortLease{300};

struct standin_executor_fixture {
  asio::io_context Context{1};
  http_client Http{Context};

  static standin::run_service_settings settings(milliseconds MaxLease) {
    standin::run_service_settings Settings;
    Settings.WorkTime = LongWork;
    Settings.MaxLease = MaxLease;
    return Settings;
  }
  static json startOf(const std::string &Task, int Attempt,
                      std::int64_t DeadlineMs,
                      const std::string &Spec = "spec") {
    return {{"task", Task},
            {"attempt", Attempt},
            {"spec", Spec},
            {"deadline_ms", DeadlineMs},
            {"fencing_token", 1}};
  }
  task<http_result> call(const standin::run_service &Service, std::string Path,
                         json Body,
                         milliseconds Timeout = milliseconds(10'000)) {
    http_request Request;
    Request.Method = "POST";
    Request.Target = std::move(Path);
    Request.Body = Body.dump();
    Request.Headers.set("Galenastage-Expected-Instance", "i-1");
    co_return co_await Http.send(Service.localEndpoint(), std::move(Request),
                                 Timeout, connection_use::Fresh);
  }
  http_result ask(const standin::run_service &Service, const std::string &Path,
                  const json &Body,
                  milliseconds Timeout = milliseconds(10'000)) {
    return test::runTask(Context, call(Service, Path, Body, Timeout));
  }
  static json bodyOf(const http_result &Result) {
    REQUIRE_FALSE(Result.Error);
    return json::parse(Result.Response.Body);
  }
  void pass(milliseconds Time) {
    const auto Wait = [](asio::io_context &Context,
                         milliseconds Time) -> task<bool> {
      co_await sleepFor(Context, Time);
      co_return true;
    };
    test::runTask(Context, Wait(Context, Time));
  }
};

standin::run_record recordOf(const std::string &Executor, int Attempt,
                             int BeganMs, int EndedMs, const std::string &How) {
  standin::run_record Record;
  Record.Executor = Executor;
  Record.Task = "t.0.0.0";
  Record.Attempt = Attempt;
  Record.Began = instant(milliseconds(BeganMs));
  Record.Ended = instant(milliseconds(EndedMs));
  Record.How = How;
  return Record;
}

} // namespace

TEST_CASE_METHOD(standin_executor_fixture,
                 "stand-in executor: a lease is shortened to its limit, and "
                 "what runs then is killed at its end") {
  standin::run_service Service(Context, {"127.0.0.1", 0}, settings(ShortLease));
  CHECK(ask(Service, "/v1/run-start", startOf("t.0.0.0", 1, 600'000))
            .Response.Status == 200);
  pass(2 * ShortLease);
  const json Answer = bodyOf(
      ask(Service, "/v1/hold", {{"fencing_token", 1}, {"last_seen", 0}}));
  CHECK(Answer.at("active").empty());
  REQUIRE(Answer.at("ended").size() == 1);
  CHECK(Answer.at("ended")[0][3] == "lapsed");
  const standin::run_record &Record = Service.ledger().at(0);
  CHECK(Record.How == "lapsed");
  CHECK(*Record.Ended - Record.Lease.Handled <= ShortLease);
  CHECK(Record.Lease.Path == "/v1/run-start");
}

TEST_CASE_METHOD(standin_executor_fixture,
                 "stand-in executor: a later call never shortens the lease, "
                 "and a start beyond it is late") {
  standin::run_service Service(Context, {"127.0.0.1", 0},
                               settings(milliseconds(60'000)));
  CHECK(bodyOf(ask(Service, "/v1/run-start", startOf("t.0.0.0", 1, 0)))
            .at("reason") == "late");
  CHECK(ask(Service, "/v1/run-start", startOf("t.0.0.0", 1, 30'000))
            .Response.Status == 200);
  CHECK(
      ask(Service, "/v1/run-start", startOf("t.0.0.1", 1, 1)).Response.Status ==
      200);
  const json Answer =
      bodyOf(ask(Service, "/v1/hold",
                 {{"fencing_token", 1}, {"last_seen", 0}, {"deadline_ms", 2}}));
  CHECK(Answer.at("active").size() == 2);
}

TEST_CASE_METHOD(standin_executor_fixture,
                 "stand-in executor: a call that arrives while it restarts is "
                 "handled by the next life") {
  standin::run_service Service(Context, {"127.0.0.1", 0},
                               settings(milliseconds(60'000)));
  ask(Service, "/v1/run-start", startOf("t.0.0.0", 1, 30'000));
  const std::int64_t Former = Service.incarnation();
  constexpr milliseconds Dark{300};
  const instant Restarted = readClock();
  Service.restart(Dark);
  CHECK(Service.isDark());
  const http_result Result =
      ask(Service, "/v1/run-start", startOf("t.0.0.1", 1, 30'000));
  CHECK(Result.Response.Status == 200);
  CHECK(readClock() - Restarted >= Dark);
  CHECK(bodyOf(Result).at("clock_ms") >= Dark.count());
  const json Answer = bodyOf(
      ask(Service, "/v1/hold", {{"fencing_token", 1}, {"last_seen", 0}}));
  CHECK(Answer.at("born") > Former);
  REQUIRE(Answer.at("active").size() == 1);
  CHECK(Answer.at("active")[0][0] == "t.0.0.1");
  CHECK(Answer.at("ended").empty());
  REQUIRE(Service.ledger().size() == 2);
  CHECK(Service.ledger()[0].How == "died");
  CHECK_FALSE(Service.ledger()[1].Ended);
  CHECK(Service.ledger()[1].Life == Service.incarnation());
}

TEST_CASE_METHOD(standin_executor_fixture,
                 "stand-in executor: a call that waits for its handling at a "
                 "restart is of a former life") {
  standin::run_service Service(Context, {"127.0.0.1", 0},
                               settings(milliseconds(60'000)));
  Service.Faults.LateOrdersPercent = 100; // on its way for 1 s at least
  bool IsAnswered = false;
  asio::co_spawn(Context,
                 call(Service, "/v1/run-start", startOf("t.0.0.0", 1, 30'000),
                      milliseconds(900)),
                 [&](std::exception_ptr, const http_result &Result) {
                   IsAnswered = true;
                   CHECK(Result.Error);
                 });
  while (!IsAnswered)
    Context.run_one();
  CHECK(Service.ledger().empty());
  Service.restart();
  while (Service.ledger().empty())
    Context.run_one();
  const standin::run_record &Record = Service.ledger()[0];
  CHECK(Record.IsOfFormerLife);
  CHECK(Record.Waited >= milliseconds(1'000));
  CHECK(Record.Life == Service.incarnation());
}

TEST_CASE_METHOD(standin_executor_fixture,
                 "stand-in executor: a held call of a former life gets no "
                 "answer") {
  standin::run_service Service(Context, {"127.0.0.1", 0},
                               settings(milliseconds(60'000)));
  std::optional<http_result> Held;
  asio::co_spawn(Context,
                 call(Service, "/v1/hold",
                      {{"fencing_token", 1}, {"wait_ms", 60'000}},
                      milliseconds(30'000)),
                 [&](std::exception_ptr, http_result Result) {
                   Held = std::move(Result);
                 });
  pass(milliseconds(200));
  REQUIRE_FALSE(Held);
  Service.restart();
  while (!Held)
    Context.run_one();
  CHECK(Held->Error);
}

TEST_CASE_METHOD(standin_executor_fixture,
                 "stand-in executor: a call to one that is cut off has no "
                 "effect, and its runs go on until their lease ends") {
  standin::run_service Service(Context, {"127.0.0.1", 0},
                               settings(milliseconds(60'000)));
  ask(Service, "/v1/run-start", startOf("t.0.0.0", 1, 30'000));
  Service.cut(LongWork);
  CHECK(ask(Service, "/v1/run-start", startOf("t.0.0.1", 1, 30'000),
            milliseconds(200))
            .Error);
  REQUIRE(Service.ledger().size() == 1);
  CHECK_FALSE(Service.ledger()[0].Ended);
  Service.cut(LongWork, true);
  CHECK(ask(Service, "/v1/run-start", startOf("t.0.0.2", 1, 30'000),
            milliseconds(1'000))
            .Error);
  CHECK(Service.ledger().size() == 2);
  Service.endCut();
  CHECK(ask(Service, "/v1/run-start", startOf("t.0.0.3", 1, 30'000))
            .Response.Status == 200);
}

TEST_CASE_METHOD(standin_executor_fixture,
                 "stand-in executor: a spec sets the work time, and an end "
                 "counts as seen once a hold acknowledges it") {
  standin::run_service Service(Context, {"127.0.0.1", 0},
                               settings(milliseconds(60'000)));
  ask(Service, "/v1/run-start", startOf("t.0.0.0", 1, 30'000, "work_ms=1"));
  const json Answer =
      bodyOf(ask(Service, "/v1/hold",
                 {{"fencing_token", 1}, {"last_seen", 0}, {"wait_ms", 5'000}}));
  REQUIRE(Answer.at("ended").size() == 1);
  CHECK(Answer.at("ended")[0][3] == "done");
  CHECK_FALSE(Service.ledger()[0].Seen);
  ask(Service, "/v1/hold", {{"fencing_token", 1}, {"last_seen", 1}});
  CHECK(Service.ledger()[0].Seen);
}

TEST_CASE("stand-in ledger: runs of one task that overlap are double") {
  const auto First = recordOf("i-1", 1, 0, 1'000, "lapsed");
  const auto Second = recordOf("i-2", 2, 900, 2'000, "done");
  const auto Third = recordOf("i-3", 3, 2'000, 2'500, "done");
  const auto Found = standin::findDoubleRuns({Third, Second, First},
                                             instant(milliseconds(5'000)));
  REQUIRE(Found.size() == 1);
  CHECK(Found[0].First == First);
  CHECK(Found[0].Second == Second);
  CHECK(Found[0].Overlap == milliseconds(100));
}

TEST_CASE("stand-in ledger: a run after an end is double only if the end was "
          "done and taken note of") {
  auto First = recordOf("i-1", 1, 0, 1'000, "done");
  const auto Second = recordOf("i-2", 2, 1'500, 2'000, "done");
  const instant Now(milliseconds(5'000));
  CHECK(standin::findDoubleRuns({First, Second}, Now).empty());
  First.Seen = instant(milliseconds(3'000)); // also when it is noted later
  CHECK(standin::findDoubleRuns({First, Second}, Now).size() == 1);
  First.How = "failed";
  CHECK(standin::findDoubleRuns({First, Second}, Now).empty());
}

TEST_CASE("stand-in ledger: a run that goes on counts until now") {
  auto First = recordOf("i-1", 1, 0, 0, "");
  First.Ended.reset();
  const auto Second = recordOf("i-1", 2, 1'500, 2'000, "stopped");
  const auto Found =
      standin::findDoubleRuns({First, Second}, instant(milliseconds(1'600)));
  REQUIRE(Found.size() == 1);
  CHECK(Found[0].Overlap == milliseconds(100));
}
