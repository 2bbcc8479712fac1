#pragma once

// How long anything on an executor may run on leases, as its leader reckons.

#include "core/types.hpp"

namespace galenastage::batch {

/// Upper bound for how slow an executor's clock may run.
inline constexpr double ClockDrift = 1.02;

/// For calls on their way and late timers.
inline constexpr milliseconds LeaseMargin{300};

} // namespace galenastage::batch
