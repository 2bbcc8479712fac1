// Plays the platform, the executors and the requesters of one case of the
// review, and judges what the requesters and the executors have seen.
// Exits with 0 if the rule held, 1 if it was broken, 2 if the case didn't run.

#include "platform.hpp"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <set>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

constexpr int Instances = 3;
constexpr std::uint16_t FrontPort = 8521;
constexpr std::uint16_t ReadyPort = 8523;
constexpr int CallMs = 3'000;
constexpr int StartMs = 20'000;    // for the instances, and for first runs
constexpr int HeartbeatMs = 1'500; //
constexpr int SampleMs = 50;       //
constexpr int FinishMs = 14'000;   // finish_s
constexpr int StuckMs = 3'000;     // of LOST
constexpr int ObserveMs = 12'000;  // from finish_s on
constexpr int GreyMs = 6'000;      // as of the site's entries of srv_grey
constexpr const char *Service = "portal-core";
constexpr const char *Host = "portal.example";
constexpr const char *Key = "key-of-council";

/// The case can't run here.
struct not_run : std::runtime_error {
  using std::runtime_error::runtime_error;
};

void sleepMs(int Duration) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Duration));
}

/// A job with one step, and what a task of it needs.
struct job {
  std::string Id;
  std::string Queue; // prefix of its path
  std::string Spec;
  json Step;
  std::set<std::string> MayRunOn; // ids of executors

  [[nodiscard]] capacity needs() const {
    return {Step.value("cpu", 0), Step.value("mem_mb", 0),
            Step.value("gpu", 0)};
  }
};

class world {
public:
  world(
      std::string NewNet, const std::string &RecordPath,
      const std::vector<std::tuple<std::string, std::string, capacity>> &Kinds)
      : Net(std::move(NewNet)), Platform(Net + ".200"), Record(RecordPath),
        Store(Platform) {
    for (std::size_t I = 0; I < Kinds.size(); ++I) {
      const auto &[Kind, Rack, Capacity] = Kinds[I];
      const std::string Number = std::to_string(I);
      Executors.push_back(std::make_unique<executor>(
          "i-" + std::string(2 - std::min<std::size_t>(2, Number.size()), '0') +
              Number,
          Platform, Kind, Rack, Capacity, Record));
      Capacities.push_back(Capacity);
    }
    putConfig();
    std::thread([this] {
      for (int Sequence = 1;; ++Sequence) {
        for (const auto &Executor : Executors)
          if (!Executor->isDown())
            report(*Executor, Sequence);
        sleepMs(HeartbeatMs);
      }
    }).detach();
  }

  void report(executor &Executor, int Sequence) {
    Store.put("servers/" + Executor.id(), Executor.entry(Service, Sequence));
  }

  void writeSettings(const std::string &Folder) const {
    for (int I = 1; I <= Instances; ++I)
      std::ofstream(Folder + "/edge-" + std::to_string(I) + ".json")
          << settings(I).dump(2);
    std::ofstream(Folder + "/ready") << "ready\n";
  }

  void awaitInstances() {
    for (int I = 1; I <= Instances; ++I)
      await("instance " + std::to_string(I) + " is ready", [&] {
        return send(Net + "." + std::to_string(I), ReadyPort, "GET",
                    "/v1/readyz", {{"Host", "ready"}}, "", CallMs)
                   .Status == 200;
      });
  }

  template <typename Condition>
  void await(const std::string &What, Condition Holds) {
    const std::int64_t Until = steadyMs() + StartMs;
    while (!Holds()) {
      if (steadyMs() > Until)
        throw not_run("not in time: " + What);
      sleepMs(SampleMs);
    }
    Record.write(What);
  }

  void submit(const job &Job) {
    Needs[Job.Id] = Job.needs();
    const json Body = {{"spec", Job.Spec}, {"steps", json::array({Job.Step})}};
    const response Answer = call("POST", Job, Body.dump());
    if (Answer.Status != 200)
      throw not_run("job " + Job.Id + " isn't accepted");
  }

  std::string state(const job &Job) {
    const response Answer = call("GET", Job, "");
    const json Body = json::parse(Answer.Body, nullptr, false);
    return Body.is_object() ? Body.value("state", "") : "";
  }

  /// The runs of the job, of all executors.
  std::vector<std::pair<std::string, run>> runsOf(const job &Job) {
    std::vector<std::pair<std::string, run>> Found;
    for (const auto &Executor : Executors)
      for (const run &Run : Executor->runs())
        if (Run.Task.starts_with(Job.Id + "."))
          Found.emplace_back(Executor->id(), Run);
    return Found;
  }

