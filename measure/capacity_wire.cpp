#include "measure/capacity_wire.hpp"

#include "apps/runtime/process.hpp"
#include "core/config/tables.hpp"
#include "measure/capacity_samples.hpp"
#include "net/store.hpp"
#include "standin/kv_service.hpp"
#include "standin/worker_service.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <ctime>
#include <future>

namespace galenastage::measure {
namespace {

using tcp = asio::ip::tcp;

constexpr milliseconds CallTimeout{2'000};
constexpr std::size_t RelayBufferBytes = 16 * 1024;
const endpoint AnyPort{"127.0.0.1", 0};

/// Passes bytes between a client and a server and counts them.
class byte_relay {
public:
  byte_relay(asio::io_context &Context, endpoint Target)
      : Context(Context), Target(std::move(Target)),
        Acceptor(Context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    asio::co_spawn(Context, acceptLoop(), asio::detached);
  }

  [[nodiscard]] endpoint localEndpoint() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }
  [[nodiscard]] std::int64_t bytes() const { return Bytes; }

private:
  using shared_socket = std::shared_ptr<tcp::socket>;

  task<void> acceptLoop() {
    for (;;) {
      auto Client = std::make_shared<tcp::socket>(Context);
      co_await Acceptor.async_accept(*Client, asio::use_awaitable);
      auto Server = std::make_shared<tcp::socket>(Context);
      const tcp::endpoint To(asio::ip::make_address(Target.Address),
                             Target.Port);
      co_await Server->async_connect(To, asio::use_awaitable);
      asio::co_spawn(Context, pump(Client, Server), asio::detached);
      asio::co_spawn(Context, pump(Server, Client), asio::detached);
    }
  }

  task<void> pump(shared_socket From, shared_socket To) {
    std::array<char, RelayBufferBytes> Buffer{};
    try {
      for (;;) {
        const std::size_t Count = co_await From->async_read_some(
            asio::buffer(Buffer), asio::use_awaitable);
        Bytes += static_cast<std::int64_t>(Count);
        co_await asio::async_write(*To, asio::buffer(Buffer.data(), Count),
                                   asio::use_awaitable);
      }
    } catch (const std::exception &) {
      boost::system::error_code Ignored;
      To->close(Ignored);
    }
  }

  asio::io_context &Context;
  endpoint Target;
  tcp::acceptor Acceptor;
  std::atomic<std::int64_t> Bytes{0};
};

/// Runs a coroutine on an I/O thread and waits for it.
template <typename Result>
Result await(asio::io_context &Context, task<Result> Task) {
  return asio::co_spawn(Context, std::move(Task), asio::use_future).get();
}

/// Processor time that the thread of this context has used, in nanoseconds.
std::int64_t threadTime(asio::io_context &Context) {
  std::promise<std::int64_t> Time;
  asio::post(Context, [&Time] {
    timespec Now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
    constexpr std::int64_t PerSecond = 1'000'000'000;
    Time.set_value(Now.tv_sec * PerSecond + Now.tv_nsec);
  });
  return Time.get_future().get();
}

// Renewals

/// A worker that holds this many running attempts.
standin::worker_model busyWorker(int Attempts, instant Now) {
  constexpr int Accelerators = 64;
  standin::worker_model Model(worker_id("ma-north-a-worker-12"),
                              data_centre_id("ma-north-a"),
                              rack_id("ma-north-a-rack-2"), Accelerators);
  const renew_request Renewal = sampleRenewal(Attempts, true);
  for (const renewed_attempt &Renewed : Renewal.Attempts) {
    constexpr milliseconds Life{60'000};
    constexpr milliseconds RunTime{3'600'000};
    Model.reserve({Renewal.Epoch, Renewed.Attempt, 1, 1, Life}, Now);
    Model.start({Renewal.Epoch, Renewed.Attempt, Life, RunTime}, Now);
  }
  return Model;
}

/// Sends the same renewal several times, encoding and parsing as the scheduler
/// does.
task<int> renewOften(http_client &Client, endpoint To, renew_request Renewal,
                     int Times) {
  int Answered = 0;
  for (int I = 0; I < Times; ++I) {
    http_request Request;
    Request.Method = "POST";
    Request.Target = "/v1/renew";
    Request.Headers.set("Content-Type", "application/json");
    Request.Body = nlohmann::json(Renewal).dump();
    const http_result Result =
        co_await Client.send(To, std::move(Request), CallTimeout);
    const auto Report = parseWorkerMessage<worker_report>(Result.Response.Body);
    if (!Result.Error && Report)
      ++Answered;
  }
  co_return Answered;
}

struct renewal_cost {
  double Bytes = 0; // both ways
  double SchedulerMicroseconds = 0;
  double WorkerMicroseconds = 0;
};

renewal_cost measureRenewal(int Attempts, int Times) {
  io_threads Threads(3); // scheduler, worker, relay
  asio::io_context &Scheduler = Threads.context(0);
  asio::io_context &Worker = Threads.context(1);
  standin::worker_service Service(
      Worker, AnyPort, busyWorker(Attempts, standin::readProcessClock()));
  byte_relay Relay(Threads.context(2), Service.localEndpoint());
  http_client Client(Scheduler);
  Threads.start();
  const renew_request Body = sampleRenewal(Attempts, true);

  // The first one lets the tasks run and opens the connection.
  await(Scheduler, renewOften(Client, Relay.localEndpoint(), Body, 1));
  const std::int64_t BytesBefore = Relay.bytes();
  await(Scheduler, renewOften(Client, Relay.localEndpoint(), Body, Times));
  const std::int64_t Bytes = Relay.bytes() - BytesBefore;

  await(Scheduler, renewOften(Client, Service.localEndpoint(), Body, 1));
  const std::int64_t SchedulerBefore = threadTime(Scheduler);
  const std::int64_t WorkerBefore = threadTime(Worker);
  await(Scheduler, renewOften(Client, Service.localEndpoint(), Body, Times));
  constexpr double PerMicrosecond = 1'000;
  const auto PerRenewal = [&](std::int64_t Nanoseconds) {
    return static_cast<double>(Nanoseconds) / PerMicrosecond / Times;
  };
  renewal_cost Cost;
  Cost.Bytes = static_cast<double>(Bytes) / Times;
  Cost.SchedulerMicroseconds =
      PerRenewal(threadTime(Scheduler) - SchedulerBefore);
  Cost.WorkerMicroseconds = PerRenewal(threadTime(Worker) - WorkerBefore);
  Threads.stop();
  return Cost;
}

// Tables

struct tables_cost {
  double EditBytes = 0; // of the watch, at an instance
  double ReadBytes = 0; // of a read that confirms the version
};

task<void> storeTables(store_client &Store, tables Tables) {
  store_transaction Transaction;
  Transaction.Changes.push_back(
      put_key{std::string(TablesKey), printTables(Tables)});
  co_await Store.commit(std::move(Transaction));
}

task<void> watchTables(store_client &Store, std::promise<void> &Seen) {
  watch_callbacks Callbacks;
  Callbacks.OnEvent = [&Seen](const store_event &) { Seen.set_value(); };
  co_await Store.watch(std::string(TablesKey), 0, std::move(Callbacks));
}

tables_cost measureTablesOf(int Rows) {
  io_threads Threads(1);
  asio::io_context &Context = Threads.context(0);
  standin::kv_service Service(Context, AnyPort,
                              [](const std::string &) { return false; });
  byte_relay Relay(Context, Service.localEndpoint());
  store_client Operator(Context, Service.localEndpoint());
  store_client Instance(Context, Relay.localEndpoint());
  Threads.start();

  tables Tables = sampleTables(Rows);
  await(Context, storeTables(Operator, Tables));
  await(Context, Instance.read(std::string(TablesKey)));
  tables_cost Cost;
  std::int64_t Before = Relay.bytes();
  await(Context, Instance.read(std::string(TablesKey)));
  Cost.ReadBytes = static_cast<double>(Relay.bytes() - Before);

  std::promise<void> Seen;
  asio::co_spawn(Context, watchTables(Instance, Seen), asio::detached);
  constexpr milliseconds WatchSettles{50};
  std::this_thread::sleep_for(WatchSettles);
  Before = Relay.bytes();
  ++Tables.Version;
  await(Context, storeTables(Operator, Tables));
  Seen.get_future().wait();
  Cost.EditBytes = static_cast<double>(Relay.bytes() - Before);
  Threads.stop();
  return Cost;
}

} // namespace

std::vector<measured_slope> measureRenewals(int Runs) {
  constexpr int RenewalsInRun = 400;
  std::vector<sample> Bytes;
  std::vector<sample> Scheduler;
  std::vector<sample> Worker;
  for (const int Attempts : {0, 1, 2, 4, 8, 16, 26})
    for (int Run = 0; Run < Runs; ++Run) {
      const renewal_cost Cost = measureRenewal(Attempts, RenewalsInRun);
      Bytes.push_back({static_cast<double>(Attempts), Cost.Bytes});
      Scheduler.push_back(
          {static_cast<double>(Attempts), Cost.SchedulerMicroseconds});
      Worker.push_back(
          {static_cast<double>(Attempts), Cost.WorkerMicroseconds});
    }
  return {makeSlope("renewal and answer with HTTP headers", "bytes", "attempt",
                    std::move(Bytes)),
          makeSlope("renewal, I/O thread of the scheduler", "us", "attempt",
                    std::move(Scheduler)),
          makeSlope("renewal, the worker's side (stand-in)", "us", "attempt",
                    std::move(Worker))};
}

std::vector<measured_slope> measureTables() {
  std::vector<sample> Edits;
  std::vector<sample> Reads;
  for (const int Rows : {4, 8, 16, 32, 64, 90}) {
    const tables_cost Cost = measureTablesOf(Rows);
    Edits.push_back({static_cast<double>(Rows), Cost.EditBytes});
    Reads.push_back({static_cast<double>(Rows), Cost.ReadBytes});
  }
  return {makeSlope("edit, watch of one process", "bytes",
                    "team (2 routes, 1 pool)", std::move(Edits)),
          makeSlope("read that confirms the tables", "bytes",
                    "team (2 routes, 1 pool)", std::move(Reads))};
}

} // namespace galenastage::measure
