#pragma once

// A connection between two processes of the system: one HTTP/2 stream over TCP
// with length-prefixed messages in both directions.
//
// Index of this file
// [1] Connection
// [2] Opening and accepting

#include "net/http.hpp"

#include <functional>
#include <memory>
#include <string>

namespace galenastage {

// [1] Connection

/// Largest message; a peer that sends a larger one is disconnected.
inline constexpr std::size_t MaxPeerMessage = 4 * 1024 * 1024;

/// Most unsent bytes; a peer too slow to stay below is disconnected.
inline constexpr std::size_t MaxPeerBacklog = 8 * 1024 * 1024;

struct peer_callbacks {
  std::function<void(std::string)> OnMessage;
  std::function<void()> OnClosed; // called once, never from within send()
};

/// Belongs to the I/O thread that opened it; not thread-safe.
class peer_connection {
public:
  struct state;
  explicit peer_connection(std::shared_ptr<state> State);
  ~peer_connection();

  /// Starts reading. No callback is called before this.
  void start(peer_callbacks Callbacks);
  void send(std::string Message);
  void close();

  /// Bytes written to the network so far.
  [[nodiscard]] std::uint64_t bytesSent() const;

private:
  std::shared_ptr<state> State;
};
using peer_connection_ptr = std::shared_ptr<peer_connection>;

// [2] Opening and accepting

/// Connects to a peer. Null on failure or timeout.
task<peer_connection_ptr> connectPeer(asio::io_context &Context, endpoint To,
                                      std::string LocalAddress,
                                      milliseconds Timeout);

/// Accepts connections from peers on one I/O thread.
class peer_server {
public:
  /// Throws boost::system::system_error when it can't listen on the address.
  peer_server(asio::io_context &Context, const endpoint &Endpoint,
              std::function<void(peer_connection_ptr)> OnConnection);
  ~peer_server();
  peer_server(const peer_server &) = delete;
  peer_server &operator=(const peer_server &) = delete;

  [[nodiscard]] endpoint localEndpoint() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace galenastage
