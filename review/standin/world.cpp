#include "review/standin/world.hpp"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

using nlohmann::json;

constexpr const char *Program = "target/bin/galenastage-instance";
constexpr std::uint16_t FrontPort = 8521;
constexpr std::uint16_t ReadyPort = 8523;
constexpr std::uint16_t FirstInternalPort = 7000;
constexpr int StoreHost = 1;
constexpr int FirstExecutorHost = 10;
constexpr int FirstExecutorId = 10'000'000;
constexpr int FirstInstanceHost = 100;
constexpr milliseconds ClientTimeout = 3'000ms;
constexpr int ClientTries = 5;

bool canListen(const std::string &Address, std::uint16_t Port) {
  try {
    const http_server Probe(Address, Port,
                            [](const http_request &) { return std::nullopt; });
    return true;
  } catch (const std::runtime_error &) {
    return false;
  }
}

} // namespace

std::string name(executor_event::kind What) {
  switch (What) {
  case executor_event::kind::Started:
    return "started";
  case executor_event::kind::Ended:
    return "ended";
  case executor_event::kind::Noted:
    return "end-noted";
  case executor_event::kind::Crashed:
    return "crashed";
  case executor_event::kind::Booted:
    return "booted";
  case executor_event::kind::CutOff:
    return "is cut off";
  case executor_event::kind::Healed:
    break;
  }
  return "is reached again";
}

std::string taskName(const std::string &Job, int Step, int Index) {
  return Job + ".0." + std::to_string(Step) + "." + std::to_string(Index);
}

json jobOf(int Count, const capacity &Needs, milliseconds Estimate,
           const std::string &Requirement) {
  json Step = {{"count", Count},
               {"cpu", Needs.Cpu},
               {"mem_mb", Needs.MemoryMb},
               {"estimate_ms", Estimate.count()}};
  if (Needs.Accelerators > 0)
    Step["gpu"] = Needs.Accelerators;
  if (!Requirement.empty())
    Step["requirements"] = Requirement;
  return {{"spec", "review"}, {"steps", json::array({Step})}};
}

world::world(const std::string &Root, const std::string &RecordPath,
             bool HasTrouble)
    : Root(Root), HasTrouble(HasTrouble) {
  RecordFile = ::open(RecordPath.c_str(),
                      O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0644);
  if (RecordFile < 0)
    throw cannot_run("can't write " + RecordPath);
  if (!std::filesystem::exists(Root + "/" + Program))
    throw cannot_run(std::string(Program) + " isn't built");
  std::string Template =
      std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
  if (!::mkdtemp(Template.data()))
    throw cannot_run("can't make a temporary folder");
  Folder = Template;
  const int Seed = ::getpid();
  for (int Try = 0; Try < 200 && Network.empty(); ++Try) {
    Network = "127." + std::to_string(1 + (Seed + Try) % 250) + "." +
              std::to_string(1 + (Seed / 250 + Try) % 250) + ".";
    const bool IsFree = canListen(address(FirstInstanceHost), FrontPort) &&
                        canListen(address(FirstInstanceHost), ReadyPort);
    if (!IsFree)
      Network.clear();
  }
  if (Network.empty())
    throw cannot_run("no free addresses");
  Store = std::make_unique<metadata_store>(address(StoreHost));
  record(HasTrouble ? "with the disruption" : "without the disruption");
}

world::~world() {
  for (const pid_t Process : Processes)
    if (Process != 0)
      ::kill(Process, SIGKILL);
  for (const pid_t Process : Processes)
    if (Process != 0)
      ::waitpid(Process, nullptr, 0);
  Executors.clear();
  Store.reset();
  std::error_code Ignored;
  if (!std::getenv("REVIEW_KEEP"))
    std::filesystem::remove_all(Folder, Ignored);
  ::close(RecordFile);
}

std::string world::address(int Host) const {
  return Network + std::to_string(Host);
}

std::int64_t world::sinceStart(moment At) const {
  return std::chrono::duration_cast<milliseconds>(At - Began).count();
}

void world::record(const std::string &Line) {
  const std::string Text =
      std::to_string(sinceStart(std::chrono::steady_clock::now())) + " ms  " +
      Line + "\n";
  const std::lock_guard Lock(Mutex);
  if (::write(RecordFile, Text.data(), Text.size()) < 0)
    std::cerr << "the record can't be written\n";
}

