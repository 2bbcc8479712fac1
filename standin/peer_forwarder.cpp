#include "standin/peer_forwarder.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace galenastage::standin {
namespace {

using tcp = asio::ip::tcp;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds CutPoll{20};
constexpr std::size_t BufferBytes = 16 * 1024;

tcp::endpoint toAsio(const endpoint &Endpoint) {
  return {asio::ip::make_address(Endpoint.Address), Endpoint.Port};
}

/// Both ends of one forwarded connection.
struct forwarded_link {
  explicit forwarded_link(tcp::socket Caller, asio::io_context &Context)
      : Caller(std::move(Caller)), Target(Context) {}

  void close() {
    boost::system::error_code Ignored;
    Caller.close(Ignored);
    Target.close(Ignored);
  }

  tcp::socket Caller;
  tcp::socket Target;
};

} // namespace

struct peer_forwarder::state : std::enable_shared_from_this<state> {
  state(asio::io_context &Context, const endpoint &Listen,
        const endpoint &Target, std::function<bool(const std::string &)> IsCut)
      : Context(Context), Acceptor(Context, toAsio(Listen)),
        Target(toAsio(Target)), IsCut(std::move(IsCut)) {}

  task<void> acceptLoop() {
    auto Self = shared_from_this();
    for (;;) {
      auto [Error, Socket] = co_await Acceptor.async_accept(AsTuple);
      if (Error)
        co_return;
      asio::co_spawn(Context, serve(std::move(Socket)), asio::detached);
    }
  }

  task<void> serve(tcp::socket Socket) {
    auto Self = shared_from_this();
    boost::system::error_code Ignored;
    const std::string Peer =
        Socket.remote_endpoint(Ignored).address().to_string();
    auto Link = std::make_shared<forwarded_link>(std::move(Socket), Context);
    const bool WasCut = co_await waitWhileCut(Peer);
    if (WasCut)
      co_return;
    auto [Error] = co_await Link->Target.async_connect(Target, AsTuple);
    if (Error)
      co_return;
    asio::co_spawn(Context, pump(Link, Link->Caller, Link->Target, Peer),
                   asio::detached);
    co_await pump(Link, Link->Target, Link->Caller, Peer);
  }

  task<void> pump(std::shared_ptr<forwarded_link> Link, tcp::socket &From,
                  tcp::socket &To, std::string Peer) {
    auto Self = shared_from_this();
    std::array<char, BufferBytes> Buffer;
    for (;;) {
      auto [ReadError, Size] =
          co_await From.async_read_some(asio::buffer(Buffer), AsTuple);
      const bool WasCut = co_await waitWhileCut(Peer);
      if (ReadError || WasCut)
        break;
      auto [WriteError, Written] = co_await asio::async_write(
          To, asio::buffer(Buffer.data(), Size), AsTuple);
      if (WriteError)
        break;
    }
    Link->close();
  }

  /// Waits until the partition ends. Returns whether there was one.
  task<bool> waitWhileCut(std::string Peer) {
    bool WasCut = false;
    while (IsCut(Peer)) {
      WasCut = true;
      asio::steady_timer Timer(Context, CutPoll);
      co_await Timer.async_wait(asio::use_awaitable);
    }
    co_return WasCut;
  }

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  tcp::endpoint Target;
  std::function<bool(const std::string &)> IsCut;
};

peer_forwarder::peer_forwarder(asio::io_context &Context,
                               const endpoint &Listen, const endpoint &Target,
                               std::function<bool(const std::string &)> IsCut)
    : State(
          std::make_shared<state>(Context, Listen, Target, std::move(IsCut))) {
  asio::co_spawn(Context, State->acceptLoop(), asio::detached);
}

peer_forwarder::~peer_forwarder() {
  boost::system::error_code Ignored;
  State->Acceptor.close(Ignored);
}

} // namespace galenastage::standin
