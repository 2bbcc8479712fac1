#include "apps/entry/traffic.hpp"
#include "apps/runtime/control.hpp"
#include "apps/runtime/instance.hpp"
#include "apps/runtime/logging.hpp"
#include "apps/runtime/platform_feed.hpp"
#include "apps/runtime/process.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

using namespace galenastage;

namespace {

constexpr milliseconds ListInterval{500};
constexpr milliseconds DrainPollInterval{20};
constexpr milliseconds DispatcherTickInterval{10};
// Time for the load balancer to notice that /readyz fails.
constexpr milliseconds BalancerDelay{500};

/// Connects the parts of one entry instance. Control state lives on the control
/// thread; requests are served by the traffic threads.
class entry_app {
public:
  explicit entry_app(entry_config NewConfig)
      : Config(std::move(NewConfig)), Io(Config.Threads + 1),
        State({instance_id(Config.Instance), Config.DataCentre,
               Config.SlotsPerExecutor, Config.ConnectionsPerExecutor,
               Config.Threads, Config.ShareWait}),
        Store(Io.context(0), Config.Store, Config.Listen.Address),
        List(Io.context(0), Config.Platform, Config.Listen.Address),
        Requests(Io.context(0), Config),
        Tables(Io.context(0), Store, List, relaySettings(Config),
               tablesCallbacks()) {
    for (int I = 1; I <= Config.Threads; ++I) {
      Traffic.push_back(
          std::make_unique<traffic_thread>(Io.context(I), Config, Requests));
      traffic_thread &Thread = *Traffic.back();
      Thread.Tables = &Tables;
      Servers.push_back(std::make_unique<http_server>(
          Io.context(I), Config.Listen, [&Thread](http_request Request) {
            return handleHttpRequest(Thread, std::move(Request));
          }));
    }
  }

  void start() {
    asio::io_context &Context = Io.context(0);
    Tables.start();
    asio::co_spawn(Context,
                   pollInstances(Context, List, instance_kind::Executor,
                                 Config.DataCentre, ListInterval,
                                 [this](std::vector<instance> Instances) {
                                   post(toExecutors(Instances));
                                 }),
                   asio::detached);
    asio::co_spawn(Context,
                   pollInstances(Context, List, instance_kind::Entry,
                                 Config.DataCentre, ListInterval,
                                 [this](std::vector<instance> Instances) {
                                   post(toMembers(Instances));
                                 }),
                   asio::detached);
    asio::co_spawn(Context, tickDispatcher(), asio::detached);
    for (auto &Thread : Traffic)
      Thread->IsReady = true;
    Io.start();
  }

  /// Fails readiness, waits for the load balancer to stop sending, then drains
  /// the requests in progress.
  void stopGracefully() {
    for (auto &Thread : Traffic)
      Thread->IsReady = false;
    std::this_thread::sleep_for(BalancerDelay);
    for (auto &Server : Servers)
      Server->stopAccepting();
    while (openRequests() > 0 || !Requests.Log.isIdle())
      std::this_thread::sleep_for(DrainPollInterval);
    Io.stop();
  }

private:
  task<void> tickDispatcher() {
    while (true) {
      Requests.Dispatcher.advanceTime();
      co_await sleepFor(Io.context(0), DispatcherTickInterval);
    }
  }

  static relay_settings relaySettings(const entry_config &Config) {
    relay_settings Settings;
    Settings.Self = instance_id(Config.Instance);
    Settings.DataCentre = Config.DataCentre;
    Settings.PeerAddress = peerAddressOf(Config.Listen);
    Settings.PeerListen = Config.PeerListen.value_or(Settings.PeerAddress);
    Settings.Incarnation =
        static_cast<std::uint64_t>(readWallClock().time_since_epoch().count());
    return Settings;
  }

  tables_callbacks tablesCallbacks() {
    tables_callbacks Callbacks;
    Callbacks.OnTables = [this](tables_seen Seen) { apply(std::move(Seen)); };
    Callbacks.PostControl = [this](std::function<void()> Work) {
      Control.post(std::move(Work));
    };
    return Callbacks;
  }

  static executors_seen toExecutors(const std::vector<instance> &Instances) {
    executors_seen Seen;
    for (const instance &Row : Instances)
      Seen.Executors.push_back({executor_id(Row.Name), Row.Service,
                                Row.DataCentre, Row.Address, Row.IsLeaving});
    return Seen;
  }

  static members_seen toMembers(const std::vector<instance> &Instances) {
    members_seen Seen;
    for (const instance &Row : Instances)
      Seen.Members.emplace_back(Row.Name);
    return Seen;
  }

  void post(entry_event_body Body) {
    Control.post(
        [this, Body = std::move(Body)]() mutable { apply(std::move(Body)); });
  }

  /// Runs on the control thread.
  void apply(entry_event_body Body) {
    const entry_event Event{readClock(), std::move(Body)};
    for (entry_effect &Effect : reduce(State, Event))
      std::visit([this](auto &Value) { perform(Value); }, Effect);
  }

  void perform(const publish_snapshot &Effect) {
    Requests.Dispatcher.setExecutors(Effect.Snapshot->Executors);
    for (auto &Thread : Traffic)
      asio::post(Thread->Context,
                 [&Thread = *Thread, Snapshot = Effect.Snapshot] {
                   Thread.Snapshot = Snapshot;
                   Thread.Upstream.limitIdle(Snapshot->IdleConnections);
                 });
  }

  void perform(const write_log &Effect) { writeLog(Effect.Line); }

  [[nodiscard]] int openRequests() const {
    int Open = 0;
    for (const auto &Server : Servers)
      Open += Server->openRequests();
    return Open;
  }

  entry_config Config;
  io_threads Io;
  entry_state State; // accessed by the control thread only
  store_client Store;
  instance_list_client List;
  request_services Requests;
  tables_feed Tables;
  std::vector<std::unique_ptr<traffic_thread>> Traffic;
  std::vector<std::unique_ptr<http_server>> Servers;
  control_thread Control;
};

} // namespace

int main(int Argc, char **Argv) {
  entry_config Config;
  int ShareWaitMs = static_cast<int>(Config.ShareWait.count());

  settings_parser Parser("galenastage-entry",
                         "Entry instance: callers' requests, jobs and the "
                         "operators' tables.");
  const instance_settings Settings(Parser, "127.0.0.1:8080",
                                   "address for callers and operators");
  Parser.number("threads", Config.Threads, 1, 64, "traffic threads");
  Parser.number(
      "executor-slots", Config.SlotsPerExecutor, 1, 1'024,
      "concurrent requests to one executor, from all entry instances");
  Parser.number("executor-connections", Config.ConnectionsPerExecutor, 1, 4'096,
                "connections to one executor, from all entry instances");
  Parser.number("dispatch-writes", Config.DispatchWrites, 1, 1'000,
                "store calls per second for dispatch records");
  Parser.number(
      "share-wait-ms", ShareWaitMs, 0, 600'000,
      "time until a new share of an executor is used; at least the lag "
      "of the instance list plus the longest request");
  if (const auto ExitCode = Parser.parse(Argc, Argv))
    return *ExitCode;

  startLogging("galenastage-entry", Settings.logFormat());
  static_cast<instance_config &>(Config) = Settings.config();
  Config.ShareWait = milliseconds(ShareWaitMs);
  return runInstance<entry_app>(Config);
}
