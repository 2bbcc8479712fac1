#pragma once

#include "net/http.hpp"

#include <functional>
#include <memory>

namespace galenastage::standin {

/// Forwards the connections of peers to one instance, and stands still while
/// the caller's data centre is cut off from that instance's: bytes neither
/// arrive nor are refused, as in a network partition. Once the partition ends,
/// what was stuck is closed.
class peer_forwarder {
public:
  /// IsCut says whether a caller at this address is cut off.
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
