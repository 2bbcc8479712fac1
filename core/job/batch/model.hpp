#pragma once

// The task-level model: a job is a list of steps, a step a number of identical
// tasks. Queues set the policy of their jobs, and executors run the tasks.
//
// Index of this file
// [1] Job specification
// [2] Identifiers of tasks and runs
// [3] Configuration
// [4] Executors

#include "core/types.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace galenastage::batch {

// [1] Job specification

/// Resources that one task requires or one executor provides.
struct resources {
  int MilliCpu = 0; // thousandths of a core
  int MemoryMb = 0; // mebibytes
  int Accelerators = 0;

  resources &operator+=(const resources &Other);
  resources &operator-=(const resources &Other);
  /// Whether Needs fits into these resources.
  [[nodiscard]] bool covers(const resources &Needs) const;

  friend bool operator==(const resources &, const resources &) = default;
};

resources operator+(resources Left, const resources &Right);
resources operator-(resources Left, const resources &Right);
resources operator*(resources Each, int Count);

/// Size in cores; one accelerator counts as eight cores, the weight that the
/// users' objective gives it.
double weightedCores(const resources &Amount);

/// One step of a job: Count identical tasks.
struct step_spec {
  int Count = 0;
  resources Needs;               // of each task
  milliseconds Estimate{0};      // the client's; often wrong
  std::vector<int> After;        // earlier steps that must finish first
  bool IsCheckpointing = false;  // later runs resume from its checkpoint
  bool IsGang = false;           // advances only while all tasks run
  bool IsRackLocal = false;      // slower when spread over several racks
  std::string Requirement;       // required executor label; empty: none
  rack_id Affinity;              // rack of its data; empty: any
  int MaxPerExecutor = 0;        // 0: no limit
  bool IsSpeculative = false;    // duplicate runs are allowed
  bool IsLongRunning = false;    // restarted after any end, until cancelled
  std::string Image;             // tasks of one image have similar behaviour
  milliseconds LatencyTarget{0}; // of requests the task serves; 0: none
  bool FillsIdleCpu = false;     // uses idle CPU; reserves none
  int MaxMissing = 0;            // tasks that disruptions may stop at once

  friend bool operator==(const step_spec &, const step_spec &) = default;
};

/// Policy for the jobs of one queue.
struct queue_config {
  route_id Name;
  std::string Host;               // of requests that are routed to the queue
  std::string Prefix;             // of their path
  service_id Service;             // whose executors run its tasks
  int Priority = 0;               // 0 is the highest and may preempt
  int MaxAttempts = 1;            // failed runs of a task that fail its job
  double StretchFactor = 1;       // objective: this times the critical path,
  milliseconds TargetDuration{0}; // plus this
  milliseconds Timeout{0};        // of a request; 0: none
  bool IsPublic = false;          // no key required
  bool HasAdvisor = false;        // a policy service chooses the executors

  friend bool operator==(const queue_config &, const queue_config &) = default;
};

/// Executor capacity that one task of the step reserves.
resources reservedResources(const step_spec &Step);

/// Schedule of a job that repeats.
struct job_schedule {
  int Repetitions = 0;      // 0: runs once, immediately
  wall_instant Start{};     // when occurrence 0 is due
  milliseconds Interval{0}; // between occurrences

  friend bool operator==(const job_schedule &, const job_schedule &) = default;
};

/// A job as its client submitted it.
struct job_spec {
  job_id Id;
  queue_config Queue;           // configuration at submission
  organisation_id Organisation; // whose key submitted it; empty: public queue
  std::string Payload;          // passed to every task unchanged
  std::vector<step_spec> Steps;
  job_schedule Schedule;
  wall_instant Submitted{}; // by the accepting instance's clock

  friend bool operator==(const job_spec &, const job_spec &) = default;
};

/// Returns why the specification is invalid, or an empty string when it is
/// valid. The text starts with the path of the field, as in "steps[1].after".
std::string explainInvalid(const job_spec &Job);

