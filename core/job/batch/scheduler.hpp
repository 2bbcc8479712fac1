#pragma once

// Decides which run starts where, as the one leader of a deployment. A pure
// reducer: events in, effects out, no clock and no I/O.
//
// What makes it safe:
// - Where a task is to run is stored before its start is ordered, so that a
//   successor knows every run that may exist.
// - Nothing starts before an executor has answered a hold under this leader's
//   fencing token, so that no order of an earlier leader can follow.
// - A run counts against its executor's capacity until its end is listed, its
//   executor restarted, or every lease that it may hold is over.
// - An end is stored before the executor is told to forget it.
// - After the leader's own lease is over, nothing starts and no lease grows.
//
// Index of this file
// [1] Settings
// [2] Events
// [3] Effects
// [4] State
// [5] The reducer

#include "core/job/batch/pace.hpp"
#include "core/job/batch/progress.hpp"
#include "core/job/policy/quarantine.hpp"
#include "core/log_event.hpp"

#include <deque>
#include <set>
#include <variant>

namespace galenastage::batch {

// [1] Settings

/// Figures of the deployment; the platform's settings give those that differ.
struct scheduler_settings {
  milliseconds MaxLease{10'000};      // an executor shortens longer ones
  milliseconds Lease{8'000};          // of runs; covers an outage of 5 s
  milliseconds HoldWait{2'000};       // the most that an executor waits
  milliseconds UrgentHoldWait{700};   // where work of priority 0 runs
  milliseconds HoldRetry{300};        // after a hold without an answer
  milliseconds UnsavedHold{500};      // between holds while ends aren't stored
  milliseconds ConfirmInterval{100};  // between holds that settle a doubt
  milliseconds StopRetry{500};        // after a stop without an answer
  milliseconds SpreadDelay{1'500};    // a unit waits so long for its best rack
  milliseconds PlanLife{3'000};       // room kept for a unit that reclaims it
  milliseconds RestartDelay{200};     // before a failed unit starts again
  milliseconds Retention{150'000};    // of a job that has ended
  milliseconds PendingInterval{500};  // between publications of queue lengths
  milliseconds PlacementInterval{15}; // lets changes of one moment share a pass
  int SpreadBelowPercent = 60;        // of accelerators in use: room to waste
  int MaxJobsPerSave = 15; // records in one transaction of 32 entries
  quarantine_settings Quarantine{2, 10, milliseconds(6'000),
                                 milliseconds(60'000)};
  pace_settings Pace;

  friend bool operator==(const scheduler_settings &,
                         const scheduler_settings &) = default;
};

// [2] Events

struct configuration_changed {
  deployment_config Config;
};
/// Data centres where operators want nothing started.
struct evacuations_changed {
  std::set<data_centre_id> DataCentres;
};
/// Every executor that the platform's store lists now.
struct executors_listed {
  std::vector<executor_report> Executors;
};
/// A stored job, with the progress that an earlier leader stored.
struct job_found {
  job_spec Spec;
  std::optional<job_progress> Progress; // nullopt: none stored yet
};
struct cancel_requested {
  job_id Job;
};
/// This instance leads under the token; all before belongs to someone else.
struct leadership_gained {
  std::uint64_t Token = 0; // rises with each leader; the fencing token
  instant ValidUntil{};
};
/// Every stored job has been handed over with job_found.
struct recovery_finished {};
struct leadership_extended {
  instant ValidUntil{};
};
struct leadership_lost {};

struct active_run {
  run_name Run;
  std::string Checkpoint; // last one saved; empty: none
  int Percent = 0;        // of its work, or of its capacity when long-running
};
struct ended_run {
  std::int64_t Number = 0; // counts the ends of one incarnation, from 1
  run_name Run;
  run_end End = run_end::Done;
  std::string Checkpoint; // empty: none
};
/// The answer to a hold: all runs and ends that the executor lists.
struct runs_reported {
  executor_id Executor;
  std::int64_t Incarnation = 0;
  std::int64_t ClockMs = 0; // on the executor's own clock
  instant Sent{};           // when the hold left
  std::vector<active_run> Active;
  std::vector<ended_run> Ended;
};
enum class hold_failure {
  NoAnswer,         // the executor may live on
  OtherIncarnation, // who answers knows nothing of the one that was meant
  Fenced,           // the executor has seen a higher token
};
struct hold_failed {
  executor_id Executor;
  std::int64_t Incarnation = 0;
  hold_failure Failure = hold_failure::NoAnswer;
};
enum class order_outcome {
  Accepted,
  Refused, // the executor did nothing
  Unknown, // it may act on it, even later
};
struct start_answered {
  executor_id Executor;
  run_name Run;
  order_outcome Outcome = order_outcome::Unknown;
  std::string Reason; // of a refusal
};
struct stop_answered {
  executor_id Executor;
  run_name Run;
  bool IsAccepted = false; // no later start of this run can take effect
};
/// The outcome of save_progress. Not saved: it is offered again.
struct progress_saved {
  bool IsSaved = false;
};
struct time_passed {};

struct event {
  instant Now{};
  wall_instant WallNow{};
  std::variant<configuration_changed, evacuations_changed, executors_listed,
               job_found, cancel_requested, leadership_gained,
               recovery_finished, leadership_extended, leadership_lost,
               runs_reported, hold_failed, start_answered, stop_answered,
               progress_saved, time_passed>
      What;
};

// [3] Effects

/// Where an order goes and under which token.
struct executor_target {
  executor_id Id;
  endpoint Address;
  std::int64_t Incarnation = 0;
  std::uint64_t Token = 0;
};
struct start_run {
  executor_target To;
  run_name Run;
  std::string Payload;
  std::string Checkpoint;      // empty: from the beginning
  std::int64_t LeaseEndMs = 0; // on the executor's clock
};
struct stop_run {
  executor_target To;
  run_name Run;
};
/// Asks for runs and ends, and extends the lease of all that runs there.
struct hold_executor {
  executor_target To;
  std::int64_t LastSeen = 0;              // ends up to here are stored
  std::optional<std::int64_t> LeaseEndMs; // on the executor's clock
  milliseconds Wait{0};                   // for an end
};
struct saved_job {
  job_id Job;
  job_progress Progress;
};
/// Stores all of them or none, if this leader still leads.
struct save_progress {
  std::vector<saved_job> Jobs;
};
/// Removes all records of a job that ended long ago.
struct forget_job {
  job_id Job;
};
struct queue_length {
  route_id Queue;
  int Waiting = 0; // accepted jobs of which nothing has started

  friend bool operator==(const queue_length &, const queue_length &) = default;
};
struct publish_queue_lengths {
  std::vector<queue_length> Queues;
};

using effect = std::variant<start_run, stop_run, hold_executor, save_progress,
                            forget_job, publish_queue_lengths, write_log>;
using effects = std::vector<effect>;

// [4] State

enum class run_phase {
  Recording, // its place is being stored; nothing was ordered yet
  Starting,  // ordered, not answered yet
  Doubtful,  // the start wasn't answered: it may run, now or later
  Active,    //
  Stopping,  // a stop was ordered
};

struct run_state {
  run_phase Phase = run_phase::Starting;
  resources Needs;             // held until the run is gone
  instant Ordered{};           // the start
  instant Confirmed{};         // the start or the stop was answered
  instant StopSent{};          //
  bool IsStopAccepted = false; // a start that is late can't take effect
  bool IsInSave = false;       // the store is being told of its place
  bool IsInherited = false;    // an earlier leader may have started it
  bool IsListed = false;       // the executor has listed it
  bool IsAccepted = false;     // the executor has answered the start
  bool IsUrgent = false;       // of priority 0
  bool IsOfGang = false;       //
  bool IsLongRunning = false;  // its progress isn't a share of its work
  std::string Checkpoint;      // last one saved
  run_pace Pace;               // as listed
};

struct executor_state {
  executor_report Report;
  bool IsListed = true;           // by the platform's store
  bool IsSettled = false;         // it answered a hold under this token
  std::int64_t Incarnation = 0;   // as it answered; 0: not heard
  std::int64_t ClockMs = 0;       // its clock at ClockReadAt
  instant ClockReadAt{};          //
  instant LeaseUntil{};           // nothing of ours runs there after this
  std::int64_t LastSeenHeard = 0; // highest end that was processed
  std::int64_t LastSeenSaved = 0; // and stored
  std::int64_t LastSeenTold = 0;  // and told the executor
  std::uint64_t SaveNeeded = 0;   // save sequence that covers LastSeenHeard
  bool IsHolding = false;         // a hold is on its way
  bool IsUnanswered = false;      // the last hold had no answer
  std::int64_t HoldLastSeen = 0;  // of the hold on its way
  instant NextHold{};             //
  bool IsStalled = false;         // nothing that runs there advances
  instant StalledSeen{};          // when that was last seen
  resources Used;                 // by Runs
  resources Reserved;             // by plans
  std::map<run_name, run_state> Runs;
  worker_health Health;
};

/// Names a unit of a job.
struct unit_name {
  job_id Job;
  int Occurrence = 0;
  int Step = 0;
  int Unit = 0;

  friend auto operator<=>(const unit_name &, const unit_name &) = default;
  friend bool operator==(const unit_name &, const unit_name &) = default;
};

/// Whether the end that broke a gang is known. A member ends as broken because
/// another one ended; when all but one have been heard of, and none of those
/// explains it, the last one has ended as well.
struct gang_break {
  int Attempt = 0;            // 0: no end of a member was heard
  bool IsUnexplained = false; // broke before a stop, and nobody said why

  friend bool operator==(const gang_break &, const gang_break &) = default;
};

/// What the leader knows of a unit beside its progress.
struct unit_state {
  int LiveRuns = 0;              // runs that aren't gone
  instant Ready{};               // since when it could start
  instant NotBefore{};           // after a failure
  std::set<executor_id> Avoided; // where it failed or stood still
  int Moves = 0;                 // to another executor, having stood still
  gang_break Break;              //
};

struct job_state {
  job_spec Spec;
  job_progress Progress;
  bool IsSaveQueued = false; //
  queue_config Queue;        // the newest that was in force
  std::map<int, std::vector<std::vector<unit_state>>> Units; // by occurrence,
                                                             // step and unit
  milliseconds Chain{0}; // estimated length of its longest chain of steps
  double Work = 0;       // estimated, in weighed seconds
  std::map<run_name, executor_id> Runs; // that aren't gone
};

/// Room that is being made for a unit by stopping others.
struct reclaim_plan {
  std::vector<executor_id> Executors; // one for each task
  instant Made{};
};

struct scheduler_state {
  explicit scheduler_state(scheduler_settings Settings = {})
      : Settings(Settings) {}

  scheduler_settings Settings;
  deployment_config Config;
  std::set<data_centre_id> Evacuated;
  std::map<executor_id, executor_state> Executors;

  // Of one leadership; empty while another instance leads.
  std::uint64_t Token = 0;  // 0: not leading
  instant ValidUntil{};     // of the leader's own lease
  instant RecoveryUntil{};  // runs of an earlier leader are over by then
  bool IsRecovered = false; // all stored jobs are known
  std::map<job_id, job_state> Jobs;
  std::map<unit_name, reclaim_plan> Plans;
  std::deque<job_id> SaveQueue;    // in order of their first unsaved change
  std::vector<job_id> Saving;      // those on their way to the store
  std::uint64_t SavesQueued = 0;   // entries ever added to SaveQueue
  std::uint64_t SavesFinished = 0; // entries ever stored
  std::vector<queue_length> PublishedLengths;
  instant NextPublication{};
  bool NeedsPlacement = false; // something changed that may let a unit start
  instant NextPlacement{};     // not before
};

// [5] The reducer

/// Applies one event and returns what is to be done, in order.
effects reduce(scheduler_state &State, const event &Event);

/// The unit's state, made when it wasn't known yet.
unit_state &unitState(job_state &Job, const unit_name &Unit);

/// Accelerators that the organisation's jobs of priority 0 hold or have been
/// promised.
int countGuaranteedUse(const scheduler_state &State,
                       const organisation_id &Organisation);

} // namespace galenastage::batch
