#pragma once

// Limits of an instance's servers, as shares of its machine. docs/SETTINGS.md
// lists them.

#include "core/job/batch/model.hpp"
#include "net/http.hpp"
#include "platform/settings.hpp"

namespace galenastage {

/// Limits of each server of an instance. Together they leave most memory and
/// descriptors to the scheduler and to the instance's own calls.
struct server_limits {
  http_limits Front;   // for clients
  http_limits Forward; // for requests that other instances forward
  http_limits Probe;   // for readiness, and the same for metrics

  friend bool operator==(const server_limits &,
                         const server_limits &) = default;
};

/// Divides the machine's memory and descriptors among the servers.
server_limits divideMachine(const platform::instance_settings &Settings);

/// The limits with those that the configuration sets for a single request.
http_limits applyConfiguration(http_limits Limits,
                               const batch::deployment_config &Config);

} // namespace galenastage
