#pragma once

// Chooses how much capacity is kept free for guaranteed work. Pure functions:
// the time is an argument.

#include "core/types.hpp"

namespace galenastage::batch {

struct headroom_settings {
  bool IsEnabled = true;

  friend bool operator==(const headroom_settings &,
                         const headroom_settings &) = default;
};

} // namespace galenastage::batch
