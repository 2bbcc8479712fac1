#pragma once

// The batch scheduler of the leading instance: decides which run starts on
// which executor. A pure reducer: events in, effects out, no clock and no I/O.
//
// Safety rules:
// - The executors of a task are stored before its start is ordered, so that the
//   next leader knows every run that may exist.
// - A stored start is ordered only if the executor could still be chosen.
// - The crashes under a task are stored before its next start, so that the next
//   leader goes on counting.
// - Nothing starts on an executor before it has answered a hold with this
//   leader's fencing token; after that it rejects orders of earlier leaders.
// - After an executor was lost, its next life gets no start and no lease before
//   it rejects all calls of before: it has answered a hold with a later token.
//   Each token is a revision that the store has reached, so that those of the
//   next leader are higher.
// - Nothing starts on an executor while its listed entry, with its labels and
//   capacity, is of another life than its last answer to a hold.
// - A run counts against its executor's capacity until its end is listed, the
//   executor has restarted, or every lease that it may hold has expired.
// - A start without an answer may be carried out by each life of the executor's
//   id, until LateStarts after it was sent. Until then its task starts nowhere
//   else; one that lasts may start again on the same executor.
// - An end is stored before it is acknowledged to the executor.
// - After the leader's own lease has expired, it starts no run and extends no
//   lease.
// - No start is ordered while a cancellation that was acknowledged longer than
//   MaxRequestAge ago may be unknown, nor by a list of executors, a
//   configuration or evacuations that are older than their limits.
// - What was read or ordered for one term of leadership has no effect on
//   another one, also of the same instance. Both carry their term, the fencing
//   token.
//
// Index of this file
// [1] Events
// [2] Effects
// [3] State
// [4] The reducer

#include "core/job/batch/admission.hpp"
#include "core/job/batch/capacity_index.hpp"
#include "core/job/batch/lease_account.hpp"
#include "core/job/batch/progress.hpp"
#include "core/job/batch/scheduler_settings.hpp"
#include "core/log_event.hpp"

#include <deque>
#include <set>
#include <variant>

