#include "tests/support/request_system.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::test;

namespace {

using tcp = asio::ip::tcp;

/// The entry's handlers behind a real HTTP server, to test it with raw bytes.
struct raw_fixture : request_system {
  http_server Server{Context, {"127.2.9.4", 0}, [this](http_request Request) {
                       return handleHttpRequest(Thread, std::move(Request));
                     }};

  raw_fixture() { publish(); }

  task<std::string> exchange(std::string Text) {
    constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
    tcp::socket Socket(Context);
    const endpoint To = Server.localEndpoint();
    co_await Socket.async_connect({asio::ip::make_address(To.Address), To.Port},
                                  asio::use_awaitable);
    co_await asio::async_write(Socket, asio::buffer(Text), asio::use_awaitable);
    std::string Answer;
    std::array<char, 4'096> Piece{};
    bool IsOpen = true;
    while (IsOpen && Answer.find("\r\n\r\n") == std::string::npos) {
      auto [Error, Bytes] =
          co_await Socket.async_read_some(asio::buffer(Piece), AsTuple);
      Answer.append(Piece.data(), Bytes);
      IsOpen = !Error;
    }
    co_return Answer;
  }

  std::string statusOf(const std::string &Text) {
    const std::string Answer = run(exchange(Text));
    return Answer.size() < 12 ? "" : Answer.substr(9, 3);
  }
};

std::string post(const std::string &Headers, const std::string &Body) {
  return "POST /v1/requests/repeatable/1 HTTP/1.1\r\nHost: x\r\n" + Headers +
         "\r\n" + Body;
}

} // namespace

TEST_CASE_METHOD(raw_fixture,
                 "requests with an ambiguous or invalid length are refused") {
  struct message_case {
    const char *Headers;
    const char *Body;
    const char *Status;
  };
  const message_case Case = GENERATE(values<message_case>({
      {"Content-Length: 4\r\n", "body", "200"},
      {"Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", "200"},
      {"Content-Length: 4\r\nContent-Length: 5\r\n", "body!", "400"},
      {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
       "4\r\nbody\r\n0\r\n\r\n", "400"},
      {"Content-Length: -1\r\n", "body", "400"},
      {"Content-Length: 4x\r\n", "body", "400"},
      {"Content-Length: 99999999999\r\n", "body", "413"},
      {"Bad Name: x\r\nContent-Length: 4\r\n", "body", "400"},
  }));
  CAPTURE(Case.Headers);
  CHECK(statusOf(post(Case.Headers, Case.Body)) == Case.Status);
  if (std::string(Case.Status) != "200")
    CHECK(Executor.Runs.empty());
}

TEST_CASE_METHOD(raw_fixture,
                 "a request header over the size limit is refused") {
  const std::string Long(32 * 1'024, 'x');
  CHECK(statusOf(post("X-Long: " + Long + "\r\n", "")) == "431");
}
