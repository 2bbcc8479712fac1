// Gangs whose workers are lost again and again.

#include "core/job/scheduler_internal.hpp"

#include <algorithm>

namespace galenastage::detail {
namespace {

bool runsJob(const known_worker &Worker, const job_id &Job) {
  return std::ranges::any_of(
      Worker.Held, [&](const auto &Item) { return Item.first.Job == Job; });
}

} // namespace

/// Counts one loss of a gang's worker, however many of its workers are lost
/// with it. Saved at once, so that the next scheduler goes on counting.
void scheduler_run::countLoss(scheduled_job &Job, const worker_id &Worker,
                              instant At) {
  if (Job.Step != gang_step::Running)
    return;
  const milliseconds Life =
      std::chrono::duration_cast<milliseconds>(At - Job.RunningSince);
  if (Life >= State.Settings.LossMemory)
    Job.Record.Losses = 0;
  ++Job.Record.Losses;
  Job.UnsettledLoss = {Worker, At, Life >= State.Settings.LossProbation};
  saveJob(Job);
}

/// Whether so many workers were lost together that the gang isn't the cause.
/// Workers that ran a part of it may have been lost because of it.
bool scheduler_run::isOutage(const scheduled_job &Job,
                             const worker_loss &Loss) const {
  const scheduler_settings &Settings = State.Settings;
  const auto IsTogether = [&](instant At) {
    return At >= Loss.At - Settings.OutageWindow &&
           At <= Loss.At + Settings.OutageWindow;
  };
  const auto Others =
      std::ranges::count_if(State.Workers, [&](const auto &Item) {
        const auto &[Name, Worker] = Item;
        const bool IsMissing =
            Now - Worker.LastHeard > 2 * Settings.RenewInterval;
        return Name != Loss.Worker && !runsJob(Worker, Job.Record.Spec.Id) &&
               ((IsMissing && IsTogether(Worker.LastHeard)) ||
                IsTogether(Worker.TasksLostAt));
      });
  return Others >= Settings.OutageWorkers;
}

/// Settles the last loss, once the reports of other workers that were lost with
/// it are in, and fails a job that is lost too often. Returns whether it did.
bool scheduler_run::failIfLostTooOften(scheduled_job &Job) {
  if (Job.UnsettledLoss) {
    const bool IsExcused =
        Job.UnsettledLoss->HasOutlived && isOutage(Job, *Job.UnsettledLoss);
    Job.UnsettledLoss.reset();
    if (IsExcused) {
      --Job.Record.Losses;
      saveJob(Job);
    }
  }
  if (Job.Record.Losses < State.Settings.MaxLosses)
    return false;
  endJob(Job, job_phase::Failed,
         "workers were lost " + std::to_string(Job.Record.Losses) +
             " times while it ran");
  return true;
}

} // namespace galenastage::detail
