#pragma once

// Implementation of the reducer that scheduler.hpp declares.

#include "core/job/batch/placement.hpp"
#include "core/job/batch/scheduler.hpp"

#include <limits>

namespace galenastage::batch::detail {

unit_name unitNameOf(const job_state &Job, const task_name &Task);

/// Why a run is known to have ended although its executor didn't report it.
enum class run_loss {
  NotListed,    // a later report of the executor doesn't list it
  Restarted,    // the executor has a new incarnation
  Replaced,     // another executor answers at its address
  LeaseExpired, // the executor is silent, and the run's lease is over
  GangBroken,   // the other members have ended, and this one was the cause
};

/// Which life of an executor has answered an order.
enum class answering_life {
  Meant,   // the one that the order was for
  Other,   // another one: the executor has restarted
  Unknown, // the answer allows both, or the life meant isn't the known one
};

/// A source of the leader's knowledge that is older than its limit.
struct outdated_source {
  std::string_view Name;
  std::optional<milliseconds> Age; // nullopt: it was never known
};

std::string_view name(run_loss Cause);
std::string_view name(hold_failure Failure);

/// Executors that a placement leaves out because tasks may fail there.
enum class caution {
  None,
  Suspects, // a task failed there since the last success
  Unproven, // these, and those without a recent success
};

/// The step of a unit that is to be placed.
struct placement_query {
  unit_name Unit;
  const job_state &Job;
  const step_spec &Step;
  const indexed_service *Service; // null: no executor is known
  const std::map<executor_id, instant> &Avoided;
  caution Caution;
  bool MayUseAvoided; // there is no other executor
  executor_filter Allowed = executor_filter::all();
  const executor_id *Only = nullptr; // where it has to be; null: anywhere

  /// Whether every open executor of the service may run the step.
  [[nodiscard]] bool isUnrestricted() const {
    return !Only && Step.Requirement.empty() && Step.MaxPerExecutor == 0 &&
           (MayUseAvoided || (Avoided.empty() && Caution == caution::None));
  }
};

/// How a placement looks for room.
enum class search { OneRack, AcrossRacks, Reclaim, EmptyRack };

/// A search that found no room. Within one pass capacity only shrinks, so a
/// search for at least as much is vain as well.
struct vain_search {
  search Kind;
  service_id Service;
  resources Needs; // of each task
  int Count;
  executor_filter Allowed;
};

/// What waits of one organisation during a pass. Without shares there is one
/// queue with all waiting steps.
struct share_queue {
  organisation_id Organisation;
  std::vector<const waiting_step *> Steps; // those that go last come first
  std::size_t NextUnit = 0;                // of the step that goes next
  share_claim Claim;                       // of that step

  [[nodiscard]] const waiting_step &next() const { return *Steps.back(); }
};

/// Capacity for one task that becomes free.
struct expected_slot {
  milliseconds After{0};
  executor_id Executor;

  friend auto operator<=>(const expected_slot &,
                          const expected_slot &) = default;
};

/// A unit with runs on executors that are about to go.
struct departure {
  unit_name Unit;
  int Priority = 0;
  wall_instant LatestStart{};         // to meet its objective
  std::vector<executor_id> Executors; // of its tasks
  executor_id From;                   // the first of them that goes
  milliseconds UntilLeaving = milliseconds::max(); // of that one
  departing_unit Known;
};

/// Applies one event to the state; created for each call of reduce.
class event_handler {
public:
  event_handler(scheduler_state &State, const event &Event)
      : State(State), Now(Event.Now), WallNow(Event.WallNow) {}

  effects Out;

  /// True, after a log line, if the event is about another term than the
  /// present one.
  bool rejectOutdated(const event &Event);

  // Events (scheduler.cpp)
  void apply(const configuration_changed &Event);
  void apply(const evacuations_changed &Event);
  void apply(const executors_listed &Event);
  void apply(const job_found &Event);
  void apply(const cancel_requested &Event);
  void apply(const requests_current &Event);
  void apply(const configuration_current &Event);
  void apply(const leadership_gained &Event);
  void apply(const recovery_finished &Event);
  void apply(const leadership_extended &Event);
  void apply(const leadership_lost &Event);
  void apply(const progress_saved &Event);
  void apply(const record_published &Event);
  void apply(const job_forgotten &Event);
  void apply(const time_passed &Event);

