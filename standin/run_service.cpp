#include "standin/run_service.hpp"

#include "apps/runtime/process.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace galenastage::standin {
namespace {

using json = nlohmann::json;

constexpr milliseconds HoldPoll{10}; // polling interval of a held call
constexpr std::int64_t MaxLeaseMs = 10'000;

} // namespace

run_service::run_service(asio::io_context &Context, const endpoint &Endpoint,
                         run_service_settings NewSettings)
    : Context(Context), Settings(std::move(NewSettings)), Started(readClock()),
      Server(Context, Endpoint, [this](http_request Request) {
        return handle(std::move(Request));
      }) {
  Born = readWallClock().time_since_epoch().count();
}

void run_service::restart() {
  Born = std::max(Born + 1, readWallClock().time_since_epoch().count());
  Started = readClock();
  Token = 0;
  LeaseEndMs = 0;
  LastNumber = 0;
  Runs.clear();
  Closed.clear();
  Ends.clear();
}

std::int64_t run_service::clock() const {
  return (readClock() - Started).count();
}

http_response run_service::answer(unsigned Status,
                                  const std::string &Reason) const {
  json Body = {{"clock_ms", clock()}};
  if (!Reason.empty())
    Body["reason"] = Reason;
  return jsonResponse(Status, Body.dump());
}

task<http_response> run_service::handle(http_request Request) {
  if (Request.Headers.find("Galenastage-Expected-Instance") != Settings.Id)
    co_return answer(421, "");
  if (Faults.IsUnhealthy)
    co_return answer(503, "");
  advance();
  http_response Response;
  const json Body = json::parse(Request.Body, nullptr, false);
  if (!Body.is_object())
    co_return answer(400, "");
  if (Request.path() == "/v1/run-start")
    Response = start(Body);
  else if (Request.path() == "/v1/run-stop")
    Response = stop(Body);
  else if (Request.path() == "/v1/hold")
    Response = co_await hold(Body);
  else
    Response = answer(404, "");
  if (Faults.LosesAnswers)
    Response.Status = 0;
  co_return Response;
}

bool run_service::isFenced(const json &Body) {
  const auto Given = Body.value("fencing_token", std::uint64_t{0});
  if (Given < Token)
    return true;
  Token = Given;
  return false;
}

void run_service::extendLease(const json &Body) {
  const auto Wanted = Body.value("deadline_ms", std::int64_t{0});
  LeaseEndMs = std::max(LeaseEndMs, std::min(Wanted, clock() + MaxLeaseMs));
}

http_response run_service::start(const json &Body) {
  if (isFenced(Body))
    return answer(409, "fence");
  const run_key Run{Body.at("task").get<std::string>(),
                    Body.at("attempt").get<int>()};
  if (Runs.contains(Run))
    return answer(200, "");
  extendLease(Body);
  if (Closed[Run.first] >= Run.second)
    return answer(409, "old");
  if (LeaseEndMs <= clock())
    return answer(409, "late");
  ++Starts;
  if (Faults.CrashesOnStart) {
    restart();
    http_response Dropped;
    Dropped.Status = 0;
    return Dropped;
  }
  Runs[Run] = {readClock() + Settings.WorkTime};
  return answer(200, "");
}

http_response run_service::stop(const json &Body) {
  if (isFenced(Body))
    return answer(409, "fence");
  const run_key Run{Body.at("task").get<std::string>(),
                    Body.at("attempt").get<int>()};
  Closed[Run.first] = std::max(Closed[Run.first], Run.second);
  if (Runs.contains(Run))
    finish(Run, "stopped");
  return answer(200, "");
}

task<http_response> run_service::hold(const json &Body) {
  if (isFenced(Body))
    co_return answer(409, "fence");
  extendLease(Body);
  const auto LastSeen = Body.value("last_seen", std::int64_t{0});
  std::erase_if(Ends, [&](const end &End) { return End.Number <= LastSeen; });
  const instant Until =
      readClock() + milliseconds(Body.value("wait_ms", std::int64_t{0}));
  while (Ends.empty() && readClock() < Until) {
    co_await sleepFor(Context, HoldPoll);
    advance();
  }
  json Active = json::array();
  for (const auto &[Run, State] : Runs)
    Active.push_back({Run.first, Run.second, "", 50});
  json Ended = json::array();
  for (const end &End : Ends)
    if (Ended.size() < Settings.EndsPerPage)
      Ended.push_back({End.Number, End.Task, End.Attempt, End.How, ""});
  const json Answer = {{"clock_ms", clock()},
                       {"born", Born},
                       {"active", std::move(Active)},
                       {"ended", std::move(Ended)}};
  co_return jsonResponse(200, Answer.dump());
}

void run_service::advance() {
  std::vector<run_key> Done;
  for (const auto &[Run, State] : Runs)
    if (readClock() >= State.EndsAt)
      Done.push_back(Run);
  for (const run_key &Run : Done)
    finish(Run, Faults.FailsAll ? "failed" : "done");
  if (clock() < LeaseEndMs)
    return;
  while (!Runs.empty())
    finish(run_key(Runs.begin()->first), "lapsed");
}

void run_service::finish(const run_key &Run, const std::string &How) {
  Runs.erase(Run);
  Closed[Run.first] = std::max(Closed[Run.first], Run.second);
  Ends.push_back({++LastNumber, Run.first, Run.second, How});
}

} // namespace galenastage::standin
