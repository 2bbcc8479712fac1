// Tests the HTTP client on connections that fall silent without being closed.

#include "apps/runtime/process.hpp"
#include "core/error.hpp"
#include "net/http.hpp"
#include "tests/support/run_task.hpp"
#include "tests/support/tcp_relay.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace galenastage;

namespace {

constexpr milliseconds Short{50};
constexpr milliseconds Long{10'000};

struct client_fixture {
  asio::io_context Context{1};
  http_server Server{
      Context, {"127.0.0.1", 0}, [](http_request) { return answer(); }};
  test::tcp_relay Relay{Context, Server.localEndpoint()};
  http_client Client{Context};

  static task<http_response> answer() { co_return jsonResponse(200, "{}"); }

  http_result send(http_timeout Timeout) {
    return test::runTask(
        Context, Client.send(Relay.localEndpoint(), http_request{}, Timeout));
  }
  /// Leaves that many idle connections in the client's pool.
  void openConnections(int Count) {
    int Open = Count;
    for (int I = 0; I < Count; ++I)
      asio::co_spawn(
          Context, Client.send(Relay.localEndpoint(), http_request{}, Long),
          [&Open](std::exception_ptr, const http_result &) { --Open; });
    while (Open > 0)
      Context.run_one();
  }
};

} // namespace

// Guards against one timeout after the other, for each idle connection.
TEST_CASE_METHOD(client_fixture,
                 "http client: after a timeout no idle connection of that time "
                 "is used again") {
  openConnections(3);
  REQUIRE(Relay.connections() == 3);
  Relay.silenceConnections();
  CHECK(send(Short).Error == errc::DeadlineExceeded);
  CHECK_FALSE(send(Long).Error);
  CHECK(Relay.connections() == 4);
}

TEST_CASE_METHOD(client_fixture,
                 "http client: an answer that stalls ends before its timeout") {
  openConnections(1);
  Relay.silenceConnections();
  constexpr milliseconds Hour{3'600'000};
  CHECK(send({Hour, Short}).Error == errc::DeadlineExceeded);
}

TEST_CASE("http client: an answer that keeps arriving isn't a stall") {
  constexpr int Pieces = 4;
  constexpr milliseconds Gap{900};
  constexpr milliseconds Stall{3'000}; // less than the whole answer takes
  asio::io_context Context{1};
  const auto WritePieces = [&](chunk_writer Write) -> task<void> {
    for (int I = 0; I < Pieces; ++I) {
      co_await sleepFor(Context, Gap);
      co_await Write("piece");
    }
  };
  const http_server Server(Context, {"127.0.0.1", 0},
                           [&](http_request) -> task<http_response> {
                             http_response Response;
                             Response.Stream = WritePieces;
                             co_return Response;
                           });
  http_client Client(Context);
  const http_result Result =
      test::runTask(Context, Client.send(Server.localEndpoint(), http_request{},
                                         http_timeout(Long, Stall)));
  CHECK_FALSE(Result.Error);
  CHECK(Result.Response.Body == "piecepiecepiecepiece");
}

// An answer from a server that doesn't keep to the protocol.
TEST_CASE("http client: an answer whose framing goes on and on is an error") {
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  struct framing {
    std::string Begin;
    std::string Filler;
    std::string End;
  };
  const framing Framing = GENERATE_COPY(
      values<framing>({{Chunked + "0\r\n", "a: b\r\n", "\r\n"},
                       {Chunked + "1;x=", "aaaaaaaa", "\r\na\r\n0\r\n\r\n"}}));
  CAPTURE(Framing.Begin);
  constexpr std::size_t FillerBytes = 1'024 * 1'024;
  std::string Answer = Framing.Begin;
  while (Answer.size() < FillerBytes)
    Answer += Framing.Filler;
  Answer += Framing.End;

  constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
  asio::io_context Context{1};
  asio::ip::tcp::acceptor Acceptor(Context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  const auto Serve = [&]() -> task<void> {
    asio::ip::tcp::socket Socket =
        co_await Acceptor.async_accept(asio::use_awaitable);
    std::array<char, 1'024> Request{};
    co_await Socket.async_read_some(asio::buffer(Request), AsTuple);
    co_await asio::async_write(Socket, asio::buffer(Answer), AsTuple);
  };
  asio::co_spawn(Context, Serve(), asio::detached);
  http_client Client(Context);
  const endpoint To{"127.0.0.1", Acceptor.local_endpoint().port()};
  const http_result Result =
      test::runTask(Context, Client.send(To, http_request{}, Long));
  CHECK(Result.Error);
  CHECK(Result.Error != errc::DeadlineExceeded);
  CHECK(Result.Verdict == verdict::Unknown);
}
