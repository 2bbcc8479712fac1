#pragma once

#include "core/job/scheduler.hpp"

#include <optional>

namespace galenastage::detail {

/// Joins names with spaces, for log fields.
std::string joinNames(const std::vector<worker_id> &Names);

/// The free capacity during one placement pass.
struct pass_indexes {
  capacity_index Unreserved;   // without the reservation of a blocked job
  capacity_index WithReserved; // with it, for jobs that end before its start
  instant ReservedStart{};     // estimated start of the blocked job
  // Requests that don't fit in Unreserved, and those that don't in
  // WithReserved.
  std::set<placement_request> Failed = {};
  std::set<placement_request> FailedWithReserved = {};

  void take(std::span<const placed_member> Members,
            const placement_request &Request) {
    Unreserved.take(Members, Request);
    WithReserved.take(Members, Request);
  }
};

/// The workers' task reports, by job.
using reports_by_job =
    std::map<job_id, std::vector<std::pair<worker_id, task_report>>>;

/// One call of the reducer: the state it changes, the time of the event, and
/// the effects collected so far.
class scheduler_run {
public:
  scheduler_run(scheduler_state &State, instant Now, scheduler_effects &Effects)
      : State(State), Now(Now), Effects(Effects) {}

  void apply(const ticked &Event);
  void apply(const tables_seen &Event);
  void apply(const leadership_changed &Event);
  void apply(const job_seen &Event);
  void apply(const job_forgotten &Event);
  void apply(const jobs_loaded &Event);
  void apply(const worker_listed &Event);
  void apply(const worker_unlisted &Event);
  void apply(const worker_reported &Event);
  void apply(const step_answered &Event);
  void apply(const job_saved &Event);

  /// Rebinds the guaranteed shapes if workers or tables have changed.
  void refreshGuarantees();

private:
  // Placement of waiting jobs: scheduler_policy.cpp
  void placeWaitingJobs();
  void placeByPolicy(const guaranteed_sharing &Policy,
                     std::vector<scheduled_job *> Waiting);
  [[nodiscard]] double responseRatio(const guaranteed_sharing &Policy,
                                     const scheduled_job &Job) const;
  void placeFirstFit(const std::vector<scheduled_job *> &Waiting);
  void placeBackfill(const std::vector<scheduled_job *> &Waiting);
  bool mayBePlaced(scheduled_job &Job);
  void setWaitReason(scheduled_job &Job);
  capacity_index indexWorkers() const;
  capacity_index indexWithout(const scheduled_job *Skipped) const;
  bool tryPlace(const guaranteed_sharing &Policy, pass_indexes &Indexes,
                scheduled_job &Job);
  void handleUnplacedJob(const guaranteed_sharing &Policy,
                         pass_indexes &Indexes, scheduled_job &Job,
                         int &Searches);
  bool makeReservation(const guaranteed_sharing &Policy, scheduled_job &Job);
  [[nodiscard]] const scheduled_job *findReservation() const;
  std::map<organisation_id, double> dominantShares() const;

  // Claims and reclaim: scheduler_reclaim.cpp
  void startClaimedJobs();
  bool claimByEviction(const guaranteed_sharing &Policy, scheduled_job &Job);
  [[nodiscard]] bool
  victimsFitElsewhere(std::span<scheduled_job *const> Victims,
                      std::span<const placed_member> Claim,
                      const job_spec &Spec) const;
  void checkpointForDrain(const guaranteed_sharing &Policy);

  // Quarantine of faulty workers: scheduler_health.cpp
  void countFailure(scheduled_job &Job, const worker_id &Name);
  void countSuccess(const worker_id &Name);
  [[nodiscard]] bool mayProbe(const scheduled_job &Job,
                              const worker_id &Name) const;
  void placeProbes(std::vector<scheduled_job *> &Waiting);

  // Job life cycle: scheduler.cpp
  bool refuseIfImpossible(scheduled_job &Job);
  bool refuseIfTooLarge(scheduled_job &Job, const pool &Pool);
  bool moveIfNotPermitted(scheduled_job &Job);
  [[nodiscard]] bool isPermittedElsewhere(const scheduled_job &Job) const;
  void moveJob(scheduled_job &Job, const data_centre_id &To);
  void cancelJob(scheduled_job &Job);
  void endJob(scheduled_job &Job, job_phase Phase, std::string Reason);
  void saveJob(scheduled_job &Job);
  void setReason(scheduled_job &Job, std::string Reason);
  void addNewJob(const job_seen &Event);
  bool isForeignStart(const scheduled_job &Job, const job_record &Stored) const;
  void handleForeignStart(scheduled_job &Job);
  void forgetJob(const scheduled_job &Job);
  void expireEndedJobs();

  // Gang steps: scheduler_gang.cpp
  void reserveGang(scheduled_job &Job, std::vector<placed_member> Members);
  void advanceGang(scheduled_job &Job);
  void armGang(scheduled_job &Job);
  void runGang(scheduled_job &Job);
  void abortGang(scheduled_job &Job, const std::string &Why);
  void releaseGang(scheduled_job &Job, job_phase Next, std::string Reason);
  void finishRelease(scheduled_job &Job);
  void handleLostGang(scheduled_job &Job, const std::string &Why);
  void checkDeadlines();

  // Workers: scheduler_workers.cpp
  void renewWorkers();
  void detectSilentWorkers();
  void handleLostWorker(const worker_id &Worker, const std::string &Why);
  void applyReport(scheduled_job &Job, gang_member &Member,
                   const task_report *Report, instant SentAt);
  void releaseStaleAttempt(const worker_id &Worker, const attempt_id &Attempt);
  void finishRebuild();
  [[nodiscard]] reports_by_job collectReports(const job_id *Only) const;
  void adoptGang(scheduled_job &Job, const reports_by_job &Reports);

  // Gangs whose workers are lost: scheduler_losses.cpp
  void countLoss(scheduled_job &Job, const worker_id &Worker, instant At);
  [[nodiscard]] bool isOutage(const scheduled_job &Job,
                              const worker_loss &Loss) const;
  bool failIfLostTooOften(scheduled_job &Job);

  scheduled_job *findJob(const job_id &Id);
  known_worker *findWorker(const worker_id &Id);
  [[nodiscard]] attempt_id attemptOf(const scheduled_job &Job) const;
  [[nodiscard]] bool canAct() const;
  void log(const log_event &Event, std::vector<log_field> Fields);
  void logJob(const log_event &Event, const scheduled_job &Job);

  template <typename Effect> void emit(Effect Value) {
    Effects.push_back(std::move(Value));
  }

  scheduler_state &State;
  instant Now;
  scheduler_effects &Effects;
};

} // namespace galenastage::detail
