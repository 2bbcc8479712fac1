#pragma once

// How far a job has come. The leader stores it before it tells an executor that
// an end is taken note of, so that a successor goes on from there.

#include "core/job/batch/model.hpp"

namespace galenastage::batch {

enum class job_phase { Queued, Running, Completed, Failed, Cancelled };

std::string_view name(job_phase Phase);
std::optional<job_phase> parseJobPhase(std::string_view Name);

/// Whether nothing of the job will run any more.
bool isFinal(job_phase Phase);

/// What starts and ends together: one task, or all tasks of a gang.
struct unit_progress {
  bool IsDone = false;
  int Attempts = 0;       // highest attempt that was started
  int Failures = 0;       // attempts that ended as failed
  int FailedAttempt = 0;  // the last of those; members of a gang report it once
  std::string Checkpoint; // from which the next run resumes; empty: none
  std::vector<executor_id> Placed; // where the tasks of that attempt may run;
                                   // recorded before any of them is started

  friend bool operator==(const unit_progress &,
                         const unit_progress &) = default;
};

/// A gang has one unit, any other step one for each task.
struct step_progress {
  std::vector<unit_progress> Units;

  [[nodiscard]] bool isDone() const;
  friend bool operator==(const step_progress &,
                         const step_progress &) = default;
};

/// One due time of a job that repeats, or the only one of a job that doesn't.
struct occurrence_progress {
  bool IsDone = false;              // Steps is empty then
  std::vector<step_progress> Steps; // as in the job

  friend bool operator==(const occurrence_progress &,
                         const occurrence_progress &) = default;
};

struct job_progress {
  organisation_id Organisation; // whose job it is; empty: of a public queue
  job_phase Phase = job_phase::Queued;
  std::map<int, occurrence_progress> Occurrences; // those begun
  wall_instant Ended{};                           // when Phase became final

  friend bool operator==(const job_progress &, const job_progress &) = default;
};

/// Progress of an occurrence that hasn't begun.
occurrence_progress beginOccurrence(const job_spec &Job);

/// Units of a step, and tasks of each unit.
int countUnits(const step_spec &Step);
int countTasks(const step_spec &Step);

/// The unit that a task belongs to.
int unitOf(const step_spec &Step, int Index);

/// Whether all steps that this one follows are done.
bool isUnblocked(const job_spec &Job, const occurrence_progress &Occurrence,
                 int Step);

/// When occurrence number Number is due.
wall_instant dueTime(const job_spec &Job, int Number);

/// Occurrences that the job has in all; at least one.
int countOccurrences(const job_spec &Job);

} // namespace galenastage::batch
