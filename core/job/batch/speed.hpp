#pragma once

// Learns how fast executors are from the runs on them. Pure functions: the time
// is an argument.

#include "core/types.hpp"

namespace galenastage::batch {

struct speed_settings {
  bool IsEnabled = true;

  friend bool operator==(const speed_settings &,
                         const speed_settings &) = default;
};

} // namespace galenastage::batch