  // Events of runs (scheduler_runs.cpp)
  void apply(const runs_reported &Event);
  void apply(const hold_failed &Event);

  // Answers to orders (scheduler_orders.cpp)
  void apply(const start_answered &Event);
  void apply(const stop_answered &Event);

  // Stored speeds (scheduler_speed.cpp)
  void apply(const speeds_found &Event);

  /// See the function of this name in scheduler.hpp.
  std::string explainStaleIndex();

  /// Runs after every event: places waiting units and saves progress.
  void finish();

  /// Expected time until the run is done: by the pace that was measured, or by
  /// its estimate, the queue's and its executors' speed.
  [[nodiscard]] milliseconds remainingTime(const job_state &Job,
                                           const run_name &Name,
                                           const run_state &Run) const;

private:
  // Jobs (scheduler.cpp)
  void queueSave(job_state &Job);
  void returnToQueue(const std::vector<queued_save> &Entries);
  bool changeRefused(const refused_record &Record);
  void saveNext();
  void endJob(job_state &Job, job_phase Phase, std::string_view Cause);
  void noteUnitDone(job_state &Job, int Occurrence);
  void inheritRuns(job_state &Job);
  void inheritRun(job_state &Job, const run_name &Run,
                  const task_placement &Placed);
  void beginDueOccurrences(job_state &Job);
  void publishQueueLengths();
  void forgetOldJobs();
  void clearLeadership();

  // Runs (scheduler_runs.cpp)
  void addRun(executor_state &Executor, job_state &Job, const run_name &Run,
              run_phase Phase);
  void dropRun(executor_state &Executor, const run_name &Run);
  /// Sent: when the hold was sent that reported the end; nullopt: none did.
  void applyEnd(executor_state &Executor, const run_name &Run, run_end End,
                const std::string &Checkpoint,
                std::optional<instant> Sent = std::nullopt);
  void forgetPlacement(job_state &Job, const unit_name &Unit);
  void logEnd(const executor_state &Executor, const run_name &Run,
              std::vector<log_field> Outcome);
  void noteGangEnd(job_state &Job, const run_name &Run, run_end End);
  /// Treats the last member of a broken gang as lost, if its executor is
  /// unreachable.
  void resolveBrokenGang(job_state &Job, const unit_name &Unit);
  void applyFailure(executor_state &Executor, job_state &Job,
                    const run_name &Run, unit_progress &Progress);
  void adopt(executor_state &Executor, const active_run &Active);
  void hold(executor_state &Executor);
  void holdAll();
  /// Whether the next hold has to tell what became of an order.
  [[nodiscard]] bool needsConfirmation(const executor_state &Executor) const;
  [[nodiscard]] executor_target targetOf(const executor_state &Executor) const;
  [[nodiscard]] std::int64_t leaseEnd(executor_state &Executor);
  unit_progress *findProgress(const unit_name &Unit);

  // Orders (scheduler_orders.cpp)
  void startRecorded(job_state &Job);
  void orderStop(executor_state &Executor, const run_name &Run);
  /// Stops the runs of a unit whose attempt is below BelowAttempt.
  void stopUnit(job_state &Job, const unit_name &Unit,
                int BelowAttempt = std::numeric_limits<int>::max());
  void stopOtherAttempts(job_state &Job, const unit_name &Unit, int Attempt);
  void retryStops(executor_state &Executor);
  /// A hold will tell whether the run has begun.
  void confirmLater(executor_state &Executor, run_state &Run);

