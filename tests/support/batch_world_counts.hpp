#pragma once

// What became of the runs of a simulation, to check why jobs are given up.

#include "core/job/batch/scheduler.hpp"

namespace galenastage::batch::test::detail {

class run_history {
public:
  /// The start was sent At.
  void noteOrder(const run_name &Run, milliseconds At) {
    Tasks[Run.Task].Open.insert(Run.Attempt);
    Ordered[Run] = At;
  }
  [[nodiscard]] milliseconds orderedAt(const run_name &Run) const {
    return Ordered.at(Run);
  }
  void noteRefusal(const run_name &Run) {
    Tasks[Run.Task].Open.erase(Run.Attempt);
  }
  void noteEnd(const run_name &Run, run_end End);
  /// The executor has restarted before the end was acknowledged, so it may look
  /// as if the run had crashed it.
  void noteLostEnd(const run_name &Run) {
    Tasks[Run.Task].Open.insert(Run.Attempt);
  }

  /// Whether the job is saved as failed although no task, or gang, has failed
  /// as often as allowed, and under none so many executors can have crashed.
  [[nodiscard]] bool isGivenUpTooEarly(const saved_job &Saved,
                                       const job_spec &Job) const;

private:
  struct task_history {
    std::set<int> Open; // attempts that were ordered and have no known end
    std::set<int> Failed;
  };

  [[nodiscard]] bool mayBeGivenUp(const job_spec &Job, int Occurrence, int Step,
                                  int Unit) const;

  std::map<task_name, task_history> Tasks;
  std::map<run_name, milliseconds> Ordered;
};

} // namespace galenastage::batch::test::detail
