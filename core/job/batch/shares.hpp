#pragma once

// Shares capacity between organisations beyond their guarantees. Pure
// functions: the time is an argument.

#include "core/types.hpp"

namespace galenastage::batch {

struct share_settings {
  bool IsEnabled = true;

  friend bool operator==(const share_settings &,
                         const share_settings &) = default;
};

} // namespace galenastage::batch