  // Lives of executors (scheduler_lives.cpp)
  /// To be called after each change of an executor's entry or life.
  void updateLife(executor_state &Executor);
  /// Reads from an answer which life gave it, and logs one that wasn't meant.
  /// Task: of an order; empty for a hold.
  answering_life noteAnswer(const executor_state &Executor,
                            std::string_view Call, const std::string &Task,
                            const answer_source &From);
  [[nodiscard]] answering_life lifeOf(const executor_state &Executor,
                                      const answer_source &From) const;
  /// The fencing token of calls to the executor.
  [[nodiscard]] std::uint64_t tokenFor(const executor_state &Executor) const;
  [[nodiscard]] lease_limits leaseLimits() const;
  /// Milliseconds since then, for log lines.
  [[nodiscard]] std::string ago(instant Then) const;
  /// Calls that were sent so far must have no effect on what starts later.
  void requireLaterToken(executor_state &Executor);
  /// Raises the token of calls to the executor, if that is required and a
  /// revision of the store is known that is high enough.
  void raiseToken(executor_state &Executor);
  /// Lets the next hold go without the answer to the one in flight, which may
  /// wait and was for the life before. That answer is ignored.
  static void abandonHold(executor_state &Executor);
  /// Another life than it was meant for has answered an order. If that is news,
  /// nothing starts and no lease is given before a hold shows what runs there.
  void suspectRestart(executor_state &Executor, const answer_source &From);
  /// Opens an executor that has answered a hold, if that closed the calls of
  /// before.
  void openAnswered(executor_state &Executor);
  /// Drops what is known of the machine that had the id before, if the entry is
  /// of another one.
  static void forgetOtherMachine(executor_state &Executor,
                                 const executor_report &Next);

  // Runs without a reported end (scheduler_losses.cpp)
  /// Applies the end of a run that its executor didn't report.
  void applyLoss(executor_state &Executor, const run_name &Run, run_loss Cause);
  void handleUnlisted(executor_state &Executor, const runs_reported &Report);
  /// Remembers a start that was never listed and that the present life of the
  /// executor can't carry out any more: a stop or the fencing token prevents
  /// it.
  void noteClosedStart(executor_state &Executor, const run_name &Name);
  /// Drops those that can't be carried out any more in any life.
  void forgetClosedStarts(executor_state &Executor);
  /// Closes such starts in the new incarnation as well.
  void stopLateStarts(executor_state &Executor);
  /// Whether the order to start the run may still be on its way. Every life of
  /// the executor's id may carry it out, until LateStarts after it was sent.
  [[nodiscard]] bool mayArrive(const run_state &Run) const;
  /// Whether the run keeps its room until the order has arrived or can't any
  /// more, as no stop would let its task start elsewhere sooner.
  [[nodiscard]] bool isAwaited(const run_state &Run) const;
  /// Whether the order is closed in the present life instead: the other members
  /// of a gang wouldn't wait for it, and a task that lasts starts again in
  /// place.
  [[nodiscard]] static bool isClosedEarly(const run_state &Run);
  [[nodiscard]] bool mayRunInLaterLife(const run_state &Run,
                                       run_loss Cause) const;
  /// Drops all runs but those that a later life may still begin, and those
  /// whose starts are on their way.
  void dropAllRuns(executor_state &Executor, run_loss Cause);
  /// Drops the runs of a replaced executor whose starts have been answered
  /// since, or never will be.
  void dropAnswered(executor_state &Executor);

  // Crashes of executors (scheduler_crashes.cpp)
  /// Counts the crash against the tasks that the executor ran, except those
  /// that had run for a while when it fell silent together with others, and
  /// those whose starts are on their way. Returns the tasks that are given up
  /// for it.
  std::vector<task_name> noteCrash(executor_state &Executor, run_loss Cause);
  /// Notes that the executor of the run crashed. Returns false if that is known
  /// or doesn't matter any more. Counts nothing.
  bool noteCrashOf(const run_name &Run);
  /// Counts one crash of the task's executor, once for each attempt. True when
  /// it is given up.
  bool countCrash(const executor_state &Executor, const run_name &Run,
                  run_loss Cause, bool IsBlamed);
  /// Takes back a crash that this leader has counted: the run has been listed
  /// since, or its end. An attempt runs in one life of one executor only.
  void withdrawCrash(job_state &Job, const run_name &Run);
  void giveUp(const std::vector<task_name> &Tasks);
  /// Whether the answer to its start may still tell if the run has begun.
  [[nodiscard]] bool isStartAwaited(const run_state &Run) const;
  /// Counts the crash under one run, or excuses its task. True when the task is
  /// given up.
  bool judgeCrash(const executor_state &Executor, const run_name &Run,
                  run_loss Cause);
  /// Whether the run was there long enough before the executor's last sign of
  /// life.
  [[nodiscard]] bool hasOutlived(const executor_state &Executor,
                                 const run_state &Run, milliseconds Life) const;
  void noteSilence(const executor_state &Executor);
  /// Whether so many executors fell silent together that no task is the cause.
  [[nodiscard]] bool isOutage(const executor_state &Executor,
                              const job_id &Job) const;
  void updateProbation(executor_state &Executor, const run_name &Run);
  void endProbation(executor_state &Executor, job_state &Job,
                    const run_name &Run);
  [[nodiscard]] bool mayStartSuspect(const unit_name &Unit) const;

