#pragma once

#include "net/http.hpp"

#include <functional>
#include <memory>

namespace galenastage::standin {

/// Forwards the connections of peers to one instance. While a partition
/// separates the caller's data centre from the instance's, it forwards no bytes
/// and refuses no connections, as a real network partition does. Once the
/// partition ends, the connections that it held up are closed.
class peer_forwarder {
public:
  /// IsCut returns whether a caller at this address is cut off.
  peer_forwarder(asio::io_context &Context, const endpoint &Listen,
                 const endpoint &Target,
                 std::function<bool(const std::string &)> IsCut);
  ~peer_forwarder();
  peer_forwarder(const peer_forwarder &) = delete;
  peer_forwarder &operator=(const peer_forwarder &) = delete;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace galenastage::standin
