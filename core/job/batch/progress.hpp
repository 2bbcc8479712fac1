#pragma once

// Stored progress of a job. The leader stores it before it acknowledges an end
// to an executor, so that the next leader continues from there.

#include "core/job/batch/counted_attempts.hpp"
#include "core/job/batch/crashes.hpp"
#include "core/job/batch/model.hpp"

namespace galenastage::batch {

enum class job_phase { Queued, Running, Completed, Failed, Cancelled };

std::string_view name(job_phase Phase);
std::optional<job_phase> parseJobPhase(std::string_view Name);

/// Whether the job has ended: none of its tasks will start again.
bool isFinal(job_phase Phase);

/// The executor chosen for one task.
struct task_placement {
  executor_id Executor;
  std::int64_t Incarnation = 0; // when it was chosen; 0: unknown

  friend bool operator==(const task_placement &,
                         const task_placement &) = default;
};

/// Progress of a unit: the tasks that start and end together, which is one task
/// or all tasks of a gang.
struct unit_progress {
  bool IsDone = false;
  int Attempts = 0;                   // highest attempt started
  int Failures = 0;                   // failed attempts
  int FailedAttempt = 0;              // last counted, for earlier programs
  std::string Checkpoint;             // for the next run; empty: none
  std::vector<task_placement> Placed; // of that attempt, one for each task;
                                      // stored before any of its runs starts
  std::vector<crash_record> Crashes;  // of each task; empty: none
  // Attempts whose executor crashed, of each task; empty: none. Crashes leaves
  // out those that are no fault of the task.
  std::vector<counted_attempts> Crashed;
  counted_attempts Failed; // in Failures; gang members report the same ones

  /// The crashes under one task, by its number in the unit.
  [[nodiscard]] crash_record crashesOf(int Task) const;
  [[nodiscard]] bool hasSuspect() const;

  friend bool operator==(const unit_progress &,
                         const unit_progress &) = default;
};

/// A gang step has one unit, any other step one unit per task.
struct step_progress {
  std::vector<unit_progress> Units;

  [[nodiscard]] bool isDone() const;
  friend bool operator==(const step_progress &,
                         const step_progress &) = default;
};

/// One occurrence of a job; a job that doesn't repeat has exactly one.
struct occurrence_progress {
  bool IsDone = false;              // then Steps is empty
  std::vector<step_progress> Steps; // in the order of the job

  friend bool operator==(const occurrence_progress &,
                         const occurrence_progress &) = default;
};

struct job_progress {
  organisation_id Organisation; // owner; empty: public queue
  job_phase Phase = job_phase::Queued;
  std::map<int, occurrence_progress> Occurrences; // started ones, by number
  wall_instant Ended{};                           // when Phase became final

  friend bool operator==(const job_progress &, const job_progress &) = default;
};

/// Initial progress of an occurrence.
occurrence_progress beginOccurrence(const job_spec &Job);

/// Units of a step, and tasks per unit.
int countUnits(const step_spec &Step);
int countTasks(const step_spec &Step);

/// The unit that a task belongs to.
int unitOf(const step_spec &Step, int Index);

/// Whether all steps that this one depends on are done.
bool isUnblocked(const job_spec &Job, const occurrence_progress &Occurrence,
                 int Step);

/// Tasks of the occurrences that have begun and aren't done.
std::int64_t countOpenTasks(const job_spec &Job, const job_progress &Progress);

/// When occurrence number Number is due.
wall_instant dueTime(const job_spec &Job, int Number);

/// Total number of occurrences of the job; at least one.
int countOccurrences(const job_spec &Job);

} // namespace galenastage::batch