  // Progress of runs (scheduler_pace.cpp)
  void updateStalled(executor_state &Executor);
  void setStalled(executor_state &Executor, bool IsStalled);
  void moveStalled(executor_state &Executor);

  // What waits (scheduler_waiting.cpp)
  /// To be called after each change of a job that may alter what can start.
  static void touch(job_state &Job) { Job.IsWaitingKnown = false; }
  /// The steps that could start, in no order.
  [[nodiscard]] std::vector<waiting_step *> listWaiting();
  void updateWaiting(job_state &Job);
  void listWaitingOf(job_state &Job, int Occurrence);

  // Placement (scheduler_placement.cpp)
  /// To be called after each change of an executor that the index reflects.
  void touch(executor_state &Executor);
  void refreshIndex();
  /// False if it doesn't fit; then no other unit of the step fits either.
  bool place(const unit_name &Unit);
  [[nodiscard]] placement_query queryFor(const unit_name &Unit) const;
  [[nodiscard]] caution cautionFor(const job_state &Job,
                                   const unit_name &Unit) const;
  [[nodiscard]] bool mustUseAvoided(const placement_query &Query) const;
  /// Keeps the unit away from the executor, longer the more often it was kept
  /// away from one (Times, from 1).
  void avoid(unit_state &Unit, const executor_id &Executor, int Times) const;
  [[nodiscard]] bool isAvoided(const std::map<executor_id, instant> &Avoided,
                               const executor_id &Executor) const;
  /// Whether no unit of its step fits where it doesn't fit.
  [[nodiscard]] bool isInterchangeable(const unit_name &Unit) const;
  /// The executors that may run the step: sets to be tried one after the other.
  /// Empty: none may.
  [[nodiscard]] std::vector<executor_filter>
  preferredExecutors(const placement_query &Query) const;
  /// Tries the sets of executors in order.
  [[nodiscard]] std::optional<placement_choice>
  placeWherePreferred(placement_query Query, const placement_request &Request);
  [[nodiscard]] std::optional<placement_choice>
  placeAnywhere(placement_query Query, placement_request Request);
  [[nodiscard]] std::optional<placement_choice>
  placeInPreferredRack(const placement_query &Query,
                       const placement_request &Request);
  [[nodiscard]] bool isAvoided(const placement_query &Query,
                               const executor_id &Id,
                               const indexed_executor &Executor) const;
  /// Executors of the rack for tasks of the query's step. IsEmpty: with their
  /// full capacity.
  [[nodiscard]] std::vector<candidate>
  listCandidates(const placement_query &Query, const indexed_rack &Rack,
                 bool IsEmpty = false);
  [[nodiscard]] bool isVain(search Kind, const placement_query &Query,
                            const placement_request &Request) const;
  /// The same for one rack that hasn't changed since.
  [[nodiscard]] bool isVainIn(const indexed_rack &Rack,
                              const placement_query &Query,
                              const placement_request &Request) const;
  void noteVainIn(const indexed_rack &Rack, const placement_query &Query,
                  const placement_request &Request);
  void noteVain(search Kind, const placement_query &Query,
                const placement_request &Request);
  [[nodiscard]] std::optional<placement_choice>
  placeInOneRack(const placement_query &Query,
                 const placement_request &Request);
  [[nodiscard]] std::optional<placement_choice>
  placeAcrossRacks(const placement_query &Query,
                   const placement_request &Request);
  /// On executors that run nothing else.
  [[nodiscard]] std::optional<placement_choice>
  placeAlone(const placement_query &Query, const placement_request &Request);
  /// Whether one rack could hold the unit if nothing else ran.
  [[nodiscard]] bool couldFitOneRack(const placement_query &Query,
                                     const placement_request &Request);
  [[nodiscard]] bool isUsable(const executor_state &Executor,
                              const service_id &Service) const;
  [[nodiscard]] bool isOpen(const executor_state &Executor) const;
  /// The run that a quarantined executor is probed with, beside those that were
  /// there before; null: none.
  [[nodiscard]] static const run_state *
  findProbe(const executor_state &Executor);
  /// Ends the quarantine once the probe has run for long enough. It need not
  /// end: it may last, or take hours.
  void updateQuarantine(executor_state &Executor);
  /// Forgets the failures of the executor, after a success.
  void release(executor_state &Executor);
  [[nodiscard]] bool isEligible(const executor_state &Executor,
                                const job_state &Job,
                                const step_spec &Step) const;
  [[nodiscard]] int countRunsOfStep(const executor_state &Executor,
                                    const unit_name &Unit) const;
  /// Whether a recorded start may still be ordered.
  [[nodiscard]] bool mayStart(const executor_state &Executor,
                              const job_state &Job) const;
  void startUnit(const unit_name &Unit,
                 const std::vector<executor_id> &Executors);

