#include "standin/users_platform.hpp"

#include "apps/runtime/process.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace galenastage::standin {
namespace {

using json = nlohmann::json;

constexpr milliseconds Heartbeat{1'000};
constexpr int ExecutorsPerRack = 3;
constexpr int CpuMillis = 32'000;
constexpr int MemoryMb = 64'000;
constexpr int Accelerators = 8;

std::string idOf(std::size_t Index) { return "i-" + std::to_string(Index); }

} // namespace

users_platform::users_platform(asio::io_context &Context,
                               const users_platform_settings &Settings)
    : Context(Context), Store(Context, Settings.Store) {
  for (int I = 0; I < Settings.Executors; ++I) {
    const int Port =
        Settings.FirstExecutorPort == 0 ? 0 : Settings.FirstExecutorPort + I;
    run_service_settings Executor;
    Executor.Id = idOf(static_cast<std::size_t>(I));
    Executor.WorkTime = Settings.WorkTime;
    Executors.push_back(std::make_unique<run_service>(
        Context,
        endpoint{Settings.ExecutorAddress, static_cast<std::uint16_t>(Port)},
        Executor));
  }
  putConfiguration();
  asio::co_spawn(Context, reportExecutors(), asio::detached);
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

task<void> users_platform::reportExecutors() {
  for (std::int64_t Sequence = 1;; ++Sequence) {
    for (std::size_t I = 0; I < Executors.size(); ++I) {
      const auto Rack = "rack-" + std::to_string(I / ExecutorsPerRack);
      const int Percent = Executors[I]->Faults.CapacityPercent;
      const json Entry = {
          {"service", "demo"},
          {"address", printEndpoint(Executors[I]->localEndpoint())},
          {"zone", "a"},
          {"state", "ready"},
          {"capacity",
           {{"cpu", CpuMillis * Percent / 100},
            {"mem_mb", MemoryMb * Percent / 100},
            {"gpu", Accelerators * Percent / 100}}},
          {"labels", {"kind", Rack}},
          {"born", Executors[I]->incarnation()},
          {"sequence", Sequence}};
      Store.put("servers/" + idOf(I), Entry.dump());
    }
    co_await sleepFor(Context, Heartbeat);
  }
}

} // namespace galenastage::standin
