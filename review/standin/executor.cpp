#include "review/standin/executor.hpp"

#include <algorithm>

namespace review {
namespace {

using nlohmann::json;

constexpr milliseconds CheckInInterval = 1'500ms;
constexpr milliseconds Poll = 5ms;
constexpr std::int64_t HoldMaxMs = 10'000;
constexpr std::int64_t MaxWaitMs = 2'000;
constexpr std::size_t EndsPerAnswer = 500;

moment readClock() { return std::chrono::steady_clock::now(); }

std::int64_t unixMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

executor::executor(executor_settings NewSettings, metadata_store &Store,
                   planner Plan, event_sink Sink)
    : Settings(std::move(NewSettings)), Store(Store), Plan(std::move(Plan)),
      Sink(std::move(Sink)),
      Server(Settings.Address, 0,
             [this](const http_request &Request) { return handle(Request); }) {
  Server.close();
  boot(Settings.Kind);
  Worker = std::thread([this] { work(); });
}

executor::~executor() {
  {
    const std::lock_guard Lock(Mutex);
    IsStopping = true;
    IsUp = false;
    HasChanged.notify_all();
  }
  Server.close();
  Worker.join();
}

void executor::crash() {
  {
    const std::lock_guard Lock(Mutex);
    note(executor_event::kind::Crashed);
    IsUp = false;
    Runs.clear();
    Ends.clear();
    HasChanged.notify_all();
  }
  Server.close();
}

void executor::boot(const std::string &Kind) {
  {
    const std::lock_guard Lock(Mutex);
    Settings.Kind = Kind;
    Born = unixMilliseconds();
    BootedAt = readClock();
    Sequence = 0;
    Token = 0;
    LeaseEndMs = 0;
    LastNumber = 0;
    Closed.clear();
    IsUp = true;
    note(executor_event::kind::Booted);
    checkIn();
  }
  Server.open();
}

void executor::cutOff() {
  {
    const std::lock_guard Lock(Mutex);
    note(executor_event::kind::CutOff);
    ++Cuts;
    HasChanged.notify_all();
  }
  Server.close();
}

void executor::heal() {
  Server.open();
  const std::lock_guard Lock(Mutex);
  note(executor_event::kind::Healed);
}

std::size_t executor::runs() {
  const std::lock_guard Lock(Mutex);
  return Runs.size();
}

std::optional<http_reply> executor::handle(const http_request &Request) {
  std::unique_lock Lock(Mutex);
  if (!IsUp)
    return std::nullopt;
  if (Request.header("galenastage-expected-instance") != Settings.Id)
    return answer(421);
  const json Body = json::parse(Request.Body, nullptr, false);
  if (!Body.is_object())
    return answer(400);
  advance();
  if (isFenced(Body))
    return answer(409, "fence");
  const std::string Path = Request.path();
  if (Path == "/v1/run-start")
    return start(Body);
  if (Path == "/v1/run-stop")
    return stop(Body);
  if (Path == "/v1/hold")
    return hold(Body, Lock);
  return answer(404);
}

http_reply executor::start(const json &Body) {
  const run_key Run{Body.at("task").get<std::string>(),
                    Body.at("attempt").get<int>()};
  if (Runs.contains(Run))
    return answer(200);
  extendLease(Body);
  const auto Highest = Closed.find(Run.first);
  if (Highest != Closed.end() && Highest->second >= Run.second)
    return answer(409, "old");
  if (LeaseEndMs <= clock())
    return answer(409, "late");
  const task_plan Known = Plan(Settings.Id, Run.first, Run.second);
  const moment Now = readClock();
  Runs[Run] = {Now + Known.Work, Known.Fails, Now, Known.Work};
  note(executor_event::kind::Started, Run);
  return answer(200);
}

http_reply executor::stop(const json &Body) {
  const run_key Run{Body.at("task").get<std::string>(),
                    Body.at("attempt").get<int>()};
  int &Highest = Closed[Run.first];
  Highest = std::max(Highest, Run.second);
  if (Runs.contains(Run))
    finish(Run, "stopped");
  return answer(200);
}

std::optional<http_reply> executor::hold(const json &Body,
                                         std::unique_lock<std::mutex> &Lock) {
  extendLease(Body);
  const auto LastSeen = Body.value("last_seen", std::int64_t{0});
  for (const ended &End : Ends)
    if (End.Number <= LastSeen)
      note(executor_event::kind::Noted, {End.Task, End.Attempt}, End.How);
  std::erase_if(Ends, [&](const ended &End) { return End.Number <= LastSeen; });
  const std::int64_t Boot = Born;
  const int CutsBefore = Cuts;
  const moment Until =
      readClock() +
      milliseconds(std::min(MaxWaitMs, Body.value("wait_ms", std::int64_t{0})));
  const auto IsConnected = [&] {
    return IsUp && Born == Boot && Cuts == CutsBefore;
  };
  while (IsConnected() && Ends.empty() && readClock() < Until)
    HasChanged.wait_until(Lock, Until);
  if (!IsConnected())
    return std::nullopt;
  json Active = json::array();
  for (const auto &[Run, Known] : Runs) {
    const auto Done =
        std::chrono::duration_cast<milliseconds>(readClock() - Known.Started);
    const auto Percent =
        100 * Done.count() / std::max<std::int64_t>(1, Known.Work.count());
    Active.push_back({Run.first, Run.second, "", Percent, 0});
  }
  json Listed = json::array();
  for (const ended &End : Ends)
    if (Listed.size() < EndsPerAnswer)
      Listed.push_back({End.Number, End.Task, End.Attempt, End.How, ""});
  return http_reply{200, json{{"clock_ms", clock()},
                              {"born", Born},
                              {"active", Active},
                              {"ended", Listed}}
                             .dump()};
}

bool executor::isFenced(const json &Body) {
  const auto Given = Body.value("fencing_token", std::int64_t{0});
  if (Given < Token)
    return true;
  Token = Given;
  return false;
}

void executor::extendLease(const json &Body) {
  const auto Wanted = Body.value("deadline_ms", std::int64_t{0});
  LeaseEndMs = std::max(LeaseEndMs, std::min(Wanted, clock() + HoldMaxMs));
}

void executor::finish(const run_key &Run, const std::string &How) {
  Runs.erase(Run);
  int &Highest = Closed[Run.first];
  Highest = std::max(Highest, Run.second);
  Ends.push_back({++LastNumber, Run.first, Run.second, How});
  note(executor_event::kind::Ended, Run, How);
  HasChanged.notify_all();
}

/// Ends the runs whose work is done, and all of them once the lease is over.
void executor::advance() {
  std::vector<std::pair<run_key, std::string>> Over;
  const bool IsLapsed = clock() >= LeaseEndMs;
  for (const auto &[Run, Known] : Runs) {
    if (readClock() >= Known.EndsAt)
      Over.emplace_back(Run, Known.Fails ? "failed" : "done");
    else if (IsLapsed)
      Over.emplace_back(Run, "lapsed");
  }
  for (const auto &[Run, How] : Over)
    finish(Run, How);
}

void executor::checkIn() {
  const json Entry = {
      {"service", Settings.Service},
      {"address", Settings.Address + ":" + std::to_string(Server.port())},
      {"zone", Settings.Zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_left_ms", 0},
      {"capacity",
       {{"cpu", Settings.Capacity.Cpu},
        {"mem_mb", Settings.Capacity.MemoryMb},
        {"gpu", Settings.Capacity.Accelerators}}},
      {"labels", {Settings.Kind, Settings.Rack}},
      {"born", Born},
      {"clock_ms", clock()},
      {"sequence", ++Sequence}};
  Store.put("servers/" + Settings.Id, Entry.dump());
  NextCheckIn = readClock() + CheckInInterval;
  IsListed = true;
}

void executor::work() {
  std::unique_lock Lock(Mutex);
  while (!IsStopping) {
    HasChanged.wait_for(Lock, Poll);
    if (!IsUp) {
      // The platform removes the entry of a silent executor.
      if (IsListed && readClock() >= NextCheckIn + 2 * CheckInInterval) {
        Store.remove("servers/" + Settings.Id);
        IsListed = false;
      }
      continue;
    }
    advance();
    if (readClock() >= NextCheckIn)
      checkIn();
  }
}

void executor::note(executor_event::kind What, const run_key &Run,
                    const std::string &How) {
  Sink({readClock(), What, Settings.Id, Settings.Kind, Run.first, Run.second,
        How});
}

std::int64_t executor::clock() const {
  return std::chrono::duration_cast<milliseconds>(readClock() - BootedAt)
      .count();
}

http_reply executor::answer(int Status, const std::string &Reason) const {
  json Body = {{"clock_ms", clock()}, {"born", Born}};
  if (!Reason.empty())
    Body["reason"] = Reason;
  return {Status, Body.dump()};
}

} // namespace review