/// Tasks of all steps, and occurrences, of a job. Its progress must also fit
/// into one item of the platform's store, see explainUnstorable.
inline constexpr int MaxTasksPerJob = 8'000;
inline constexpr int MaxRepetitions = 8'000;
inline constexpr milliseconds MaxInterval = std::chrono::hours(24 * 366);

/// Returns why a new job is too large for any instance to schedule, in the form
/// of explainInvalid; empty when it isn't. Jobs stored by earlier programs may
/// be larger.
std::string explainOversized(const job_spec &Job);

// [2] Identifiers of tasks and runs

struct task_name {
  job_id Job;
  int Occurrence = 0; // 0 for a job that doesn't repeat
  int Step = 0;
  int Index = 0; // within the step

  friend auto operator<=>(const task_name &, const task_name &) = default;
  friend bool operator==(const task_name &, const task_name &) = default;
};

/// Whether the job has a step and a task with these numbers.
bool hasTask(const job_spec &Job, const task_name &Task);

/// One attempt to run a task. Attempts count from 1 and keep increasing when
/// the leader changes.
struct run_name {
  task_name Task;
  int Attempt = 0;

  friend auto operator<=>(const run_name &, const run_name &) = default;
  friend bool operator==(const run_name &, const run_name &) = default;
};

// [3] Configuration

struct service_config {
  service_id Name;
  bool ChecksCapacity = false; // executors reject runs that don't fit
  bool IsStandby = false;      // its machines are switched off

  friend bool operator==(const service_config &,
                         const service_config &) = default;
};

struct organisation_config {
  organisation_id Name;
  std::vector<std::string> Keys;  // API keys of its clients
  int GuaranteedAccelerators = 0; // for its jobs of priority 0, at all times

  friend bool operator==(const organisation_config &,
                         const organisation_config &) = default;
};

/// One version of the configuration that operators applied.
struct deployment_config {
  std::int64_t Version = 0;
  std::vector<queue_config> Queues;
  std::vector<service_config> Services;
  std::vector<organisation_config> Organisations;
  // Limits of a client's request.
  std::size_t MaxHeaderBytes = 16'384;
  std::size_t MaxBodyBytes = 262'144;
  milliseconds HeaderTimeout{0}; // until the whole header is here; 0: none
  milliseconds IdleTimeout{0};   // between requests of a connection; 0: none

  /// Null when no entry has this name.
  [[nodiscard]] const queue_config *findQueue(const route_id &Name) const;
  [[nodiscard]] const organisation_config *
  findOrganisation(const organisation_id &Name) const;
  /// The organisation that owns the API key, or null.
  [[nodiscard]] const organisation_config *findKey(std::string_view Key) const;
  /// The queue with this host and the longest matching path prefix, or null.
  [[nodiscard]] const queue_config *match(std::string_view Host,
                                          std::string_view Path) const;

  friend bool operator==(const deployment_config &,
                         const deployment_config &) = default;
};

// [4] Executors

/// An executor's own description of itself in the platform's store.
struct executor_report {
  executor_id Id;
  service_id Service;
  endpoint Address;
  data_centre_id DataCentre;
  std::string Kind; // label that steps may require
  rack_id Rack;
  resources Capacity;
  std::int64_t Incarnation = 0; // changes at each restart; 0: unknown
  bool IsDraining = false;      // still runs for a while, accepts nothing new
  milliseconds Remaining{0};    // least time until it leaves, while draining

  /// Whether its kind or its rack has this name.
  [[nodiscard]] bool hasLabel(std::string_view Label) const;

  friend bool operator==(const executor_report &,
                         const executor_report &) = default;
};

/// How a run ended.
enum class run_end {
  Done,
  Failed,         // error of the task or of the executor
  Stopped,        // by an order to stop
  Lapsed,         // its lease expired without renewal
  Broken,         // another member of its gang ended
  GangIncomplete, // other members of its gang didn't start
  Lost,           // its executor restarted or was lost
};

std::string_view name(run_end End);

} // namespace galenastage::batch