  int countActive(const job &Job) {
    const auto Runs = runsOf(Job);
    return static_cast<int>(std::ranges::count_if(
        Runs, [](const auto &Item) { return Item.second.Ended == 0; }));
  }

  void awaitRuns(const job &Job, int Count) {
    await("job " + Job.Id + " has " + std::to_string(Count) + " runs",
          [&] { return countActive(Job) == Count; });
  }

  /// How many tasks of the job would fit now, and whether under half of the
  /// service is in use.
  std::pair<int, bool> roomFor(const job &Job) {
    capacity Total;
    capacity Used;
    int Fits = 0;
    const capacity Each = Job.needs();
    const auto Bound = [](int Free, int Need, int Most) {
      return Need == 0 ? Most : std::min(Most, Free / Need);
    };
    for (std::size_t I = 0; I < Executors.size(); ++I) {
      capacity Free = Capacities[I];
      add(Total, Free, 1);
      for (const run &Run : Executors[I]->runs())
        if (Run.Ended == 0) {
          const capacity Taken = Needs[Run.Task.substr(0, Run.Task.find('.'))];
          add(Used, Taken, 1);
          add(Free, Taken, -1);
        }
      if (Job.MayRunOn.contains(Executors[I]->id()))
        Fits += Bound(
            Free.Gpu, Each.Gpu,
            Bound(Free.MemMb, Each.MemMb, Bound(Free.Cpu, Each.Cpu, 1'000)));
    }
    const bool IsUnderHalf = 2 * Used.Cpu < Total.Cpu &&
                             2 * Used.MemMb < Total.MemMb &&
                             (Total.Gpu == 0 || 2 * Used.Gpu < Total.Gpu);
    return {Fits, IsUnderHalf};
  }

  /// Observes the job. True if for StuckMs on end it isn't completed and has
  /// nothing running, though there is capacity for it twice over and under half
  /// of the service's capacity is in use.
  bool isStuck(const job &Job, int DurationMs) {
    const std::int64_t Until = steadyMs() + DurationMs;
    std::int64_t Since = steadyMs();
    std::int64_t Longest = 0;
    std::pair<int, bool> Room;
    while (steadyMs() < Until) {
      Room = roomFor(Job);
      const bool IsWaiting =
          countActive(Job) == 0 && Room.first >= 2 && Room.second;
      if (!IsWaiting)
        Since = steadyMs();
      Longest = std::max(Longest, steadyMs() - Since);
      sleepMs(SampleMs);
    }
    const std::string State = state(Job);
    Record.write(
        "job " + Job.Id + " is " + State + ", had nothing running for " +
        std::to_string(Longest) +
        " ms on end; tasks that would fit: " + std::to_string(Room.first) +
        ", under half in use: " + (Room.second ? "yes" : "no"));
    const bool IsLasting = Job.Step.value("long_running", false);
    return Longest >= StuckMs && (IsLasting || State != "completed");
  }

  std::set<std::string> idsOf(const std::string &Label) const {
    std::set<std::string> Ids;
    for (const auto &Executor : Executors)
      if (Label.empty() || Executor->kind() == Label ||
          Executor->rack() == Label)
        Ids.insert(Executor->id());
    return Ids;
  }

  executor &find(const std::string &Id) {
    return **std::ranges::find_if(
        Executors, [&](const auto &Each) { return Each->id() == Id; });
  }

  void note(const std::string &Line) { Record.write(Line); }

private:
  static void add(capacity &To, const capacity &Amount, int Sign) {
    To.Cpu += Sign * Amount.Cpu;
    To.MemMb += Sign * Amount.MemMb;
    To.Gpu += Sign * Amount.Gpu;
  }

  response call(const std::string &Method, const job &Job,
                const std::string &Body) {
    constexpr int Tries = 5;
    response Answer;
    const std::string Path = Job.Queue + Job.Id;
    for (int Try = 0; Try < Tries; ++Try) {
      const std::string To =
          Net + "." + std::to_string(1 + Calls++ % Instances);
      Answer = send(To, FrontPort, Method, Path,
                    {{"Host", Host},
                     {"Authorization", std::string("Bearer ") + Key},
                     {"Galenastage-Deadline-Ms", std::to_string(CallMs)}},
                    Body, CallMs);
      std::string Line = "sent ";
      Line.append(Method).append(" ").append(Path).append(" ").append(Body);
      Line.append(" to ").append(To).append(", answered ");
      Line.append(std::to_string(Answer.Status))
          .append(" ")
          .append(Answer.Body);
      Record.write(Line);
      const bool IsFinal = Answer.Status != 0 && Answer.Status != 502 &&
                           Answer.Status != 503 && Answer.Status != 504 &&
                           Answer.Status != 429;
      if (IsFinal)
        break;
      sleepMs(CallMs / 3);
    }
    return Answer;
  }

  void putConfig() {
    const auto Route = [](const char *Name, const char *Prefix, int Priority,
                          int Attempts, double Stretch) {
      return json{{"name", Name},
                  {"host", Host},
                  {"prefix", Prefix},
                  {"kind", "non_idempotent"},
                  {"timeout_ms", 3'000},
                  {"target_duration_ms", 1'000},
                  {"priority", Priority},
                  {"service", Service},
                  {"max_attempts", Attempts},
                  {"stretch_factor", Stretch},
                  {"public", false}};
    };
    const json Config = {
        {"version", 7},
        {"routes",
         {Route("r-tile", "/tile/", 0, 3, 1.5),
          Route("r-budget", "/budget/", 1, 3, 3.0),
          Route("r-permit", "/permit/", 2, 4, 3.0)}},
        {"services", json::array({{{"name", Service},
                                   {"health_path", "/healthz"},
                                   {"admission_control", false},
                                   {"standby", false}}})},
        {"limits",
         {{"max_header_bytes", 16'384},
          {"max_body_bytes", 262'144},
          {"header_timeout_ms", 3'000},
          {"idle_timeout_ms", 15'000}}},
        {"tenants", json::array({{{"name", "council"},
                                  {"api_keys", {Key}},
                                  {"priority", 1},
                                  {"guaranteed", {{"gpu", 16}}}}})}};
    Store.put("op/config", Config.dump());
  }

  [[nodiscard]] json settings(int Number) const {
    const std::string Ip = Net + "." + std::to_string(Number);
    return {{"node_name", "edge-zone-a-" + std::to_string(Number)},
            {"role", "instance"},
            {"machine_class", "edge"},
            {"serves", {"edge"}},
            {"ip", Ip},
            {"zone", "zone-a"},
            {"region", "ma-north"},
            {"zones", {{"zone-a", "ma-north"}}},
            {"listen_addrs",
             {{"frontend", Ip + ":" + std::to_string(FrontPort)},
              {"ready", Ip + ":" + std::to_string(ReadyPort)}}},
            {"internal_ports", {7'000, 7'015}},
            {"seed_nodes", json::array()},
            {"bootstrap", true},
            {"limits",
             {{"cpu_quota", 0.25},
              {"cpu_cores", 1},
              {"memory_mb", 260},
              {"max_fds", 4'100},
              {"link_mbps", 1'000.0},
              {"disk_mb", 0}}},
            {"heartbeat_ms", HeartbeatMs},
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
              {"finish_s", 14},
              {"checkpoint_interval_s", 2},
              {"restore_ms", 100},
              {"reclaim_ms", 2'900}}},
            {"commands", "invocation"},
            {"platform",
             {{"address", Platform + ":" + std::to_string(Store.port())},
              {"form", "kv"},
              {"writes_per_s", 400},
              {"reads_per_s", 2'000},
              {"history_s", 20},
              {"value_bytes", 1'048'576},
              {"ttl_min_ms", 1'000}}}};
  }

  std::string Net; // the first three bytes of its loopback addresses
  std::string Platform;
  record Record;
  store Store;
  std::vector<std::unique_ptr<executor>> Executors;
  std::vector<capacity> Capacities;
  std::map<std::string, capacity> Needs; // of a task, by job
  int Calls = 0;
};

using executors = std::vector<std::tuple<std::string, std::string, capacity>>;

constexpr capacity WithGpus{32'000, 65'536, 8};
constexpr capacity WithoutGpus{32'000, 65'536, 0};

/// Racks of six; the first Count executors of the last rack are of kind b.
executors twelve(const capacity &Each, int CountOfB) {
  executors List;
  for (int I = 0; I < 12; ++I)
    List.emplace_back(I >= 12 - CountOfB ? "b" : "a", I < 6 ? "r1-1" : "r1-2",
                      Each);
  return List;
}

bool playOnceFailed(world &World, bool HasTrouble) {
  const std::set<std::string> OfB = World.idsOf("b");
  const job Full{"00000000000000a1",
                 "/permit/",
                 "lasts",
                 {{"count", 2},
                  {"cpu", 30'000},
                  {"mem_mb", 8'000},
                  {"gpu", 8},
                  {"estimate_ms", 20'000},
                  {"requirements", "b"},
                  {"long_running", true}},
                 OfB};
  World.submit(Full);
  World.awaitRuns(Full, 2);
  std::set<std::string> Left = OfB;
  for (const auto &[Id, Run] : World.runsOf(Full))
    Left.erase(Id);
  if (Left.size() != 1)
    throw not_run("no executor of kind b is left");
  if (HasTrouble) {
    World.note("executor " + *Left.begin() + " fails what begins in 6 s");
    World.find(*Left.begin()).failUntil(steadyMs() + GreyMs);
  }
  const json Small = {{"count", 1},          {"cpu", 2'800},
                      {"mem_mb", 4'100},     {"gpu", 1},
                      {"requirements", "b"}, {"estimate_ms", 2'000}};
  const job Plain{"00000000000000a2", "/permit/", "work_ms=2000", Small, OfB};
  job Lasting{"00000000000000a3", "/permit/", "lasts", Small, OfB};
  Lasting.Step["long_running"] = true;
  World.submit(Plain);
  World.submit(Lasting);
  World.note("the traffic ends");
  sleepMs(FinishMs);
  for (const job &Job : {Plain, Lasting})
    if (World.runsOf(Job).empty())
      throw not_run("job " + Job.Id + " has never run");
  bool IsPlainStuck = false;
  std::thread Other([&] { IsPlainStuck = World.isStuck(Plain, ObserveMs); });
  const bool IsLastingStuck = World.isStuck(Lasting, ObserveMs);
  Other.join();
  return IsPlainStuck || IsLastingStuck;
}

bool playEndedDone(world &World, bool HasTrouble) {
  const job Lasting{"00000000000000b1",
                    "/permit/",
                    HasTrouble ? "first_ms=3000" : "lasts",
                    {{"count", 2},
                     {"cpu", 2'800},
                     {"mem_mb", 4'100},
                     {"gpu", 1},
                     {"estimate_ms", 20'000},
                     {"long_running", true}},
                    World.idsOf("")};
  World.submit(Lasting);
  World.awaitRuns(Lasting, 2);
  World.note("the traffic ends");
  sleepMs(FinishMs);
  return World.isStuck(Lasting, ObserveMs);
}

bool playKept(world &World, bool HasTrouble) {
  const job Spread{"00000000000000c1",
                   "/permit/",
                   "lasts",
                   {{"count", 10},
                    {"cpu", 2'800},
                    {"mem_mb", 4'100},
                    {"gpu", 1},
                    {"estimate_ms", 20'000},
                    {"requirements", "b"},
                    {"max_per_server", 1},
                    {"long_running", true}},
                   World.idsOf("b")};
  World.submit(Spread);
  World.awaitRuns(Spread, 10);
  if (HasTrouble) {
    const job Urgent{"00000000000000c2",
                     "/tile/",
                     "lasts",
                     {{"count", 1},
                      {"cpu", 3'700},
                      {"mem_mb", 5'500},
                      {"gpu", 7},
                      {"estimate_ms", 2'500},
                      {"requirements", "b"},
                      {"long_running", true}},
                     World.idsOf("b")};
    World.submit(Urgent);
    World.awaitRuns(Urgent, 1);
  }
  sleepMs(2'000);
  const job Whole{"00000000000000c3",
                  "/budget/",
                  "lasts",
                  {{"count", 1},
                   {"cpu", 13'000},
                   {"mem_mb", 26'000},
                   {"gpu", 8},
                   {"estimate_ms", 11'000},
                   {"long_running", true}},
                  World.idsOf("")};
  World.submit(Whole);
  World.note("the traffic ends");
  sleepMs(FinishMs);
  return World.isStuck(Whole, ObserveMs);
}

bool playAffinity(world &World, bool HasTrouble) {
  if (HasTrouble) {
    const job Full{"00000000000000d1",
                   "/permit/",
                   "lasts",
                   {{"count", 2},
                    {"cpu", 31'000},
                    {"mem_mb", 8'000},
                    {"estimate_ms", 20'000},
                    {"requirements", "r1-0"},
                    {"long_running", true}},
                   World.idsOf("r1-0")};
    World.submit(Full);
    World.awaitRuns(Full, 2);
  }
  const job Near{"00000000000000d2",
                 "/permit/",
                 "work_ms=2000",
                 {{"count", 1},
                  {"cpu", 2'800},
                  {"mem_mb", 4'100},
                  {"affinity", "r1-0"},
                  {"estimate_ms", 2'000}},
                 World.idsOf("")};
  World.submit(Near);
  World.note("the traffic ends");
  sleepMs(FinishMs);
  return World.isStuck(Near, ObserveMs);
}

bool playNoNeeds(world &World, bool HasTrouble) {
  if (HasTrouble) {
    const job Urgent{"00000000000000e1",
                     "/tile/",
                     "lasts",
                     {{"count", 1},
                      {"cpu", 3'700},
                      {"mem_mb", 5'500},
                      {"gpu", 7},
                      {"estimate_ms", 2'500},
                      {"requirements", "b"},
                      {"long_running", true}},
                     World.idsOf("b")};
    World.submit(Urgent);
    World.awaitRuns(Urgent, 1);
  }
  sleepMs(2'000);
  const job Empty{"00000000000000e2",
                  "/permit/",
                  "work_ms=2000",
                  {{"count", 2},
                   {"gang", true},
                   {"estimate_ms", 2'000},
                   {"requirements", "r1-0"}},
                  World.idsOf("r1-0")};
  World.submit(Empty);
  World.note("the traffic ends");
  sleepMs(FinishMs);
  return World.isStuck(Empty, ObserveMs);
}

bool playQuarantined(world &World, bool HasTrouble) {
  const std::set<std::string> OfB = World.idsOf("b");
  json OnEach = {{"count", 2},          {"cpu", 2'800},
                 {"mem_mb", 4'100},     {"gpu", 1},
                 {"requirements", "b"}, {"max_per_server", 1},
                 {"estimate_ms", 2'000}};
  job Lasting{"0000000000000091", "/permit/", "lasts", OnEach, OfB};
  Lasting.Step["long_running"] = true;
  World.submit(Lasting);
  World.awaitRuns(Lasting, 2);
  if (HasTrouble)
    for (const std::string &Id : OfB) {
      World.note("executor " + Id + " fails what begins in 6 s");
      World.find(Id).failUntil(steadyMs() + GreyMs);
    }
  const job First{"0000000000000092", "/permit/", "work_ms=2000", OnEach, OfB};
  const job Second{"0000000000000093", "/permit/", "work_ms=2000", OnEach, OfB};
  World.submit(First);
  World.submit(Second);
  World.note("the traffic ends");
  sleepMs(FinishMs);
  bool IsFirstStuck = false;
  std::thread Other([&] { IsFirstStuck = World.isStuck(First, ObserveMs); });
  const bool IsSecondStuck = World.isStuck(Second, ObserveMs);
  Other.join();
  return IsFirstStuck || IsSecondStuck;
}

bool playLongTasks(world &World, bool HasTrouble) {
  if (HasTrouble) {
    const job Long{"0000000000000071",
                   "/permit/",
                   "work_ms=7200000",
                   {{"count", 12},
                    {"cpu", 2'800},
                    {"mem_mb", 4'100},
                    {"gpu", 1},
                    {"max_per_server", 1},
                    {"estimate_ms", 7'200'000}},
                   World.idsOf("")};
    World.submit(Long);
    World.awaitRuns(Long, 12);
  }
  sleepMs(60'000);
  const job Plain{"0000000000000072",
                  "/permit/",
                  "work_ms=2000",
                  {{"count", 1},
                   {"cpu", 2'800},
                   {"mem_mb", 4'100},
                   {"gpu", 1},
                   {"estimate_ms", 2'000}},
                  World.idsOf("")};
  World.submit(Plain);
  World.note("the traffic ends");
  sleepMs(FinishMs);
  return World.isStuck(Plain, ObserveMs);
}

std::string describeTwice(const std::string &Id, const run &Done,
                          const std::string &Other, const run &Run) {
  std::string Line = "attempt " + std::to_string(Run.Attempt);
  Line.append(" began on ").append(Other).append(" ");
  Line.append(std::to_string(Run.Began - Done.Ended));
  Line.append(" ms after attempt ").append(std::to_string(Done.Attempt));
  Line.append(" had ended done on ").append(Id);
  Line.append(", which was taken note of ");
  Line.append(std::to_string(Done.Noted - Done.Ended)).append(" ms after it");
  return Line;
}

bool playLateStart(world &World, bool HasTrouble) {
  constexpr int CrashMs = 4'500; // after the order came
  constexpr int DownMs = 1'500;
  constexpr int LateMs = 30; // after the executor is back
  const std::set<std::string> OfB = World.idsOf("b");
  if (HasTrouble)
    for (const std::string &Id : OfB)
      World.find(Id).delayNextStart(CrashMs + DownMs + LateMs);
  const job Plain{"0000000000000061",
                  "/permit/",
                  "work_ms=1000",
                  {{"count", 1},
                   {"cpu", 2'800},
                   {"mem_mb", 4'100},
                   {"gpu", 1},
                   {"requirements", "b"},
                   {"estimate_ms", 1'000}},
                  OfB};
  World.submit(Plain);
  if (HasTrouble) {
    executor *Late = nullptr;
    World.await("the order has come", [&] {
      for (const std::string &Id : OfB)
        if (World.find(Id).delayedAt() != 0)
          Late = &World.find(Id);
      return Late != nullptr;
    });
    for (const std::string &Id : OfB)
      World.find(Id).delayNextStart(0);
    sleepMs(static_cast<int>(Late->delayedAt() + CrashMs - steadyMs()));
    Late->restart(DownMs);
    sleepMs(DownMs);
    World.report(*Late, 1);
  }
  sleepMs(FinishMs);
  World.note("job " + Plain.Id + " is " + World.state(Plain));
  const auto Runs = World.runsOf(Plain);
  bool IsBroken = false;
  for (const auto &[Id, Done] : Runs)
    for (const auto &[Other, Run] : Runs)
      if (Done.How == "done" && Done.Noted != 0 && Run.Began > Done.Ended) {
        IsBroken = true;
        World.note(describeTwice(Id, Done, Other, Run));
      }
  if (Runs.empty())
    throw not_run("the job has never run");
  return IsBroken;
}

/// Two of 14 executors are of kind b.
executors fourteen() {
  executors List = twelve(WithGpus, 0);
  for (int I = 0; I < 2; ++I)
    List.emplace_back("b", "r1-3", WithGpus);
  return List;
}

/// Two executors in a rack of their own, of kind a, and ten others of kind b.
executors twoAndTen(const capacity &Each) {
  executors List;
  for (int I = 0; I < 12; ++I)
    List.emplace_back(I < 2 ? "a" : "b",
                      I < 2   ? "r1-0"
                      : I < 7 ? "r1-1"
                              : "r1-2",
                      Each);
  return List;
}

struct scenario {
  executors Executors;
  bool (*Play)(world &, bool);
};

const std::map<std::string, scenario> &scenarios() {
  static const std::map<std::string, scenario> All = {
      {"once-failed", {twelve(WithGpus, 3), playOnceFailed}},
      {"ended-done", {twelve(WithGpus, 3), playEndedDone}},
      {"kept", {twoAndTen(WithGpus), playKept}},
      {"affinity", {twoAndTen(WithoutGpus), playAffinity}},
      {"quarantined", {fourteen(), playQuarantined}},
      {"long-tasks", {twelve(WithGpus, 0), playLongTasks}},
      {"late-start", {fourteen(), playLateStart}},
      {"no-needs", {twoAndTen(WithGpus), playNoNeeds}},
  };
  return All;
}

/// Arguments: scenario, 1 with the trouble or 0 without, folder for the
/// settings, record, first three bytes of the addresses.
int play(const std::vector<std::string> &Arguments) {
  constexpr int Broken = 1;
  constexpr int NotRun = 2;
  const auto Found = scenarios().find(Arguments.at(0));
  if (Found == scenarios().end())
    return NotRun;
  // Its threads run until the process ends.
  auto *World =
      new world(Arguments.at(4), Arguments.at(3), Found->second.Executors);
  try {
    World->writeSettings(Arguments.at(2));
    World->awaitInstances();
    const bool IsBroken = Found->second.Play(*World, Arguments.at(1) == "1");
    World->note(IsBroken ? "the rule is broken" : "the rule holds");
    return IsBroken ? Broken : 0;
  } catch (const std::exception &Error) {
    World->note(std::string("the case didn't run: ") + Error.what());
    return NotRun;
  }
}

} // namespace
} // namespace review

int main(int Argc, char **Argv) {
  const std::vector<std::string> Arguments(Argv + 1, Argv + Argc);
  int Code = 2;
  try {
    Code = review::play(Arguments);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
  }
  std::quick_exit(Code);
}
