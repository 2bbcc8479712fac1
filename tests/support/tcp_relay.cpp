#include "tests/support/tcp_relay.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <vector>

namespace galenastage::test {
namespace {

using tcp = asio::ip::tcp;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t PieceBytes = 16 * 1024;

struct relayed {
  tcp::socket Client;
  tcp::socket Server;
  bool IsSilent = false;
};

/// Copies bytes until either side closes. A silent connection still reads, so
/// that its peer's writes succeed.
task<void> copyBytes(std::shared_ptr<relayed> Pair, tcp::socket &From,
                     tcp::socket &To) {
  std::array<char, PieceBytes> Piece{};
  for (;;) {
    auto [ReadError, Bytes] =
        co_await From.async_read_some(asio::buffer(Piece), AsTuple);
    if (ReadError)
      break;
    if (Pair->IsSilent)
      continue;
    auto [WriteError, Written] =
        co_await asio::async_write(To, asio::buffer(Piece, Bytes), AsTuple);
    if (WriteError)
      break;
  }
  boost::system::error_code Ignored; // the other side may be closed already
  To.shutdown(tcp::socket::shutdown_both, Ignored);
}

} // namespace

struct tcp_relay::state : std::enable_shared_from_this<state> {
  state(asio::io_context &Context, const endpoint &Server)
      : Context(Context), Acceptor(Context, {asio::ip::address_v4::loopback(),
                                             asio::ip::port_type{0}}),
        Server(asio::ip::make_address(Server.Address), Server.Port) {}

  task<void> acceptLoop() {
    auto Self = shared_from_this();
    for (;;) {
      auto [Error, Socket] = co_await Acceptor.async_accept(AsTuple);
      if (Error)
        co_return;
      ++Accepted;
      asio::co_spawn(Context, relay(std::move(Socket)), asio::detached);
    }
  }

  task<void> relay(tcp::socket Client) {
    auto Self = shared_from_this();
    auto Pair = std::make_shared<relayed>(
        relayed{std::move(Client), tcp::socket(Context)});
    Pairs.push_back(Pair);
    auto [Error] = co_await Pair->Server.async_connect(Server, AsTuple);
    if (Error)
      co_return;
    asio::co_spawn(Context, copyBytes(Pair, Pair->Server, Pair->Client),
                   asio::detached);
    co_await copyBytes(Pair, Pair->Client, Pair->Server);
  }

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  tcp::endpoint Server;
  std::vector<std::weak_ptr<relayed>> Pairs;
  int Accepted = 0;
};

tcp_relay::tcp_relay(asio::io_context &Context, const endpoint &Server)
    : State(std::make_shared<state>(Context, Server)) {
  asio::co_spawn(Context, State->acceptLoop(), asio::detached);
}

tcp_relay::~tcp_relay() { State->Acceptor.close(); }

endpoint tcp_relay::localEndpoint() const {
  const tcp::endpoint Local = State->Acceptor.local_endpoint();
  return {Local.address().to_string(), Local.port()};
}

void tcp_relay::silenceConnections() {
  for (const auto &Pair : State->Pairs)
    if (const auto Open = Pair.lock())
      Open->IsSilent = true;
}

int tcp_relay::connections() const { return State->Accepted; }

} // namespace galenastage::test
