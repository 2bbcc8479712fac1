// What waits to be placed, and in which order.

#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>
#include <tuple>

namespace galenastage::batch::detail {

milliseconds remainingCriticalPath(const job_spec &Job,
                                   const occurrence_progress *Progress) {
  std::vector<milliseconds> Ends(Job.Steps.size());
  milliseconds Longest{0};
  for (std::size_t I = 0; I < Job.Steps.size(); ++I) {
    milliseconds Begin{0};
    for (int Earlier : Job.Steps[I].After)
      Begin = std::max(Begin, Ends[Earlier]);
    const bool IsDone = Progress && Progress->Steps[I].isDone();
    Ends[I] = Begin + (IsDone ? milliseconds(0) : Job.Steps[I].Estimate);
    Longest = std::max(Longest, Ends[I]);
  }
  return Longest;
}

double workOf(const job_spec &Job) {
  double Work = 0;
  for (const step_spec &Step : Job.Steps)
    Work += weightedCores(Step.Needs) * Step.Count *
            std::chrono::duration<double>(Step.Estimate).count();
  return Work;
}

wall_instant objectiveOf(const job_state &Job, int Occurrence) {
  const double Stretched =
      static_cast<double>(Job.CriticalPath.count()) * Job.Queue.StretchFactor;
  return dueTime(Job.Spec, Occurrence) +
         milliseconds(static_cast<std::int64_t>(Stretched)) +
         Job.Queue.TargetDuration;
}

bool ranksBefore(const waiting_step *Left, const waiting_step *Right) {
  if (Left->Priority != Right->Priority)
    return Left->Priority < Right->Priority;
  if (Left->IsMissed != Right->IsMissed)
    return Right->IsMissed;
  if (Left->IsMissed && Left->Work != Right->Work)
    return Left->Work < Right->Work;
  return std::tie(Left->LatestStart, Left->First) <
         std::tie(Right->LatestStart, Right->First);
}

std::vector<const waiting_step *> event_handler::listWaiting() {
  std::vector<const waiting_step *> Waiting;
  for (auto &[Id, Job] : State.Jobs) {
    if (isFinal(Job.Progress.Phase))
      continue;
    if (!Job.IsWaitingKnown || Now >= Job.WaitingUntil)
      updateWaiting(Job);
    for (waiting_step &Step : Job.Waiting) {
      Step.IsMissed = WallNow > Step.LatestStart;
      Waiting.push_back(&Step);
    }
  }
  return Waiting;
}

void event_handler::updateWaiting(job_state &Job) {
  Job.Waiting.clear();
  Job.IsWaitingKnown = true;
  Job.WaitingUntil = instant::max();
  for (const auto &[Number, Occurrence] : Job.Progress.Occurrences)
    if (!Occurrence.IsDone)
      listWaitingOf(Job, Number);
}

void event_handler::listWaitingOf(job_state &Job, int Number) {
  const occurrence_progress &Occurrence = Job.Progress.Occurrences.at(Number);
  for (int Step = 0; Step < static_cast<int>(Job.Spec.Steps.size()); ++Step) {
    if (!isUnblocked(Job.Spec, Occurrence, Step))
      continue;
    const auto &Units = Occurrence.Steps[Step].Units;
    std::vector<int> Ready;
    for (int Unit = 0; Unit < static_cast<int>(Units.size()); ++Unit) {
      if (Units[Unit].IsDone)
        continue;
      const unit_name Name{Job.Spec.Id, Number, Step, Unit};
      unit_state &Known = unitState(Job, Name);
      if (Known.LiveRuns > 0 || Now < Known.NotBefore) {
        Known.Ready = {};
        if (Known.LiveRuns == 0)
          Job.WaitingUntil = std::min(Job.WaitingUntil, Known.NotBefore);
        continue;
      }
      if (Known.Ready == instant{})
        Known.Ready = Now;
      if (!State.Plans.contains(Name))
        Ready.push_back(Unit);
    }
    if (Ready.empty())
      continue;
    const wall_instant LatestStart =
        objectiveOf(Job, Number) - remainingCriticalPath(Job.Spec, &Occurrence);
    const unit_name First{Job.Spec.Id, Number, Step, Ready.front()};
    Job.Waiting.push_back({First, std::move(Ready), Job.Queue.Priority, false,
                           LatestStart, Job.Work});
  }
}

} // namespace galenastage::batch::detail
