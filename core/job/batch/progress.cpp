#include "core/job/batch/progress.hpp"

#include <algorithm>
#include <array>

namespace galenastage::batch {
namespace {

constexpr std::array Phases{job_phase::Queued, job_phase::Running,
                            job_phase::Completed, job_phase::Failed,
                            job_phase::Cancelled};

} // namespace

std::string_view name(job_phase Phase) {
  switch (Phase) {
  case job_phase::Queued:
    return "queued";
  case job_phase::Running:
    return "running";
  case job_phase::Completed:
    return "completed";
  case job_phase::Failed:
    return "failed";
  case job_phase::Cancelled:
    break;
  }
  return "cancelled";
}

std::optional<job_phase> parseJobPhase(std::string_view Name) {
  for (job_phase Phase : Phases)
    if (name(Phase) == Name)
      return Phase;
  return std::nullopt;
}

bool isFinal(job_phase Phase) {
  return Phase != job_phase::Queued && Phase != job_phase::Running;
}

crash_record unit_progress::crashesOf(int Task) const {
  return Task < static_cast<int>(Crashes.size()) ? Crashes[Task]
                                                 : crash_record{};
}

bool unit_progress::hasSuspect() const {
  return std::ranges::any_of(Crashes, isSuspect);
}

bool step_progress::isDone() const {
  return std::ranges::all_of(Units, &unit_progress::IsDone);
}

occurrence_progress beginOccurrence(const job_spec &Job) {
  occurrence_progress Occurrence;
  for (const step_spec &Step : Job.Steps)
    Occurrence.Steps.push_back({std::vector<unit_progress>(
        static_cast<std::size_t>(countUnits(Step)))});
  return Occurrence;
}

int countUnits(const step_spec &Step) { return Step.IsGang ? 1 : Step.Count; }

int countTasks(const step_spec &Step) { return Step.IsGang ? Step.Count : 1; }

int unitOf(const step_spec &Step, int Index) { return Step.IsGang ? 0 : Index; }

bool isUnblocked(const job_spec &Job, const occurrence_progress &Occurrence,
                 int Step) {
  return std::ranges::all_of(Job.Steps[Step].After, [&](int Earlier) {
    return Occurrence.Steps[Earlier].isDone();
  });
}

std::int64_t countOpenTasks(const job_spec &Job, const job_progress &Progress) {
  std::int64_t OfOne = 0;
  for (const step_spec &Step : Job.Steps)
    OfOne += Step.Count;
  return OfOne * std::ranges::count_if(Progress.Occurrences, [](auto &Item) {
           return !Item.second.IsDone;
         });
}

wall_instant dueTime(const job_spec &Job, int Number) {
  if (Job.Schedule.Repetitions == 0)
    return Job.Submitted;
  return Job.Schedule.Start + Number * Job.Schedule.Interval;
}

int countOccurrences(const job_spec &Job) {
  return std::max(1, Job.Schedule.Repetitions);
}

} // namespace galenastage::batch
