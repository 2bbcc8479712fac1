#include "standin/platform.hpp"

#include "apps/runtime/platform_feed.hpp"
#include "standin/executor_service.hpp"
#include "standin/fault_reader.hpp"
#include "standin/kv_service.hpp"
#include "standin/peer_forwarder.hpp"
#include "standin/worker_service.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>

namespace galenastage::standin {
namespace {

using nlohmann::json;

constexpr milliseconds TickInterval{20};

/// The instance list as it was at one point in time.
struct list_snapshot {
  instant TakenAt;
  std::vector<instance> Instances;
};

store_faults readStoreFaults(detail::object_reader &Reader) {
  store_faults Faults;
  Faults.IsDown = Reader.optional<bool>("down", false);
  Faults.LosesAnswers = Reader.optional<bool>("lose_answers", false);
  Faults.CutsWatches = Reader.optional<bool>("cut_watches", false);
  Faults.ReadsStale = Reader.optional<bool>("reads_stale", false);
  Faults.DelayMilliseconds = readDelay(Reader, "delay_ms");
  return Faults;
}

executor_faults readExecutorFaults(detail::object_reader &Reader) {
  executor_faults Faults;
  Faults.IsLeaving = Reader.optional<bool>("leaving", false);
  Faults.RefusesAll = Reader.optional<bool>("refuse", false);
  Faults.FailsAll = Reader.optional<bool>("fail", false);
  Faults.DropsAnswers = Reader.optional<bool>("drop_answers", false);
  Faults.CutsAnswers = Reader.optional<bool>("cut_answers", false);
  Faults.DelayMilliseconds = readDelay(Reader, "delay_ms");
  Faults.JitterMilliseconds = readDelay(Reader, "jitter_ms");
  return Faults;
}

partition_faults readPartitions(detail::object_reader &Reader) {
  using names = std::vector<std::string>;
  partition_faults Faults;
  for (const std::string &Name :
       Reader.optional<names>("cut_from_platform", {}))
    Faults.FromPlatform.insert(Name);
  for (const names &Pair :
       Reader.optional<std::vector<names>>("cut_from_each_other", {})) {
    if (Pair.size() != 2) {
      Reader.addProblem("cut_from_each_other", "must be a list of pairs");
      continue;
    }
    Faults.EachOther.insert({Pair[0], Pair[1]});
    Faults.EachOther.insert({Pair[1], Pair[0]});
  }
  return Faults;
}

worker_faults readWorkerFaults(detail::object_reader &Reader) {
  worker_faults Faults;
  Faults.FailsEverything = Reader.optional<bool>("fail", false);
  Faults.IsPaused = Reader.optional<bool>("paused", false);
  Faults.RunTimePercent = Reader.integer("run_time_percent", 100);
  if (Faults.RunTimePercent < 1 || Faults.RunTimePercent > 10'000)
    Reader.addProblem("run_time_percent", "must lie in [1, 10000]");
  Faults.UsageLagMilliseconds = readDelay(Reader, "usage_lag_ms");
  return Faults;
}

} // namespace

struct stand_in_platform::state : std::enable_shared_from_this<state> {
  state(asio::io_context &Context, platform_settings NewSettings)
      : Context(Context), Settings(std::move(NewSettings)),
        Store(Context, Settings.Store,
              [this](const std::string &Peer) { return isCutOff(Peer); }),
        Server(Context, Settings.Platform, [this](http_request Request) {
          return handle(std::move(Request));
        }) {
    for (const data_centre_settings &DataCentre : Settings.DataCentres) {
      addWorkers(DataCentre);
      addExecutors(DataCentre);
    }
  }

  void addWorkers(const data_centre_settings &DataCentre) {
    for (int I = 0; I < Settings.WorkersPerDataCentre; ++I) {
      const int Rack = I / Settings.WorkersPerRack;
      const std::string Name =
          DataCentre.Name.Value + "-worker-" + std::to_string(I);
      const rack_id RackName(DataCentre.Name.Value + "-rack-" +
                             std::to_string(Rack));
      Workers.push_back(std::make_unique<worker_service>(
          Context, addressOf(DataCentre, Settings.FirstWorkerPort, I),
          worker_model(worker_id(Name), DataCentre.Name, RackName,
                       Settings.AcceleratorsPerWorker, Checkpoints)));
      instance &Row = Listed[Name];
      Row.Name = Name;
      Row.Kind = instance_kind::Worker;
      Row.DataCentre = DataCentre.Name;
      Row.Rack = RackName;
      Row.Address = Workers.back()->localEndpoint();
      Row.Accelerators = Settings.AcceleratorsPerWorker;
    }
  }

