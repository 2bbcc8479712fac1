#pragma once

// Chooses how much capacity is kept free for guaranteed work. Pure functions:
// the time is an argument.

#include "core/job/batch/victims.hpp"

namespace galenastage::batch {

struct headroom_settings {
  bool IsEnabled = true;
  victim_settings Victims;

  friend bool operator==(const headroom_settings &,
                         const headroom_settings &) = default;
};

} // namespace galenastage::batch
