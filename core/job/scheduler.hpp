#pragma once

// The reducer that schedules the jobs of one data centre. It takes events and
// returns effects as data; it uses no clock, random numbers or I/O.
//
// A job's steps: waiting, reserving on every worker, saving the start (only if
// not idempotent), arming every worker, running, releasing. Only the active
// scheduler of the data centre places jobs and contacts workers; the others
// only track state.
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
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace galenastage {

// [1] Settings

struct scheduler_settings {
  data_centre_id DataCentre;               //
  milliseconds ReservationLifetime{2'000}; // of holds and armed tasks
  milliseconds Lease{6'000};               // then a worker stops its tasks
  milliseconds RenewInterval{1'000};       // between renewals of a worker
  milliseconds MaxEvidenceAge{2'000};      // max age of "in service" at a start
  milliseconds StepTimeout{1'500};         // then a gang start is aborted
  milliseconds RetryDelay{1'000};          // before a released job is placed
  milliseconds RebuildWindow{3'000};       // wait for reports on take-over
  milliseconds EndedRetention{60'000};     // at least, against stale job_seen
  std::uint32_t MaxTaskFailures = 5;       // then an idempotent job fails
  std::uint32_t MaxLosses = 5;             // of its workers, then it fails
  milliseconds LossMemory{600'000};        // a run so long clears the losses
  milliseconds LossProbation{500};  // a run that lived longer isn't the likely
                                    // cause of a loss
  milliseconds OutageWindow{1'250}; // a renewal interval and a response time
  int OutageWorkers = 2;            // lost together, that make it an outage
  milliseconds FleetSettleTime{60'000}; // without growth: size is known
  placement_strategy Strategy;          // production uses the default
  quarantine_settings Quarantine;       //
};

// [2] Events

/// Time has passed. Sent several times a second.
struct ticked {
  wall_instant WallNow;
};

/// This process became or ceased to be the active scheduler.
struct leadership_changed {
  bool IsLeading = false;
  epoch Epoch = 0;
};

/// A job record was read from the store.
struct job_seen {
  job_record Record;
  std::int64_t Revision = 0;
};

/// A job record was removed from the store or moved to another data centre.
struct job_forgotten {
  job_id Job;
};

/// All stored jobs of this data centre have been delivered as job_seen.
struct jobs_loaded {};

/// The instance list contains this worker.
struct worker_listed {
  worker_id Worker;
  rack_id Rack;
  int Accelerators = 0;
  bool IsLeaving = false;
};

/// The instance list no longer contains this worker.
struct worker_unlisted {
  worker_id Worker;
};

/// A worker answered a renewal that was sent at SentAt.
struct worker_reported {
  worker_report Report;
  instant SentAt;
};

/// The outcome of a reserve, start or release request.
struct step_answered {
  enum class step_kind { Reserve, Start, Release };
  step_kind Kind = step_kind::Reserve;
  attempt_id Attempt;
  worker_id Worker;
  bool IsAccepted = false;
  verdict Verdict = verdict::NotRun; // whether the worker may have acted
  epoch HighestEpoch = 0;            // from the worker; 0 without an answer
  std::string Reason;                // set when not accepted
};

/// The outcome of a save_job effect.
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
  epoch Epoch = 0; // of the order that Body answers; 0: it answers none
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

/// Store the record if the stored one is still at this revision.
struct save_job {
  epoch Epoch = 0; // in which it was decided
  job_record Record;
  std::int64_t Revision = 0;
};

/// Move the job to the data centre given in the record and remove it here, in
/// one transaction.
struct move_job {
  epoch Epoch = 0; // in which it was decided
  job_record Record;
  std::int64_t Revision = 0;
  data_centre_id From;
};

/// A worker has seen a higher epoch, so this scheduler must give up leadership.
struct step_down {
  epoch HighestEpoch = 0;
};

using scheduler_effect =
    std::variant<send_reserve, send_start, send_renew, send_release, save_job,
                 move_job, step_down, write_log>;
using scheduler_effects = std::vector<scheduler_effect>;

// [4] State

enum class gang_step { Waiting, Reserving, Saving, Arming, Running, Releasing };

/// One worker's part of a gang, and its progress in the current step.
struct gang_member {
  placed_member Place;
  bool HasAnswered = false;  // it has accepted the current step
  bool HasSucceeded = false; // all its tasks
  instant ConfirmedAt{};     // older reports are ignored
};

/// The last loss of a worker while the gang ran.
struct worker_loss {
  worker_id Worker;
  instant At{};             // last sign of life, or the report without the gang
  bool HasOutlived = false; // the gang had run for a while before
};

struct scheduled_job {
  job_record Record;
  std::int64_t Revision = 0; // of the record in the store
  gang_step Step = gang_step::Waiting;
  std::vector<gang_member> Members;
  instant StepDeadline{};                  // timeout of the current step
  instant RetryAt{};                       // earliest next placement
  bool IsConfirmed = false;                // workers were told to run it
  bool HasRun = false;                     // a worker has reported it running
  verdict VerdictBefore = verdict::NotRun; // before this attempt
  data_centre_id MovingTo; // target of a move with unknown outcome
  // Non-idempotent jobs only: the placement of each attempt whose start this
  // scheduler sent to the store. Distinguishes its records from those of
  // another scheduler.
  std::map<std::uint32_t, std::vector<worker_id>> SavedStarts;
  std::uint32_t TaskFailures = 0; // failed runs, without probes
  bool IsSaveInFlight = false;
  bool IsSaveWanted = false;
  job_phase PhaseAfterRelease = job_phase::Waiting; // phase after the release
  instant WaitingSince{};                           // as seen by this scheduler
  instant RunningSince{};           // when all were armed, or it was taken over
  std::vector<placed_member> Claim; // workers held for it until it starts
  instant ClaimExpires{};           // the claim is dropped at this time
  bool IsReservation = false; // claim that waits for gangs to end by themselves
  instant ReservedStart{};    // estimated end of those gangs
  std::set<worker_id> FailedOn; // workers where a task of it failed
  instant NextEvictionSearch{}; // earliest time of the next one
  // Until it is known whether it was part of an outage.
  std::optional<worker_loss> UnsettledLoss;
};

/// Whether a running gang may be stopped and run again later. A non-idempotent
/// gang may not: it may have ended just before the stop, and the worker's
/// answer doesn't say so.
bool isStoppable(const job_spec &Spec);

/// The placement request for a job.
placement_request placementRequest(const job_spec &Spec);

struct known_worker {
  rack_id Rack;
  int Accelerators = 0;
  bool IsListed = false;
  bool IsLeaving = false;
  bool IsSilent = true; // no report within a lease: its tasks have stopped
  instant LastHeard{};  //
  instant NextRenew{};  //
  std::map<attempt_id, int> Held; // accelerators held by each attempt
  std::map<attempt_id, pool_id> Unstoppable; // those that must not be stopped
  int HeldAccelerators = 0;                  // sum over Held
  std::vector<pool_use> Cells;               // from the guarantee plan
  std::vector<task_report> Reported;         // in the last report
  instant TasksLostAt{}; // last report that lacked a running gang

  worker_health Health;

  void hold(const attempt_id &Attempt, int Count, const job_spec &Spec);
  void drop(const attempt_id &Attempt);
  void dropAll();
  [[nodiscard]] int freeAccelerators() const;
  /// Whether new work may be placed there: reachable and not quarantined.
  [[nodiscard]] bool isUsable() const;
  /// Whether it is listed, isn't leaving and answers.
  [[nodiscard]] bool isReachable() const;
  [[nodiscard]] worker_capacity capacity(const worker_id &Name) const;
};

/// The policy's state between events.
struct policy_state {
  guarantee_plan Guarantees;
  bool IsPlanStale = true;     // workers or tables have changed since
  int PassesSinceTick = 0;     // placement passes caused by arrivals
  instant FleetGrewAt{};       // a worker was added or gained accelerators
  run_time_estimator RunTimes; // of jobs finished under this scheduler
};

struct scheduler_state {
  explicit scheduler_state(scheduler_settings Settings)
      : Settings(std::move(Settings)) {}

  scheduler_settings Settings;
  std::shared_ptr<const tables> Tables; // null until first seen
  instant TablesAsOf{};                 // when they were known to be current
  instant OutageAsOf = instant::min();  // latest time no edit could be stored
  bool IsLeading = false;
  bool IsLoaded = false;     // all stored jobs have been seen
  bool IsRebuilding = false; // waiting for workers to report their tasks
  instant RebuildEnds{};
  epoch Epoch = 0;
  wall_instant WallNow{};
  std::map<job_id, scheduled_job> Jobs; // only those that are not final
  std::map<worker_id, known_worker> Workers;
  // Last revisions of jobs that ended or moved away, so that a stale job_seen
  // doesn't add them again. After EndedRetention, PreviousEnded is dropped and
  // replaced by Ended.
  std::map<job_id, std::int64_t> Ended;
  std::map<job_id, std::int64_t> PreviousEnded;
  instant EndedSince{}; // start of the entries in Ended
  policy_state Policy;
};

// [5] The reducer

/// Applies one event, unless it answers an order of another epoch than the
/// present one. Deterministic: equal states and events give equal states
/// and effects. The state is changed in place because it is large.
scheduler_effects reduce(scheduler_state &State, const scheduler_event &Event);

/// Whether tasks may start in this data centre now: it is in service, and the
/// evidence for that is recent enough.
bool mayStartTasks(const scheduler_state &State, instant Now);

} // namespace galenastage
