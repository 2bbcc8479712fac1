#include "tests/support/request_system.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::test;

namespace {

/// What the caller must be told when the executor fails at one point, with the
/// store up. "First" fails the first try only, "always" every try.
struct fault_row {
  fault_point Point;
  const char *RepeatableFirst;
  const char *RepeatableAlways;
  const char *OnceFirst;
  const char *OnceAlways;
};

constexpr std::array FaultTable = {
    fault_row{fault_point::None, "ran", "ran", "ran", "ran"},
    fault_row{fault_point::ConnectRefused, "not-run", "not-run", "not-run",
              "not-run"},
    fault_row{fault_point::PartlySent, "ran", "unknown", "unknown", "unknown"},
    fault_row{fault_point::Written, "ran", "unknown", "unknown", "unknown"},
    fault_row{fault_point::Reset, "ran", "unknown", "unknown", "unknown"},
    fault_row{fault_point::PartialAnswer, "ran", "unknown", "unknown",
              "unknown"},
    fault_row{fault_point::LengthTooLong, "ran", "unknown", "unknown",
              "unknown"},
    fault_row{fault_point::LengthTooShort, "ran", "ran", "ran", "ran"},
    fault_row{fault_point::NoLength, "ran", "unknown", "unknown", "unknown"},
    fault_row{fault_point::Silent, "unknown", "unknown", "unknown", "unknown"},
    fault_row{fault_point::LateAnswer, "unknown", "unknown", "unknown",
              "unknown"},
    fault_row{fault_point::Refused, "ran", "not-run", "ran", "not-run"},
    fault_row{fault_point::ServerError, "ran", "ran", "ran", "ran"},
};

constexpr std::array StoreStates = {store_state::Up, store_state::Down,
                                    store_state::OneAnswerLost,
                                    store_state::AnswersLost};
constexpr int Always = 1'000;

bool isSilent(fault_point Point) {
  return Point == fault_point::Silent || Point == fault_point::LateAnswer;
}

/// For PartlySent, a body larger than the buffers of both sockets together.
std::string bodyFor(fault_point Point, const std::string &Name) {
  const bool IsLarge = Point == fault_point::PartlySent;
  return Name + (IsLarge ? std::string(24 * 1024 * 1024, 'x') : "");
}

bool isStoreUsable(store_state State) {
  return State == store_state::Up || State == store_state::OneAnswerLost;
}

int runsOf(request_system &System, const std::string &Body) {
  const auto Found = System.Executor.Runs.find(Body);
  return Found == System.Executor.Runs.end() ? 0 : Found->second;
}

/// Checks the promises that hold under every fault.
void checkPromises(request_system &System, const request_system::told &Told,
                   const std::string &Body, bool IsIdempotent) {
  const int Runs = runsOf(System, Body);
  if (Told.Verdict == "not-run")
    CHECK(Runs == 0);
  if (!IsIdempotent)
    CHECK(Runs <= 1);
  if (Told.Verdict == "ran" && Told.Status == 200)
    CHECK(Told.Body == Body);
}

/// Milliseconds until the caller gives up.
struct once_deadlines {
  int Silent; // where the far side is silent and nothing else ends the request
  int First;  // elsewhere
  int Repeat; // of the repeat, after everything has recovered
};

void checkOnceTable(const once_deadlines &Deadlines) {
  for (const fault_row &Row : FaultTable)
    for (const store_state Store : StoreStates)
      for (const bool FailsAlways : {false, true}) {
        CAPTURE(static_cast<int>(Row.Point), static_cast<int>(Store),
                FailsAlways);
        request_system System;
        System.Executor.Fault = Row.Point;
        System.Executor.FaultsLeft = FailsAlways ? Always : 1;
        System.Store.set(Store);
        System.publish();
        const std::string Body = bodyFor(Row.Point, "permit");
        const auto Told = System.send("/once/1", Body, "key-1",
                                      isSilent(Row.Point) ? Deadlines.Silent
                                                          : Deadlines.First);
        const std::string WhenUp = FailsAlways ? Row.OnceAlways : Row.OnceFirst;
        CHECK(Told.Verdict == (isStoreUsable(Store) ? WhenUp : "not-run"));
        checkPromises(System, Told, Body, false);

        // The executor and the store recover; the caller repeats.
        System.settle();
        System.Executor.Fault = fault_point::None;
        System.Executor.FaultsLeft = 0;
        System.Store.set(store_state::Up);
        System.publish();
        const auto Again =
            System.send("/once/1", Body, "key-1", Deadlines.Repeat);
        checkPromises(System, Again, Body, false);
        if (Told.Verdict == "ran") {
          CHECK(Again.IsReplayed);
          CHECK(Again.Status == Told.Status);
          CHECK(Again.Body == Told.Body);
        }
        if (Told.Verdict == "unknown")
          CHECK(Again.Verdict == "unknown");
        if (Told.Verdict == "not-run" && Store != store_state::AnswersLost)
          CHECK(Again.Verdict == "ran");
      }
}

} // namespace

