#pragma once

// The reducer that schedules the jobs of one data centre. Events come in,
// effects go out as data; there is no clock, no random number and no I/O here.
//
// A job goes through: waiting, reserving on every worker, saving the start,
// arming every worker, running, releasing. Only the active scheduler of the
// data centre acts; the others keep what they hear and emit nothing.
//
// Index of this file
// [1] Settings
// [2] Events
// [3] Effects
// [4] State
// [5] The reducer

#include "core/config/tables.hpp"
#include "core/job/job.hpp"
#include "core/job/placement.hpp"
#include "core/job/policy/guarantee.hpp"
#include "core/job/policy/quarantine.hpp"
#include "core/job/policy/run_times.hpp"
#include "core/job/policy/strategy.hpp"
#include "core/job/worker_protocol.hpp"
#include "core/log_event.hpp"

#include <map>
#include <memory>
#include <set>
#include <variant>
#include <vector>

namespace galenastage {

// [1] Settings

struct scheduler_settings {
  data_centre_id DataCentre;           //
  milliseconds ReservationLife{2'000}; // of reservations and armed tasks
  milliseconds Lease{6'000};           // a worker stops what isn't renewed
  milliseconds RenewInterval{1'000};   // between two renewals of one worker
  milliseconds EvidenceLife{2'000};    // how old "in service" may be at a start
  milliseconds StepTimeout{1'500};     // a gang step not done by then is undone
  milliseconds RetryDelay{1'000};      // after a gang start that was undone
  milliseconds RebuildWindow{3'000};   // to hear workers after a take-over
  milliseconds EndedMemory{60'000};    // for late sights of ended jobs
  std::uint32_t MaxTaskFailures = 5;   // then an idempotent job has failed
  milliseconds FleetSettleTime{60'000}; // without new workers: it is known
  placement_strategy Strategy;          // baselines are for measurements
  quarantine_settings Quarantine;       //
};

// [2] Events

/// Time has passed. Sent several times a second.
struct ticked {
  wall_instant WallNow;
};

/// This process became the active scheduler, or ceased to be it.
struct leadership_changed {
  bool IsLeading = false;
  epoch Epoch = 0;
};

/// A job record as it stands in the store.
struct job_seen {
  job_record Record;
  std::int64_t Revision = 0;
};

/// A job record is gone from the store, or belongs to another data centre now.
struct job_forgotten {
  job_id Job;
};

/// Every stored job of this data centre has been sent as job_seen.
struct jobs_loaded {};

/// The instance list names this worker.
struct worker_listed {
  worker_id Worker;
  rack_id Rack;
  int Accelerators = 0;
  bool IsLeaving = false;
};

/// The instance list no longer names this worker.
struct worker_unlisted {
  worker_id Worker;
};

/// A worker answered a renewal that was sent at SentAt.
struct worker_reported {
  worker_report Report;
  instant SentAt;
};

/// What became of a reserve, start or release that was sent.
struct step_answered {
  enum class step_kind { Reserve, Start, Release };
  step_kind Kind = step_kind::Reserve;
  attempt_id Attempt;
  worker_id Worker;
  bool IsAccepted = false;
  verdict Verdict = verdict::NotRun; // whether the worker may have acted
  epoch HighestEpoch = 0;            // as the worker says; 0 when unheard
  std::string Reason;                // why not
};

/// What became of a save_job effect.
struct job_saved {
  enum class outcome { Saved, Conflict, Unreachable };
  job_id Job;
  outcome Outcome = outcome::Saved;
  std::int64_t Revision = 0;
};

using scheduler_event_body =
    std::variant<ticked, tables_seen, leadership_changed, job_seen,
                 job_forgotten, jobs_loaded, worker_listed, worker_unlisted,
                 worker_reported, step_answered, job_saved>;

struct scheduler_event {
  instant Now;
  scheduler_event_body Body;
};

// [3] Effects

struct send_reserve {
  worker_id Worker;
  reserve_request Request;
};
struct send_start {
  worker_id Worker;
  start_request Request;
};
struct send_renew {
  worker_id Worker;
  renew_request Request;
};
struct send_release {
  worker_id Worker;
  release_request Request;
};

/// Store the record if it is still at this revision.
struct save_job {
  job_record Record;
  std::int64_t Revision = 0;
};

/// Hand the job over to the data centre named in the record, in one
/// transaction that removes it here.
struct move_job {
  job_record Record;
  std::int64_t Revision = 0;
  data_centre_id From;
};

/// A worker has seen a higher epoch: this scheduler must stop leading.
struct step_down {
  epoch HighestEpoch = 0;
};

using scheduler_effect =
    std::variant<send_reserve, send_start, send_renew, send_release, save_job,
                 move_job, step_down, write_log>;
using scheduler_effects = std::vector<scheduler_effect>;

// [4] State

enum class gang_step { Waiting, Reserving, Saving, Arming, Running, Releasing };

/// One worker's part in a gang, and how far it has come in the current step.
struct gang_member {
  placed_member Place;
  bool IsDone = false;       // it has answered the current step
  bool HasSucceeded = false; // its tasks have ended well
  instant ConfirmedAt{};     // when it was armed
};

struct scheduled_job {
  job_record Record;
  std::int64_t Revision = 0; // of the record in the store
  gang_step Step = gang_step::Waiting;
  std::vector<gang_member> Members;
  instant StepDeadline{};   // the step is undone when it isn't done by then
  instant RetryAt{};        // no placement before this
  bool IsConfirmed = false; // a renewal let it run
  bool HasRun = false;      // a worker has reported it running
  verdict VerdictBefore = verdict::NotRun; // as it was before this attempt
  data_centre_id MovingTo; // a move there was sent; its outcome isn't known
  // Of a non-idempotent job: where each attempt whose start was sent to the
  // store was to run. Tells one's own record from that of another scheduler.
  std::map<std::uint32_t, std::vector<worker_id>> SavedStarts;
  std::uint32_t TaskFailures = 0; // runs that ended because a task failed
  bool IsSaveInFlight = false;
  bool IsSaveWanted = false;
  job_phase AfterRelease = job_phase::Waiting; // becomes this once released
  instant WaitingSince{};           // in this scheduler; ages the job
  instant RunningSince{};           // when every member had confirmed
  std::vector<placed_member> Claim; // kept free for it until it starts there
  instant ClaimEnds{};              // the claim is given up by then
  bool IsReservation = false;       // the claim waits for gangs to end
  instant ReservedStart{};      // when they should have, by what was learned
  std::set<worker_id> FailedOn; // workers where a task of it failed
  instant NextClaim{};          // no search for gangs to stop before this
};

/// Whether a gang may be stopped in the middle and run again later. A gang that
/// is not idempotent mustn't: it may have ended just before the stop, and a
/// worker's answer doesn't tell.
bool isStoppable(const job_spec &Spec);

/// What a job asks of placement.
placement_request placementRequest(const job_spec &Spec);

struct known_worker {
  rack_id Rack;
  int Accelerators = 0;
  bool IsListed = false;
  bool IsLeaving = false;
  bool IsSilent = true;           // not heard for a lease: nothing runs there
  instant LastHeard{};            //
  instant NextRenew{};            //
  std::map<attempt_id, int> Held; // accelerators held by each attempt
  std::map<attempt_id, pool_id> Unstoppable; // those that mustn't be stopped
  int HeldAccelerators = 0;                  // sum over Held
  std::vector<pool_use> Cells;               // guaranteed here, by the plan
  std::vector<task_report> Reported;         // as last heard

  worker_health Health;

  void hold(const attempt_id &Attempt, int Count, const job_spec &Spec);
  void drop(const attempt_id &Attempt);
  void dropAll();
  [[nodiscard]] int freeAccelerators() const;
  /// Whether new work may go there.
  [[nodiscard]] bool isUsable() const;
  /// Whether it is listed, stays and answers.
  [[nodiscard]] bool isReachable() const;
  [[nodiscard]] worker_capacity capacity(const worker_id &Name) const;
};

/// What the policy remembers between events.
struct policy_state {
  guarantee_plan Guarantees;
  bool IsPlanStale = true;   // workers or tables changed since it was made
  instant FleetGrewAt{};     // when a worker was first listed, or grew
  run_time_learner RunTimes; // from the ends seen by this scheduler
};

struct scheduler_state {
  explicit scheduler_state(scheduler_settings Settings)
      : Settings(std::move(Settings)) {}

  scheduler_settings Settings;
  std::shared_ptr<const tables> Tables; // null until first seen
  instant TablesAsOf{};                 // no newer tables existed then
  instant OutageAsOf = instant::min();  // nobody could store an edit then
  bool IsLeading = false;
  bool IsLoaded = false;     // the stored jobs are known
  bool IsRebuilding = false; // workers are being asked what runs
  instant RebuildEnds{};
  epoch Epoch = 0;
  wall_instant WallNow{};
  std::map<job_id, scheduled_job> Jobs; // those that are not final
  std::map<worker_id, known_worker> Workers;
  // Revisions of jobs that have ended or left, so that an older sight of them
  // doesn't bring them back. Two generations, of which the older is dropped.
  std::map<job_id, std::int64_t> Ended;
  std::map<job_id, std::int64_t> EndedEarlier;
  instant EndedSince{}; // of the younger generation
  policy_state Policy;
};

// [5] The reducer

/// Applies one event. The state is changed in place because it is large; equal
/// states and events give equal states and effects.
scheduler_effects reduce(scheduler_state &State, const scheduler_event &Event);

/// Whether a task may start here now: the data centre is in service, and the
/// evidence for that is young enough.
bool mayStartTasks(const scheduler_state &State, instant Now);

} // namespace galenastage
