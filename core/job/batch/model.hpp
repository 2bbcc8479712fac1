#pragma once

// The task-level model: a job is a list of steps, a step a number of equal
// tasks. Queues say how their jobs are treated, and executors run the tasks.
//
// Index of this file
// [1] What is submitted
// [2] Names of tasks and runs
// [3] Configuration
// [4] Executors

#include "core/types.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace galenastage::batch {

// [1] What is submitted

/// What one task takes of an executor, or an executor has.
struct resources {
  int MilliCpu = 0;     // thousandths of a core
  int MemoryMb = 0;     // mebibytes
  int Accelerators = 0; //

  resources &operator+=(const resources &Other);
  resources &operator-=(const resources &Other);
  /// Whether Needs can be taken out of this.
  [[nodiscard]] bool covers(const resources &Needs) const;

  friend bool operator==(const resources &, const resources &) = default;
};

resources operator+(resources Left, const resources &Right);
resources operator-(resources Left, const resources &Right);
resources operator*(resources Each, int Count);

/// Core-seconds a second; one accelerator counts as eight cores, as the users'
/// goal weighs them.
double weigh(const resources &Amount);

/// One step of a job: Count equal tasks.
struct step_spec {
  int Count = 0;                //
  resources Needs;              // of each task
  milliseconds Estimate{0};     // by the client; often false
  std::vector<int> After;       // earlier steps that must be done first
  bool IsCheckpointing = false; // saves progress that a later run resumes
  bool IsGang = false;          // works only when all tasks run together
  bool IsRackLocal = false;     // slower when spread over several racks
  std::string Requirement;    // label that the executor must have; empty: none
  rack_id Affinity;           // where its data is; empty: anywhere
  int MaxPerExecutor = 0;     // 0: no limit
  bool IsSpeculative = false; // copies may run beside each other
  bool IsLongRunning = false; // restarted however it ends, until cancelled
  std::string Image;          // tasks of one image behave alike
  milliseconds LatencyTarget{0}; // of the task's own users; 0: none
  bool FillsIdleCpu = false;     // takes the cpu that others leave unused
  int MaxMissing = 0;            // tasks that disruptions may take at once

  friend bool operator==(const step_spec &, const step_spec &) = default;
};

/// How the jobs of one queue are treated.
struct queue_config {
  route_id Name;
  std::string Host;         // of the requests that reach it
  std::string Prefix;       // of their path
  service_id Service;       // whose executors run its tasks
  int Priority = 0;         // 0 comes first and may preempt
  int MaxAttempts = 1;      // failed runs of a task before its job fails
  double StretchFactor = 1; // objective: this times the longest chain of work
  milliseconds TargetDuration{0}; // and this more
  milliseconds Timeout{0};        // of a request; 0: none
  bool IsPublic = false;          // no key needed
  bool HasAdvisor = false;        // a policy service picks the executors

  friend bool operator==(const queue_config &, const queue_config &) = default;
};

/// What one task of the step holds of its executor's capacity.
resources heldBy(const step_spec &Step);

/// When the steps of a job run, for jobs that repeat.
struct job_schedule {
  int Repetitions = 0;      // 0: runs once, at once
  wall_instant Start{};     // when occurrence 0 is due
  milliseconds Interval{0}; // between occurrences

  friend bool operator==(const job_schedule &, const job_schedule &) = default;
};

/// A job as its client submitted it.
struct job_spec {
  job_id Id;
  queue_config Queue;           // where it was submitted, as it was then
  organisation_id Organisation; // whose key submitted it; empty: public queue
  std::string Payload;          // handed to every task unchanged
  std::vector<step_spec> Steps;
  job_schedule Schedule;
  wall_instant Submitted{}; // on the clock of the instance that accepted it

  friend bool operator==(const job_spec &, const job_spec &) = default;
};

/// Says why no executor could ever run the job; empty when one might. Path
/// names the field, as in "steps[1].after".
std::string explainInvalid(const job_spec &Job);

// [2] Names of tasks and runs

struct task_name {
  job_id Job;
  int Occurrence = 0; // 0 for a job that doesn't repeat
  int Step = 0;       //
  int Index = 0;      // within the step

  friend auto operator<=>(const task_name &, const task_name &) = default;
  friend bool operator==(const task_name &, const task_name &) = default;
};

/// One start of a task. Attempts count from 1 and rise across leaders.
struct run_name {
  task_name Task;
  int Attempt = 0;

  friend auto operator<=>(const run_name &, const run_name &) = default;
  friend bool operator==(const run_name &, const run_name &) = default;
};

// [3] Configuration

struct service_config {
  service_id Name;
  bool ChecksCapacity = false; // executors refuse what doesn't fit
  bool IsStandby = false;      // its machines are off

  friend bool operator==(const service_config &,
                         const service_config &) = default;
};

struct organisation_config {
  organisation_id Name;
  std::vector<std::string> Keys;  // that its clients present
  int GuaranteedAccelerators = 0; // for its jobs of priority 0, at all times

  friend bool operator==(const organisation_config &,
                         const organisation_config &) = default;
};

/// One version of what the operators have put in force.
struct deployment_config {
  std::int64_t Version = 0;
  std::vector<queue_config> Queues;
  std::vector<service_config> Services;
  std::vector<organisation_config> Organisations;
  std::size_t MaxHeaderBytes = 16'384;
  std::size_t MaxBodyBytes = 262'144;

  /// Null when there is none of that name.
  [[nodiscard]] const queue_config *findQueue(const route_id &Name) const;
  [[nodiscard]] const organisation_config *
  findOrganisation(const organisation_id &Name) const;
  /// The organisation that holds the key, or null.
  [[nodiscard]] const organisation_config *findKey(std::string_view Key) const;
  /// The queue with this host and the longest prefix of the path, or null.
  [[nodiscard]] const queue_config *match(std::string_view Host,
                                          std::string_view Path) const;

  friend bool operator==(const deployment_config &,
                         const deployment_config &) = default;
};

// [4] Executors

/// What an executor reports about itself through the platform's store.
struct executor_report {
  executor_id Id;
  service_id Service;
  endpoint Address;
  data_centre_id DataCentre;
  std::string Kind; // label that steps may require
  rack_id Rack;     //
  resources Capacity;
  std::int64_t Incarnation = 0; // differs after each restart; 0: not told
  bool IsDraining = false;      // runs on for a while, takes nothing new

  /// Whether its kind or its rack is called so.
  [[nodiscard]] bool hasLabel(std::string_view Label) const;

  friend bool operator==(const executor_report &,
                         const executor_report &) = default;
};

/// How a run ended.
enum class run_end {
  Done,     //
  Failed,   // through its own fault or the executor's
  Stopped,  // it was told to
  Lapsed,   // its lease wasn't renewed
  Broken,   // another member of its gang ended
  Alone,    // the other members of its gang didn't come
  Vanished, // its executor restarted or was lost
};

std::string_view name(run_end End);

} // namespace galenastage::batch
