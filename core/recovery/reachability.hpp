#pragma once

#include "core/types.hpp"

#include <optional>

namespace galenastage {

/// Whether a service can be reached, judged by the outcomes of recent calls. A
/// rejection for overload counts as a failure: the service may reject the calls
/// of this instance while it serves others.
class reachability {
public:
  /// The service counts as unreachable after failures without a success for
  /// FailureTimeout.
  explicit reachability(milliseconds FailureTimeout)
      : FailureTimeout(FailureTimeout) {}

  void noteSuccess() { FailingSince.reset(); }
  /// Sent is when the failed call was sent, so that a call which hung counts
  /// from its start.
  void noteFailure(instant Sent) {
    if (!FailingSince || Sent < *FailingSince)
      FailingSince = Sent;
  }
  [[nodiscard]] bool isReachable(instant Now) const {
    return !FailingSince || Now - *FailingSince < FailureTimeout;
  }

private:
  milliseconds FailureTimeout;
  std::optional<instant> FailingSince;
};

} // namespace galenastage
