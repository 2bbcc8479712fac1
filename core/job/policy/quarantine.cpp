#include "core/job/policy/quarantine.hpp"

#include <algorithm>
#include <utility>

namespace galenastage {

bool noteFailure(worker_health &Health, const quarantine_settings &Settings,
                 const job_id &Job, bool MayQuarantine, instant Now) {
  if (Health.IsQuarantined) {
    Health.Delay = std::min(2 * Health.Delay, Settings.MaxDelay);
    Health.ProbeAt = Now + Health.Delay;
    return false;
  }
  Health.FailedJobs.insert(Job);
  if (!MayQuarantine || Health.FailedJobs.size() < Settings.MaxFailedJobs)
    return false;
  Health.IsQuarantined = true;
  Health.Delay = Settings.FirstDelay;
  Health.ProbeAt = Now + Health.Delay;
  return true;
}

bool noteSuccess(worker_health &Health) {
  return std::exchange(Health, {}).IsQuarantined;
}

} // namespace galenastage