  void addExecutors(const data_centre_settings &DataCentre) {
    for (int I = 0; I < Settings.ExecutorsPerDataCentre; ++I) {
      const std::string Name =
          DataCentre.Name.Value + "-executor-" + std::to_string(I);
      Executors.push_back(std::make_unique<executor_service>(
          Context, addressOf(DataCentre, Settings.FirstExecutorPort, I), Name,
          Settings.SlotsPerExecutor, Settings.ConnectionsPerExecutor));
      instance &Row = Listed[Name];
      Row.Name = Name;
      Row.Kind = instance_kind::Executor;
      Row.DataCentre = DataCentre.Name;
      Row.Address = Executors.back()->localEndpoint();
      Row.Service = Settings.Service;
    }
  }

  static endpoint addressOf(const data_centre_settings &DataCentre,
                            int FirstPort, int Index) {
    const int Port = FirstPort == 0 ? 0 : FirstPort + Index;
    return {DataCentre.Address, static_cast<std::uint16_t>(Port)};
  }

  task<void> tickLoop() {
    auto Self = shared_from_this();
    while (!IsStopping) {
      const instant Now = readProcessClock();
      Store.advance(Now);
      for (auto &Worker : Workers)
        if (!Worker->Model.Faults.IsPaused)
          Worker->Model.advance(Now);
      rememberList(Now);
      asio::steady_timer Timer(Context, TickInterval);
      co_await Timer.async_wait(asio::use_awaitable);
    }
  }

  // The instance list

  void rememberList(instant Now) {
    std::vector<instance> Instances;
    for (const auto &[Name, Row] : Listed)
      Instances.push_back(Row);
    for (instance &Row : Instances)
      for (const auto &Executor : Executors)
        if (Executor->name() == Row.Name)
          Row.IsLeaving = Executor->Faults.IsLeaving;
    if (Snapshots.empty() || Snapshots.back().Instances != Instances)
      Snapshots.push_back({Now, std::move(Instances)});
    // Keeps the newest snapshot that is older than the lag, and all later ones.
    while (Snapshots.size() > 1 && Now - Snapshots[1].TakenAt >= ListLag)
      Snapshots.pop_front();
  }

  http_response showList(const http_request &Request) {
    const std::string_view Kind = Request.query("kind");
    const std::string_view DataCentre = Request.query("data_centre");
    rememberList(readProcessClock());
    json Rows = json::array();
    for (const instance &Row : Snapshots.front().Instances) {
      const bool IsAsked =
          (Kind.empty() || Kind == galenastage::name(Row.Kind)) &&
          (DataCentre.empty() || DataCentre == Row.DataCentre.Value);
      if (IsAsked)
        Rows.push_back(Row);
    }
    return jsonResponse(200, json{{"instances", std::move(Rows)}}.dump());
  }

  /// Adds an instance to the list. With "peer_listen", connections from peers
  /// go through a forwarder, so that partitions between data centres can be
  /// simulated.
  http_response addInstance(const std::string &Name, const std::string &Body) {
    try {
      json Row = json::parse(Body);
      Row["name"] = Name;
      const instance Instance = Row.get<instance>();
      const auto PeerListen = parseEndpoint(Row.value("peer_listen", ""));
      Forwarders.erase(Name);
      if (PeerListen)
        forwardPeers(Instance, *PeerListen);
      Listed[Name] = Instance;
      return jsonResponse(200, R"({"applied":true})");
    } catch (const std::exception &Error) {
      return problemsResponse({{"", Error.what()}});
    }
  }

  void forwardPeers(const instance &Instance, const endpoint &PeerListen) {
    endpoint Listen = Instance.Address;
    Listen.Port = static_cast<std::uint16_t>(Listen.Port + PeerPortOffset);
    const std::string Inside = Instance.DataCentre.Value;
    Forwarders[Instance.Name] = std::make_unique<peer_forwarder>(
        Context, Listen, PeerListen, [this, Inside](const std::string &Peer) {
          return Partitions.EachOther.contains({dataCentreAt(Peer), Inside});
        });
  }

  // Partitions

  /// The data centre with this address; empty when there is none.
  [[nodiscard]] std::string dataCentreAt(const std::string &Address) const {
    for (const data_centre_settings &DataCentre : Settings.DataCentres)
      if (DataCentre.Address == Address)
        return DataCentre.Name.Value;
    return "";
  }

  [[nodiscard]] bool isCutOff(const std::string &Peer) const {
    return Partitions.FromPlatform.contains(dataCentreAt(Peer));
  }

  // Faults and ledgers

  task<http_response> handle(http_request Request) {
    const std::string Path(Request.path());
    if (isCutOff(Request.Peer) && Path.starts_with("/v1/instances")) {
      http_response Dropped;
      Dropped.Status = 0;
      co_return Dropped;
    }
    co_return answer(Request, Path);
  }

