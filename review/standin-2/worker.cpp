#include "review/standin-2/worker.hpp"

#include "apps/runtime/process.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace galenastage::review {
namespace {

using json = nlohmann::json;

constexpr milliseconds HoldPoll{10};
constexpr std::int64_t HoldMaxMs = 10'000;
// The first lives have been up for some minutes.
constexpr std::int64_t OldClockMs = 400'000;
constexpr int MilliCpu = 32'000;
constexpr int MemoryMb = 65'536;
constexpr int Accelerators = 8;

/// Work of a spec "work_ms=N"; nullopt: until it is stopped.
std::optional<milliseconds> workOf(const std::string &Spec) {
  const std::string Prefix = "work_ms=";
  if (!Spec.starts_with(Prefix))
    return std::nullopt;
  return milliseconds(std::stoi(Spec.substr(Prefix.size())));
}

std::int64_t wallMs() { return readWallClock().time_since_epoch().count(); }

} // namespace

worker::worker(asio::io_context &Context, const std::string &Address,
               worker_name FirstName, std::string Rack, record_line Record)
    : Context(Context), Name(std::move(FirstName)), Rack(std::move(Rack)),
      Record(std::move(Record)), Born(wallMs() - OldClockMs),
      FirstClockMs(OldClockMs), Started(readClock()),
      Server(Context, {Address, 0}, [this](http_request Request) {
        return handle(std::move(Request));
      }) {}

// Lives

std::int64_t worker::clock() const {
  return FirstClockMs + (readClock() - Started).count();
}

void worker::crash() {
  Record("worker " + Name.Id + " crashes with " + std::to_string(running()) +
         " runs");
  while (!Runs.empty())
    finish(run_key(Runs.begin()->first), "crashed");
  IsUp = false;
}

void worker::boot(worker_name NewName) {
  Record("worker " + Name.Id + " boots as " + NewName.Id);
  Name = std::move(NewName);
  IsUp = true;
  Born = wallMs();
  FirstClockMs = 0;
  Sequence = 0;
  Started = readClock();
  Token = 0;
  LeaseEndMs = 0;
  LastNumber = 0;
  Closed.clear();
  Ends.clear();
}

void worker::setCut(bool NewIsCut) {
  IsCut = NewIsCut;
  Record("worker " + Name.Id + (IsCut ? " is cut off" : " is reachable again"));
}

void worker::deferNextStart(milliseconds By, std::function<void()> OnArrival) {
  Deferral = By;
  OnDeferred = std::move(OnArrival);
}

bool worker::runs(const std::string &Task) const {
  return std::ranges::any_of(
      Runs, [&](const auto &Item) { return Item.first.first == Task; });
}

std::string worker::report() {
  return json{
      {"service", "demo"},
      {"address", printEndpoint(Server.localEndpoint())},
      {"zone", "a"},
      {"version", "1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_left_ms", 0},
      {"sequence", ++Sequence},
      {"born", Born},
      {"capacity",
       {{"cpu", MilliCpu}, {"mem_mb", MemoryMb}, {"gpu", Accelerators}}},
      {"labels", {Name.Kind, Rack}}}
      .dump();
}

// Calls

http_response worker::answer(unsigned Status, const std::string &Reason) const {
  json Body = {{"clock_ms", clock()}, {"born", Born}};
  if (!Reason.empty())
    Body["reason"] = Reason;
  return jsonResponse(Status, Body.dump());
}

