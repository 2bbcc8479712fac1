#include "apps/entry/traffic.hpp"
#include "apps/runtime/logging.hpp"
#include "apps/runtime/process.hpp"
#include "core/error.hpp"
#include "core/request/routing.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace galenastage {
namespace {

constexpr const char *VerdictHeader = "Galenastage-Verdict";
constexpr std::string_view PathPrefix = "/v1/requests";
constexpr std::size_t RequestIdDigits = 16;
// How often and how many times a repeated request checks whether the first one
// has finished.
constexpr milliseconds RepeatPollInterval{400};
constexpr int MaxRepeatPolls = 3;

// Hop-by-hop fields (RFC 9110, 7.6.1) and fields that are set anew for each
// hop.
constexpr std::array HopByHop = {
    "Connection",        "Keep-Alive", "Proxy-Connection",
    "Transfer-Encoding", "Upgrade",    "TE",
    "Trailer",           "Host",       "Proxy-Authorization",
    "Content-Length",    "Expect"};

bool isSameName(std::string_view Left, std::string_view Right) {
  http_headers Single;
  Single.Fields.push_back({std::string(Left), "x"});
  return !Single.find(Right).empty();
}

std::string_view trim(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

/// Whether the Connection field lists this field as hop-by-hop.
bool isNamedByConnection(const http_headers &Headers, std::string_view Name) {
  std::string_view Rest = Headers.find("Connection");
  while (!Rest.empty()) {
    const std::size_t Comma = std::min(Rest.find(','), Rest.size());
    if (isSameName(trim(Rest.substr(0, Comma)), Name))
      return true;
    Rest.remove_prefix(std::min(Comma + 1, Rest.size()));
  }
  return false;
}

bool isHopByHop(const http_headers &Headers, const std::string &Name) {
  const bool IsKnown = std::ranges::any_of(
      HopByHop, [&](const char *Field) { return isSameName(Name, Field); });
  return IsKnown || isNamedByConnection(Headers, Name);
}

/// The end-to-end header fields. The verdict field is dropped in both
/// directions: only this system sets it.
http_headers endToEndHeaders(const http_headers &Headers) {
  http_headers Result;
  for (const http_header &Field : Headers.Fields)
    if (!isHopByHop(Headers, Field.Name) &&
        !isSameName(Field.Name, VerdictHeader))
      Result.Fields.push_back(Field);
  return Result;
}

/// The caller's timeout, capped by that of the route.
milliseconds timeoutOf(const http_request &Request, const route &Route) {
  const std::string_view Text = Request.Headers.find("Galenastage-Timeout-Ms");
  int Wanted = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Wanted);
  if (Wanted <= 0)
    return Route.Timeout;
  return std::min(Route.Timeout, milliseconds(Wanted));
}

/// A request with its route and deadline.
struct routed_request {
  http_request Request;
  route Route;
  organisation_id Organisation;
  std::string Id;
  instant Deadline;
};

/// Result of a request, for the caller and for the access log.
struct routed_answer {
  http_response Response;
  verdict Verdict = verdict::NotRun;
  executor_id Executor; // of the last attempt
  int Tries = 0;
};

organisation_id organisationOf(const tables &Tables, const route &Route) {
  const pool *Pool = findPool(Tables, Route.Pool);
  return Pool ? Pool->Organisation : organisation_id();
}

request_attributes askOf(const routed_request &Routed) {
  request_attributes Ask;
  Ask.Organisation = Routed.Organisation;
  Ask.Class = Routed.Route.Class;
  Ask.Query.Service = Routed.Route.Service;
  Ask.Query.DataCentres = Routed.Route.DataCentres;
  Ask.Query.IsIdempotent = Routed.Route.IsIdempotent;
  Ask.Deadline = Routed.Deadline;
  return Ask;
}

// Responses that this process generates

std::string_view describe(refusal Reason) {
  switch (Reason) {
  case refusal::NoExecutor:
    return "no executor may answer this route at the moment";
  case refusal::QueueFull:
    return "too many requests of this organisation and class wait already";
  case refusal::DeadlineTooSoon:
    break;
  }
  return "the request can't be answered before its deadline";
}

routed_answer problemAnswer(unsigned Status, std::string_view Title,
                            std::string_view Detail, verdict Verdict) {
  routed_answer Answer;
  Answer.Response = problemResponse(Status, Title, Detail, Verdict);
  Answer.Verdict = Verdict;
  return Answer;
}

routed_answer storeUnavailable() {
  routed_answer Answer;
  Answer.Response = storeUnavailableResponse(verdict::NotRun);
  return Answer;
}

/// The answer to a request that is not sent, or not sent again. The verdict
/// covers the attempts made so far.
routed_answer refusedAnswer(const refuse_request &Refused) {
  const unsigned Status = Refused.Verdict == verdict::NotRun ? 503 : 504;
  routed_answer Answer = problemAnswer(
      Status, "overloaded", describe(Refused.Reason), Refused.Verdict);
  Answer.Response.Headers.set("Retry-After",
                              std::to_string(Refused.RetryAfter.count()));
  return Answer;
}

// One attempt

http_request forwardedRequest(const routed_request &Routed, milliseconds Left) {
  http_request Forwarded;
  Forwarded.Method = Routed.Request.Method;
  Forwarded.Target = Routed.Request.Target.substr(PathPrefix.size());
  Forwarded.Headers = endToEndHeaders(Routed.Request.Headers);
  Forwarded.Headers.set("Galenastage-Request-Id", Routed.Id);
  Forwarded.Headers.set("Galenastage-Timeout-Ms", std::to_string(Left.count()));
  Forwarded.Body = Routed.Request.Body;
  return Forwarded;
}

response_summary factsOf(const http_result &Result) {
  const std::string_view Verdict = Result.Response.Headers.find(VerdictHeader);
  return {Result.Response.Status, Verdict == name(verdict::NotRun),
          Result.ClosesConnection};
}

/// Sends the request to one executor. If the executor refuses it before running
/// it, the verdict is NotRun.
task<http_result> sendOnce(traffic_thread &Thread, const routed_request &Routed,
                           endpoint Executor) {
  const milliseconds Left =
      std::max(Routed.Deadline - readClock(), milliseconds(1));
  const connection_use Use =
      Routed.Route.IsIdempotent ? connection_use::Reuse : connection_use::Fresh;
  http_result Result = co_await Thread.Upstream.send(
      Executor, forwardedRequest(Routed, Left), Left, Use);
  if (Result.Stage == exchange_stage::Answered && isRefusal(factsOf(Result)))
    Result.Verdict = verdict::NotRun;
  co_return Result;
}

/// The answer after the last attempt. The verdict covers all attempts.
routed_answer finalAnswer(http_result Result, const finish_request &Finished) {
  routed_answer Answer;
  if (Result.Verdict == verdict::Ran) {
    Answer.Response = std::move(Result.Response);
    Answer.Response.Headers = endToEndHeaders(Answer.Response.Headers);
  } else if (Finished.Verdict == verdict::NotRun) {
    Answer = problemAnswer(503, "no executor accepted the request",
                           Result.Error ? Result.Error.message() : "refused",
                           verdict::NotRun);
    Answer.Response.Headers.set("Retry-After", "1");
  } else {
    Answer = problemAnswer(504, "no whole answer",
                           Result.Error ? Result.Error.message() : "refused",
                           Finished.Verdict);
  }
  Answer.Verdict = Finished.Verdict;
  return Answer;
}

/// Sends the request, and sends it again, until the dispatcher's decision is
/// final.
task<routed_answer> sendThroughGate(traffic_thread &Thread,
                                    const routed_request &Routed,
                                    request_number Number) {
  request_dispatcher &Dispatcher = Thread.Requests.Dispatcher;
  http_result Result;
  executor_id Executor;
  int Tries = 0;
  request_effect Effect =
      co_await Dispatcher.submit(Thread.Context, Number, askOf(Routed));
  while (const auto *Send = std::get_if<send_request>(&Effect)) {
    Executor = Send->Executor.Executor;
    ++Tries;
    const instant StartedAt = readClock();
    Result = co_await sendOnce(Thread, Routed, Send->Executor.Address);
    try_ended Ended;
    Ended.Number = Number;
    Ended.Outcome = outcomeOf(
        Result.Stage, Result.Error == errc::DeadlineExceeded, factsOf(Result));
    Ended.Verdict = Result.Verdict;
    Ended.Took = readClock() - StartedAt;
    Effect = co_await Dispatcher.reportAttempt(Thread.Context, Ended);
  }
  routed_answer Answer;
  if (const auto *Refused = std::get_if<refuse_request>(&Effect))
    Answer = refusedAnswer(*Refused);
  else
    Answer = finalAnswer(std::move(Result), std::get<finish_request>(Effect));
  Answer.Executor = Executor;
  Answer.Tries = Tries;
  co_return Answer;
}

// At most once

routed_answer replayedAnswer(const kept_answer &Kept) {
  routed_answer Answer;
  Answer.Response.Status = Kept.Status;
  Answer.Response.Body = Kept.Body;
  if (!Kept.ContentType.empty())
    Answer.Response.Headers.set("Content-Type", Kept.ContentType);
  Answer.Response.Headers.set("Galenastage-Replayed", "true");
  Answer.Verdict = verdict::Ran;
  return Answer;
}

/// The answer to a repeated request; nullopt when the record was created by
/// this request.
std::optional<routed_answer> answerRepeat(const repeat_decision &Decision) {
  using answer = std::optional<routed_answer>;
  return std::visit(
      overloaded{
          [](const own_record &) -> answer { return std::nullopt; },
          [](const key_reused &) -> answer {
            return problemAnswer(422, "Idempotency-Key reused",
                                 "another request has already used this key",
                                 verdict::NotRun);
          },
          [](const replay_answer &Replay) -> answer {
            return replayedAnswer(Replay.Answer);
          },
          [](const already_ran &) -> answer {
            return problemAnswer(409, "already ran",
                                 "the first answer was too large to be kept",
                                 verdict::Ran);
          },
          [](const still_dispatched &) -> answer {
            return problemAnswer(409, "already dispatched",
                                 "the first request has not been answered yet",
                                 verdict::Unknown);
          },
          [](const outcome_unknown &) -> answer {
            return problemAnswer(409, "already dispatched",
                                 "the first request got no whole answer",
                                 verdict::Unknown);
          }},
      Decision);
}

/// Polls the record while the first request with this key may be in progress.
task<repeat_decision> awaitFirstRequest(traffic_thread &Thread, std::string Key,
                                        dispatch_record Own, instant Deadline,
                                        repeat_decision Decision) {
  for (int I = 0; I < MaxRepeatPolls; ++I) {
    if (!std::holds_alternative<still_dispatched>(Decision) ||
        readClock() + RepeatPollInterval >= Deadline)
      break;
    co_await sleepFor(Thread.Context, RepeatPollInterval);
    const dispatch_log::record_result Read =
        co_await Thread.Requests.Log.read(Key);
    if (Read.Found)
      Decision = decideRepeat(*Read.Found, Own);
  }
  co_return Decision;
}

/// The record to store after the exchange; nullopt removes it, so that a
/// repeated request may run.
std::optional<dispatch_record> outcomeRecord(const dispatch_record &Record,
                                             const routed_answer &Answer) {
  if (Answer.Verdict == verdict::NotRun)
    return std::nullopt;
  if (Answer.Verdict == verdict::Ran)
    return answeredRecord(
        Record, {Answer.Response.Status,
                 std::string(Answer.Response.Headers.find("Content-Type")),
                 Answer.Response.Body});
  dispatch_record Unknown = Record;
  Unknown.State = dispatch_state::Unknown;
  return Unknown;
}

/// Records the dispatch before sending, and the outcome after it.
task<routed_answer> sendAtMostOnce(traffic_thread &Thread,
                                   const routed_request &Routed,
                                   request_number Number) {
  dispatch_log &Log = Thread.Requests.Log;
  std::string CallerKey(Routed.Request.Headers.find("Idempotency-Key"));
  if (CallerKey.size() > MaxIdempotencyKeyBytes)
    co_return problemAnswer(400, "Idempotency-Key too long",
                            "at most 200 characters", verdict::NotRun);
  if (CallerKey.empty())
    CallerKey = "request-" + Routed.Id;
  const auto Refusal =
      Thread.Requests.Dispatcher.refusalNow(Number, askOf(Routed));
  if (Refusal)
    co_return refusedAnswer(*Refusal);

  const std::string Key = dispatchRecordKey(Routed.Organisation, CallerKey);
  dispatch_record Own;
  Own.RequestId = Routed.Id;
  Own.ContentHash = contentHash(Routed.Request.Method, Routed.Request.Target,
                                Routed.Request.Body);
  const dispatch_log::record_result Recorded =
      co_await Log.create(Key, Own, Routed.Deadline);
  if (Recorded.Error || !Recorded.Found)
    co_return storeUnavailable();
  repeat_decision Decision = decideRepeat(*Recorded.Found, Own);
  Decision = co_await awaitFirstRequest(Thread, Key, Own, Routed.Deadline,
                                        std::move(Decision));
  auto Repeated = answerRepeat(Decision);
  if (Repeated)
    co_return std::move(*Repeated);

  routed_answer Answer = co_await sendThroughGate(Thread, Routed, Number);
  Log.replace(Key, Own, outcomeRecord(Own, Answer));
  co_return Answer;
}

task<routed_answer> routeRequest(traffic_thread &Thread,
                                 const routed_request &Routed) {
  const request_number Number = Thread.Requests.Dispatcher.nextNumber();
  if (Routed.Route.IsIdempotent)
    co_return co_await sendThroughGate(Thread, Routed, Number);
  co_return co_await sendAtMostOnce(Thread, Routed, Number);
}

void logAccess(const routed_request &Routed, const routed_answer &Answer,
               milliseconds Took) {
  writeLog(events::RequestAnswered,
           {{"request", Routed.Id},
            {"route", Routed.Route.Name.Value},
            {"organisation", Routed.Organisation.Value},
            {"class", std::string(name(Routed.Route.Class))},
            {"executor", Answer.Executor.Value},
            {"tries", std::to_string(Answer.Tries)},
            {"status", std::to_string(Answer.Response.Status)},
            {"verdict", std::string(name(Answer.Verdict))},
            {"ms", std::to_string(Took.count())}});
}

} // namespace

