#include "apps/entry/traffic.hpp"
#include "apps/runtime/logging.hpp"
#include "apps/runtime/process.hpp"
#include "core/request/routing.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace galenastage {
namespace {

using nlohmann::json;

constexpr std::string_view PathPrefix = "/v1/requests";
constexpr std::size_t RequestIdDigits = 16;
constexpr int MaxTries = 3;
constexpr milliseconds SlotPoll{2};
constexpr milliseconds MaxSlotWait{5'000};

// Fields that concern one connection only (RFC 9110, 7.6.1).
constexpr std::array HopByHop = {
    "Connection",        "Keep-Alive", "Proxy-Connection",
    "Transfer-Encoding", "Upgrade",    "TE",
    "Trailer",           "Host",       "Proxy-Authorization",
    "Content-Length"};

bool isHopByHop(const std::string &Name) {
  http_headers Single;
  Single.Fields.push_back({Name, "x"});
  return std::ranges::any_of(
      HopByHop, [&](const char *Field) { return !Single.find(Field).empty(); });
}

http_headers passThrough(const http_headers &Headers) {
  http_headers Result;
  for (const http_header &Field : Headers.Fields)
    if (!isHopByHop(Field.Name))
      Result.Fields.push_back(Field);
  return Result;
}

/// The caller's time limit, bounded by the route's.
milliseconds timeoutOf(const http_request &Request, const route &Route) {
  const std::string_view Text = Request.Headers.find("Galenastage-Timeout-Ms");
  int Wanted = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Wanted);
  if (Wanted <= 0)
    return Route.Timeout;
  return std::min(Route.Timeout, milliseconds(Wanted));
}

http_response overloadedResponse() {
  http_response Response =
      problemResponse(503, "overloaded", "no executor slot became free in time",
                      verdict::NotRun);
  Response.Headers.set("Retry-After", "1");
  return Response;
}

/// One request on its way through this instance.
struct routed_request {
  http_request Request;
  route Route;
  std::string Id;
  instant Deadline;
};

/// Waits for a free slot until the deadline or a bound, whichever is first.
task<std::optional<executor_choice>> waitForSlot(traffic_thread &Thread,
                                                 const routed_request &Routed) {
  const instant GiveUp = std::min(Routed.Deadline, readClock() + MaxSlotWait);
  while (readClock() < GiveUp) {
    if (const executor_choice *Choice =
            takeSlot(*Thread.Snapshot, Routed.Route))
      co_return *Choice;
    co_await sleepFor(Thread.Context, SlotPoll);
  }
  co_return std::nullopt;
}

/// Sends the request to one executor and gives its slot back.
task<http_result> sendOnce(traffic_thread &Thread, const routed_request &Routed,
                           executor_choice Choice) {
  http_request Forwarded;
  Forwarded.Method = Routed.Request.Method;
  Forwarded.Target = Routed.Request.Target.substr(PathPrefix.size());
  Forwarded.Headers = passThrough(Routed.Request.Headers);
  Forwarded.Headers.set("Galenastage-Request-Id", Routed.Id);
  Forwarded.Body = Routed.Request.Body;
  const milliseconds Left = Routed.Deadline - readClock();
  Forwarded.Headers.set("Galenastage-Timeout-Ms", std::to_string(Left.count()));
  http_result Result =
      co_await Thread.Upstream.send(Choice.Row.Address, std::move(Forwarded),
                                    std::max(Left, milliseconds(1)));
  Choice.Counter->InUse.fetch_sub(1);
  // An executor over its limits says so before it runs anything.
  const bool IsRefused = !Result.Error && Result.Response.Status == 503 &&
                         Result.Response.Headers.find("Galenastage-Verdict") ==
                             name(verdict::NotRun);
  if (IsRefused)
    Result.Verdict = verdict::NotRun;
  co_return Result;
}

bool isAnswered(const http_result &Result) {
  return !Result.Error && Result.Verdict == verdict::Ran;
}

/// Tries executors until one answers or a retry is no longer safe.
task<http_result> sendWithRetries(traffic_thread &Thread,
                                  const routed_request &Routed) {
  http_result Result;
  for (int Try = 0; Try < MaxTries; ++Try) {
    const auto Choice = co_await waitForSlot(Thread, Routed);
    if (!Choice) {
      if (Try == 0)
        Result.Error =
            std::make_error_code(std::errc::resource_unavailable_try_again);
      break;
    }
    Result = co_await sendOnce(Thread, Routed, *Choice);
    const bool MayRetry =
        Result.Verdict == verdict::NotRun || Routed.Route.IsIdempotent;
    if (isAnswered(Result) || !MayRetry || readClock() >= Routed.Deadline)
      break;
  }
  co_return Result;
}

http_response answerOf(http_result Result) {
  if (isAnswered(Result)) {
    Result.Response.Headers = passThrough(Result.Response.Headers);
    return std::move(Result.Response);
  }
  if (Result.Verdict == verdict::NotRun)
    return overloadedResponse();
  return problemResponse(504, "no whole answer", Result.Error.message(),
                         Result.Verdict);
}

// At most once

std::string dispatchKey(const route &Route, const std::string &Key) {
  return "/galenastage/dispatch/" + Route.Name.Value + "/" + Key;
}

/// Records that a non-idempotent request is about to leave. Returns an answer
/// for the caller when it must not leave.
task<std::optional<http_response>> recordDispatch(traffic_thread &Thread,
                                                  const routed_request &Routed,
                                                  std::string Key) {
  const std::string Record =
      json{{"request_id", Routed.Id}, {"state", "dispatched"}}.dump();
  store_transaction Transaction;
  Transaction.Conditions.push_back(key_missing{Key});
  Transaction.Changes.push_back(put_key{Key, Record});
  const store_write Write =
      co_await Thread.Store.commit(std::move(Transaction));
  if (!Write.Error && Write.IsApplied)
    co_return std::nullopt;
  if (Write.Error && Write.Verdict == verdict::NotRun)
    co_return storeUnavailableResponse(verdict::NotRun);
  const store_read Read = co_await Thread.Store.read(Key);
  if (Read.Error)
    co_return storeUnavailableResponse(verdict::NotRun);
  const bool IsOurs =
      !Read.Entries.empty() && Read.Entries.front().Value == Record;
  if (IsOurs)
    co_return std::nullopt; // the write took effect, its answer was lost
  if (Read.Entries.empty())
    co_return storeUnavailableResponse(verdict::NotRun);
  const json Earlier = json::parse(Read.Entries.front().Value, nullptr, false);
  const bool HasRun =
      Earlier.is_object() && Earlier.value("state", "") == "answered";
  co_return problemResponse(409, "already dispatched",
                            "a request with this Idempotency-Key has left",
                            HasRun ? verdict::Ran : verdict::Unknown);
}

/// Notes the outcome for later repeats. Best effort: without it a repeat is
/// told "unknown", which is true as well.
task<void> recordOutcome(traffic_thread &Thread, std::string Id,
                         std::string Key, verdict Verdict) {
  store_transaction Transaction;
  if (Verdict == verdict::NotRun)
    Transaction.Changes.push_back(delete_key{Key});
  else
    Transaction.Changes.push_back(put_key{
        Key, json{{"request_id", Id},
                  {"state", Verdict == verdict::Ran ? "answered" : "unknown"}}
                 .dump()});
  co_await Thread.Store.commit(std::move(Transaction));
}

task<http_response> routeRequest(traffic_thread &Thread,
                                 routed_request Routed) {
  if (Routed.Route.IsIdempotent) {
    http_result Result = co_await sendWithRetries(Thread, Routed);
    co_return answerOf(std::move(Result));
  }
  std::string CallerKey(Routed.Request.Headers.find("Idempotency-Key"));
  if (CallerKey.empty())
    CallerKey = Routed.Id;
  const std::string Key = dispatchKey(Routed.Route, CallerKey);
  auto Refused = co_await recordDispatch(Thread, Routed, Key);
  if (Refused)
    co_return std::move(*Refused);
  const http_result Result = co_await sendWithRetries(Thread, Routed);
  co_await recordOutcome(Thread, Routed.Id, Key, Result.Verdict);
  co_return answerOf(Result);
}

} // namespace

