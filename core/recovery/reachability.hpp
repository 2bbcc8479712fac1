#pragma once

#include "core/types.hpp"

#include <optional>

namespace galenastage {

/// Whether a service that is called now and then can be reached, by how its
/// last calls went. A refusal for overload counts as a failure: the service may
/// turn this instance away while it serves others.
class reachability {
public:
  /// Patience: failures for so long, without a success, mean out of reach.
  explicit reachability(milliseconds Patience) : Patience(Patience) {}

  void noteSuccess() { FailingSince.reset(); }
  /// Sent: when the failed call left; a call that hung counts from there.
  void noteFailure(instant Sent) {
    if (!FailingSince || Sent < *FailingSince)
      FailingSince = Sent;
  }
  [[nodiscard]] bool isReachable(instant Now) const {
    return !FailingSince || Now - *FailingSince < Patience;
  }

private:
  milliseconds Patience;
  std::optional<instant> FailingSince;
};

} // namespace galenastage
