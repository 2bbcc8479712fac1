// Tests the HTTP server's limits on single connections.

#include "net/http.hpp"
#include "tests/support/run_task.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>

using namespace galenastage;

namespace {

using tcp = asio::ip::tcp;

struct server_fixture {
  asio::io_context Context{1};
  std::vector<http_request> Requests; // that the handler got
  http_server Server{Context, {"127.0.0.1", 0}, [this](http_request Request) {
                       return answer(std::move(Request));
                     }};

  task<http_response> answer(http_request Request) {
    Requests.push_back(std::move(Request));
    co_return jsonResponse(200, "{}");
  }

  /// Sends the text and reads until the server closes the connection.
  task<std::string> exchange(std::string Text) {
    constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
    tcp::socket Socket(Context);
    const endpoint To = Server.localEndpoint();
    co_await Socket.async_connect({asio::ip::make_address(To.Address), To.Port},
                                  asio::use_awaitable);
    co_await asio::async_write(Socket, asio::buffer(Text), AsTuple);
    std::string Answer;
    std::array<char, 4'096> Piece{};
    for (;;) {
      auto [Error, Bytes] =
          co_await Socket.async_read_some(asio::buffer(Piece), AsTuple);
      Answer.append(Piece.data(), Bytes);
      if (Error)
        co_return Answer;
    }
  }
  std::string run(const std::string &Text) {
    return test::runTask(Context, exchange(Text));
  }
};

const std::string Head = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n";

} // namespace

TEST_CASE_METHOD(server_fixture,
                 "http server: the header's time limit closes a connection "
                 "whose header isn't whole") {
  http_limits Limits;
  Limits.HeaderTimeout = milliseconds(50);
  Server.setRequestLimits(Limits);
  CHECK(run(Head).empty());
  CHECK(Requests.empty());
}

TEST_CASE_METHOD(server_fixture,
                 "http server: the idle time limit closes a connection without "
                 "a request") {
  http_limits Limits;
  Limits.IdleTimeout = milliseconds(50);
  Server.setRequestLimits(Limits);
  CHECK(run("").empty());
  CHECK_THAT(run("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
             Catch::StartsWith("HTTP/1.1 200"));
}

TEST_CASE_METHOD(server_fixture,
                 "http server: a changed body limit holds for the next "
                 "request") {
  http_limits Limits;
  Limits.BodyBytes = 4;
  CHECK_THAT(run(Head + "Content-Length: 5\r\n\r\nhello"),
             Catch::StartsWith("HTTP/1.1 200"));
  Server.setRequestLimits(Limits);
  CHECK_THAT(run(Head + "Content-Length: 5\r\n\r\nhello"),
             Catch::StartsWith("HTTP/1.1 413"));
  CHECK_THAT(run(Head + "Transfer-Encoding: chunked\r\n\r\n"
                        "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"),
             Catch::StartsWith("HTTP/1.1 413"));
  CHECK_THAT(run(Head + "Content-Length: 4\r\n\r\nhell"),
             Catch::StartsWith("HTTP/1.1 200"));
  CHECK(Requests.size() == 2);
}

// A client's proxy may have taken such fields out of the header.
TEST_CASE_METHOD(server_fixture,
                 "http server: trailers don't add to the header") {
  CHECK_THAT(run(Head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
                        "Authorization: Bearer k1\r\nX-Sum: 17\r\n\r\n"),
             Catch::StartsWith("HTTP/1.1 200"));
  REQUIRE(Requests.size() == 1);
  CHECK(Requests.front().Body == "hello");
  CHECK(Requests.front().Headers.find("Host") == "h");
  CHECK(Requests.front().Headers.find("Authorization").empty());
  CHECK(Requests.front().Headers.find("X-Sum").empty());
}

TEST_CASE_METHOD(server_fixture,
                 "http server: a connection makes room only while its request "
                 "isn't whole") {
  http_limits Limits;
  Limits.Connections = 2;
  int Waiting = 0;
  bool MayAnswer = false;
  http_server Small(
      Context, {"127.0.0.1", 0},
      [&](http_request) -> task<http_response> {
        ++Waiting;
        while (!MayAnswer)
          co_await asio::post(Context, asio::use_awaitable);
        co_return jsonResponse(200, "{}");
      },
      Limits);
  const endpoint At = Small.localEndpoint();
  const tcp::endpoint To(asio::ip::make_address(At.Address), At.Port);
  std::vector<tcp::socket> Clients;
  const auto Connect = [&] {
    Clients.emplace_back(Context);
    Clients.back().connect(To);
  };
  const auto Send = [&](std::size_t Client, const std::string &Text) {
    asio::write(Clients[Client], asio::buffer(Text));
  };
  const auto RunUntil = [&](const auto &Holds) {
    while (!Holds())
      Context.run_one();
  };
  Connect();
  Send(0, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil([&] { return Waiting == 1; });
  Connect();
  Send(1, "GET / HTTP/1.1\r\n"); // the header isn't whole
  RunUntil([&] { return Small.peakConnections() == 2; });
  Connect(); // takes the second one's place
  RunUntil([&] { return Small.displacedConnections() == 1; });
  Send(2, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil([&] { return Waiting == 2; });
  Connect(); // no connection may be closed
  RunUntil([&] { return Small.refusedConnections() == 1; });
  CHECK(Small.displacedConnections() == 1);
  MayAnswer = true;
  RunUntil([&] { return Small.openRequests() == 0; });
  for (const std::size_t Served : {0, 2}) {
    std::array<char, 12> Status{};
    boost::system::error_code Error;
    asio::read(Clients[Served], asio::buffer(Status), Error);
    CHECK(std::string(Status.data(), Status.size()) == "HTTP/1.1 200");
  }
}