task<http_response> handleRequest(traffic_thread &Thread,
                                  http_request Request) {
  if (!Thread.Snapshot)
    co_return storeUnavailableResponse(verdict::NotRun);
  const instant Began = readClock();
  const std::string Path(Request.path().substr(PathPrefix.size()));
  const route *Route = matchRoute(*Thread.Snapshot->Tables, Path);
  if (!Route)
    co_return problemResponse(404, "no route", Path, verdict::NotRun);

  routed_request Routed;
  Routed.Route = *Route;
  Routed.Id = randomHex(RequestIdDigits);
  Routed.Deadline = Began + timeoutOf(Request, *Route);
  Routed.Request = std::move(Request);
  const std::string Id = Routed.Id;
  const std::string RouteName = Route->Name.Value;
  http_response Response = co_await routeRequest(Thread, std::move(Routed));
  Response.Headers.set("Galenastage-Request-Id", Id);
  const std::string_view Verdict = Response.Headers.find("Galenastage-Verdict");
  writeLog(events::RequestAnswered,
           {{"request", Id},
            {"route", RouteName},
            {"status", std::to_string(Response.Status)},
            {"verdict", Verdict.empty() ? "ran" : std::string(Verdict)},
            {"ms", std::to_string((readClock() - Began).count())}});
  co_return Response;
}

} // namespace galenastage
