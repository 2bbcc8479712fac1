#pragma once

// Decides which runs leave an executor that is about to go. Pure functions: the
// time is an argument.

#include "core/types.hpp"

namespace galenastage::batch {

struct departure_settings {
  bool IsEnabled = true;

  friend bool operator==(const departure_settings &,
                         const departure_settings &) = default;
};

} // namespace galenastage::batch