/// Until the caller has long given up.
task<http_response> worker::leaveUnanswered() {
  co_await sleepFor(Context, milliseconds(5'000));
  while (IsCut)
    co_await sleepFor(Context, HoldPoll);
  http_response Closed;
  Closed.Status = 0;
  co_return Closed;
}

task<http_response> worker::handle(http_request Request) {
  if (IsCut)
    co_return co_await leaveUnanswered();
  const bool IsStart = Request.path() == "/v1/run-start";
  if (IsStart && IsUp && Deferral) {
    const milliseconds By = *std::exchange(Deferral, std::nullopt);
    const json Body = json::parse(Request.Body);
    Record("worker " + Name.Id + " leaves the start of " +
           Body.at("task").get<std::string>() + " attempt " +
           std::to_string(Body.at("attempt").get<int>()) + " unanswered");
    asio::co_spawn(Context, startLater(Name.Id, Body, By), asio::detached);
    std::exchange(OnDeferred, {})();
    co_return co_await leaveUnanswered();
  }
  http_response Response = co_await carryOut(std::move(Request));
  if (IsStart && StartDelay > milliseconds(0))
    co_await sleepFor(Context, StartDelay);
  if (IsCut)
    co_return co_await leaveUnanswered();
  co_return Response;
}

task<http_response> worker::carryOut(http_request Request) {
  http_response Response;
  Response.Status = 0;
  if (!IsUp)
    co_return Response;
  advance();
  const json Body = json::parse(Request.Body, nullptr, false);
  const std::string Path(Request.path());
  if (Request.Headers.find("Galenastage-Expected-Instance") != Name.Id)
    co_return answer(421, "");
  if (!Body.is_object())
    co_return answer(400, "");
  if (Path == "/v1/run-start")
    co_return start(Body);
  if (Path == "/v1/run-stop")
    co_return stop(Body);
  if (Path == "/v1/hold")
    co_return co_await hold(Body);
  co_return answer(404, "");
}

task<void> worker::startLater(std::string Id, json Body, milliseconds By) {
  co_await sleepFor(Context, By);
  if (!IsUp || Name.Id != Id)
    co_return;
  advance();
  const http_response Response = start(Body);
  Record("worker " + Id + " carries out the late start of " +
         Body.at("task").get<std::string>() + ": " +
         std::to_string(Response.Status));
}

bool worker::isFenced(const json &Body) {
  const auto Given = Body.value("fencing_token", std::uint64_t{0});
  if (Given < Token)
    return true;
  Token = Given;
  return false;
}

void worker::extendLease(const json &Body) {
  const auto Wanted = Body.value("deadline_ms", std::int64_t{0});
  LeaseEndMs = std::max(LeaseEndMs, std::min(Wanted, clock() + HoldMaxMs));
}

http_response worker::start(const json &Body) {
  if (isFenced(Body))
    return answer(409, "fence");
  const run_key Key{Body.at("task").get<std::string>(),
                    Body.at("attempt").get<int>()};
  extendLease(Body);
  if (Runs.contains(Key))
    return answer(200, "");
  if (Closed[Key.first] >= Key.second)
    return answer(409, "old");
  if (LeaseEndMs <= clock())
    return answer(409, "late");
  const std::optional<milliseconds> Work = workOf(Body.value("spec", ""));
  live_run Run{Ledger.size(), std::nullopt};
  if (Work)
    Run.EndsAt = readClock() + *Work;
  Runs[Key] = Run;
  Ledger.push_back(
      {Name.Id, Born, Key.first, Key.second, readClock(), std::nullopt, ""});
  Record("worker " + Name.Id + " starts " + Key.first + " attempt " +
         std::to_string(Key.second));
  return answer(200, "");
}

http_response worker::stop(const json &Body) {
  if (isFenced(Body))
    return answer(409, "fence");
  const run_key Key{Body.at("task").get<std::string>(),
                    Body.at("attempt").get<int>()};
  Closed[Key.first] = std::max(Closed[Key.first], Key.second);
  if (Runs.contains(Key))
    finish(Key, "stopped");
  return answer(200, "");
}

/// Of its work; of its capacity, when it runs until it is stopped.
int worker::percentOf(const live_run &Run) const {
  constexpr int Whole = 100;
  if (!Run.EndsAt)
    return Whole;
  const instant Began = Ledger[Run.Record].Began;
  const auto Work = std::max(*Run.EndsAt - Began, milliseconds(1));
  return static_cast<int>((readClock() - Began) * Whole / Work);
}

task<http_response> worker::hold(json Body) {
  if (isFenced(Body))
    co_return answer(409, "fence");
  extendLease(Body);
  const auto LastSeen = Body.value("last_seen", std::int64_t{0});
  std::erase_if(Ends,
                [&](const listed_end &End) { return End.Number <= LastSeen; });
  const std::int64_t Life = Born;
  const instant Until =
      readClock() + milliseconds(Body.value("wait_ms", std::int64_t{0}));
  while (Ends.empty() && readClock() < Until) {
    co_await sleepFor(Context, HoldPoll);
    if (!IsUp || Born != Life) {
      http_response Closed;
      Closed.Status = 0;
      co_return Closed;
    }
    advance();
  }
  json Active = json::array();
  for (const auto &[Key, Run] : Runs)
    Active.push_back({Key.first, Key.second, "", percentOf(Run), 0});
  json Ended = json::array();
  for (const listed_end &End : Ends)
    Ended.push_back({End.Number, End.Task, End.Attempt, End.How, ""});
  const json Answer = {{"clock_ms", clock()},
                       {"born", Born},
                       {"active", std::move(Active)},
                       {"ended", std::move(Ended)}};
  co_return jsonResponse(200, Answer.dump());
}

// Runs

void worker::advance() {
  if (!IsUp)
    return;
  std::vector<std::pair<run_key, std::string>> Due;
  for (const auto &[Key, Run] : Runs) {
    if (Run.EndsAt && *Run.EndsAt <= readClock())
      Due.emplace_back(Key, "done");
    else if (LeaseEndMs <= clock())
      Due.emplace_back(Key, "lapsed");
  }
  for (const auto &[Key, How] : Due)
    finish(Key, How);
}

void worker::finish(const run_key &Key, const std::string &How) {
  worker_run &Run = Ledger[Runs.at(Key).Record];
  Run.Ended = readClock();
  Run.How = How;
  Runs.erase(Key);
  Closed[Key.first] = std::max(Closed[Key.first], Key.second);
  Ends.push_back({++LastNumber, Key.first, Key.second, How});
  Record("worker " + Name.Id + " ends " + Key.first + " attempt " +
         std::to_string(Key.second) + ": " + How);
}

} // namespace galenastage::review
