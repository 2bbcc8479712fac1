#pragma once

// Quarantine of faulty workers. Failures of several different jobs on one
// worker indicate a faulty worker; failures of one job on several workers
// indicate a faulty job.

#include "core/types.hpp"

#include <set>

namespace galenastage {

struct quarantine_settings {
  std::size_t MaxFailedJobs = 3;    // different jobs without a success between
  int MaxShareOfFleet = 10;         // percent; more suggests a fleet-wide fault
  milliseconds FirstDelay{300'000}; // until the first probe
  milliseconds MaxDelay{3'600'000}; // upper limit of the doubling delay

  friend bool operator==(const quarantine_settings &,
                         const quarantine_settings &) = default;
};

/// The failure record of one worker.
struct worker_health {
  std::set<job_id> FailedJobs; // since a task last succeeded
  bool IsQuarantined = false;  // only probes are placed there
  instant ProbeAt{};           // earliest next probe, when quarantined
  milliseconds Delay{0};       // wait before that probe

  friend bool operator==(const worker_health &,
                         const worker_health &) = default;
};

/// Records that a job failed on the worker. Returns true if that puts the
/// worker into quarantine. Each failed probe doubles the delay before the next
/// one.
bool noteFailure(worker_health &Health, const quarantine_settings &Settings,
                 const job_id &Job, bool MayQuarantine, instant Now);

/// Records that a task succeeded. Returns true if that ends a quarantine.
bool noteSuccess(worker_health &Health);

} // namespace galenastage
