#include "standin/users_platform.hpp"

#include "apps/runtime/process.hpp"
#include "standin/fault_reader.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace galenastage::standin {
namespace {

using json = nlohmann::json;

constexpr milliseconds Heartbeat{1'000};
constexpr milliseconds EntryLife{3 * Heartbeat}; // of silence
constexpr milliseconds ReportPoll{50};
constexpr int MaxPercent = 100;
constexpr int ExecutorsPerRack = 3;
constexpr int CpuMillis = 32'000;
constexpr int MemoryMb = 64'000;
constexpr int Accelerators = 8;

/// What a fault description asks for: lasting faults, and what happens once.
struct wanted_faults {
  run_faults Lasting;
  std::optional<int> DarkMs; // restart, and stay dark so long
  std::optional<int> CutMs;
  bool CutIsOneWay = false;
};

int readShare(detail::object_reader &Reader, const std::string &Field) {
  const int Value = Reader.integer(Field, 0);
  if (Value < 0 || Value > MaxPercent)
    Reader.addProblem(Field, "must lie in [0, 100]");
  return Value;
}

wanted_faults readRunFaults(detail::object_reader &Reader) {
  constexpr int Absent = -1;
  const auto ReadOnce = [&](const std::string &Field) -> std::optional<int> {
    if (Reader.optional<int>(Field, Absent) == Absent)
      return std::nullopt;
    return readDelay(Reader, Field);
  };
  wanted_faults Wanted;
  Wanted.Lasting.LosesAnswers = Reader.optional<bool>("lose_answers", false);
  Wanted.Lasting.IsUnhealthy = Reader.optional<bool>("unhealthy", false);
  Wanted.Lasting.FailsAll = Reader.optional<bool>("fail", false);
  Wanted.Lasting.CrashesOnStart =
      Reader.optional<bool>("crash_on_start", false);
  Wanted.Lasting.DelayMilliseconds = readDelay(Reader, "delay_ms");
  Wanted.Lasting.LateOrdersPercent = readShare(Reader, "late_orders_percent");
  Wanted.Lasting.LateHoldsPercent = readShare(Reader, "late_holds_percent");
  Wanted.DarkMs = ReadOnce("restart_dark_ms");
  Wanted.CutMs = ReadOnce("cut_ms");
  Wanted.CutIsOneWay = Reader.optional<bool>("cut_one_way", false);
  return Wanted;
}

} // namespace

users_platform::users_platform(asio::io_context &Context,
                               const users_platform_settings &Settings)
    : Context(Context), Store(Context, Settings.Store),
      Control(Context, Settings.Control, [this](http_request Request) {
        return handle(std::move(Request));
      }) {
  for (const data_centre_settings &DataCentre : Settings.DataCentres)
    addExecutors(Settings, DataCentre);
  putConfiguration();
  asio::co_spawn(Context, reportExecutors(), asio::detached);
}

void users_platform::addExecutors(const users_platform_settings &Settings,
                                  const data_centre_settings &DataCentre) {
  for (int I = 0; I < Settings.ExecutorsPerDataCentre; ++I) {
    const std::size_t Index = Executors.size();
    const int Port =
        Settings.FirstExecutorPort == 0 ? 0 : Settings.FirstExecutorPort + I;
    run_service_settings Executor;
    Executor.Id = "i-" + std::to_string(Index);
    Executor.WorkTime = Settings.WorkTime;
    Executor.MaxLease = Settings.MaxLease;
    Executor.SlowClockPermille =
        Index % 2 == 0 ? 0 : Settings.SlowClockPermille;
    Executor.Seed = Settings.Seed + Index;
    Executors.push_back(
        {Executor.Id, DataCentre.Name.Value,
         std::make_unique<run_service>(
             Context,
             endpoint{DataCentre.Address, static_cast<std::uint16_t>(Port)},
             Executor)});
  }
}

/// Writes one public queue and one that requires a key.
void users_platform::putConfiguration() {
  const json Open = {{"name", "open"},        {"host", "demo.example"},
                     {"prefix", "/open/"},    {"service", "demo"},
                     {"priority", 1},         {"max_attempts", 3},
                     {"stretch_factor", 3.0}, {"public", true}};
  json Urgent = Open;
  Urgent["name"] = "urgent";
  Urgent["prefix"] = "/urgent/";
  Urgent["priority"] = 0;
  Urgent["public"] = false;
  const json Config = {{"version", 1},
                       {"routes", {Open, Urgent}},
                       {"services", {{{"name", "demo"}}}},
                       {"limits", {{"max_body_bytes", 262'144}}},
                       {"tenants",
                        {{{"name", "council"},
                          {"api_keys", {"demo-key"}},
                          {"guaranteed", {{"gpu", 16}}}}}}};
  Store.put("op/config", Config.dump());
}

// Entries of the executors

task<void> users_platform::reportExecutors() {
  for (;;) {
    for (listed_executor &Executor : Executors) {
      const bool IsSilent =
          Executor.Service->isDark() || Executor.Service->isCut();
      const bool IsNew = Executor.Life != Executor.Service->incarnation();
      const bool IsDue = readClock() - Executor.Reported >= Heartbeat;
      if (!IsSilent && (IsNew || IsDue))
        report(Executor);
      expire(Executor);
    }
    co_await sleepFor(Context, ReportPoll);
  }
}

void users_platform::report(listed_executor &Executor) {
  const std::int64_t Life = Executor.Service->incarnation();
  Executor.Sequence = Life == Executor.Life ? Executor.Sequence + 1 : 1;
  Executor.Life = Life;
  Executor.Reported = readClock();
  Executor.IsListed = true;
  const auto Index =
      static_cast<std::size_t>(&Executor - Executors.data()); // of all
  const auto Rack = "rack-" + std::to_string(Index / ExecutorsPerRack);
  const int Percent = Executor.Service->Faults.CapacityPercent;
  const json Entry = {
      {"service", "demo"},
      {"address", printEndpoint(Executor.Service->localEndpoint())},
      {"zone", Executor.Zone},
      {"state", "ready"},
      {"capacity",
       {{"cpu", CpuMillis * Percent / MaxPercent},
        {"mem_mb", MemoryMb * Percent / MaxPercent},
        {"gpu", Accelerators * Percent / MaxPercent}}},
      {"labels", {"kind", Rack}},
      {"born", Life},
      {"sequence", Executor.Sequence}};
  Store.put("servers/" + Executor.Id, Entry.dump());
}

/// Removes the entry of an executor that has been silent for too long.
void users_platform::expire(listed_executor &Executor) {
  if (!Executor.IsListed || readClock() - Executor.Reported < EntryLife)
    return;
  Executor.IsListed = false;
  Store.remove("servers/" + Executor.Id);
}

// Faults and the ledger

task<http_response> users_platform::handle(http_request Request) {
  constexpr std::string_view FaultsPath = "/faults/executors/";
  const std::string Path(Request.path());
  if (Path.starts_with(FaultsPath) && Request.Method == "PUT")
    co_return putFaults(Path.substr(FaultsPath.size()), Request.Body);
  if (Path == "/faults" && Request.Method == "DELETE")
    co_return clearFaults();
  if (Path == "/ledger")
    co_return showLedger();
  co_return problemResponse(404, "not found", Path, verdict::NotRun);
}

/// Applies one description to the executors of a list "i-0,i-1".
http_response users_platform::putFaults(const std::string &Ids,
                                        const std::string &Body) {
  wanted_faults Wanted;
  http_response Response = applyFaults(Body, Wanted, readRunFaults);
  if (Response.Status != 200)
    return Response;
  const auto IsNamed = [List =
                            "," + Ids + ","](const listed_executor &Executor) {
    return List.find("," + Executor.Id + ",") != std::string::npos;
  };
  for (listed_executor &Executor : Executors) {
    if (!IsNamed(Executor))
      continue;
    const int CapacityPercent = Executor.Service->Faults.CapacityPercent;
    Executor.Service->Faults = Wanted.Lasting;
    Executor.Service->Faults.CapacityPercent = CapacityPercent;
    if (Wanted.DarkMs)
      Executor.Service->restart(milliseconds(*Wanted.DarkMs));
    if (Wanted.CutMs)
      Executor.Service->cut(milliseconds(*Wanted.CutMs), Wanted.CutIsOneWay);
  }
  return Response;
}

http_response users_platform::clearFaults() {
  for (listed_executor &Executor : Executors) {
    Executor.Service->Faults = {};
    Executor.Service->endCut();
  }
  return jsonResponse(200, R"({"applied":true})");
}

http_response users_platform::showLedger() {
  std::vector<run_record> Records;
  for (listed_executor &Executor : Executors) {
    const std::vector<run_record> &Own = Executor.Service->ledger();
    Records.insert(Records.end(), Own.begin(), Own.end());
  }
  const json Ledger = printLedger(Records, readClock(),
                                  readWallClock().time_since_epoch().count());
  return jsonResponse(200, Ledger.dump());
}

} // namespace galenastage::standin
