#pragma once

// Limits of an instance's servers.

#include "core/job/batch/model.hpp"
#include "net/http.hpp"

namespace galenastage {

/// The limits with those that the configuration sets for a single request.
http_limits applyConfiguration(http_limits Limits,
                               const batch::deployment_config &Config);

} // namespace galenastage