  http_response answer(const http_request &Request, const std::string &Path) {
    const bool IsPut = Request.Method == "PUT";
    if (Path == "/v1/instances" && !IsPut)
      return showList(Request);
    if (Path.starts_with("/v1/instances/") && IsPut)
      return addInstance(Path.substr(14), Request.Body);
    if (Path.starts_with("/v1/instances/") && Request.Method == "DELETE") {
      Listed.erase(Path.substr(14));
      return jsonResponse(200, R"({"applied":true})");
    }
    if (Path == "/faults/store" && IsPut)
      return applyFaults(Request.Body, Store.Faults, readStoreFaults);
    if (Path == "/faults/partitions" && IsPut)
      return applyFaults(Request.Body, Partitions, readPartitions);
    if (Path == "/faults/list" && IsPut)
      return applyFaults(Request.Body, ListLag,
                         [](detail::object_reader &Reader) {
                           return milliseconds(readDelay(Reader, "lag_ms"));
                         });
    if (Path.starts_with("/faults/workers/") && IsPut)
      return setWorkerFaults(Path.substr(16), Request.Body);
    if (Path.starts_with("/faults/executors/") && IsPut)
      return setExecutorFaults(Path.substr(18), Request.Body);
    if (Path == "/faults" && Request.Method == "DELETE")
      return clearFaults();
    if (Path == "/ledger")
      return showLedger();
    if (Path == "/calls")
      return showCalls();
    return problemResponse(404, "not found", Path, verdict::NotRun);
  }

  http_response setWorkerFaults(const std::string &Name,
                                const std::string &Body) {
    for (auto &Worker : Workers)
      if (Worker->Model.id().Value == Name)
        return applyFaults(Body, Worker->Model.Faults, readWorkerFaults);
    return problemResponse(404, "no such worker", Name, verdict::NotRun);
  }

  http_response setExecutorFaults(const std::string &Name,
                                  const std::string &Body) {
    for (auto &Executor : Executors)
      if (Executor->name() == Name)
        return applyFaults(Body, Executor->Faults, readExecutorFaults);
    return problemResponse(404, "no such executor", Name, verdict::NotRun);
  }

  http_response clearFaults() {
    Store.Faults = {};
    Partitions = {};
    ListLag = milliseconds(0);
    for (auto &Worker : Workers)
      Worker->Model.Faults = {};
    for (auto &Executor : Executors)
      Executor->Faults = {};
    return jsonResponse(200, R"({"applied":true})");
  }

  http_response showLedger() {
    json Ledger = {{"executors", json::array()}, {"workers", json::array()}};
    for (const auto &Executor : Executors) {
      json Requests = json::object();
      for (const auto &[Id, Entry] : Executor->ledger())
        Requests[Id] = {{"runs", Entry.Runs},
                        {"idempotency_key", Entry.IdempotencyKey}};
      Ledger["executors"].push_back(
          {{"name", Executor->name()},
           {"most_at_once", Executor->mostAtOnce()},
           {"refused_over_slots", Executor->refusedOverSlots()},
           {"most_connections", Executor->mostConnections()},
           {"refused_connections", Executor->refusedConnections()},
           {"requests", std::move(Requests)}});
    }
    for (const auto &Worker : Workers) {
      json Runs = json::object();
      for (const auto &[Job, Count] : Worker->Model.runs())
        Runs[Job.Value] = Count;
      Ledger["workers"].push_back({{"name", Worker->Model.id().Value},
                                   {"free", Worker->Model.freeAccelerators()},
                                   {"runs", std::move(Runs)}});
    }
    return jsonResponse(200, Ledger.dump());
  }

  http_response showCalls() {
    const kv_service::call_counts &Counts = Store.counts();
    return jsonResponse(200, json{{"reads", Counts.Reads},
                                  {"writes", Counts.Writes},
                                  {"leases", Counts.Leases},
                                  {"watches_started", Counts.WatchesStarted},
                                  {"watches_waiting", Counts.WatchesWaiting}}
                                 .dump());
  }

  asio::io_context &Context;
  platform_settings Settings;
  bool IsStopping = false;
  partition_faults Partitions;
  std::map<std::string, std::unique_ptr<peer_forwarder>> Forwarders;
  milliseconds ListLag{0};
  std::map<std::string, instance> Listed;
  std::deque<list_snapshot> Snapshots;
  std::shared_ptr<checkpoint_map> Checkpoints =
      std::make_shared<checkpoint_map>();
  std::vector<std::unique_ptr<worker_service>> Workers;
  std::vector<std::unique_ptr<executor_service>> Executors;
  kv_service Store;
  http_server Server;
};

stand_in_platform::stand_in_platform(asio::io_context &Context,
                                     platform_settings Settings)
    : State(std::make_shared<state>(Context, std::move(Settings))) {
  asio::co_spawn(Context, State->tickLoop(), asio::detached);
}

stand_in_platform::~stand_in_platform() { State->IsStopping = true; }

endpoint stand_in_platform::storeEndpoint() const {
  return State->Store.localEndpoint();
}

endpoint stand_in_platform::platformEndpoint() const {
  return State->Server.localEndpoint();
}

void stand_in_platform::stopAccepting() {
  State->IsStopping = true;
  State->Store.stopAccepting();
  State->Server.stopAccepting();
  for (auto &Worker : State->Workers)
    Worker->stopAccepting();
  for (auto &Executor : State->Executors)
    Executor->stopAccepting();
}

} // namespace galenastage::standin