  // Reclaim (scheduler_reclaim.cpp)
  bool placeReclaiming(const placement_query &Query,
                       const placement_request &Request);
  [[nodiscard]] std::optional<placement_choice>
  chooseReclaim(const placement_query &Query, const placement_request &Request,
                std::map<unit_name, int> &Groups);
  /// Free executors of several racks, if stops for one rack cost more than the
  /// spread.
  [[nodiscard]] std::optional<placement_choice>
  chooseSpread(const placement_query &Query, const placement_request &Request,
               const placement_choice &Reclaim);
  /// Whether the reclaim throws away so much that it is better to wait a
  /// little. Urgent runs beyond a guarantee aren't spared.
  [[nodiscard]] bool isTooDear(const placement_query &Query,
                               const placement_request &Request,
                               const placement_choice &Choice,
                               const std::map<unit_name, int> &Groups) const;
  /// The same, for a tight unit without slow executors if possible
  /// (scheduler_speed.cpp).
  [[nodiscard]] std::optional<placement_choice>
  chooseFastReclaim(placement_query Query, const placement_request &Request,
                    std::map<unit_name, int> &Groups);
  void planReclaim(const placement_query &Query,
                   const placement_request &Request,
                   const placement_choice &Choice,
                   const std::map<unit_name, int> &Groups);
  /// Work that a stop of the unit throws away, in weighted core-seconds.
  [[nodiscard]] double lossOfVictim(const unit_name &Victim) const;
  /// Stops a unit of lower priority for the urgent one.
  void stopVictim(const unit_name &Victim, const unit_name &Urgent);
  [[nodiscard]] double reclaimPrice(const run_name &Name,
                                    const run_state &Run) const;
  /// Whether the run ends by itself before a stop would have ended it.
  [[nodiscard]] bool isEnding(const run_name &Name, const run_state &Run) const;
  /// Whether a stop that was ordered earlier should end the run soon.
  [[nodiscard]] bool isStopDue(const run_state &Run) const;
  [[nodiscard]] bool isFreeNow(const placement_choice &Choice,
                               const resources &Needs) const;
  /// Stops the runs of the plan that should have ended by now.
  void stopLate(const unit_name &Unit);
  /// Adds the plan and reserves its capacity.
  void addPlan(const unit_name &Unit, reclaim_plan Plan);
  /// Starts a planned unit in capacity that became free elsewhere.
  bool startElsewhere(const unit_name &Unit);
  [[nodiscard]] bool isPlanPossible(const unit_name &Unit);
  /// Whether the unit was stopped a short time ago and capacity is scarce.
  [[nodiscard]] bool isPaused(const unit_name &Unit);
  [[nodiscard]] std::vector<const indexed_rack *>
  listReclaimRacks(const placement_query &Query,
                   const placement_request &Request, bool IsOneRack) const;
  void addPreemptible(candidate &Candidate,
                      std::map<unit_name, int> &Groups) const;
  void advancePlans();
  void dropPlan(const unit_name &Unit);

