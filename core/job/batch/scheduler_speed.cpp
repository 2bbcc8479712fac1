// Which executors are fast, and which work needs them.

#include "core/job/batch/scheduler_internal.hpp"

namespace galenastage::batch::detail {

std::vector<executor_filter>
event_handler::preferredSpeeds(const placement_query & /*Query*/) const {
  return {executor_filter::all()};
}

milliseconds event_handler::remainingTime(const job_state &Job,
                                          const run_name &Name,
                                          const run_state &Run) const {
  constexpr int WholePercent = 100;
  constexpr int LeastPercent = 5; // less is too coarse to extrapolate
  const milliseconds Elapsed = Now - Run.Ordered;
  const int Percent = Run.Pace.Percent;
  if (Run.IsCheckpointing || Percent < LeastPercent) {
    const milliseconds Estimate = Job.Spec.Steps[Name.Task.Step].Estimate;
    return Estimate * (WholePercent - Percent) / WholePercent;
  }
  return Elapsed * (WholePercent - Percent) / Percent;
}

} // namespace galenastage::batch::detail
