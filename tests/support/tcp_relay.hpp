#pragma once

// A TCP relay on loopback whose connections can fall silent, for tests.

#include "net/http.hpp"

#include <memory>

namespace galenastage::test {

/// Forwards each connection to a server. Connections that have fallen silent
/// stay open and deliver nothing in either direction; later ones work.
class tcp_relay {
public:
  tcp_relay(asio::io_context &Context, const endpoint &Server);
  ~tcp_relay();
  tcp_relay(const tcp_relay &) = delete;
  tcp_relay &operator=(const tcp_relay &) = delete;

  [[nodiscard]] endpoint localEndpoint() const;

  /// Silences every connection that is open now.
  void silenceConnections();

  /// Connections accepted so far.
  [[nodiscard]] int connections() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace galenastage::test