  // Runs that leave an executor before it goes (scheduler_departure.cpp)
  /// To be called with each listed report, before it replaces the last one.
  void noteDeparture(executor_state &Executor, const executor_report &Report);
  void moveDeparting();
  [[nodiscard]] std::vector<departure> listDepartures() const;
  [[nodiscard]] std::optional<departure>
  describeDeparture(const unit_name &Unit) const;
  void depart(const departure &Departure);
  void noteStay(const departure &Departure, std::string_view Cause);
  void logDeparture(const log_event &Event, const departure &Departure,
                    std::vector<log_field> Outcome);
  [[nodiscard]] bool mayBeMissing(const job_state &Job,
                                  const unit_name &Unit) const;
  [[nodiscard]] std::vector<executor_id>
  findRoomElsewhere(const departure &Departure);
  [[nodiscard]] bool isInPreferredRack(const step_spec &Step,
                                       const departure &Departure) const;
  [[nodiscard]] std::vector<executor_id>
  keepMembers(const placement_query &Query, const placement_request &Request,
              const departure &Departure);
  [[nodiscard]] std::optional<placement_choice>
  placeInRack(placement_query Query, const placement_request &Request,
              const rack_id &Id);
  [[nodiscard]] std::vector<executor_id>
  reclaimRoom(const placement_query &Query, const placement_request &Request);
  void reserveRoom(const unit_name &Unit,
                   const std::vector<executor_id> &Executors);
  void dropDeparturePlan(const unit_name &Unit);
  void advanceDepartures();
  [[nodiscard]] std::string_view explainLostRoom(const job_state &Job,
                                                 const unit_name &Unit,
                                                 const departure_plan &Plan);
  [[nodiscard]] bool isFree(const departure_plan &Plan) const;
  /// Compares what departures keep up to date with a recount, as
  /// explainStaleIndex does.
  [[nodiscard]] std::string explainStaleDepartures() const;

  // Guarantees (scheduler_guarantees.cpp)
  /// Whether the unit fits into the guarantee of the job's organisation.
  [[nodiscard]] bool mayReclaim(const job_state &Job,
                                const placement_request &Request) const;
  /// Recounts what depends on the priorities of queues and on guarantees. Drops
  /// plans of units that no guarantee covers any more.
  void recountPolicy();
  [[nodiscard]] int guaranteeOf(const organisation_id &Organisation) const;
  /// To be called for each task of priority 0 that gets a run or a plan (Tasks
  /// above 0) or loses it (below 0), after the run was added or removed.
  void changeUrgentUse(job_state &Job, const unit_name &Unit, int Tasks);
  /// Decides anew which units of the organisation are beyond its guarantee.
  void markAllUrgent(const organisation_id &Organisation);
  /// The same for one unit, which must be the last one in order.
  void markLastUrgent(const organisation_id &Organisation,
                      const unit_name &Unit);
  void setBeyond(const unit_name &Unit, urgent_unit &Urgent, bool IsBeyond);
  /// Loss that makes runs of priority 0 the last ones to be stopped; 0 for
  /// others.
  [[nodiscard]] double priceBeyond(const run_name &Name,
                                   const run_state &Run) const;
  void noteUrgentVictims(const unit_name &Unit, const placement_choice &Choice,
                         const std::map<unit_name, int> &Groups);
  [[nodiscard]] std::map<organisation_id, urgent_use> countUrgentUse() const;
  std::string explainStaleGuarantees();