TEST_CASE("verdicts follow from where the bytes were: idempotent requests") {
  for (const fault_row &Row : FaultTable)
    for (const store_state Store : StoreStates)
      for (const bool FailsAlways : {false, true}) {
        CAPTURE(static_cast<int>(Row.Point), static_cast<int>(Store),
                FailsAlways);
        request_system System;
        System.Executor.Fault = Row.Point;
        System.Executor.FaultsLeft = FailsAlways ? Always : 1;
        System.Store.set(Store);
        System.publish();
        const std::string Body = bodyFor(Row.Point, "tile");
        const auto Told = System.send("/repeatable/1", Body, "",
                                      isSilent(Row.Point) ? 100 : 10'000);
        CHECK(Told.Verdict ==
              (FailsAlways ? Row.RepeatableAlways : Row.RepeatableFirst));
        checkPromises(System, Told, Body, true);
      }
}

TEST_CASE("verdicts follow from where the bytes were: at most once") {
  checkOnceTable({.Silent = 400, .First = 10'000, .Repeat = 1'000});
}

TEST_CASE("verdicts of at most once, with deadlines of a slow machine") {
  checkOnceTable({.Silent = 1'500, .First = 60'000, .Repeat = 60'000});
}

TEST_CASE("bytes beyond an answer never reach the next request") {
  request_system System;
  System.Executor.Fault = fault_point::LengthTooShort;
  System.Executor.FaultsLeft = Always;
  System.publish();
  for (int I = 0; I < 20; ++I) {
    const std::string Body = "tile " + std::to_string(I);
    CHECK(System.send("/repeatable/1", Body).Body == Body);
  }
}

TEST_CASE("a key that another body has used is refused") {
  request_system System;
  System.publish();
  CHECK(System.send("/once/1", "permit 1", "key-1").Verdict == "ran");
  System.settle();
  const auto Reused = System.send("/once/1", "permit 2", "key-1");
  CHECK(Reused.Status == 422);
  CHECK(Reused.Verdict == "not-run");
  CHECK(runsOf(System, "permit 2") == 0);
}

TEST_CASE("another entry instance knows what the first one did") {
  request_system System;
  System.publish();
  CHECK(System.send("/once/1", "permit", "key-1").Verdict == "ran");
  System.settle();
  request_services Others{System.Context, System.Config};
  traffic_thread Other{System.Context, System.Config, Others};
  Other.Snapshot = System.Thread.Snapshot;
  Others.Dispatcher.setExecutors(Other.Snapshot->Executors);
  http_request Repeat;
  Repeat.Method = "POST";
  Repeat.Target = "/v1/requests/once/1";
  Repeat.Body = "permit";
  Repeat.Headers.set("Idempotency-Key", "key-1");
  const http_response Answer =
      System.run(handleRequest(Other, std::move(Repeat)));
  CHECK(Answer.Body == "permit");
  CHECK(Answer.Headers.find("Galenastage-Replayed") == "true");
  CHECK(runsOf(System, "permit") == 1);
}

TEST_CASE("a caller that disconnects doesn't cause its request to run again") {
  request_system System;
  System.publish();
  http_server Server(System.Context, {"127.2.9.4", 0},
                     [&](http_request Request) {
                       return handleRequest(System.Thread, std::move(Request));
                     });
  asio::ip::tcp::socket Caller(System.Context);
  const endpoint To = Server.localEndpoint();
  Caller.connect({asio::ip::make_address(To.Address), To.Port});
  asio::write(Caller,
              asio::buffer(std::string("POST /v1/requests/once/1 HTTP/1.1\r\n"
                                       "Host: x\r\nIdempotency-Key: key-1\r\n"
                                       "Content-Length: 6\r\n\r\npermit")));
  Caller.close();
  while (runsOf(System, "permit") == 0)
    System.Context.run_one();
  const auto Again = System.send("/once/1", "permit", "key-1");
  CHECK(Again.Verdict == "ran");
  CHECK(Again.IsReplayed);
  CHECK(runsOf(System, "permit") == 1);
}

TEST_CASE("only a stage without any byte sent means not run") {
  CHECK(verdictAt(exchange_stage::NothingSent) == verdict::NotRun);
  CHECK(verdictAt(exchange_stage::PartlySent) == verdict::Unknown);
  CHECK(verdictAt(exchange_stage::Sent) == verdict::Unknown);
  CHECK(verdictAt(exchange_stage::AnswerBegun) == verdict::Unknown);
  CHECK(verdictAt(exchange_stage::Answered) == verdict::Ran);
}
