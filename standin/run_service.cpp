#include "standin/run_service.hpp"

#include "apps/runtime/process.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace galenastage::standin {
namespace {

using json = nlohmann::json;

constexpr milliseconds HoldPoll{10};   // polling interval of a held call
constexpr milliseconds Silence{5'000}; // of a call without an answer
constexpr int MinLateMs = 1'000;
constexpr int MaxLateMs = 5'000;
constexpr int Percent = 100;
constexpr int Permille = 1'000;

/// Reads the work time of a spec "work_ms=N".
std::optional<milliseconds> readWorkTime(std::string_view Spec) {
  constexpr std::string_view Prefix = "work_ms=";
  std::int64_t Value = 0;
  if (!Spec.starts_with(Prefix))
    return std::nullopt;
  Spec.remove_prefix(Prefix.size());
  const auto Read =
      std::from_chars(Spec.data(), Spec.data() + Spec.size(), Value);
  if (Read.ec != std::errc())
    return std::nullopt;
  return milliseconds(Value);
}

} // namespace

/// A call whose handling begins.
struct run_service::call {
  std::string Path;
  json Body;
  milliseconds Waited{0};
  bool IsOfFormerLife = false;
};

run_service::run_service(asio::io_context &Context, const endpoint &Endpoint,
                         run_service_settings NewSettings)
    : Context(Context), Settings(std::move(NewSettings)), Random(Settings.Seed),
      Started(readClock()),
      Server(Context, Endpoint, [this](http_request Request) {
        return handle(std::move(Request));
      }) {
  Born = readWallClock().time_since_epoch().count();
}

// Lives and cuts

void run_service::restart(milliseconds Dark) {
  advance();
  const instant Now = readClock();
  while (!Runs.empty())
    finish(run_key(Runs.begin()->first), "died", Now);
  Born = std::max(Born + 1, readWallClock().time_since_epoch().count());
  Started = Now;
  DarkUntil = Now + Dark;
  Token = 0;
  LeaseEndMs = 0;
  Lapsed.reset();
  Lease = {};
  LastNumber = 0;
  Closed.clear();
  Ends.clear();
}

void run_service::cut(milliseconds Duration, bool IsOneWay) {
  CutUntil = readClock() + Duration;
  CutIsOneWay = IsOneWay;
}

void run_service::endCut() { CutUntil = {}; }

bool run_service::readsBefore(instant Until) { return readClock() < Until; }

const std::vector<run_record> &run_service::ledger() {
  advance();
  return Ledger;
}

std::int64_t run_service::clock() const {
  return (readClock() - Started).count() *
         (Permille - Settings.SlowClockPermille) / Permille;
}

/// The first instant at which clock() shows the end of the lease.
instant run_service::leaseEnd() const {
  const std::int64_t Rate = Permille - Settings.SlowClockPermille;
  return Started + milliseconds((LeaseEndMs * Permille + Rate - 1) / Rate);
}

int run_service::draw(int Min, int Max) {
  return std::uniform_int_distribution<int>(Min, Max)(Random);
}

// Calls

http_response run_service::answer(unsigned Status,
                                  const std::string &Reason) const {
  json Body = {{"clock_ms", clock()}};
  if (!Reason.empty())
    Body["reason"] = Reason;
  return jsonResponse(Status, Body.dump());
}

milliseconds run_service::drawLateness(std::string_view Path) {
  const int Share =
      Path == "/v1/hold" ? Faults.LateHoldsPercent : Faults.LateOrdersPercent;
  if (Share == 0 || draw(1, Percent) > Share)
    return milliseconds(0);
  return milliseconds(draw(MinLateMs, MaxLateMs));
}

task<http_response> run_service::handle(http_request Request) {
  const instant Arrived = readClock();
  // Nobody knows of a life that is still dark.
  const std::int64_t ArrivedIn = isDark() ? 0 : Born;
  const milliseconds Lateness = drawLateness(Request.path());
  milliseconds Delay = Lateness;
  if (Faults.DelayMilliseconds > 0)
    Delay += milliseconds(draw(0, Faults.DelayMilliseconds));
  const bool HasArrived = co_await arrive(Delay);
  http_response Response;
  if (HasArrived)
    Response = co_await carryOut(Request, Arrived, ArrivedIn);
  const bool IsLate = Lateness > milliseconds(0);
  if (!HasArrived || IsLate || isCut())
    Response = co_await dropCall();
  co_return Response;
}

/// Waits until the executor can handle the call; false when the call is lost.
task<bool> run_service::arrive(milliseconds Delay) {
  if (isCut() && !CutIsOneWay)
    co_return false;
  if (Delay > milliseconds(0))
    co_await sleepFor(Context, Delay);
  if (isCut() && !CutIsOneWay)
    co_return false;
  while (isDark())
    co_await sleepFor(Context, DarkUntil - readClock());
  co_return true;
}

/// Leaves the caller without an answer until it has given up.
task<http_response> run_service::dropCall() {
  co_await sleepFor(Context, Silence);
  while (isCut())
    co_await sleepFor(Context, CutUntil - readClock());
  http_response Dropped;
  Dropped.Status = 0;
  co_return Dropped;
}

task<http_response> run_service::carryOut(const http_request &Request,
                                          instant Arrived,
                                          std::int64_t ArrivedIn) {
  if (Request.Headers.find("Galenastage-Expected-Instance") != Settings.Id)
    co_return answer(421, "");
  if (Faults.IsUnhealthy)
    co_return answer(503, "");
  advance();
  call Call{std::string(Request.path()),
            json::parse(Request.Body, nullptr, false), readClock() - Arrived,
            ArrivedIn != Born};
  http_response Response;
  if (!Call.Body.is_object())
    co_return answer(400, "");
  if (Call.Path == "/v1/run-start")
    Response = start(Call);
  else if (Call.Path == "/v1/run-stop")
    Response = stop(Call);
  else if (Call.Path == "/v1/hold")
    Response = co_await hold(Call);
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

void run_service::extendLease(const call &Call) {
  const auto Wanted = Call.Body.value("deadline_ms", std::int64_t{0});
  const std::int64_t End =
      std::min(Wanted, clock() + Settings.MaxLease.count());
  if (End <= LeaseEndMs)
    return;
  LeaseEndMs = End;
  Lease = {Call.Path, readClock(), Call.Waited, Call.IsOfFormerLife};
}

http_response run_service::start(const call &Call) {
  if (isFenced(Call.Body))
    return answer(409, "fence");
  const run_key Run{Call.Body.at("task").get<std::string>(),
                    Call.Body.at("attempt").get<int>()};
  extendLease(Call);
  if (Runs.contains(Run))
    return answer(200, "");
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
  begin(Run, Call);
  return answer(200, "");
}

void run_service::begin(const run_key &Run, const call &Call) {
  const instant Now = readClock();
  const milliseconds WorkTime =
      readWorkTime(Call.Body.value("spec", "")).value_or(Settings.WorkTime);
  run_record Record;
  Record.Executor = Settings.Id;
  Record.Life = Born;
  Record.Task = Run.first;
  Record.Attempt = Run.second;
  Record.Token = Token;
  Record.Began = Now;
  Record.Waited = Call.Waited;
  Record.IsOfFormerLife = Call.IsOfFormerLife;
  Runs[Run] = {Now, Now + WorkTime, Ledger.size()};
  Ledger.push_back(std::move(Record));
}

http_response run_service::stop(const call &Call) {
  if (isFenced(Call.Body))
    return answer(409, "fence");
  const run_key Run{Call.Body.at("task").get<std::string>(),
                    Call.Body.at("attempt").get<int>()};
  Closed[Run.first] = std::max(Closed[Run.first], Run.second);
  if (Runs.contains(Run))
    finish(Run, "stopped", readClock());
  return answer(200, "");
}

/// Forgets the ends up to LastSeen. An end counts as taken note of unless a
/// lease lapsed since.
void run_service::noteSeen(std::int64_t LastSeen) {
  for (const end &End : Ends)
    if (End.Number <= LastSeen && (!Lapsed || *Lapsed < End.At))
      Ledger[End.Record].Seen = readClock();
  std::erase_if(Ends, [&](const end &End) { return End.Number <= LastSeen; });
}

task<http_response> run_service::hold(const call &Call) {
  if (isFenced(Call.Body))
    co_return answer(409, "fence");
  extendLease(Call);
  noteSeen(Call.Body.value("last_seen", std::int64_t{0}));
  const std::int64_t Life = Born;
  const instant Until =
      readClock() + milliseconds(Call.Body.value("wait_ms", std::int64_t{0}));
  while (Ends.empty() && readClock() < Until) {
    co_await sleepFor(Context, HoldPoll);
    if (Born != Life) { // the life that held the call is gone
      http_response Dropped;
      Dropped.Status = 0;
      co_return Dropped;
    }
    advance();
  }
  json Active = json::array();
  for (const auto &[Run, State] : Runs) {
    const auto WorkTime = std::max(State.EndsAt - State.Began, milliseconds(1));
    const auto Done = (readClock() - State.Began) * Percent / WorkTime;
    Active.push_back({Run.first, Run.second, "", Done});
  }
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

// Runs

/// Ends what is over by now, each at its own time, in order.
void run_service::advance() {
  struct due {
    instant At;
    run_key Run;
    std::string How;
  };
  const instant Now = readClock();
  const instant LeaseEnd = leaseEnd();
  std::vector<due> Due;
  for (const auto &[Run, State] : Runs)
    if (State.EndsAt <= LeaseEnd && State.EndsAt <= Now)
      Due.push_back({State.EndsAt, Run, Faults.FailsAll ? "failed" : "done"});
    else if (LeaseEnd <= Now)
      Due.push_back({LeaseEnd, Run, "lapsed"});
  std::stable_sort(Due.begin(), Due.end(),
                   [](const due &A, const due &B) { return A.At < B.At; });
  for (const due &End : Due)
    finish(End.Run, End.How, End.At);
  if (LeaseEndMs > 0 && LeaseEnd <= Now)
    Lapsed = LeaseEnd;
}

void run_service::finish(const run_key &Run, const std::string &How,
                         instant At) {
  const std::size_t Index = Runs.at(Run).Record;
  run_record &Record = Ledger[Index];
  Record.Ended = At;
  Record.How = How;
  Record.Lease = Lease;
  Runs.erase(Run);
  Closed[Run.first] = std::max(Closed[Run.first], Run.second);
  Ends.push_back({++LastNumber, Run.first, Run.second, How, At, Index});
}

} // namespace galenastage::standin