  // Shares of organisations (scheduler_shares.cpp)
  void placeWaiting();
  /// Places the next unit of the step that goes first. False if it doesn't fit.
  bool placeNext(share_queue &Queue);
  [[nodiscard]] std::vector<share_queue> listByOrganisation();
  /// Updates the claim of the queue's next step.
  void updateClaim(share_queue &Queue) const;
  [[nodiscard]] double shareOf(const organisation_id &Organisation) const;
  /// Mean share of the organisations that use capacity or wait for some.
  [[nodiscard]] double evenShare(const std::vector<share_queue> &Queues) const;
  /// Marks, for each priority, the step that waits longest if that is too long.
  void markOldest(const std::vector<waiting_step *> &Steps) const;
  /// Publishes what waits and runs, for the admission of new jobs.
  void publishBacklog();
  [[nodiscard]] backlog countBacklog() const;
  /// Counts a unit that is done towards the rate of its service.
  void noteWorkDone(const job_state &Job, const unit_name &Unit);
  void updateRates();
  /// Adds Count times Needs to the organisation's usage; Count may be negative.
  void addUsage(const organisation_id &Organisation, const resources &Needs,
                int Count);

  // Reservations (scheduler_reservations.cpp)
  /// Takes reservations out of the way of work that precedes theirs.
  void suspendReservations();
  /// Puts back those that the claim doesn't precede, and starts units whose
  /// capacity is free.
  void resumeReservations(const waiting_step *Next, const share_claim &Claim);
  void suspend(reservation &Reservation, bool IsSuspended);
  /// Remembers a gang that fits nowhere, for reserveForStarved.
  void noteUnplaced(const waiting_step &Step, const unit_name &Unit);
  /// Makes a reservation for the gang of this pass that waits longest, unless
  /// its organisation has more than the even share.
  void reserveForStarved();
  [[nodiscard]] bool mayWaitFor(const unit_name &Unit,
                                const reservation &Reservation);
  [[nodiscard]] bool isFree(const reservation &Reservation) const;
  void dropReservation(const unit_name &Unit);
  void dropReservationsOf(const job_id &Job);
  /// When capacity for tasks becomes free in the rack, by the expected ends of
  /// its runs.
  [[nodiscard]] std::vector<expected_slot>
  listSlots(const placement_query &Query, const resources &Needs,
            const indexed_rack &Rack);
  [[nodiscard]] std::vector<expected_slot>
  chooseSlots(const placement_query &Query, const placement_request &Request);

  // Speeds of executors (scheduler_speed.cpp)
  /// Sets of speeds that may run the step, the best first.
  [[nodiscard]] std::vector<executor_filter>
  preferredSpeeds(const placement_query &Query) const;
  /// Whether the unit would miss its objective on slow executors if it takes
  /// Factor times as long as expected.
  /// Places a single task with slack alone on an executor of unknown speed, so
  /// that it is observed.
  [[nodiscard]] std::optional<placement_choice>
  placeProbing(const placement_query &Query, const placement_request &Request);
  /// Whether a task was placed there to observe its speed, and wasn't yet.
  [[nodiscard]] bool isProbed(const executor_state &Executor) const;
  [[nodiscard]] bool isTight(const placement_query &Query,
                             double Factor = 1) const;
  /// Measures the run, or its gang, by a report of the executor.
  void measureProgress(const executor_state &Executor, job_state &Job,
                       const run_name &Name, const run_state &Run);
  /// Measures a run that has ended as done, as reported by a hold that was sent
  /// at Sent.
  void measureDone(const executor_state &Executor, job_state &Job,
                   const run_name &Name, instant Sent);
  /// Learns from one observation: the share of the work done each second.
  void learnFrom(job_state &Job, const unit_name &Unit, int Attempt,
                 double SharePerSecond);
  /// The executors of the attempt, each once; empty if they are unknown or the
  /// attempt is slower because of the racks it runs in.
  [[nodiscard]] std::vector<executor_id>
  listMeasured(const job_state &Job, const unit_name &Unit, int Attempt);
  /// Corrects the queue's estimates by the steps of a completed job.
  void learnEstimates(const job_state &Job);
  /// What is known of the pace of a step, relative to its estimate.
  [[nodiscard]] log_estimate paceOf(const job_state &Job, int Step) const;
  /// Expected logarithm of the speed of the unit's slowest executor.
  [[nodiscard]] double speedOf(const job_state &Job,
                               const unit_name &Unit) const;
  void setSpeed(executor_state &Executor, const log_estimate &Estimate);
  void setClass(const executor_id &Id, executor_speed &Known, double Mean);
  void classifyAll(const service_id &Service);
  void saveSpeeds();
  /// Takes over what is known about the executor's id.
  void recallSpeed(executor_state &Executor, bool IsRestarted);
  void forgetSpeed(executor_state &Executor);
  /// Removes the speeds of executors that are gone if there are many.
  void forgetOldSpeeds();
  /// A difference between the speeds and their sums; empty: none.
  [[nodiscard]] std::string explainStaleSpeeds() const;

