#include "review/standin-2/world.hpp"

#include "apps/runtime/process.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace galenastage::review {
namespace {

using json = nlohmann::json;

constexpr milliseconds HeartbeatInterval{1'500};
constexpr milliseconds EntryLife = 3 * HeartbeatInterval;
constexpr milliseconds Tick{20};
constexpr int InternalPorts = 16;
constexpr const char *Host = "demo.example";

/// Of a small deployment, in the words of DEPLOY.md.
json bounds() {
  return {{"grace_s", 6},        {"hold_max_ms", 10'000},
          {"cancel_ms", 3'000},  {"visible_ms", 3'000},
          {"drain_ms", 2'000},   {"stop_timeout_ms", 400},
          {"contact_ms", 3'000}, {"checkpoint_interval_s", 2},
          {"restore_ms", 100},   {"config_apply_ms", 2'000}};
}

json route(const std::string &Name, const std::string &Path, int Priority) {
  return {{"name", Name},          {"host", Host},
          {"prefix", Path},        {"service", "demo"},
          {"priority", Priority},  {"max_attempts", 3},
          {"stretch_factor", 3.0}, {"target_duration_ms", 1'000}};
}

json tenant(const std::string &Name, const std::string &TenantKey, int Gpu) {
  return {{"name", Name},
          {"api_keys", json::array({TenantKey})},
          {"guaranteed", {{"gpu", Gpu}}}};
}

json configuration() {
  constexpr int GuaranteedGpu = 16;
  return {
      {"version", 3},
      {"routes", {route("demo", Prefix, 1), route("urgent", UrgentPrefix, 0)}},
      {"services", {{{"name", "demo"}, {"admission_control", false}}}},
      {"limits", {{"max_body_bytes", 262'144}}},
      {"tenants",
       {tenant("council", Key, GuaranteedGpu), tenant("other", OtherKey, 0)}}};
}

bool isFree(const std::string &Address, int Port) {
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor(Context, asio::ip::tcp::v4());
  boost::system::error_code Error;
  Acceptor.bind(
      {asio::ip::make_address(Address), static_cast<std::uint16_t>(Port)},
      Error);
  return !Error;
}

/// The first of so many free ports in a row, below those of connections.
int freePorts(const std::string &Address, int Count) {
  constexpr int First = 7'000;
  constexpr int End = 30'000;
  int Begin = First;
  for (int Port = First; Port < End; ++Port) {
    if (!isFree(Address, Port))
      Begin = Port + 1;
    else if (Port + 1 - Begin == Count)
      return Begin;
  }
  throw std::runtime_error("no free ports");
}

} // namespace

world::world(asio::io_context &Context, world_settings NewSettings)
    : Context(Context), Settings(std::move(NewSettings)),
      RecordFile(Settings.Record), Began(readClock()),
      Store(Context, {Settings.Net + ".1.1", 0}),
      Client(Context, Settings.Net + ".2.1") {
  InternalPort = freePorts(Settings.Net + ".4.1", InternalPorts + 2);
  FrontPort = InternalPort + InternalPorts;
}

world::~world() {
  for (auto &[Number, Instance] : Instances)
    killInstance(Number);
}

void world::record(const std::string &Text) {
  std::ostringstream Line;
  Line.setf(std::ios::fixed);
  Line.precision(3);
  Line << static_cast<double>((readClock() - Began).count()) / 1'000 << " s  "
       << Text;
  RecordFile << Line.str() << std::endl;
}

// Workers

void world::addWorker(const worker_name &Name, const std::string &Rack) {
  const std::string Address =
      Settings.Net + ".3." + std::to_string(Workers.size() + 1);
  Workers.push_back(std::make_unique<worker>(
      Context, Address, Name, Rack,
      [this](const std::string &Text) { record(Text); }));
}

void world::begin() {
  Store.put("op/config", configuration().dump());
  asio::co_spawn(Context, reportWorkers(), asio::detached);
}

task<void> world::reportWorkers() {
  for (;;) {
    const instant Now = readClock();
    for (const auto &Worker : Workers) {
      Worker->advance();
      const auto Known = Reported.find(Worker->id());
      const bool IsDue =
          Known == Reported.end() || Now - Known->second >= HeartbeatInterval;
      if (!Worker->isUp() || Worker->isCut() || !IsDue)
        continue;
      Reported[Worker->id()] = Now;
      Store.put("servers/" + Worker->id(), Worker->report());
    }
    for (auto Entry = Reported.begin(); Entry != Reported.end();) {
      if (Now - Entry->second < EntryLife) {
        ++Entry;
        continue;
      }
      record("the entry of " + Entry->first + " is removed");
      Store.remove("servers/" + Entry->first);
      Entry = Reported.erase(Entry);
    }
    co_await sleepFor(Context, Tick);
  }
}

std::vector<worker_run> world::runsOf(const std::string &Task) const {
  std::vector<worker_run> Found;
  for (const auto &Worker : Workers)
    for (const worker_run &Run : Worker->ledger())
      if (Run.Task == Task)
        Found.push_back(Run);
  std::ranges::stable_sort(Found, {}, &worker_run::Began);
  return Found;
}

worker *world::runner(const std::string &Task) const {
  for (const auto &Worker : Workers)
    if (Worker->isUp() && Worker->runs(Task))
      return Worker.get();
  return nullptr;
}

bool overlap(const worker_run &First, const worker_run &Second, instant Now) {
  return Second.Began < First.Ended.value_or(Now) &&
         First.Began < Second.Ended.value_or(Now);
}

// Instances

void world::writeSettings(int Number) {
  instance_process &Instance = Instances[Number];
  Instance.Address = Settings.Net + ".4." + std::to_string(Number);
  Instance.File = Settings.Folder + "/edge-" + std::to_string(Number) + ".json";
  const std::string Front = Instance.Address + ":" + std::to_string(FrontPort);
  const json File = {
      {"node_name", "edge-a-" + std::to_string(Number)},
      {"role", "instance"},
      {"machine_class", "edge"},
      {"serves", {"edge"}},
      {"ip", Instance.Address},
      {"zone", "a"},
      {"region", "r"},
      {"zones", {{"a", "r"}}},
      {"listen_addrs",
       {{"frontend", Front},
        {"ready", Instance.Address + ":" + std::to_string(FrontPort + 1)}}},
      {"internal_ports", {InternalPort, InternalPort + InternalPorts - 1}},
      {"bootstrap", true},
      {"limits",
       {{"cpu_quota", 0.25},
        {"cpu_cores", 1},
        {"memory_mb", 260},
        {"max_fds", 4'100},
        {"link_mbps", 1'000.0}}},
      {"discovery", "platform"},
      {"heartbeat_ms", HeartbeatInterval.count()},
      {"bounds", bounds()},
      {"commands", "invocation"},
      {"platform",
       {{"address", printEndpoint(Store.localEndpoint())},
        {"form", "kv"},
        {"writes_per_s", 400},
        {"reads_per_s", 2'000},
        {"history_s", 20},
        {"value_bytes", 1'048'576},
        {"ttl_min_ms", 1'000}}}};
  std::ofstream(Instance.File) << File.dump(2);
}

void world::startInstance(int Number) {
  writeSettings(Number);
  instance_process &Instance = Instances[Number];
  record("instance " + std::to_string(Number) + " is started");
  const std::string Variable = "GALENASTAGE_NODE_FILE=" + Instance.File;
  const std::string Log =
      Settings.Folder + "/edge-" + std::to_string(Number) + ".log";
  std::string Program = Settings.Run;
  const pid_t Process = fork();
  if (Process != 0) {
    Instance.Process = Process;
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int File = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(File, STDOUT_FILENO);
  dup2(File, STDERR_FILENO);
  close_range(STDERR_FILENO + 1, ~0U, 0);
  std::string Environment = Variable;
  char *Arguments[] = {Program.data(), nullptr};
  char *Variables[] = {Environment.data(), nullptr};
  execve(Program.c_str(), Arguments, Variables);
  _exit(127);
}

void world::killInstance(int Number) {
  instance_process &Instance = Instances[Number];
  if (Instance.Process <= 0)
    return;
  record("instance " + std::to_string(Number) + " is killed");
  kill(Instance.Process, SIGKILL);
  waitpid(Instance.Process, nullptr, 0);
  Instance.Process = 0;
}

int world::leader() const {
  const std::string Value = Store.value("batch/leader");
  for (const auto &[Number, Instance] : Instances)
    if (Value.starts_with("edge-a-" + std::to_string(Number) + " "))
      return Number;
  return 0;
}

task<bool> world::waitUntilReady(int Number) {
  const endpoint Ready{Instances.at(Number).Address,
                       static_cast<std::uint16_t>(FrontPort + 1)};
  for (int Try = 0; Try < 100; ++Try) {
    http_request Request;
    Request.Target = "/v1/readyz";
    const http_result Result =
        co_await Client.send(Ready, std::move(Request), milliseconds(500));
    const bool IsReady = !Result.Error && Result.Response.Status == 200;
    if (IsReady && leader() != 0)
      co_return true;
    co_await sleepFor(Context, milliseconds(100));
  }
  co_return false;
}

// Client

task<client_answer> world::call(int Number, std::string Method,
                                std::string Target, std::string Body,
                                std::string ClientKey) {
  const endpoint Front{Instances.at(Number).Address,
                       static_cast<std::uint16_t>(FrontPort)};
  http_request Request;
  Request.Method = Method;
  Request.Target = Target;
  Request.Headers.set("Host", Host);
  Request.Headers.set("Authorization", "Bearer " + ClientKey);
  Request.Headers.set("Galenastage-Deadline-Ms", "3000");
  if (!Body.empty())
    Request.Headers.set("Content-Type", "application/json");
  Request.Body = std::move(Body);
  const http_result Result =
      co_await Client.send(Front, std::move(Request), milliseconds(3'000));
  client_answer Answer;
  if (!Result.Error) {
    Answer.Status = Result.Response.Status;
    const json Told = json::parse(Result.Response.Body, nullptr, false);
    if (Told.is_object() && Answer.Status == 200) {
      Answer.State = Told.value("state", "");
      Answer.Pending = Told.value("pending", -1);
    }
  }
  record("client: " + Method + " " + Target + " at instance " +
         std::to_string(Number) + ": " + std::to_string(Answer.Status) + " " +
         (Result.Error ? Result.Error.message() : Result.Response.Body));
  co_return Answer;
}

task<client_answer> world::submit(int Number, std::string Job,
                                  std::string Body) {
  co_return co_await submitAs(Key, Prefix, Number, std::move(Job),
                              std::move(Body));
}

task<client_answer> world::submitAs(const std::string &ClientKey,
                                    const std::string &Path, int Number,
                                    std::string Job, std::string Body) {
  co_return co_await call(Number, "POST", Path + Job, std::move(Body),
                          ClientKey);
}

task<client_answer> world::readState(int Number, std::string Job) {
  co_return co_await call(Number, "GET", Prefix + Job, "", Key);
}

task<client_answer> world::readQueue(int Number) {
  co_return co_await call(Number, "GET", Prefix, "", Key);
}

} // namespace galenastage::review
