#include "core/job/scheduler_internal.hpp"

#include <algorithm>

namespace galenastage::detail {

/// Counts a failed task against its worker and its job.
void scheduler_run::countFailure(scheduled_job &Job, const worker_id &Name) {
  const bool IsLearning =
      std::holds_alternative<guaranteed_sharing>(State.Settings.Strategy);
  known_worker &Worker = State.Workers.at(Name);
  const bool IsProbe = Worker.Health.IsQuarantined;
  if (!IsProbe)
    ++Job.TaskFailures; // a failed probe is blamed on the worker
  if (!IsLearning)
    return;
  Job.FailedOn.insert(Name);
  if (Job.FailedOn.size() > 1 && !IsProbe) {
    // The job fails on several workers, so it isn't counted against any of
    // them.
    for (const worker_id &Other : Job.FailedOn)
      if (known_worker *Known = findWorker(Other))
        Known->Health.FailedJobs.erase(Job.Record.Spec.Id);
    return;
  }
  const std::ptrdiff_t Quarantined =
      std::ranges::count_if(State.Workers, [](const auto &Row) {
        return Row.second.Health.IsQuarantined;
      });
  const quarantine_settings &Settings = State.Settings.Quarantine;
  const std::ptrdiff_t Limit = std::max<std::ptrdiff_t>(
      1, std::ssize(State.Workers) * Settings.MaxShareOfFleet / 100);
  if (!noteFailure(Worker.Health, Settings, Job.Record.Spec.Id,
                   Quarantined < Limit, Now))
    return;
  State.Policy.IsPlanStale = true;
  log(events::WorkerQuarantined, {{"worker", Name.Value}});
}

void scheduler_run::countSuccess(const worker_id &Name) {
  if (!noteSuccess(State.Workers.at(Name).Health))
    return;
  State.Policy.IsPlanStale = true;
  log(events::WorkerReinstated, {{"worker", Name.Value}});
}

/// Whether the job is small and safe enough to probe a quarantined worker.
bool scheduler_run::mayProbe(const scheduled_job &Job,
                             const worker_id &Name) const {
  const job_spec &Spec = Job.Record.Spec;
  return Job.Step == gang_step::Waiting && Job.Claim.empty() &&
         Spec.Tasks == 1 && isStoppable(Spec) &&
         Spec.Class != work_class::Urgent && !Job.FailedOn.contains(Name) &&
         Spec.AcceleratorsPerTask <= State.Workers.at(Name).Accelerators;
}

/// Places one small idempotent job on each quarantined worker whose probe is
/// due.
void scheduler_run::placeProbes(std::vector<scheduled_job *> &Waiting) {
  for (const auto &Row : State.Workers) {
    const worker_id &Name = Row.first;
    const known_worker &Worker = Row.second;
    const bool IsDue = Worker.Health.IsQuarantined && Worker.isReachable() &&
                       Worker.Held.empty() && Now >= Worker.Health.ProbeAt;
    if (!IsDue)
      continue;
    const auto Probe =
        std::ranges::find_if(Waiting, [this, &Name](const scheduled_job *Job) {
          return mayProbe(*Job, Name);
        });
    if (Probe == Waiting.end())
      continue;
    const int Accelerators = (*Probe)->Record.Spec.AcceleratorsPerTask;
    reserveGang(**Probe, {{Name, 1, Accelerators}});
    Waiting.erase(Probe);
  }
}

} // namespace galenastage::detail