  // Room kept for guaranteed work (scheduler_headroom.cpp)
  /// Records that Count tasks of the urgent job were added, or dropped.
  void noteUrgentNeeds(const job_state &Job, const resources &Needs, int Count);
  void recountUrgentNeeds();
  [[nodiscard]] int guaranteesInUse() const;
  /// Chooses which executors are kept, at most once in UpdateInterval.
  void updateKept();
  void updateKept(const service_id &Service, service_headroom &Room);
  void setKept(executor_state &Executor, service_headroom &Room, bool IsKept);
  void releaseUnusable(const service_id &Service, service_headroom &Room);
  void keepMore(const service_id &Service, service_headroom &Room, int Count);
  void keepFewer(service_headroom &Room, int Count);
  [[nodiscard]] std::map<rack_id, int>
  countKeptByRack(const service_headroom &Room) const;
  /// Whether other work has waited so long that it may use kept executors.
  [[nodiscard]] bool mayUseKept(const placement_query &Query,
                                const service_headroom &Room) const;
  [[nodiscard]] std::string explainStaleHeadroom() const;
  /// Whether the executors that are kept may run the step: sets to be tried in
  /// order.
  [[nodiscard]] std::vector<executor_filter>
  preferredRoom(const placement_query &Query) const;

  void log(const log_event &Event, std::vector<log_field> Fields) {
    Out.emplace_back(write_log{{&Event, std::move(Fields)}});
  }
  /// What is known for too long ago to start anything by; nullopt: nothing.
  [[nodiscard]] std::optional<outdated_source> findOutdated() const;
  void pauseStarts(const outdated_source &Cause);
  void resumeStarts();
  [[nodiscard]] bool isLeading() const {
    return State.Token != 0 && Now < State.ValidUntil;
  }

  scheduler_state &State;
  instant Now;
  wall_instant WallNow;
  std::vector<vain_search> Vain;    // of this pass
  std::optional<unit_name> Starved; // gang of this pass that waits longest
  instant StarvedSince{};
};

/// What the index should know about the executor.
indexed_executor describe(const executor_state &Executor, bool IsOpen);

/// Order of the steps of one organisation: by priority, then the one that has
/// waited too long, then steps that can still meet their objective by latest
/// start, then late steps by the work of their job, smallest first.
bool ranksBefore(const waiting_step *Left, const waiting_step *Right);
/// Whether a task may start there to observe the executor's speed.
bool isUnprobed(const indexed_executor &Executor);

/// Whether a reclaim may stop the run.
bool isPreemptible(const run_state &Run);

/// Estimated critical path of the steps that aren't done; Progress may be null.
milliseconds remainingCriticalPath(const job_spec &Job,
                                   const occurrence_progress *Progress);

/// When an occurrence of the job should have ended.
wall_instant objectiveOf(const job_state &Job, int Occurrence);

/// Estimated work of the whole job, in weighted core-seconds.
double workOf(const job_spec &Job);

/// Estimated work of one task of the step, in weighted core-seconds.
double workOf(const step_spec &Step);

/// "JOB.OCCURRENCE.STEP.INDEX", for log lines.
std::string printTask(const task_name &Task);

} // namespace galenastage::batch::detail