task<http_response> handleRequest(traffic_thread &Thread,
                                  http_request Request) {
  if (!Thread.Snapshot)
    co_return storeUnavailableResponse(verdict::NotRun);
  const instant StartedAt = readClock();
  const entry_snapshot_ptr Snapshot = Thread.Snapshot;
  const std::string Path(Request.path().substr(PathPrefix.size()));
  const route *Route = matchRoute(*Snapshot->Tables, Path);
  if (!Route)
    co_return problemResponse(404, "no route", Path, verdict::NotRun);

  routed_request Routed;
  Routed.Route = *Route;
  Routed.Organisation = organisationOf(*Snapshot->Tables, *Route);
  Routed.Id = randomHex(RequestIdDigits);
  Routed.Deadline = StartedAt + timeoutOf(Request, *Route);
  Routed.Request = std::move(Request);
  routed_answer Answer = co_await routeRequest(Thread, Routed);
  Answer.Response.Headers.set("Galenastage-Request-Id", Routed.Id);
  const milliseconds Took = readClock() - StartedAt;
  logAccess(Routed, Answer, Took);
  Thread.Requests.Metrics.add(Routed.Organisation, Routed.Route.Class,
                              Answer.Verdict, Answer.Response.Status,
                              Answer.Tries, Took);
  co_return std::move(Answer.Response);
}

} // namespace galenastage
