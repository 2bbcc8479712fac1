#pragma once

// The request path of an entry in one thread: the real handlers, a fake
// executor that fails at a chosen point, and the stand-in's store behind a
// relay that can drop responses.
//
// Index of this file
// [1] The executor
// [2] The store relay
// [3] The system

#include "apps/entry/traffic.hpp"
#include "apps/runtime/process.hpp"
#include "standin/platform.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <map>

namespace galenastage::test {

// [1] The executor

/// The point at which an exchange fails, as seen by the executor.
enum class fault_point {
  None,
  ConnectRefused, // no listener on the port
  PartlySent,     // resets while it receives the request
  Written,        // reads the request, closes without a response
  Reset,          // reads the request, resets
  PartialAnswer,  // sends half of the response head
  LengthTooLong,  // Content-Length exceeds the body
  LengthTooShort, // body exceeds Content-Length
  NoLength,       // ends the response by closing
  Silent,         // never responds
  LateAnswer,     // responds after the caller has given up
  Refused,        // 503 with verdict not-run
  ServerError,    // runs, responds with 500
};

/// Counts runs by request body; each request of a test has a unique body.
class fake_executor {
public:
  explicit fake_executor(asio::io_context &Context)
      : Context(Context), Acceptor(Context), Dead(Context) {
    const tcp::endpoint Any(asio::ip::make_address("127.2.9.1"), 0);
    Acceptor.open(Any.protocol());
    Acceptor.set_option(asio::socket_base::receive_buffer_size(4'096));
    Acceptor.bind(Any);
    Acceptor.listen();
    Dead.open(Any.protocol());
    Dead.bind(Any); // bound, never listens
    asio::co_spawn(Context, acceptLoop(), asio::detached);
  }

  fault_point Fault = fault_point::None;
  int FaultsLeft = 0; // requests that fail before it recovers
  std::map<std::string, int> Runs;
  int Connections = 0; // open now

  [[nodiscard]] endpoint address() const {
    const auto Local = Fault == fault_point::ConnectRefused
                           ? Dead.local_endpoint()
                           : Acceptor.local_endpoint();
    return {Local.address().to_string(), Local.port()};
  }

private:
  using tcp = asio::ip::tcp;
  using request = boost::beast::http::request<boost::beast::http::string_body>;
  static constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

  task<void> acceptLoop() {
    while (true) {
      auto [Error, Socket] = co_await Acceptor.async_accept(AsTuple);
      if (Error)
        co_return;
      asio::co_spawn(Context, serve(std::move(Socket)), asio::detached);
    }
  }

  task<void> serve(tcp::socket Socket) {
    ++Connections;
    boost::beast::flat_buffer Buffer;
    bool Continues = true;
    while (Continues)
      Continues = co_await serveOne(Socket, Buffer);
    --Connections;
  }

  fault_point takeFault() {
    if (FaultsLeft == 0)
      return fault_point::None;
    --FaultsLeft;
    return Fault;
  }

  task<bool> serveOne(tcp::socket &Socket, boost::beast::flat_buffer &Buffer) {
    auto [WaitError] =
        co_await Socket.async_wait(tcp::socket::wait_read, AsTuple);
    if (WaitError || Socket.available() == 0)
      co_return false;
    const fault_point Point = takeFault();
    if (Point == fault_point::PartlySent) {
      reset(Socket);
      co_return false;
    }
    boost::beast::http::request_parser<boost::beast::http::string_body> Parser;
    Parser.body_limit(boost::none);
    auto [Error, Bytes] = co_await boost::beast::http::async_read(
        Socket, Buffer, Parser, AsTuple);
    if (Error)
      co_return false;
    const std::string Body = Parser.get().body();
    if (Point != fault_point::Refused)
      ++Runs[Body];
    bool Continues = co_await answer(Socket, Point, Body);
    co_return Continues;
  }

  task<bool> answer(tcp::socket &Socket, fault_point Point, std::string Body) {
    const std::string Length =
        "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
    std::string Text = "HTTP/1.1 200 OK\r\n" + Length + Body;
    bool Continues = false;
    switch (Point) {
    case fault_point::None:
      Continues = true;
      break;
    case fault_point::ServerError:
      Text.replace(0, 15, "HTTP/1.1 500 No");
      Continues = true;
      break;
    case fault_point::Refused:
      Text = "HTTP/1.1 503 Busy\r\nGalenastage-Verdict: not-run\r\n"
             "Content-Length: 0\r\n\r\n";
      Continues = true;
      break;
    case fault_point::PartialAnswer:
      Text = "HTTP/1.1 200 OK\r\nCont";
      break;
    case fault_point::LengthTooLong:
      Text = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + Body;
      break;
    case fault_point::LengthTooShort:
      Text += "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
      Continues = true;
      break;
    case fault_point::NoLength:
      Text = "HTTP/1.1 200 OK\r\n\r\n" + Body;
      break;
    case fault_point::Reset:
      reset(Socket);
      co_return false;
    case fault_point::Silent:
    case fault_point::LateAnswer:
      co_await waitForClose(Socket);
      if (Point == fault_point::Silent)
        co_return false;
      break;
    case fault_point::Written:
    case fault_point::ConnectRefused:
    case fault_point::PartlySent:
      co_return false;
    }
    auto [Error, Bytes] =
        co_await asio::async_write(Socket, asio::buffer(Text), AsTuple);
    co_return !Error && Continues;
  }

  static task<void> waitForClose(tcp::socket &Socket) {
    co_await Socket.async_wait(tcp::socket::wait_read, AsTuple);
  }

  static void reset(tcp::socket &Socket) {
    Socket.set_option(asio::socket_base::linger(true, 0));
    Socket.close();
  }

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  tcp::acceptor Dead;
};

// [2] The store relay

enum class store_state { Up, Down, OneAnswerLost, AnswersLost };

/// Forwards calls to the stand-in's store and drops responses to writes.
class store_relay {
public:
  store_relay(asio::io_context &Context, endpoint Store)
      : Store(std::move(Store)), Client(Context),
        Server(Context, {"127.2.9.2", 0}, [this](http_request Request) {
          return relay(std::move(Request));
        }) {}

  [[nodiscard]] endpoint address() const { return Server.localEndpoint(); }

  void set(store_state State) {
    IsDown = State == store_state::Down;
    AnswersToLose = State == store_state::OneAnswerLost ? 1
                    : State == store_state::AnswersLost ? 1'000'000
                                                        : 0;
  }

  int Writes = 0;

private:
  task<http_response> relay(http_request Request) {
    http_response Dropped;
    Dropped.Status = 0;
    if (IsDown)
      co_return Dropped;
    const bool IsWrite = Request.path() == "/v3/kv/txn";
    Writes += IsWrite ? 1 : 0;
    http_request Copy;
    Copy.Method = Request.Method;
    Copy.Target = Request.Target;
    Copy.Body = Request.Body;
    http_result Result =
        co_await Client.send(Store, std::move(Copy), milliseconds(5'000));
    if (IsWrite && AnswersToLose > 0) {
      --AnswersToLose;
      co_return Dropped;
    }
    co_return jsonResponse(Result.Response.Status, Result.Response.Body);
  }

  endpoint Store;
  http_client Client;
  http_server Server;
  bool IsDown = false;
  int AnswersToLose = 0;
};

// [3] The system

/// Two routes: /repeatable is idempotent, /once is not.
class request_system {
public:
  request_system() { asio::co_spawn(Context, passTime(), asio::detached); }

  asio::io_context Context{1};
  standin::stand_in_platform Platform{Context, platformSettings()};
  store_relay Store{Context, Platform.storeEndpoint()};
  fake_executor Executor{Context};
  entry_config Config = entryConfig();
  request_services Requests{Context, Config};
  traffic_thread Thread{Context, Config, Requests};

  /// Publishes the tables, and the executor at the address for its fault.
  void publish(int Slots = 8) {
    boost::intrusive_ptr<entry_snapshot> Snapshot = new entry_snapshot;
    Snapshot->Tables = std::make_shared<tables>(makeTables());
    Snapshot->DataCentre = Config.DataCentre;
    executor_choice Choice;
    Choice.Row.Executor = executor_id("executor-0");
    Choice.Row.Service = service_id("portal-core");
    Choice.Row.DataCentre = Config.DataCentre;
    Choice.Row.Address = Executor.address();
    Choice.Slots = Slots;
    Snapshot->Executors.push_back(Choice);
    Thread.Snapshot = Snapshot;
    Requests.Dispatcher.setExecutors(Snapshot->Executors);
  }

  struct told {
    unsigned Status = 0;
    std::string Verdict; // "ran" for a complete response of the executor
    std::string Body;
    bool IsReplayed = false;
  };

  told send(const std::string &Path, const std::string &Body,
            const std::string &Key = "", int TimeoutMs = 10'000) {
    http_request Request;
    Request.Method = "POST";
    Request.Target = "/v1/requests" + Path;
    Request.Body = Body;
    Request.Headers.set("Galenastage-Timeout-Ms", std::to_string(TimeoutMs));
    if (!Key.empty())
      Request.Headers.set("Idempotency-Key", Key);
    const http_response Response =
        run(handleRequest(Thread, std::move(Request)));
    told Told;
    Told.Status = Response.Status;
    Told.Verdict = Response.Headers.find("Galenastage-Verdict");
    if (Told.Verdict.empty())
      Told.Verdict = "ran";
    Told.Body = Response.Body;
    Told.IsReplayed = !Response.Headers.find("Galenastage-Replayed").empty();
    return Told;
  }

  /// Runs a task to completion and returns its result.
  template <typename Result> Result run(task<Result> Task) {
    std::optional<Result> Outcome;
    std::exception_ptr Failure;
    asio::co_spawn(Context, std::move(Task),
                   [&](std::exception_ptr Error, Result Value) {
                     Failure = Error;
                     Outcome = std::move(Value);
                   });
    while (!Outcome)
      Context.run_one();
    if (Failure)
      std::rethrow_exception(Failure);
    return std::move(*Outcome);
  }

  /// Runs until the outcomes of all requests are recorded.
  void settle() {
    while (!Requests.Log.isIdle())
      Context.run_one();
  }

private:
  task<void> passTime() {
    while (true) {
      Requests.Dispatcher.advanceTime();
      co_await sleepFor(Context, milliseconds(5));
    }
  }

  static standin::platform_settings platformSettings() {
    standin::platform_settings Settings;
    Settings.Store = {"127.2.9.3", 0};
    Settings.Platform = {"127.2.9.3", 0};
    return Settings;
  }

  entry_config entryConfig() {
    entry_config Wanted;
    Wanted.Instance = "entry-0";
    Wanted.DataCentre = data_centre_id("north-a");
    Wanted.Listen = {"127.2.9.4", 0};
    Wanted.Store = Store.address();
    Wanted.DispatchWrites = 1'000;
    return Wanted;
  }

  static tables makeTables() {
    tables Tables;
    Tables.Version = 1;
    Tables.DataCentres.push_back({data_centre_id("north-a"), "north", true});
    pool Pool;
    Pool.Name = pool_id("pool");
    Pool.Organisation = organisation_id("council");
    Tables.Pools.push_back(Pool);
    for (const bool IsIdempotent : {true, false}) {
      route Route;
      Route.Name = route_id(IsIdempotent ? "repeatable" : "once");
      Route.PathPrefix = "/" + Route.Name.Value;
      Route.Service = service_id("portal-core");
      Route.Pool = Pool.Name;
      Route.IsIdempotent = IsIdempotent;
      Tables.Routes.push_back(Route);
    }
    return Tables;
  }
};

} // namespace galenastage::test
