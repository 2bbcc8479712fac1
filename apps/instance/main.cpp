#include "apps/instance/deployment_feed.hpp"
#include "apps/instance/front.hpp"
#include "apps/instance/leadership.hpp"
#include "apps/instance/limits.hpp"
#include "apps/instance/orders.hpp"
#include "apps/runtime/control.hpp"
#include "apps/runtime/logging.hpp"
#include "apps/runtime/process.hpp"
#include "apps/runtime/settings.hpp"
#include "platform/settings.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <future>

using namespace galenastage;

namespace {

constexpr int ExitUsage = 2;
constexpr milliseconds TickInterval{100}; // of the reducer's clock
// Time after which a failed leader is replaced. Less than the shortest lease of
// a run, so that runs survive a change of leader.
constexpr milliseconds LeaderLease{1'200};
// The load balancer probes once a second and removes an instance after two
// failed probes.
constexpr milliseconds BalancerDelay{2'500};
constexpr milliseconds OrderMargin{500}; // from the decision to the start
constexpr milliseconds MinRequestAge{150};
constexpr milliseconds TurnedAwayInterval{5'000}; // between two log lines
constexpr milliseconds DrainPoll{20};
constexpr milliseconds StopMargin{700}; // before the platform kills the process

constexpr const char *On = "on";
constexpr const char *Off = "off";

/// Parts of the scheduler that an operator may switch off.
struct features {
  std::string Speeds = On;
  std::string Shares = On;
  std::string Headroom = On;
  std::string Departures = On;
};

/// One instance on the users' platform: always answers clients, and schedules
/// while it leads.
class instance_app {
public:
  instance_app(platform::instance_settings NewSettings,
               const features &Features)
      : Settings(std::move(NewSettings)), Io(1), Context(Io.context(0)),
        Store(Context, Settings.Store, Settings.Address),
        Executors(Context, Settings.Address),
        State(schedulerSettings(Settings, Features)),
        Feed(
            Context, Store, Metrics,
            [this](const deployment_view &View) { applyView(View); },
            [this](instant AsOf) {
              eventPoster()(batch::NoTerm, batch::configuration_current{AsOf});
            }),
        Leadership(Context, Store, Settings.Name.Value, forwardEndpoint(),
                   std::max(LeaderLease, Settings.MinStoreLease),
                   campaignDelay(Settings.Cores, Settings.LinkMbps), Metrics,
                   eventPoster(), {}, feedSettings(Settings)),
        Orders(Context, Store, Executors, Leadership, Metrics, eventPoster(),
               Settings.MaxValueBytes),
        Front(
            Context, Settings.Address, Store, Feed, Metrics,
            admissionSettings(Features),
            [this] { return Leadership.knownLeader(); }, Settings.MaxValueBytes,
            divideMachine(Settings).Front.Connections / 2) {
    const server_limits Limits = divideMachine(Settings);
    if (Settings.Front)
      Clients = serve(*Settings.Front, "front", Limits.Front,
                      [this](http_request Request) {
                        return Front.handle(std::move(Request), false);
                      });
    Forwards = serve(forwardEndpoint(), "forward", Limits.Forward,
                     [this](http_request Request) {
                       return Front.handle(std::move(Request), true);
                     });
    if (Settings.Ready)
      serve(*Settings.Ready, "ready", Limits.Probe,
            [this](http_request) { return answerReadiness(); });
    if (Settings.FirstInternalPort != 0)
      serve({Settings.Address, Settings.FirstInternalPort}, "metrics",
            Limits.Probe, [this](http_request Request) {
              return answerMetrics(std::move(Request));
            });
  }

  void start() {
    asio::co_spawn(Context, Feed.run(), asio::detached);
    asio::co_spawn(Context, Leadership.run(), asio::detached);
    asio::co_spawn(Context, tick(), asio::detached);
    Io.start();
  }

  /// Resigns the leadership, waits until the load balancer has removed this
  /// instance, and completes open requests.
  void stopGracefully() {
    const instant KillAt = readClock() + Settings.StopGrace - StopMargin;
    IsStopping = true;
    asio::post(Context, [this] {
      asio::co_spawn(Context, Leadership.resign(), asio::detached);
    });
    std::this_thread::sleep_for(BalancerDelay);
    for (http_server *Server : {Clients, Forwards})
      if (Server)
        Server->stopAccepting();
    while (openRequests() > 0 && readClock() < KillAt)
      std::this_thread::sleep_for(DrainPoll);
    Io.stop();
  }

private:
  /// An order to start takes part of the time that cancellations may take.
  static milliseconds
  maxRequestAge(const platform::instance_settings &Settings) {
    return std::max(Settings.CancelBound - OrderMargin, MinRequestAge);
  }

  /// Two waits of a watch pass before the scheduler knows of the second one.
  static batch::job_feed_settings
  feedSettings(const platform::instance_settings &Settings) {
    batch::job_feed_settings Feed;
    Feed.MaxAge = maxRequestAge(Settings);
    Feed.WatchWait = std::min(Feed.WatchWait, Feed.MaxAge / 3);
    return Feed;
  }

  static batch::scheduler_settings
  schedulerSettings(const platform::instance_settings &Settings,
                    const features &Features) {
    batch::scheduler_settings Scheduler;
    Scheduler.MaxRecordBytes = Settings.MaxValueBytes;
    Scheduler.MaxLease = Settings.MaxRunLease;
    Scheduler.Lease = std::min(Scheduler.Lease, Settings.MaxRunLease);
    Scheduler.StopTimeout = Settings.RunStopTimeout;
    Scheduler.MaxRequestAge = maxRequestAge(Settings);
    Scheduler.CheckpointInterval = Settings.CheckpointInterval;
    Scheduler.RestoreTime = Settings.RestoreTime;
    Scheduler.Speeds.IsEnabled = Features.Speeds == On;
    Scheduler.Shares.IsEnabled = Features.Shares == On;
    Scheduler.Headroom.IsEnabled = Features.Headroom == On;
    Scheduler.Departures.IsEnabled = Features.Departures == On;
    return Scheduler;
  }

  static batch::admission_settings admissionSettings(const features &Features) {
    batch::admission_settings Admission;
    Admission.IsEnabled = Features.Shares == On;
    return Admission;
  }

  /// Where other instances forward requests: the second internal port.
  [[nodiscard]] endpoint forwardEndpoint() const {
    return {Settings.Address,
            static_cast<std::uint16_t>(Settings.FirstInternalPort + 1)};
  }

  /// Posts events to the control thread; their effects run on the I/O thread.
  leadership::post_event eventPoster() {
    return [this](std::uint64_t Term, decltype(batch::event::What) What) {
      Control.post([this, Term, What = std::move(What)]() mutable {
        batch::effects Effects = batch::reduce(
            State, {readClock(), readWallClock(), Term, std::move(What)});
        if (Effects.empty())
          return;
        asio::post(Context, [this, Effects = std::move(Effects)]() mutable {
          for (batch::effect &Effect : Effects)
            Orders.execute(std::move(Effect));
        });
      });
    };
  }

  http_server *serve(const endpoint &At, const std::string &Name,
                     const http_limits &Limits, http_handler Handler) {
    auto &Server = Servers[Name];
    Server =
        std::make_unique<http_server>(Context, At, std::move(Handler), Limits);
    return Server.get();
  }

  void applyView(const deployment_view &View) {
    const auto Post = eventPoster();
    Post(batch::NoTerm, batch::configuration_changed{View.Config});
    Post(batch::NoTerm, batch::evacuations_changed{View.Evacuated});
    http_limits Limits = applyConfiguration({}, View.Config);
    if (Clients)
      Clients->setRequestLimits(Limits);
    // A header may be longer as another instance writes it.
    Limits.HeaderBytes *= 2;
    Forwards->setRequestLimits(Limits);
    Metrics.noteConfiguration(View.Config.Version);
  }

  task<void> tick() {
    const auto Post = eventPoster();
    for (;;) {
      co_await sleepFor(Context, TickInterval);
      logTurnedAway();
      if (Leadership.isLeading())
        Post(batch::NoTerm, batch::time_passed{});
    }
  }

  /// Tells of a crowd in few lines, however many connections it opens.
  void logTurnedAway() {
    if (!Clients || readClock() - TurnedAwayLogged < TurnedAwayInterval)
      return;
    const int Displaced = Clients->displacedConnections();
    const int Refused = Clients->refusedConnections();
    if (Displaced + Refused == TurnedAway)
      return;
    writeLog(events::ConnectionsTurnedAway,
             {{"since_last", std::to_string(Displaced + Refused - TurnedAway)},
              {"displaced", std::to_string(Displaced)},
              {"refused", std::to_string(Refused)},
              {"open", std::to_string(Clients->openConnections())},
              {"bytes", std::to_string(Clients->heldBytes())}});
    TurnedAway = Displaced + Refused;
    TurnedAwayLogged = readClock();
  }

  task<http_response> answerReadiness() {
    std::string_view Reason;
    if (IsStopping)
      Reason = "the instance is stopping";
    else if (!Feed.view())
      Reason = "no configuration has been read yet";
    else if (!Feed.isConfirmed())
      Reason = "the platform's store doesn't serve this instance";
    if (Reason.empty())
      co_return jsonResponse(200, "{}");
    co_return problemResponse(503, "not ready", Reason, verdict::NotRun);
  }

  task<http_response> answerMetrics(http_request Request) {
    if (Request.path() != "/metrics")
      co_return problemResponse(404, "not found", "only /metrics is served",
                                verdict::NotRun);
    Metrics.noteCalls(Store.calls(), Executors.calls());
    for (const auto &[Name, Server] : Servers)
      Metrics.noteConnections(Name, *Server);
    Metrics.noteDroppedLines(droppedLogLines());
    Metrics.noteLeadership(Leadership.token());
    if (Feed.view())
      Metrics.noteConfigurationAge(Feed.age());
    http_response Response;
    Response.Headers.set("Content-Type", "text/plain; version=0.0.4");
    Response.Body = Metrics.print();
    co_return Response;
  }

  [[nodiscard]] int openRequests() const {
    int Open = 0;
    for (const http_server *Server : {Clients, Forwards})
      Open += Server ? Server->openRequests() : 0;
    return Open;
  }

  platform::instance_settings Settings;
  io_threads Io;
  asio::io_context &Context;
  platform::metadata_store Store;
  platform::executor_client Executors;
  instance_metrics Metrics;
  batch::scheduler_state State; // used by the control thread only
  control_thread Control;
  deployment_feed Feed;
  leadership Leadership;
  orders Orders;
  front Front;
  std::map<std::string, std::unique_ptr<http_server>> Servers; // by name
  http_server *Clients = nullptr;  // of Servers; null: not served
  http_server *Forwards = nullptr; // of Servers
  int TurnedAway = 0;              // clients' connections, as last logged
  instant TurnedAwayLogged{};
  std::atomic<bool> IsStopping{false};
};

/// Reads the settings; logs the reason when they are invalid.
std::optional<platform::instance_settings>
loadSettings(const std::string &Path) {
  platform::parsed_settings Parsed = platform::readSettings(Path);
  if (!Parsed.Error)
    return std::move(Parsed.Settings);
  writeLog(events::SettingsInvalid, {{"reason", Parsed.Reason}});
  return std::nullopt;
}

} // namespace

int main(int Argc, char **Argv) {
  std::string Path;
  std::string Format = "key-value";
  settings_parser Parser("galenastage-instance",
                         "One instance on the users' platform: answers "
                         "clients, and schedules while it leads.");
  Parser.text("platform-settings", Path,
              "settings file of the platform; empty: the one that the "
              "platform's environment names");
  Parser.choice("log-format", Format, {"key-value", "json"},
                "format of the log lines");
  features Features;
  Parser.choice("executor-speeds", Features.Speeds, {On, Off},
                "learn how fast executors are, and place work by it");
  Parser.choice("organisation-shares", Features.Shares, {On, Off},
                "share what guarantees leave evenly between organisations");
  Parser.choice("headroom", Features.Headroom, {On, Off},
                "keep room free for guaranteed work that is about to come");
  Parser.choice("departures", Features.Departures, {On, Off},
                "move runs away from executors that are about to leave");
  if (const auto ExitCode = Parser.parse(Argc, Argv))
    return *ExitCode;
  startLogging("galenastage-instance",
               Format == "json" ? log_format::Json : log_format::KeyValue);
  const auto Settings = loadSettings(Path);
  if (!Settings)
    return ExitUsage;

  blockStopSignals();
  try {
    instance_app App(*Settings, Features);
    App.start();
    writeLog(events::ProcessStarted,
             {{"instance", Settings->Name.Value},
              {"data_centre", Settings->DataCentre.Value},
              {"store", printEndpoint(Settings->Store)}});
    while (waitForSignal() == process_signal::Reload)
      if (const auto Reloaded = loadSettings(Path))
        writeLog(events::SettingsReloaded,
                 {{"changed", *Reloaded == *Settings ? "no" : "yes"}});
    writeLog(events::ProcessStopping, {});
    App.stopGracefully();
  } catch (const std::exception &Error) {
    writeLog(events::ListenFailed, {{"error", Error.what()}});
    return 1;
  }
  writeLog(events::ProcessStopped, {});
  return 0;
}
