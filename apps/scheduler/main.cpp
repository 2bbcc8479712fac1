#include "apps/runtime/control.hpp"
#include "apps/runtime/instance.hpp"
#include "apps/runtime/logging.hpp"
#include "apps/runtime/platform_feed.hpp"
#include "apps/runtime/process.hpp"
#include "apps/scheduler/election.hpp"
#include "apps/scheduler/save_queue.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <future>

using namespace galenastage;

namespace {

constexpr milliseconds TickInterval{100};
constexpr milliseconds ListInterval{500};
constexpr milliseconds WorkerCallTimeout{1'000};
constexpr milliseconds ReloadDelay{300};
constexpr seconds ResignTimeout{2};

/// One scheduler process: the reducer runs on the control thread, everything
/// else on one I/O thread.
class scheduler_app {
public:
  explicit scheduler_app(instance_config NewConfig)
      : Config(std::move(NewConfig)), Io(1), Context(Io.context(0)),
        State(settingsOf(Config)),
        Store(Context, Config.Store, Config.Listen.Address),
        List(Context, Config.Platform, Config.Listen.Address),
        Workers(Context, Config.Listen.Address),
        Tables(Context, Store, List, relaySettings(Config), tablesCallbacks()),
        Saves(Context, Store,
              [this](epoch Epoch, scheduler_event_body Body) {
                postAnswer(Epoch, std::move(Body));
              }),
        Election(Context, Store, Config.DataCentre, Config.Instance,
                 [this](bool IsLeading, epoch Epoch) {
                   changeLeadership(IsLeading, Epoch);
                 }),
        Server(Context, Config.Listen, [this](http_request Request) {
          return handle(std::move(Request));
        }) {}

  void start() {
    spawn(tickLoop());
    Tables.start();
    spawn(pollInstances(
        Context, List, instance_kind::Worker, Config.DataCentre, ListInterval,
        [this](std::vector<instance> Instances) { postWorkers(Instances); }));
    spawn(Election.run());
    Io.start();
  }

  /// Resigns the leadership, so that a standby takes over within seconds.
  /// Running gangs continue under their leases meanwhile.
  void stopGracefully() {
    std::promise<void> Resigned;
    asio::co_spawn(Context, Election.resign(),
                   [&](std::exception_ptr) { Resigned.set_value(); });
    Resigned.get_future().wait_for(ResignTimeout);
    Io.stop();
  }

private:
  static scheduler_settings settingsOf(const instance_config &Config) {
    scheduler_settings Settings;
    Settings.DataCentre = Config.DataCentre;
    return Settings;
  }

  static relay_settings relaySettings(const instance_config &Config) {
    relay_settings Settings;
    Settings.Self = instance_id(Config.Instance);
    Settings.DataCentre = Config.DataCentre;
    Settings.Kind = process_kind::Scheduler;
    Settings.PeerAddress = peerAddressOf(Config.Listen);
    Settings.PeerListen = Config.PeerListen.value_or(Settings.PeerAddress);
    Settings.Incarnation =
        static_cast<std::uint64_t>(readWallClock().time_since_epoch().count());
    return Settings;
  }

  tables_callbacks tablesCallbacks() {
    tables_callbacks Callbacks;
    Callbacks.OnTables = [this](tables_seen Seen) {
      apply(0, std::move(Seen));
    };
    Callbacks.OnLeader = [this](publish_leader Leader) {
      Election.noteLeader(Leader);
    };
    Callbacks.PostControl = [this](std::function<void()> Work) {
      Control.post(std::move(Work));
    };
    return Callbacks;
  }

  void spawn(task<void> Task) {
    asio::co_spawn(Context, std::move(Task), asio::detached);
  }

  // Events

  void post(scheduler_event_body Body) { postAnswer(0, std::move(Body)); }

  /// Posts the answer to an order of that epoch.
  void postAnswer(epoch Epoch, scheduler_event_body Body) {
    Control.post([this, Epoch, Body = std::move(Body)]() mutable {
      apply(Epoch, std::move(Body));
    });
  }

  /// Runs on the control thread.
  void apply(epoch Epoch, scheduler_event_body Body) {
    const scheduler_event Event{readClock(), std::move(Body), Epoch};
    scheduler_effects Effects = reduce(State, Event);
    if (Effects.empty())
      return;
    asio::post(Context, [this, Effects = std::move(Effects)]() mutable {
      for (scheduler_effect &Effect : Effects)
        std::visit([this](auto &Value) { perform(std::move(Value)); }, Effect);
    });
  }

  task<void> tickLoop() {
    for (;;) {
      post(ticked{readWallClock()});
      co_await sleepFor(Context, TickInterval);
    }
  }

  void postWorkers(const std::vector<instance> &Instances) {
    std::map<worker_id, endpoint> Listed;
    for (const instance &Row : Instances) {
      const worker_id Worker(Row.Name);
      Listed[Worker] = Row.Address;
      post(worker_listed{Worker, Row.Rack, Row.Accelerators, Row.IsLeaving});
    }
    for (const auto &[Worker, Address] : Addresses)
      if (!Listed.contains(Worker))
        post(worker_unlisted{Worker});
    // Keep the addresses of unlisted workers: their tasks may still run.
    Listed.merge(Addresses);
    Addresses = std::move(Listed);
  }

  void changeLeadership(bool IsLeading, epoch Epoch) {
    PresentEpoch = Epoch;
    Saves.setFence(Election.fence());
    Tables.post(leading_changed{IsLeading ? Epoch : 0});
    post(leadership_changed{IsLeading, Epoch});
    ++Term;
    if (IsLeading)
      spawn(watchJobs(Term));
  }

  /// Reads this data centre's jobs, then watches them, until the term ends.
  task<void> watchJobs(int OwnTerm) {
    bool IsLoaded = false;
    while (OwnTerm == Term) {
      const store_read Read =
          co_await Store.readPrefix(jobPrefix(Config.DataCentre));
      if (!Read.Error) {
        for (const store_entry &Entry : Read.Entries)
          postJob(Entry);
        if (!IsLoaded)
          post(jobs_loaded{});
        IsLoaded = true;
        watch_callbacks Callbacks;
        Callbacks.OnEvent = [this, OwnTerm](const store_event &Event) {
          if (OwnTerm == Term)
            postJobEvent(Event);
        };
        co_await Store.watch(jobPrefix(Config.DataCentre), Read.Revision + 1,
                             std::move(Callbacks));
      }
      co_await sleepFor(Context, ReloadDelay);
    }
  }

  void postJobEvent(const store_event &Event) {
    if (!Event.IsDelete) {
      postJob(Event.Entry);
      return;
    }
    const std::size_t Prefix = jobPrefix(Config.DataCentre).size();
    post(job_forgotten{job_id(Event.Entry.Key.substr(Prefix))});
  }

  void postJob(const store_entry &Entry) {
    auto Parsed = parseJobRecord(Entry.Value);
    if (Parsed.Job)
      post(job_seen{std::move(*Parsed.Job), Entry.ModRevision});
    else
      writeLog(events::JobUnreadable,
               {{"key", Entry.Key}, {"field", Parsed.Problems.front().Field}});
  }

  // Effects

  void perform(send_reserve Effect) {
    spawn(sendStep(Effect.Request.Epoch, step_answered::step_kind::Reserve,
                   "/v1/reserve", Effect.Worker, Effect.Request.Attempt,
                   nlohmann::json(Effect.Request).dump()));
  }

  void perform(send_start Effect) {
    spawn(sendStep(Effect.Request.Epoch, step_answered::step_kind::Start,
                   "/v1/start", Effect.Worker, Effect.Request.Attempt,
                   nlohmann::json(Effect.Request).dump()));
  }

  void perform(send_release Effect) {
    spawn(sendStep(Effect.Request.Epoch, step_answered::step_kind::Release,
                   "/v1/release", Effect.Worker, Effect.Request.Attempt,
                   nlohmann::json(Effect.Request).dump()));
  }

  void perform(send_renew Effect) {
    spawn(sendRenew(Effect.Request.Epoch, Effect.Worker,
                    nlohmann::json(Effect.Request).dump()));
  }

  // The queue's fence is that of the present epoch.
  void perform(save_job Effect) {
    if (Effect.Epoch == PresentEpoch)
      Saves.save(std::move(Effect));
  }
  void perform(move_job Effect) {
    if (Effect.Epoch == PresentEpoch)
      Saves.move(std::move(Effect));
  }
  void perform(step_down Effect) { Election.noteEpoch(Effect.HighestEpoch); }
  void perform(write_log Effect) { writeLog(Effect.Line); }

  task<http_result> callWorker(worker_id Worker, std::string Path,
                               std::string Body) {
    const auto Address = Addresses.find(Worker);
    if (Address == Addresses.end()) {
      http_result Unknown;
      Unknown.Error = std::make_error_code(std::errc::host_unreachable);
      co_return Unknown;
    }
    http_request Request;
    Request.Method = "POST";
    Request.Target = std::move(Path);
    Request.Headers.set("Content-Type", "application/json");
    Request.Body = std::move(Body);
    co_return co_await Workers.send(Address->second, std::move(Request),
                                    WorkerCallTimeout);
  }

  task<void> sendStep(epoch Epoch, step_answered::step_kind Kind,
                      std::string Path, worker_id Worker, attempt_id Attempt,
                      std::string Body) {
    const http_result Result =
        co_await callWorker(Worker, std::move(Path), std::move(Body));
    step_answered Answer;
    Answer.Kind = Kind;
    Answer.Attempt = std::move(Attempt);
    Answer.Worker = std::move(Worker);
    Answer.Verdict = Result.Verdict;
    Answer.Reason = Result.Error ? Result.Error.message() : "";
    if (!Result.Error) {
      const auto Parsed =
          parseWorkerMessage<worker_answer>(Result.Response.Body);
      Answer.IsAccepted = Parsed && Parsed->IsAccepted;
      Answer.HighestEpoch = Parsed ? Parsed->HighestEpoch : 0;
      Answer.Reason = Parsed ? Parsed->Reason : "unreadable answer";
    }
    postAnswer(Epoch, std::move(Answer));
  }

  task<void> sendRenew(epoch Epoch, worker_id Worker, std::string Body) {
    const instant SentAt = readClock();
    const http_result Result =
        co_await callWorker(std::move(Worker), "/v1/renew", std::move(Body));
    if (Result.Error)
      co_return;
    if (auto Report = parseWorkerMessage<worker_report>(Result.Response.Body))
      postAnswer(Epoch, worker_reported{std::move(*Report), SentAt});
  }

  // Health

  task<http_response> handle(http_request Request) {
    if (Request.path() == "/healthz" || Request.path() == "/readyz")
      co_return jsonResponse(200, R"({"healthy":true})");
    co_return problemResponse(404, "not found", Request.path(),
                              verdict::NotRun);
  }

  instance_config Config;
  io_threads Io;
  asio::io_context &Context;
  scheduler_state State; // used by the control thread only
  store_client Store;
  instance_list_client List;
  http_client Workers;
  tables_feed Tables;
  std::map<worker_id, endpoint> Addresses;
  epoch PresentEpoch = 0; // or the last one, on a standby
  int Term = 0;           // incremented on each change of leadership
  save_queue Saves;
  election Election;
  http_server Server;
  control_thread Control;
};

} // namespace

int main(int Argc, char **Argv) {
  settings_parser Parser("galenastage-scheduler",
                         "Scheduler of one data centre: places jobs, renews "
                         "their leases, moves them.");
  const instance_settings Settings(Parser, "127.0.0.1:8090",
                                   "where health checks connect");
  if (const auto ExitCode = Parser.parse(Argc, Argv))
    return *ExitCode;
  startLogging("galenastage-scheduler", Settings.logFormat());
  return runInstance<scheduler_app>(Settings.config());
}
