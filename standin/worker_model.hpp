#pragma once

#include "core/job/worker_protocol.hpp"

#include <map>
#include <memory>

namespace galenastage::standin {

/// How a worker misbehaves.
struct worker_faults {
  bool FailsEverything = false; // each task fails at once
  bool IsPaused = false;        // answers nothing; its clock stands still
  int RunTimePercent = 100;     // real run time against the declared one
  int UsageLagMilliseconds = 0; // age of the usage that it reports

  friend bool operator==(const worker_faults &,
                         const worker_faults &) = default;
};

/// Progress saved by checkpoints, by job. The platform keeps it, so that a
/// checkpoint outlives its worker and can be used on another one.
using checkpoint_map = std::map<job_id, milliseconds>;

/// A worker in small: reservations, armed tasks, leases, checkpoints and the
/// fence of epochs. It has no clock; the caller passes the moment.
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

  /// Lets tasks end and leases lapse.
  void advance(instant Now);

  /// Stops everything, as a failed instance does.
  void crash();

  /// What its tasks use, as old as the lag says.
  [[nodiscard]] usage_report usage(instant Now);

  /// What this worker is and holds now.
  [[nodiscard]] worker_report report(instant Now) const;

  worker_faults Faults;

  [[nodiscard]] const worker_id &id() const { return Worker; }
  [[nodiscard]] int freeAccelerators() const;
  /// How often a task of this job began to run here.
  [[nodiscard]] int runsOf(const job_id &Job) const;
  [[nodiscard]] const std::map<job_id, int> &runs() const { return Runs; }

private:
  struct held_task {
    epoch Epoch = 0; // of the scheduler that reserved it
    task_state State = task_state::Reserved;
    int Tasks = 0;
    int Accelerators = 0;
    milliseconds RunTime{0};
    milliseconds Progress{0}; // up to RunningSince
    int SpeedPercent = 100;   // since then
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
  std::map<instant, int> BusyAccelerators; // each change of their number
};

} // namespace galenastage::standin
