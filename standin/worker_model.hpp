#pragma once

#include "core/job/worker_protocol.hpp"

#include <map>
#include <memory>

namespace galenastage::standin {

/// Injected faults of a worker.
struct worker_faults {
  bool FailsEverything = false; // each task fails at once
  bool IsPaused = false;        // does not respond; its clock stops
  int RunTimePercent = 100;     // actual run time relative to the declared one
  int UsageLagMilliseconds = 0; // age of the reported usage

  friend bool operator==(const worker_faults &,
                         const worker_faults &) = default;
};

/// Progress saved by checkpoints, by job. The platform stores it, so that a
/// checkpoint outlives its worker and can be restored on another one.
using checkpoint_map = std::map<job_id, milliseconds>;

/// A model of a worker: reservations, armed tasks, leases, checkpoints and
/// fencing by epoch. It has no clock; the caller passes the current time.
class worker_model {
public:
  worker_model(worker_id Worker, data_centre_id DataCentre, rack_id Rack,
               int Accelerators,
               std::shared_ptr<checkpoint_map> Checkpoints =
                   std::make_shared<checkpoint_map>());

  worker_answer reserve(const reserve_request &Request, instant Now);
  worker_answer start(const start_request &Request, instant Now);
  worker_answer release(const release_request &Request, instant Now);
  worker_answer throttle(const throttle_request &Request, instant Now);
  worker_report renew(const renew_request &Request, instant Now);

  /// Ends tasks whose work is done and expires leases.
  void advance(instant Now);

  /// Drops all tasks, reservations and the epoch, as a failed instance does.
  void crash();

  /// Usage of its tasks, delayed by UsageLagMilliseconds.
  [[nodiscard]] usage_report usage(instant Now);

  /// Description and current state of this worker.
  [[nodiscard]] worker_report report(instant Now) const;

  worker_faults Faults;

  [[nodiscard]] const worker_id &id() const { return Worker; }
  [[nodiscard]] int freeAccelerators() const;
  /// How often a task of this job has started on this worker.
  [[nodiscard]] int runsOf(const job_id &Job) const;
  [[nodiscard]] const std::map<job_id, int> &runs() const { return Runs; }

private:
  struct held_task {
    epoch Epoch = 0; // of the scheduler that reserved it
    task_state State = task_state::Reserved;
    int Tasks = 0;
    int Accelerators = 0;
    milliseconds RunTime{0};
    milliseconds Progress{0}; // until RunningSince
    int SpeedPercent = 100;   // since RunningSince
    instant RunningSince{};
    instant Expires{};
  };

  worker_answer accept() const { return {true, HighestEpoch, ""}; }
  worker_answer refuse(std::string Reason) const;
  bool admit(epoch Epoch); // false when the epoch is too low
  void rememberUsage(instant Now);
  void beginRun(const attempt_id &Attempt, held_task &Task, instant Now);
  [[nodiscard]] milliseconds progressOf(const held_task &Task,
                                        instant Now) const;

  worker_id Worker;
  data_centre_id DataCentre;
  rack_id Rack;
  int Accelerators;
  epoch HighestEpoch = 0;
  std::map<attempt_id, held_task> Tasks;
  std::shared_ptr<checkpoint_map> Checkpoints; // never null
  std::map<job_id, int> Runs;
  std::map<instant, int> BusyAccelerators; // number of them, by time of change
};

} // namespace galenastage::standin
