#pragma once

// Tells a worker that fails everything from a job that fails everywhere. A
// worker is condemned by different jobs, and a job by different workers.

#include "core/types.hpp"

#include <set>

namespace galenastage {

struct quarantine_settings {
  std::size_t MaxFailedJobs = 3;    // different jobs in a row, then quarantine
  int MaxShareOfFleet = 10;         // percent; more is the fleet's fault
  milliseconds FirstDelay{300'000}; // until the first probe
  milliseconds MaxDelay{3'600'000}; // the delay doubles up to this

  friend bool operator==(const quarantine_settings &,
                         const quarantine_settings &) = default;
};

/// What is known of one worker's failures.
struct worker_health {
  std::set<job_id> FailedJobs; // since a task last ended well
  bool IsQuarantined = false;  // no work but probes
  instant ProbeAt{};           // the next probe, when quarantined
  milliseconds Delay{0};       // before that probe

  friend bool operator==(const worker_health &,
                         const worker_health &) = default;
};

/// Notes that a job failed on the worker. True when that puts the worker into
/// quarantine. A failed probe waits for the next one, twice as long.
bool noteFailure(worker_health &Health, const quarantine_settings &Settings,
                 const job_id &Job, bool MayQuarantine, instant Now);

/// Notes that a task ended well. True when that ends a quarantine.
bool noteSuccess(worker_health &Health);

} // namespace galenastage