void world::note(const executor_event &Event) {
  std::string Line =
      Event.Executor + " (kind " + Event.Label + ") " + name(Event.What);
  if (!Event.Task.empty())
    Line += " " + Event.Task + " attempt " + std::to_string(Event.Attempt);
  if (!Event.How.empty())
    Line += " " + Event.How;
  record(Line);
  const std::lock_guard Lock(Mutex);
  Events.push_back(Event);
}

std::vector<executor_event> world::events() {
  const std::lock_guard Lock(Mutex);
  return Events;
}

bool world::eventually(milliseconds Within,
                       const std::function<bool()> &Condition) {
  const moment Until = std::chrono::steady_clock::now() + Within;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= Until)
      return false;
    std::this_thread::sleep_for(20ms);
  }
  return true;
}

void world::configure(const std::vector<route> &Routes) {
  json Printed = json::array();
  for (const route &Route : Routes)
    Printed.push_back({{"name", Route.Name},
                       {"host", "jobs.example"},
                       {"prefix", Route.Prefix},
                       {"kind", "non_idempotent"},
                       {"timeout_ms", 3'000},
                       {"target_duration_ms", Route.TargetMs},
                       {"priority", Route.Priority},
                       {"service", "work"},
                       {"max_attempts", Route.MaxAttempts},
                       {"stretch_factor", 3.0},
                       {"public", false}});
  const json Config = {
      {"version", 7},
      {"routes", Printed},
      {"services",
       json::array({{{"name", "work"}, {"admission_control", false}}})},
      {"limits", {{"max_header_bytes", 16'384}, {"max_body_bytes", 262'144}}},
      {"tenants", json::array({{{"name", "council"},
                                {"api_keys", json::array({"council-key"})},
                                {"guaranteed", {{"gpu", 4}}}}})}};
  Store->put("op/config", Config.dump());
}

executor &world::addExecutor(const std::string &Kind, const std::string &Rack) {
  const int Number = static_cast<int>(Executors.size());
  executor_settings Settings;
  Settings.Id = "i-" + std::to_string(FirstExecutorId + Number);
  Settings.Address = address(FirstExecutorHost + Number);
  Settings.Kind = Kind;
  Settings.Rack = Rack;
  Settings.Capacity = {32'000, 65'536, 8};
  Executors.push_back(std::make_unique<executor>(
      std::move(Settings), *Store,
      [this](const std::string &Id, const std::string &Task, int Attempt) {
        return Plan(Id, Task, Attempt);
      },
      [this](const executor_event &Event) { note(Event); }));
  return *Executors.back();
}

void world::startInstances(int Count) {
  Store->setLink(LinkMbps);
  for (int I = 0; I < Count; ++I) {
    const std::string Ip = address(FirstInstanceHost + I);
    const auto At = [&](std::uint16_t Port) {
      return Ip + ":" + std::to_string(Port);
    };
    const json Settings = {
        {"node_name", "edge-zone-a-" + std::to_string(I + 1)},
        {"role", "instance"},
        {"machine_class", "edge"},
        {"serves", json::array({"edge"})},
        {"ip", Ip},
        {"zone", "zone-a"},
        {"region", "zone"},
        {"zones", {{"zone-a", "zone"}}},
        {"listen_addrs",
         {{"frontend", At(FrontPort)}, {"ready", At(ReadyPort)}}},
        {"internal_ports",
         json::array({FirstInternalPort, FirstInternalPort + 15})},
        {"seed_nodes", json::array()},
        {"bootstrap", true},
        {"limits",
         {{"cpu_quota", 0.25},
          {"cpu_cores", 1},
          {"memory_mb", 260},
          {"max_fds", 4'100},
          {"link_mbps", LinkMbps},
          {"disk_mb", 0}}},
        {"data_dir", nullptr},
        {"discovery", "platform"},
        {"heartbeat_ms", 1'500},
        {"bounds",
         {{"contact_ms", 3'000},
          {"ack_timeout_ms", 4'000},
          {"drain_ms", 2'000},
          {"grace_s", 6},
          {"config_apply_ms", 2'000},
          {"hold_max_ms", 10'000},
          {"stop_timeout_ms", 400},
          {"gang_timeout_ms", 3'000},
          {"cancel_ms", 3'000},
          {"visible_ms", 3'000},
          {"status_s", 120},
          {"checkpoint_interval_s", 2},
          {"restore_ms", 100}}},
        {"commands", "invocation"},
        {"platform",
         {{"address", address(StoreHost) + ":" + std::to_string(Store->port())},
          {"form", "kv"},
          {"writes_per_s", 400},
          {"reads_per_s", 2'000},
          {"history_s", 20},
          {"value_bytes", 1'048'576},
          {"ttl_min_ms", 1'000}}}};
    std::ofstream(Folder + "/" + std::to_string(I) + ".json")
        << Settings.dump();
    Processes.push_back(0);
    launch(I);
  }
  for (int I = 0; I < Count; ++I) {
    const auto IsReady = [&] {
      const auto Reply =
          send(address(FirstInstanceHost + I), ReadyPort,
               {"GET", "/v1/readyz", {{"Host", "ready"}}, {}}, ClientTimeout);
      return Reply && Reply->Status == 200;
    };
    if (!eventually(10'000ms, IsReady))
      throw cannot_run("an instance isn't ready");
  }
  record(std::to_string(Count) + " instances are ready");
  std::this_thread::sleep_for(2'000ms); // one of them leads
}

void world::launch(int Instance) {
  const std::string Base = Folder + "/" + std::to_string(Instance);
  const std::string Variable = "GALENASTAGE_NODE_FILE=" + Base + ".json";
  const std::string Log = Base + ".log";
  const std::string Path = Root + "/" + Program;
  const pid_t Child = ::fork();
  if (Child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Out = ::open(Log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
    ::dup2(Out, STDOUT_FILENO);
    ::dup2(Out, STDERR_FILENO);
    sigset_t None;
    sigemptyset(&None);
    ::sigprocmask(SIG_SETMASK, &None, nullptr);
    if (::chdir(Root.c_str()) == 0)
      ::execle(Path.c_str(), Path.c_str(), nullptr,
               std::array<const char *, 3>{Variable.c_str(), "PATH=/usr/bin",
                                           nullptr}
                   .data());
    ::_exit(127);
  }
  Processes[Instance] = Child;
  record("instance " + std::to_string(Instance) + " started");
}

void world::endInstance(int Instance, int Signal) {
  record("instance " + std::to_string(Instance) + " gets signal " +
         std::to_string(Signal));
  ::kill(Processes[Instance], Signal);
  ::waitpid(Processes[Instance], nullptr, 0);
  Processes[Instance] = 0;
  record("instance " + std::to_string(Instance) + " has ended");
}

int world::lastWriter() {
  const std::string Writer = Store->lastWriter();
  for (int I = 0; I < static_cast<int>(Processes.size()); ++I)
    if (address(FirstInstanceHost + I) == Writer)
      return I;
  throw cannot_run("no instance has written to the store");
}

void world::restartInstance(int Instance) { launch(Instance); }

http_reply world::call(int Instance, const std::string &Method,
                       const std::string &Path, const std::string &Body) {
  const std::optional<http_reply> Reply =
      send(address(FirstInstanceHost + Instance), FrontPort,
           {Method,
            Path,
            {{"Host", "jobs.example"},
             {"Content-Type", "application/json"},
             {"Authorization", "Bearer council-key"},
             {"Galenastage-Deadline-Ms", "3000"}},
            Body},
           ClientTimeout);
  http_reply Known = Reply.value_or(http_reply{0, {}});
  record("client " + Method + " " + Path + " at instance " +
         std::to_string(Instance) + " -> " + std::to_string(Known.Status) +
         " " + Known.Body);
  return Known;
}

void world::submit(const std::string &Path, const json &Job) {
  for (int Try = 0; Try < ClientTries; ++Try) {
    const int Instance = Try % static_cast<int>(Processes.size());
    const http_reply Reply = call(Instance, "POST", Path, Job.dump());
    if (Reply.Status == 200)
      return;
    std::this_thread::sleep_for(300ms);
  }
  throw cannot_run("a job wasn't accepted");
}

std::string world::state(int Instance, const std::string &Path) {
  const http_reply Reply = call(Instance, "GET", Path);
  return Reply.Status == 200
             ? json::parse(Reply.Body).value("state", std::string())
             : std::string();
}

int runCase(int Argc, char **Argv, const std::function<bool(world &)> &Case) {
  if (Argc != 3) {
    std::cerr << "usage: CASE REPOSITORY RECORD\n";
    return 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  ::alarm(118); // the kernel then ends the instances as well
  const char *Trouble = std::getenv("TROUBLE");
  try {
    world World(Argv[1], Argv[2], !Trouble || std::string(Trouble) != "0");
    const bool IsBroken = Case(World);
    World.record(IsBroken ? "the rule was broken" : "the rule held");
    std::cout << (IsBroken ? "the rule was broken\n" : "the rule held\n");
    return IsBroken ? 1 : 0;
  } catch (const std::exception &Error) {
    std::cerr << "the case can't run: " << Error.what() << "\n";
    return 2;
  }
}

} // namespace review
