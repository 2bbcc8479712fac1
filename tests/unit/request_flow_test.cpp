#include "core/request/request_flow.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace galenastage;

namespace {

const service_id Service("portal-core");
const data_centre_id Home("north-a");
const data_centre_id Away("north-b");

executor_choice executor(int Index, int Slots = 1,
                         const data_centre_id &DataCentre = Home) {
  executor_choice Choice;
  Choice.Row.Executor = executor_id("executor-" + std::to_string(Index));
  Choice.Row.Service = Service;
  Choice.Row.DataCentre = DataCentre;
  Choice.Slots = Slots;
  return Choice;
}

/// Drives the reducer in virtual time.
struct flow_fixture {
  request_state State;
  instant Now{milliseconds(1'000)};
  request_number Last = 0;
  std::uint64_t Random = 1;
  request_effects Seen; // of the last event

  flow_fixture() { State.Upstreams.DataCentre = Home; }

  void list(std::vector<executor_choice> Executors) {
    apply(executors_listed{std::move(Executors)});
  }

  void apply(request_event_body Body) {
    Seen = reduce(State, {Now, std::move(Body)});
  }

  static request_attributes ask(const std::string &Organisation = "council",
                                work_class Class = work_class::Ordinary) {
    request_attributes Ask;
    Ask.Organisation = organisation_id(Organisation);
    Ask.Class = Class;
    Ask.Query.Service = Service;
    return Ask;
  }

  request_number arrive(request_attributes Ask,
                        milliseconds Timeout = milliseconds(30'000)) {
    Ask.Deadline = Now + Timeout;
    apply(request_arrived{++Last, std::move(Ask), ++Random});
    return Last;
  }

  void end(request_number Number, try_outcome Outcome, verdict Verdict,
           milliseconds Took = milliseconds(10)) {
    apply(try_ended{Number, Outcome, Verdict, Took, ++Random});
  }

  void answer(request_number Number, milliseconds Took = milliseconds(10)) {
    end(Number, try_outcome::Answered, verdict::Ran, Took);
  }

  void pass(milliseconds Duration) {
    Now += Duration;
    apply(time_passed{});
  }

  template <typename Effect> std::vector<Effect> seen() const {
    std::vector<Effect> Found;
    for (const request_effect &Any : Seen)
      if (const auto *Match = std::get_if<Effect>(&Any))
        Found.push_back(*Match);
    return Found;
  }

  /// The request sent by the last event; 0 if none.
  request_number sent() const {
    const auto Found = seen<send_request>();
    return Found.empty() ? 0 : Found.front().Number;
  }
};

} // namespace

TEST_CASE_METHOD(flow_fixture,
                 "a request with a free slot is sent immediately") {
  list({executor(0)});
  const request_number First = arrive(ask());
  CHECK(sent() == First);
  arrive(ask());
  CHECK(sent() == 0);
  answer(First);
  REQUIRE(seen<finish_request>().size() == 1);
  CHECK(seen<finish_request>().front().Verdict == verdict::Ran);
  CHECK(sent() == 2);
}

TEST_CASE_METHOD(
    flow_fixture,
    "a request without an eligible executor is refused immediately") {
  arrive(ask());
  REQUIRE(seen<refuse_request>().size() == 1);
  CHECK(seen<refuse_request>().front().Reason == refusal::NoExecutor);
  CHECK(seen<refuse_request>().front().Verdict == verdict::NotRun);
  CHECK(State.Active.empty());
}

TEST_CASE_METHOD(flow_fixture,
                 "ordinary work is sent before waiting patient work") {
  list({executor(0)});
  const request_number Running = arrive(ask());
  for (int I = 0; I < 20; ++I)
    arrive(ask("council", work_class::Patient));
  const request_number Ordinary = arrive(ask("planning"));
  request_number Current = Running;
  int Before = 0;
  do {
    answer(Current);
    Current = sent();
    Before += Current == Ordinary ? 0 : 1;
  } while (Current != Ordinary);
  CHECK(Before <= 1);
}

TEST_CASE_METHOD(flow_fixture, "flows share a busy executor by their weights") {
  list({executor(0)});
  request_number Current = arrive(ask());
  for (int I = 0; I < 200; ++I) {
    arrive(ask("council", work_class::Patient));
    arrive(ask("council", work_class::Ordinary));
    arrive(ask("planning", work_class::Ordinary));
  }
  std::map<flow_key, int> Served;
  for (int I = 0; I < 180; ++I) {
    answer(Current);
    Current = sent();
    const request_attributes &Ask = State.Active.at(Current).Ask;
    ++Served[{Service, Ask.Organisation, Ask.Class}];
  }
  const organisation_id Council("council");
  const organisation_id Planning("planning");
  CHECK(Served[{Service, Council, work_class::Patient}] == 20);
  CHECK(Served[{Service, Council, work_class::Ordinary}] == 80);
  CHECK(Served[{Service, Planning, work_class::Ordinary}] == 80);
}

TEST_CASE_METHOD(flow_fixture, "patient work leaves a quarter of the slots") {
  list({executor(0, 8)});
  for (int I = 0; I < 8; ++I)
    arrive(ask("council", work_class::Patient));
  CHECK(State.Upstreams.Executors.front().Outstanding == 6);
  const request_number Ordinary = arrive(ask());
  CHECK(sent() == Ordinary);
}

TEST_CASE_METHOD(flow_fixture,
                 "a deadline that can't be met is refused early") {
  list({executor(0)});
  request_number Current = arrive(ask());
  answer(Current, milliseconds(1'000));
  Current = arrive(ask());
  arrive(ask());
  arrive(ask());
  struct timeout_case {
    milliseconds Timeout;
    bool IsRefused;
  };
  // Two requests wait for one second each; its own execution takes a third.
  const timeout_case Case = GENERATE(timeout_case{milliseconds(3'500), true},
                                     timeout_case{milliseconds(10'000), false});
  arrive(ask(), Case.Timeout);
  CHECK(seen<refuse_request>().size() == (Case.IsRefused ? 1 : 0));
  if (!Case.IsRefused)
    return;
  CHECK(seen<refuse_request>().front().Reason == refusal::DeadlineTooSoon);
  CHECK(seen<refuse_request>().front().RetryAfter >= seconds(3));
}

TEST_CASE_METHOD(flow_fixture,
                 "a request that waits too long is refused as not run") {
  list({executor(0)});
  arrive(ask());
  const request_number Waiting = arrive(ask(), milliseconds(500));
  pass(milliseconds(400));
  CHECK(Seen.empty());
  pass(milliseconds(100));
  REQUIRE(seen<refuse_request>().size() == 1);
  CHECK(seen<refuse_request>().front().Number == Waiting);
  CHECK(seen<refuse_request>().front().Verdict == verdict::NotRun);
}

TEST_CASE_METHOD(flow_fixture, "queues are bounded") {
  list({executor(0)});
  for (std::size_t I = 0; I <= MaxWaitingInFlow; ++I)
    arrive(ask());
  CHECK(State.Queue.Waiting == MaxWaitingInFlow);
  arrive(ask());
  REQUIRE(seen<refuse_request>().size() == 1);
  CHECK(seen<refuse_request>().front().Reason == refusal::QueueFull);
  const request_number Other = arrive(ask("planning"));
  CHECK(State.Active.contains(Other));
}

TEST_CASE_METHOD(flow_fixture, "a retry needs a safe verdict") {
  struct retry_case {
    bool IsIdempotent;
    try_outcome Outcome;
    verdict Verdict;
    bool IsRetried;
  };
  const retry_case Case = GENERATE(values<retry_case>({
      {true, try_outcome::ConnectFailed, verdict::NotRun, true},
      {true, try_outcome::Refused, verdict::NotRun, true},
      {true, try_outcome::Failed, verdict::Unknown, true},
      {true, try_outcome::AnsweredError, verdict::Ran, false},
      {false, try_outcome::ConnectFailed, verdict::NotRun, true},
      {false, try_outcome::Refused, verdict::NotRun, true},
      {false, try_outcome::Failed, verdict::Unknown, false},
      {false, try_outcome::AnsweredError, verdict::Ran, false},
  }));
  list({executor(0), executor(1)});
  request_attributes Ask = ask();
  Ask.Query.IsIdempotent = Case.IsIdempotent;
  const request_number Number = arrive(Ask);
  const executor_id FirstTried = seen<send_request>().front().Executor.Executor;
  end(Number, Case.Outcome, Case.Verdict);
  CHECK(seen<finish_request>().size() == (Case.IsRetried ? 0 : 1));
  pass(MaxRetryDelay);
  CHECK(sent() == (Case.IsRetried ? Number : 0));
  if (Case.IsRetried)
    CHECK(seen<send_request>().front().Executor.Executor != FirstTried);
}

TEST_CASE_METHOD(
    flow_fixture,
    "a later refusal doesn't hide that an earlier try may have run") {
  list({executor(0), executor(1)});
  const request_number Number = arrive(ask());
  end(Number, try_outcome::Failed, verdict::Unknown);
  pass(MaxRetryDelay);
  REQUIRE(sent() == Number);
  end(Number, try_outcome::Refused, verdict::NotRun);
  pass(MaxRetryDelay);
  REQUIRE(sent() == Number);
  end(Number, try_outcome::ConnectFailed, verdict::NotRun);
  REQUIRE(seen<finish_request>().size() == 1);
  CHECK(seen<finish_request>().front().Verdict == verdict::Unknown);
  CHECK(seen<finish_request>().front().Tries == request_state::MaxTries);
}

TEST_CASE_METHOD(flow_fixture, "the budget bounds retries when all fail") {
  std::vector<executor_choice> Executors;
  for (int I = 0; I < 50; ++I)
    Executors.push_back(executor(I, 8));
  list(Executors);
  constexpr int Requests = 2'000;
  int Tries = 0;
  for (int I = 0; I < Requests; ++I) {
    arrive(ask());
    std::vector<send_request> Sent = seen<send_request>();
    Now += milliseconds(10);
    apply(time_passed{});
    for (const send_request &Retry : seen<send_request>())
      Sent.push_back(Retry);
    Tries += static_cast<int>(Sent.size());
    for (const send_request &Send : Sent)
      end(Send.Number, try_outcome::Failed, verdict::Unknown);
  }
  CHECK(Tries <= Requests * (1 + retry_budget::Share) + retry_budget::Burst);
}

TEST_CASE("retry delays are decorrelated and bounded") {
  milliseconds Delay{0};
  std::set<milliseconds> Distinct;
  for (std::uint64_t Random = 1; Random < 200; ++Random) {
    const milliseconds Next = retryDelay(Delay, Random * 0x9e3779b97f4a7c15);
    CHECK(Next >= MinRetryDelay);
    CHECK(Next <= MaxRetryDelay);
    CHECK(Next <= std::max(Delay, MinRetryDelay) * 3);
    Distinct.insert(Next);
    Delay = Next;
  }
  CHECK(Distinct.size() > 20);
}

TEST_CASE_METHOD(flow_fixture,
                 "a timed-out request keeps its slot for AbandonedHold") {
  list({executor(0)});
  const request_number Slow = arrive(ask());
  const request_number Next = arrive(ask());
  end(Slow, try_outcome::TimedOut, verdict::Unknown);
  CHECK(sent() == 0);
  pass(AbandonedHold - milliseconds(1));
  CHECK(sent() == 0);
  pass(milliseconds(1));
  CHECK((sent() == Next || sent() == Slow));
}