namespace galenastage::batch {

// [1] Events

struct configuration_changed {
  deployment_config Config;
};
/// The data centres in which nothing may start.
struct evacuations_changed {
  std::set<data_centre_id> DataCentres;
};
/// No configuration or evacuation that was stored before AsOf is unknown.
struct configuration_current {
  instant AsOf{};
};
/// All executors listed in the platform's store, with all changes before AsOf.
struct executors_listed {
  std::vector<executor_report> Executors;
  instant AsOf{};
  std::int64_t Revision = 0; // that the store had reached; 0: unknown
};
/// A stored job, with the progress that earlier leaders stored.
struct job_found {
  job_spec Spec;
  std::optional<job_progress> Progress; // nullopt: none stored yet
};
struct cancel_requested {
  job_id Job;
};
/// This instance became leader. State of earlier leaderships is discarded.
struct leadership_gained {
  std::uint64_t Token = 0; // fencing token; increases with each leader
  instant ValidUntil{};
};
/// Every stored job has been reported with job_found.
struct recovery_finished {};
/// No job or cancellation that was stored before AsOf is unknown.
struct requests_current {
  instant AsOf{};
};
struct leadership_extended {
  instant ValidUntil{};
};
struct leadership_lost {};

struct active_run {
  run_name Run;
  std::string Checkpoint; // last saved; empty: none
  int Percent = 0;        // of its work; of its capacity when long-running
};
struct ended_run {
  std::int64_t Number = 0; // sequence number in the incarnation, from 1
  run_name Run;
  run_end End = run_end::Done;
  std::string Checkpoint; // empty: none
};
/// The answer to a hold: all active runs and the unacknowledged ends, the
/// earliest first. If there are too many ends, the rest of them follows once
/// these are acknowledged.
struct runs_reported {
  executor_id Executor;
  std::int64_t Incarnation = 0;
  std::int64_t ClockMs = 0; // on the executor's own clock
  instant Sent{};           // when the hold was sent
  std::vector<active_run> Active;
  std::vector<ended_run> Ended;
  bool IsWhole = true;      // lists all unacknowledged ends
  std::uint64_t Number = 0; // of the hold; 0: of the last one
};
enum class hold_failure {
  NoAnswer,       // in time; the executor may still be running
  ConnectionLost, // before an answer; the executor was up until then
  Replaced,       // another executor answers at its address
  Fenced,         // the executor has seen a higher token
  Refused,        // with another status
  Unreadable,     // its answer can't be parsed
};
struct hold_failed {
  executor_id Executor;
  std::int64_t Incarnation = 0;
  hold_failure Failure = hold_failure::NoAnswer;
  std::string Reason{};     // of a refused or an unreadable answer
  std::uint64_t Number = 0; // of the hold; 0: of the last one
};
enum class order_outcome {
  Accepted,
  Refused, // the order had no effect
  Unknown, // it may take effect, even later
};
/// How long an order waits for its answer. Each order gets one; after this time
/// it is order_outcome::Unknown.
inline constexpr milliseconds OrderTimeout{1'000};

/// What the answer to an order tells of the life that gave it. An order names
/// the executor's id only, so that any life under that id may answer.
struct answer_source {
  std::int64_t Meant = 0; // incarnation that the order was for; 0: unknown
  std::int64_t Born = 0;  // incarnation that answered; 0: not told
  std::optional<std::int64_t> ClockMs{}; // on its clock; nullopt: not told
  instant Sent{};                        // when the order was sent
  std::string Fault{}; // why one of them can't be read; empty: none is wrong

  friend bool operator==(const answer_source &,
                         const answer_source &) = default;
};
struct start_answered {
  executor_id Executor;
  run_name Run;
  order_outcome Outcome = order_outcome::Unknown;
  std::string Reason;   // of a refusal
  answer_source From{}; // of an answer
};
struct stop_answered {
  executor_id Executor;
  run_name Run;
  bool IsAccepted = false; // a late start is now ineffective
  answer_source From{};
};
/// A record that the store will never take as it is.
struct refused_record {
  job_id Job;
  std::string Reason;
};
/// The outcome of save_progress. The scheduler retries a failed save.
struct progress_saved {
  bool IsSaved = false;                  // all records but the refused ones
  std::vector<refused_record> Refused{}; // to be changed before they are saved
};
/// Records that the leader publishes; each write replaces the one before.
enum class published_record { QueueLengths, Backlog, Speeds };
enum class write_outcome {
  Stored,
  Failed,  // or unknown: it may be stored, even later
  Refused, // the store will never take this content
};
/// The outcome of a publication. The scheduler retries one that failed.
struct record_published {
  published_record Record = published_record::QueueLengths;
  write_outcome Outcome = write_outcome::Failed;
};
/// The outcome of forget_job.
struct job_forgotten {
  job_id Job;
  bool IsForgotten = false; // false: its records may still be stored
};
/// The speeds that an earlier leader stored.
struct speeds_found {
  std::vector<stored_speed> Speeds;
};
struct time_passed {};

/// Events that belong to no term of leadership.
inline constexpr std::uint64_t NoTerm = 0;

struct event {
  instant Now{};
  wall_instant WallNow{};
  std::uint64_t Term = NoTerm; // that What was read or ordered for
  std::variant<configuration_changed, evacuations_changed,
               configuration_current, executors_listed, job_found,
               cancel_requested, requests_current, leadership_gained,
               recovery_finished, leadership_extended, leadership_lost,
               runs_reported, hold_failed, start_answered, stop_answered,
               progress_saved, record_published, job_forgotten, speeds_found,
               time_passed>
      What;
};

// [2] Effects

/// The recipient of an order, and the tokens it is sent with.
struct executor_target {
  executor_id Id;
  endpoint Address;
  std::int64_t Incarnation = 0;
  std::uint64_t Term = 0;  // that the order was decided in
  std::uint64_t Token = 0; // fencing token: Term, or a later one
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
/// Requests the active runs and ends, and extends the lease of all runs there.
struct hold_executor {
  executor_target To;
  std::int64_t LastSeen = 0;              // acknowledges ends up to this number
  std::optional<std::int64_t> LeaseEndMs; // on the executor's clock
  milliseconds Wait{0};                   // until an end; 0: answer immediately
  std::uint64_t Number = 0;               // in the term, from 1
};
struct saved_job {
  job_id Job;
  job_progress Progress;
};
/// Stores all records in one transaction, if this instance still leads.
struct save_progress {
  std::uint64_t Token = 0;
  std::vector<saved_job> Jobs;
};
/// Removes all records of a job that ended long ago.
struct forget_job {
  std::uint64_t Token = 0;
  job_id Job;
};
struct queue_length {
  route_id Queue;
  int Waiting = 0; // accepted jobs without a started run

  friend bool operator==(const queue_length &, const queue_length &) = default;
};
/// Answered with record_published, like publish_backlog and save_speeds. Of
/// each record one write is in flight at a time.
struct publish_queue_lengths {
  std::uint64_t Token = 0;
  std::vector<queue_length> Queues;
};

struct publish_backlog {
  std::uint64_t Token = 0;
  std::uint64_t Number = 0; // of the publication in the term, from 1
  backlog Backlog;
};

/// A unit that starts after it could have started for this time, for metrics.
struct note_wait {
  std::uint64_t Token = 0;
  organisation_id Organisation;
  int Priority = 0;
  milliseconds Waited{0};
};

/// Stores the speeds of executors for the next leader.
struct save_speeds {
  std::uint64_t Token = 0;
  std::vector<stored_speed> Speeds;
};

using effect = std::variant<start_run, stop_run, hold_executor, save_progress,
                            forget_job, publish_queue_lengths, publish_backlog,
                            note_wait, save_speeds, write_log>;
using effects = std::vector<effect>;

/// The term that an effect was decided in. Nullopt: it belongs to none.
std::optional<std::uint64_t> termOf(const effect &Effect);

// [3] State

enum class run_phase {
  Recording,   // its executor is being stored; no start ordered yet
  Starting,    // start ordered, not answered yet
  Unconfirmed, // start had no answer; may run now or later
  Active,
  Stopping, // stop ordered
};

struct run_state {
  run_phase Phase = run_phase::Starting;
  resources Needs;     // reserved until the run is removed
  instant Ordered{};   // when the start was ordered
  instant Confirmed{}; // last answer to its start or stop
  instant StopSent{};
  instant StopOrdered{};       // first; StopSent is of the last repeat
  bool IsStopAccepted = false; // a late start is now ineffective
  bool IsInSave = false;       // its executor is part of the current save
  bool IsInherited = false;    // an earlier leader may have started it
  bool IsListed = false;       // in a report of the executor
  bool IsMissing = false;      // from the last report
  bool IsAccepted = false;     // a life of the executor accepted the start
  bool IsAwaited = false;      // the answer to its start is to come
  bool HasLostLife = false;    // its executor restarted meanwhile
  bool IsUrgent = false;       // of priority 0
  bool IsBeyond = false;       // urgent, beyond its organisation's guarantee
  bool IsOfGang = false;
  bool IsOnProbation = false;   // suspected of crashing its executor
  bool IsOrphan = false;        // of no known job or task: unknown needs
  std::int64_t OrderedTo = 0;   // incarnation chosen by an earlier leader
  std::uint64_t Token = 0;      // of its start; 0: of an earlier leader
  bool IsLongRunning = false;   // its Percent isn't a share of its work
  bool IsCheckpointing = false; // a stop saves its work
  int GangSize = 1;             // tasks that a stop of this run ends
  std::string Checkpoint;       // last saved
  run_pace Pace;                // as reported
};

/// A start that was never listed, and that the present life of the executor
/// rejects.
struct closed_start {
  instant Ordered{};
  std::uint64_t Token = 0; // of its order

  friend bool operator==(const closed_start &, const closed_start &) = default;
};

struct executor_state {
  executor_report Report;
  bool IsListed = true;               // by the platform's store
  bool HasAnsweredHold = false;       // open for starts and leases
  std::int64_t Incarnation = 0;       // from its last answer; 0: none
  std::int64_t ClockMs = 0;           // its clock at ClockReadAt
  instant ClockReadAt{};              // when its answer arrived
  instant ClockAskedAt{};             // when the hold was sent that it answered
  lease_account Leases;               // of this leader's calls
  std::int64_t LastSeenProcessed = 0; // highest end processed
  std::int64_t LastSeenSaved = 0;     // highest end stored
  std::int64_t LastSeenAcknowledged = 0; // highest end acknowledged
  std::uint64_t SaveNeeded = 0;  // SavesFinished that covers LastSeenProcessed
  bool HasMoreEnds = false;      // the last report wasn't whole
  std::uint64_t Token = 0;       // of its calls, if higher than the term's
  std::uint64_t LeasedToken = 0; // of the last call with a lease
  std::uint64_t TokenNeeded = 0; // calls with a lower one were sent before the
                                 // executor was last lost; 0: it never was
  bool IsHolding = false;        // a hold is in flight
  std::uint64_t HoldNumber = 0;  // of the last one
  bool IsUnresponsive = false;   // the last hold failed
  bool IsReplaced = false;       // another executor answers at its address
  bool IsEntryOutdated = false;  // Report is of another life than Incarnation
  bool IsLifeUnclear = false;    // so listed, and no hold was answered since
  instant LostAt{};              // when an earlier life was last taken for over
  instant LastAlive{};           // last sign of life
  std::int64_t HoldLastSeen = 0; // LastSeen of the hold in flight
  std::uint64_t HoldToken = 0;   // its token
  instant LeasedHoldSent{};      // not set: it has no lease
  instant NextHold{};
  bool IsStalled = false; // none of its runs advances
  instant StalledSeen{};  // last report of that
  resources Used;         // by Runs
  resources Reserved;     // by plans and reservations
  bool IsKept = false;    // for guaranteed work
  bool IsTouched = false; // in Touched, the index may be out of date
  std::map<run_name, run_state> Runs;
  // After a restart the executor may accept them once more.
  std::map<run_name, closed_start> ClosedStarts;
  worker_health Health;
  instant ProvenAt{};      // when a task last succeeded there
  instant LeavesAt{};      // at the earliest, by its report; not set: unknown
  milliseconds HoldGap{0}; // without a hold in flight, before the last report
  speed_class Speed = speed_class::Unknown; // as in scheduler_state::Speeds
};

/// Identifies a unit of a job.
struct unit_name {
  job_id Job;
  int Occurrence = 0;
  int Step = 0;
  int Unit = 0;

  friend auto operator<=>(const unit_name &, const unit_name &) = default;
  friend bool operator==(const unit_name &, const unit_name &) = default;
};

/// Whether the cause of a broken gang is known. A member ends as broken only
/// because another member ended. If all members but one have reported and none
/// of them is the cause, the last one must have ended as well.
struct gang_break {
  int Attempt = 0;            // 0: no member has ended
  bool IsUnexplained = false; // broken without a stop or a known cause

  friend bool operator==(const gang_break &, const gang_break &) = default;
};

/// State of a unit that isn't stored.
struct unit_state {
  int LiveRuns = 0;    // runs that aren't removed yet
  instant Ready{};     // since when it could start
  instant NotBefore{}; // earliest restart
  // Where it failed, stalled or was refused, until that time.
  std::map<executor_id, instant> Avoided;
  instant ReclaimAfter{}; // earliest next reclaim after a vain one
  instant ReserveAfter{}; // earliest next search for a reservation
  instant Planned{};      // when its last plan since a start was made
  instant LateUntil{};    // a start of before may arrive until then
  executor_id LateAt;     // starts only there meanwhile; empty: nowhere
  int Moves = 0;          // to another executor after a stall
  gang_break Break;
  std::map<run_name, bool> Crashes; // counted by this leader: whether blamed
  int Stops = 0;                    // by reclaims
  instant PausedUntil{}; // after the last of them, while capacity is scarce
  speed_probe Probe;
  int Departures = 0; // moves away from executors that were about to go
  int StayNoted = 0;  // last attempt that was logged as staying there
};

/// The units of one step that could start now, with their sort keys.
struct waiting_step {
  unit_name First;        // the unit with the lowest number
  std::vector<int> Units; // numbers of all units
  int Priority = 0;
  bool IsMissed = false;      // LatestStart has passed
  wall_instant LatestStart{}; // to meet its objective
  double Work = 0;            // of the job, in weighted core-seconds
  instant Ready{};            // since when its first unit could start
  bool IsOldest = false;      // waits longest of its organisation and priority,
                              // for StarvesAfter or longer

  friend bool operator==(const waiting_step &, const waiting_step &) = default;
};

/// Estimated work of a job that isn't done, in weighted core-seconds, without
/// long-running steps.
struct open_work {
  double Waiting = 0; // of units without a run
  double Running = 0; // of units with one, from their beginning

  friend bool operator==(const open_work &, const open_work &) = default;
};

/// How fast the work of a service ends, in weighted core-seconds by estimates.
struct work_rate {
  double Done = 0;      // since the last publication
  double PerSecond = 0; // smoothed
};

struct job_state {
  job_spec Spec;
  job_progress Progress;
  bool IsSaveQueued = false;
  queue_config Queue; // latest known configuration
  std::map<int, std::vector<std::vector<unit_state>>> Units; // by occurrence,
                                                             // step and unit
  milliseconds CriticalPath{0};         // estimated critical path of its steps
  double Work = 0;                      // estimated, in weighted core-seconds
  std::map<int, log_estimate> Paces;    // by step, relative to its estimate
  std::map<run_name, executor_id> Runs; // not removed yet
  // What could start, as of the last change of the job.
  std::vector<waiting_step> Waiting;
  open_work Open; // of the same time
  bool IsWaitingKnown = false;
  instant WaitingUntil{}; // a unit's restart delay ends then
};

/// A unit of priority 0 that has runs or a plan.
struct urgent_unit {
  instant Since{}; // its start, or the plan before that
  int Tasks = 0;   // runs, and tasks of the plan
  int Accelerators = 0;
  bool IsBeyond = false; // as its runs

  friend bool operator==(const urgent_unit &, const urgent_unit &) = default;
};

/// The urgent units of an organisation. In the order of their starts, each one
/// that still fits the guarantee is within it and the others are beyond it.
struct urgent_use {
  std::map<unit_name, urgent_unit> Units;
  std::set<std::pair<instant, unit_name>> InOrder;
  int Covered = 0; // accelerators of the units within the guarantee

  friend bool operator==(const urgent_use &, const urgent_use &) = default;
};

/// Reserves capacity that is expected to become free for a gang that fits
/// nowhere now. It stops nothing.
struct reservation {
  std::vector<executor_id> Executors; // one for each task
  resources Needs;                    // of each task
  instant Until{};                    // given up then
  bool IsSuspended = false;           // during a pass, for work that precedes
};

/// When an executor fell silent: at some time between the two.
struct executor_silence {
  executor_id Executor;
  instant From{};
  instant Until{};
  std::set<job_id> Jobs; // that it ran
};

/// Reserves capacity for a unit until its runs on executors that are about to
/// go have ended.
struct departure_plan {
  std::vector<executor_id> Executors; // one for each task
  resources Needs;                    // of each task
  instant CreatedAt{};
};

/// Reserves capacity for a unit until the runs preempted for it have ended.
struct reclaim_plan {
  std::vector<executor_id> Executors; // one for each task
  instant CreatedAt{};
  // Runs that were about to end. They are stopped if they take longer than a
  // stop would have taken.
  std::vector<std::pair<executor_id, run_name>> Ending;
  instant Until{}; // then its stops are overdue
};

/// Room that is kept for guaranteed work on one service.
struct service_headroom {
  resources Use; // by runs and plans of priority 0
  urgent_demand Demand;
  resources Typical;  // capacity of an open executor, as of the last update
  resources Capacity; // of all of them
  std::set<executor_id> Kept;
  instant NextLog{}; // earliest time
};

/// Tasks that don't fit into a rack together, nor do more or larger ones.
struct vain_fit {
  resources Needs; // of each task
  int Count = 0;
  executor_filter Allowed = executor_filter::all();
};

/// A job whose progress is to be stored.
struct queued_save {
  job_id Job;
  std::uint64_t Number = 0; // in the order of the first unsaved changes

  friend bool operator==(const queued_save &, const queued_save &) = default;
};

struct scheduler_state {
  explicit scheduler_state(scheduler_settings Settings = {})
      : Settings(Settings) {}

  scheduler_settings Settings;
  deployment_config Config;
  std::set<data_centre_id> Evacuated;
  std::map<executor_id, executor_state> Executors;
  capacity_index Capacity;          // of the listed executors
  std::vector<executor_id> Touched; // not up to date in Capacity
  // What didn't fit into a rack since it last changed.
  std::map<std::pair<service_id, rack_id>, std::vector<vain_fit>> VainFits;
  std::set<executor_id> Draining; // of the listed executors
  std::uint64_t Examined = 0;     // executors that placements looked at
  std::int64_t StoreRevision = 0; // that the store had reached; 0: unknown

  // State of one leadership; empty while another instance leads.
  std::uint64_t Token = 0; // 0: not leading
  instant ValidUntil{};    // end of the leader's own lease
  instant TakenOver{};     // earlier leaders have sent no call since
  instant RecoveryUntil{}; // leases of earlier leaders have expired by then
  std::uint64_t HighestToken = 0; // of the calls to all executors
  std::uint64_t HoldsSent = 0;
  bool IsRecovered = false;    // all stored jobs have been reported
  instant RequestsAsOf{};      // no earlier job or cancellation is unknown
  instant ExecutorsAsOf{};     // no earlier change of the list
  instant ConfigurationAsOf{}; // nor of configuration or evacuations
  instant PausedSince{};       // no start since, for want of these
  std::map<job_id, job_state> Jobs;
  std::map<unit_name, reclaim_plan> Plans;
  std::map<unit_name, departure_plan> DeparturePlans;
  std::map<unit_name, reservation> Reservations; // few, of units that wait
  instant NextReservation{};                     // earliest time
  std::set<unit_name> Suspects;                  // units with runs on probation
  std::deque<executor_silence> Silences;         // recent ones, oldest first
  // Accelerators of runs and plans of priority 0, by organisation.
  std::map<organisation_id, int> GuaranteedUse;
  std::map<service_id, service_headroom> Headroom;
  std::map<organisation_id, instant> UrgentSeen;   // last start or plan
  instant NextHeadroom{};                          // earliest update of it
  std::map<organisation_id, urgent_use> UrgentUse; // the same, by unit
  // Needs of runs and plans, by organisation; none without either.
  std::map<organisation_id, capacity_sum> Usage;
  std::map<service_id, work_rate> Rates;
  std::set<published_record> Publishing; // with a write in flight
  // As stored in this term; nullopt: unknown, because a write failed.
  std::optional<backlog> PublishedBacklog = backlog{};
  backlog SentBacklog;                          // in the last write
  instant BacklogPublished{};                   // when that was sent
  std::uint64_t BacklogNumber = 0;              // of the last publication
  std::map<executor_id, executor_speed> Speeds; // of observed executors
  // Pace of the steps of completed jobs, relative to their estimates.
  std::map<route_id, log_estimate> QueuePaces;
  std::map<service_id, speed_sums> SpeedSums; // of these
  // Open executors of unknown speed without runs, as in Capacity.
  std::map<service_id, std::set<executor_id>> Unprobed;
  bool AreSpeedsUnsaved = false; // changed since the last save_speeds
  instant NextSpeedSave{};
  std::set<executor_id> Probing;     // started there, and not observed yet
  std::deque<queued_save> SaveQueue; // by number; each job at most once
  std::vector<queued_save> Saving;   // in the save in flight
  std::set<job_id> Forgetting;       // whose records are being removed
  instant NextForget{};              // earliest time
  std::uint64_t SavesQueued = 0;     // number of the last entry
  std::uint64_t SavesFinished = 0;   // all entries up to this one are stored
  // As stored; nullopt: unknown, because a write failed or none was made.
  std::optional<std::vector<queue_length>> PublishedLengths;
  std::vector<queue_length> SentLengths; // in the last write
  instant NextPublication{};
  bool NeedsPlacement = false; // a change may allow a unit to start
  instant NextPlacement{};     // earliest time
};

// [4] The reducer

/// Applies one event and returns the effects to carry out, in order. Ignores an
/// event of another term than the present one.
effects reduce(scheduler_state &State, const event &Event);

/// Returns the unit's state and creates it if necessary.
unit_state &unitState(job_state &Job, const unit_name &Unit);

/// Accelerators that the organisation's jobs of priority 0 use or have
/// reserved, counted anew.
int countGuaranteedUse(const scheduler_state &State,
                       const organisation_id &Organisation);

/// Capacity that runs and plans of priority 0 use, counted anew.
std::map<service_id, resources> countUrgentNeeds(const scheduler_state &State);
/// The state's Usage, counted anew.
std::map<organisation_id, capacity_sum>
countUsage(const scheduler_state &State);

/// Compares what the state keeps up to date from event to event with a full
/// recount. Returns a description of the first difference, or an empty string.
std::string explainStaleIndex(const scheduler_state &State, instant Now);

} // namespace galenastage::batch
