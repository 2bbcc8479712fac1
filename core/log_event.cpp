#include "core/log_event.hpp"

#include <array>

namespace galenastage {
namespace events {

using enum log_level;

const log_event ProcessStarted{1001, Info, "process-started",
                               "The process has read its settings and listens.",
                               "None."};
const log_event ProcessStopping{
    1002, Info, "process-stopping",
    "The process was asked to stop and finishes the work in progress.",
    "None. If 1003 doesn't follow, check for long requests in progress."};
const log_event ProcessStopped{1003, Info, "process-stopped",
                               "Everything in progress was finished.", "None."};
const log_event SettingsInvalid{
    1004, Error, "settings-invalid",
    "A setting is unknown, missing or out of range; the process exits.",
    "Correct the key that the line names; --check-settings validates a file."};
const log_event ListenFailed{1005, Error, "listen-failed",
                             "The configured listen address can't be used.",
                             "Check whether another process uses that port."};

const log_event TablesInForce{
    2001, Info, "tables-in-force",
    "This process now uses the named version of the tables.", "None."};
const log_event TablesUnreadable{
    2002, Error, "tables-unreadable",
    "The stored tables can't be read; the last good version stays in force.",
    "Store a readable version with galenastagectl apply."};
const log_event StoreUnreachable{
    2003, Warning, "store-unreachable",
    "The key-value service didn't answer. Edits are refused, accepted jobs "
    "keep running, new jobs are refused as not run.",
    "Check the key-value service; this process needs no action."};
const log_event StoreReachable{2004, Info, "store-reachable",
                               "The key-value service answers again.", "None."};
const log_event EditAccepted{2005, Info, "edit-accepted",
                             "An edit of the tables is stored.", "None."};
const log_event StoreBehind{
    2006, Warning, "store-behind",
    "The key-value service holds older tables than those in force, or answers "
    "from an older state. The tables in force stay, and are written back if "
    "the service takes the write.",
    "Ask the operators of the service whether it was restored from a backup."};
const log_event TablesRestored{
    2007, Warning, "tables-restored",
    "The tables in force were written back to a key-value service that held "
    "older ones.",
    "Check galenastagectl history; job records may be missing as well."};
const log_event PeerLinkFailed{
    2101, Warning, "peer-link-failed",
    "A peer sent a message that can't be parsed; the connection was closed.",
    "Compare the versions of the running programs."};

const log_event ConfigurationInForce{
    2201, Info, "configuration-in-force",
    "This process now uses the named version of the configuration.", "None."};
const log_event ConfigurationUnreadable{
    2202, Error, "configuration-unreadable",
    "The stored configuration can't be read; the last good one stays in force.",
    "Store a readable version."};
const log_event EvacuationsChanged{
    2203, Info, "evacuations-changed",
    "The list of evacuated data centres changed; nothing new is started in the "
    "ones named.",
    "None."};
const log_event EntryIgnored{
    2204, Warning, "entry-ignored",
    "A stored entry can't be read and is ignored; the reason names the field.",
    "Check which client writes entries of that name."};
const log_event SettingsReloaded{
    2205, Info, "settings-reloaded",
    "The settings file was read again after SIGHUP.", "None."};
const log_event LinesDropped{
    2206, Warning, "lines-dropped",
    "Log lines were dropped, because their kind exceeded its rate limit or the "
    "reader of standard output fell behind.",
    "None, unless the reader keeps falling behind."};
const log_event WatchFailed{
    2207, Warning, "watch-failed",
    "A watch or a read of the platform's store ended with an error; changes "
    "after the named revision, or of the last age_ms, aren't known here until "
    "it has been repeated.",
    "If it repeats, check the link to the platform's store."};

const log_event HistorySkipped{
    2208, Warning, "history-skipped",
    "The platform's store has discarded changes of jobs that the leader hadn't "
    "read. The watch continues from the later revision, and the stored jobs "
    "are read again for what lies between the two.",
    "None. 2209 follows when they have been read."};
const log_event HistoryRead{
    2209, Info, "history-read",
    "The leader has read the changes of jobs whose history was discarded.",
    "If took_ms is long, compare the link and the processor of the leader."};

const log_event JobAccepted{3001, Info, "job-accepted",
                            "The job is stored durably.", "None."};
const log_event JobPlaced{3002, Info, "job-placed",
                          "Workers for the whole gang were chosen.", "None."};
const log_event JobRunning{3003, Info, "job-running",
                           "Every member of the gang has confirmed its start.",
                           "None."};
const log_event JobEnded{3004, Info, "job-ended",
                         "The job reached its final phase.",
                         "If it failed, the reason says where to look."};
const log_event JobMoved{
    3005, Info, "job-moved",
    "Another data centre owns the job now, because this one may not start it.",
    "None."};
const log_event GangStartAborted{
    3006, Warning, "gang-start-aborted",
    "A member of the gang could not be reserved or started; the others were "
    "released.",
    "If the same worker is named repeatedly, check that worker."};
const log_event JobRefused{3007, Warning, "job-refused",
                           "The job can never run; the reason says why.",
                           "Correct the job or the tables."};
const log_event WorkerSilent{
    3008, Warning, "worker-silent",
    "A worker has not answered for longer than the duration of its leases; its "
    "tasks have stopped themselves.",
    "Check the worker and its rack switch."};
const log_event WorkerBack{3009, Info, "worker-back",
                           "A silent worker answers again.", "None."};
const log_event JobUnreadable{
    3010, Error, "job-unreadable",
    "A stored job record can't be read and is left as it is.",
    "Compare the versions of the running programs."};

const log_event GuaranteeUnmet{
    3101, Warning, "guarantee-unmet",
    "No rack has enough workers left for a pool's guaranteed shape; the line "
    "names the workers of its cell that were lost.",
    "Repair the workers named, or change the pool's shape."};
const log_event GuaranteeBound{
    3102, Info, "guarantee-bound",
    "A pool's guaranteed shape is bound to these workers; work that can't be "
    "stopped isn't placed on them.",
    "None."};
const log_event GangEvicted{
    3103, Info, "gang-evicted",
    "A gang was checkpointed or stopped and is queued again, so that the named "
    "job can start.",
    "None. If the gangs of one organisation are evicted continually, its work "
    "exceeds its guarantee."};
const log_event WorkerQuarantined{3104, Warning, "worker-quarantined",
                                  "Several different jobs in a row failed on "
                                  "the worker; it gets only occasional probes.",
                                  "Check the worker. It is reinstated "
                                  "automatically after a successful probe."};
const log_event WorkerReinstated{
    3105, Info, "worker-reinstated",
    "A probe succeeded on a quarantined worker; it gets work again.", "None."};

const log_event BatchJobStored{
    3201, Info, "batch-job-stored",
    "A job was stored and its client got a confirmation.", "None."};
const log_event BatchJobFound{
    3202, Info, "batch-job-found",
    "The leader has read a newly stored job and may start its tasks.",
    "None. If 3204 doesn't follow, the job waits for capacity or for its start "
    "time."};
const log_event BatchJobEnded{
    3203, Info, "batch-job-ended",
    "The job reached its final phase; the cause says why.",
    "If it failed, check the 3206 lines of the task named."};
const log_event UnitStarted{
    3204, Info, "unit-started",
    "A task, or all tasks of a gang, were ordered to start. requests_age_ms: "
    "how old the leader's knowledge of cancellations was.",
    "None."};
const log_event StartNotAccepted{
    3205, Warning, "start-not-accepted",
    "An executor refused a start, or didn't answer; without an answer the run "
    "may exist until a stop of it is confirmed.",
    "If the same executor is named repeatedly, check that executor."};
const log_event RunEnded{
    3206, Info, "run-ended",
    "An executor reported the end of a run, or the run is known to have ended; "
    "then the end is vanished, cause says why, listed whether the executor "
    "ever listed it, and since_ms how long ago its start was ordered.",
    "None."};
const log_event RunAdopted{
    3207, Info, "run-adopted",
    "A run that this leader didn't start was found at an executor; it "
    "continues if its job still needs it, and is stopped otherwise.",
    "None."};
const log_event RoomReclaimed{
    3208, Info, "room-reclaimed",
    "Work of lower priority is stopped to free capacity for a job within its "
    "organisation's guarantee.",
    "None."};
const log_event SaveFailed{
    3209, Warning, "save-failed",
    "Progress of jobs could not be stored; the write is retried.",
    "Check the platform's store."};
const log_event AnswerOutdated{
    3210, Info, "answer-outdated",
    "An answer to an order of an earlier term, or something read for it, came "
    "after that term had ended and was ignored.",
    "None."};

const log_event StartWithdrawn{
    3211, Info, "start-withdrawn",
    "A start was stored but not ordered: meanwhile its executor became "
    "unusable or reported less capacity. The task is placed again.",
    "None."};
const log_event CrashCounted{
    3212, Warning, "crash-counted",
    "An executor crashed, or is presumed to have, while it ran the task. "
    "begun tells by what the run is known to have begun: the executor listed "
    "it or accepted its start; unknown: neither, but no refusal either. A task "
    "is blamed if it had just started; it then runs alone. crashes and "
    "blamed_for are its counts so far.",
    "If 3203 says that the job failed for it, check the job's payload."};
const log_event CrashWithdrawn{
    3219, Info, "crash-withdrawn",
    "A run of 3212 has been listed since, or its end has: no crash ended it. "
    "crashes and blamed_for are the counts that remain.",
    "None."};
const log_event FailureKnown{
    3225, Info, "failure-known",
    "The failed end of a run was reported again, to a new leader or after the "
    "executor had been out of reach. It is in the count of failures already.",
    "None."};

const log_event CancellationUnmatched{
    3213, Warning, "cancellation-unmatched",
    "The leader read the cancellation of a job that it doesn't know.",
    "If a task of the job starts later, keep the logs of this instance."};

const log_event CancellationKept{
    3214, Info, "cancellation-kept",
    "The leader read the cancellation of a job that it doesn't know yet, while "
    "it reads discarded changes. It is kept until the job is known; at the "
    "limit it is read again with all jobs.",
    "None. 3215 or 3216 follows."};
const log_event CancellationMatched{
    3215, Info, "cancellation-matched",
    "The job of a kept cancellation was read, and is cancelled.", "None."};
const log_event CancellationDropped{
    3216, Info, "cancellation-dropped",
    "A cancellation was dropped: its job doesn't exist any more.", "None."};
const log_event StartsPaused{
    3217, Warning, "starts-paused",
    "The leader starts nothing, because it may not know of changes of the last "
    "age_ms. source tells of what: jobs (and cancellations), executors, or "
    "configuration (and evacuations). Running tasks go on.",
    "Look for 2207 and 2208 before it; 3218 follows."};
const log_event StartsResumed{3218, Info, "starts-resumed",
                              "The leader knows enough again and starts tasks.",
                              "None."};
const log_event RecordRefused{
    3230, Error, "record-refused",
    "The store will never take the progress of this job as it is, most often "
    "because it is above the store's value_bytes. The job fails, so that it "
    "doesn't hold up the others, and the rest of its progress is stored.",
    "Compare the size with value_bytes; split the job. With retried=no even "
    "the rest was refused: look for the reason in the store."};
const log_event ExecutorEntryOutdated{
    3231, Info, "executor-entry-outdated",
    "The executor's entry in the list is of another life than its answer to a "
    "hold. Nothing starts there until both are of the same one.",
    "None, unless it lasts: then the executor doesn't reach the store."};

const log_event ExecutorSilent{
    3301, Warning, "executor-silent",
    "An executor didn't answer, or refused, or its answer can't be read (cause "
    "and reason say which); nothing new is started there, and its runs may "
    "continue until their leases expire.",
    "Check the executor and the network path to it."};
const log_event ExecutorLost{3302, Warning, "executor-lost",
                             "All runs of an executor have ended: it "
                             "restarted, another one answers at its address, "
                             "or their leases expired. The other fields tell "
                             "by which calls these were reckoned, in "
                             "milliseconds before this line.",
                             "None."};
const log_event ExecutorUnlisted{
    3303, Info, "executor-unlisted",
    "The platform's store no longer lists an executor.", "None."};
const log_event ExecutorDraining{
    3304, Info, "executor-draining",
    "An executor is about to shut down; nothing new is started there.",
    "None."};
const log_event ExecutorQuarantined{
    3305, Warning, "executor-quarantined",
    "Several different jobs in a row failed on an executor; it gets only "
    "occasional probes.",
    "Check the executor. It is reinstated automatically after a successful "
    "probe."};
const log_event ExecutorReinstated{
    3316, Info, "executor-reinstated",
    "A task ended well on a quarantined executor, or a probe has run there for "
    "long enough; it gets work again.",
    "None."};
const log_event ExecutorStalled{
    3306, Warning, "executor-stalled",
    "No run on an executor makes progress; nothing new is started there, and "
    "its stalled runs move once waiting costs more than a restart.",
    "Check the executor. It gets work again once a run makes progress there."};
const log_event ExecutorAdvances{
    3307, Info, "executor-advances",
    "Runs on a stalled executor make progress again, or it had none for a "
    "while; it gets work again.",
    "None."};
const log_event UnitMoved{
    3308, Info, "unit-moved",
    "A task, or a gang, made no progress on an executor and is restarted "
    "elsewhere.",
    "If one job moves repeatedly, its own tasks are stalling."};
const log_event ExecutorAnswers{
    3310, Info, "executor-answers",
    "An executor that was silent answers again and gets work. silent_ms counts "
    "from its last sign of life.",
    "None. An executor of 3301 without this line and without 3303 is still "
    "listed but unreachable."};
const log_event ReportNotWhole{
    3311, Info, "report-not-whole",
    "An executor has more ends than one answer lists. Runs that it doesn't "
    "list stay as they are until all ends are known. Once for each such time.",
    "None. If it stays so, check whether the store is slow (saves of ends come "
    "before their acknowledgement)."};
const log_event LateStartStopped{
    3312, Warning, "late-start-stopped",
    "An executor restarted while a start without an answer may have been on "
    "its "
    "way; it is stopped in the new incarnation as well.",
    "None."};
const log_event AnswerOfOtherLife{
    3313, Warning, "answer-of-other-life",
    "An executor answered a call in another life than the call was for. "
    "Nothing "
    "is concluded from it but that the executor has restarted; expected_ms and "
    "clock_ms are the clock of the life that was meant and the one in the "
    "answer.",
    "None: the executor is asked what it runs before anything starts there."};
const log_event AnswerWithoutLife{
    3314, Warning, "answer-without-life",
    "An executor's answer to an order doesn't tell which of its lives gave it: "
    "its clock is missing or can't be read.",
    "Report it to the owners of the executor; its runs count once they are "
    "listed."};
const log_event EarlierCallsClosed{
    3315, Info, "earlier-calls-closed",
    "An executor that was lost has answered a call with a later fencing token. "
    "It rejects calls of before from now on.",
    "None."};
const log_event SpeedClassChanged{
    3320, Info, "speed-class-changed",
    "An executor is now known as slow, normal or fast compared with the others "
    "of its service; work that is short of time prefers faster ones.",
    "If an executor that should be fast is slow, check it."};
const log_event SpeedsRead{
    3321, Info, "speeds-read",
    "A new leader has read the speeds of executors that an earlier one stored.",
    "None."};

// 3330 to 3339: shares of organisations
const log_event UrgentReclaimed{
    3330, Info, "urgent-reclaimed",
    "Runs of priority 0 beyond their organisation's guarantee (from) are "
    "stopped for a job within another organisation's guarantee. used and "
    "guaranteed are accelerators of the former.",
    "If it is frequent, the guarantee of the organisation that is stopped is "
    "smaller than its urgent work."};
const log_event ReclaimDropped{
    3331, Info, "reclaim-dropped",
    "A changed guarantee no longer covers a job that capacity was being freed "
    "for; the job waits like others.",
    "None."};
const log_event AdmissionRefused{
    3332, Warning, "admission-refused",
    "A job was refused because it can't end within three objectives (limit) "
    "even by an optimistic estimate (expected), by the backlog of this term "
    "and age: the work that goes first or beside it, its organisation's part "
    "of that, and the cores that work on it.",
    "If many organisations are refused, the service is too small for its "
    "load."};
const log_event GangReserved{
    3333, Info, "gang-reserved",
    "A gang has waited long and fits nowhere; capacity on the executors where "
    "it is expected to be free first (expected_ms) is kept for it.",
    "None."};

// Headroom
const log_event UnitStopped{
    3340, Info, "unit-stopped",
    "A task, or a gang, is stopped for the guaranteed work of the job named. "
    "loss is the work thrown away, in core-seconds; an accelerator counts as "
    "eight cores. stops counts the stops of the task so far.",
    "If one task is stopped again and again, the guarantees use most of the "
    "service."};

const log_event KeptChanged{
    3341, Info, "kept-changed",
    "The number of executors changed that are kept for urgent work within "
    "guarantees. use, peak and guaranteed are in whole executors: in urgent "
    "use, its recent peak, and the guarantees in use.",
    "None."};

// 3350 to 3359: departures
const log_event UnitMovedAway{
    3350, Info, "unit-moved-away",
    "A task, or a gang, is stopped on an executor that is about to leave, and "
    "starts where room is reserved for it. action is save if the stop saves "
    "its work and the time left just suffices; then to may be empty and it "
    "waits for room. remaining_ms is its expected run time, left_ms the usable "
    "time.",
    "None."};
const log_event UnitLeftBehind{
    3351, Info, "unit-left-behind",
    "A task, or a gang, stays on an executor that is about to leave. Logged "
    "once for each attempt, with the first cause; 3350 follows if it moves "
    "after all.",
    "If the cause is often \"no room\" or \"too late\", keep more capacity or "
    "announce departures earlier."};
const log_event DepartureRoomLost{
    3352, Info, "departure-room-lost",
    "The room reserved for a task that moves away was given up; the task is "
    "placed as others are once its run has ended.",
    "None."};

const log_event RequestAnswered{
    4001, Info, "request-answered",
    "Access log: one request, its route, verdict and duration.", "None."};

const log_event SubmissionRefused{
    4002, Info, "submission-refused",
    "A job was not accepted and never runs; the reason says why.",
    "If the reason is the store, check the platform's store."};
const log_event SubmissionUnsettled{
    4003, Warning, "submission-unsettled",
    "The answer to the write of a job was lost and the store could not be "
    "read in time; the client is told that the outcome is unknown.",
    "Check the platform's store."};

const log_event RequestForwarded{
    4004, Info, "request-forwarded",
    "The platform's store doesn't serve this instance; the leader answered the "
    "request instead.",
    "Check why the store doesn't serve this instance."};

const log_event RequestDenied{
    4005, Info, "request-denied",
    "A request named no queue, or carried no key of an organisation. The line "
    "names the configuration that decided and the time since the store last "
    "answered its watch.",
    "If the route or key exists, look for 2202 and 2207 on this instance."};

const log_event CancellationStored{
    4006, Info, "cancellation-stored",
    "The cancellation of a job is stored and its client gets a confirmation. "
    "repeated: an earlier request had stored it. early: no such job is known "
    "yet, and the client is told so; one that comes within 30 s doesn't run.",
    "None. 3203 on the leader follows at once; its tasks stop then."};

const log_event ConnectionsTurnedAway{
    4007, Warning, "connections-turned-away",
    "Since the last such line, clients' connections were closed to make room "
    "for others (displaced) or on arrival (refused), because the instance's "
    "limits of connections or memory were reached. At most once in 5 s.",
    "Compare galenastage_connections_open and galenastage_connections_bytes "
    "with their limits in SETTINGS; find who opens so many connections."};

const log_event LeadershipGained{
    5001, Info, "leadership-gained",
    "This process now leads: one data centre, or the whole deployment on the "
    "users' platform.",
    "None."};
const log_event LeadershipLost{
    5002, Warning, "leadership-lost",
    "This process is a standby now; another one leads or will take over.",
    "None, unless it happens every few minutes: then check the instance for "
    "pauses."};
const log_event LeadershipClaimed{
    5003, Warning, "leadership-claimed",
    "The key-value service can't be reached and the active scheduler doesn't "
    "respond: this scheduler continues with a local epoch, so that running "
    "work continues.",
    "Check the key-value service and the scheduler that doesn't respond."};

} // namespace events

namespace {

const std::array Catalogue = {
    &events::ProcessStarted,
    &events::ProcessStopping,
    &events::ProcessStopped,
    &events::SettingsInvalid,
    &events::ListenFailed,
    &events::TablesInForce,
    &events::TablesUnreadable,
    &events::StoreUnreachable,
    &events::StoreReachable,
    &events::EditAccepted,
    &events::JobAccepted,
    &events::JobPlaced,
    &events::JobRunning,
    &events::JobEnded,
    &events::JobMoved,
    &events::GangStartAborted,
    &events::JobRefused,
    &events::WorkerSilent,
    &events::WorkerBack,
    &events::JobUnreadable,
    &events::GuaranteeUnmet,
    &events::GuaranteeBound,
    &events::GangEvicted,
    &events::WorkerQuarantined,
    &events::WorkerReinstated,
    &events::RequestAnswered,
    &events::LeadershipGained,
    &events::LeadershipLost,
    &events::StoreBehind,
    &events::TablesRestored,
    &events::PeerLinkFailed,
    &events::LeadershipClaimed,
    &events::ConfigurationInForce,
    &events::ConfigurationUnreadable,
    &events::EvacuationsChanged,
    &events::EntryIgnored,
    &events::SettingsReloaded,
    &events::LinesDropped,
    &events::WatchFailed,
    &events::HistorySkipped,
    &events::HistoryRead,
    &events::BatchJobStored,
    &events::BatchJobFound,
    &events::BatchJobEnded,
    &events::UnitStarted,
    &events::StartNotAccepted,
    &events::RunEnded,
    &events::RunAdopted,
    &events::RoomReclaimed,
    &events::SaveFailed,
    &events::AnswerOutdated,
    &events::StartWithdrawn,
    &events::CrashCounted,
    &events::CrashWithdrawn,
    &events::CancellationUnmatched,
    &events::CancellationKept,
    &events::CancellationMatched,
    &events::CancellationDropped,
    &events::StartsPaused,
    &events::StartsResumed,
    &events::FailureKnown,
    &events::RecordRefused,
    &events::ExecutorEntryOutdated,
    &events::ExecutorSilent,
    &events::ExecutorLost,
    &events::ExecutorUnlisted,
    &events::ExecutorDraining,
    &events::ExecutorQuarantined,
    &events::ExecutorReinstated,
    &events::ExecutorStalled,
    &events::ExecutorAdvances,
    &events::UnitMoved,
    &events::ExecutorAnswers,
    &events::ReportNotWhole,
    &events::LateStartStopped,
    &events::AnswerOfOtherLife,
    &events::AnswerWithoutLife,
    &events::EarlierCallsClosed,
    &events::SpeedClassChanged,
    &events::SpeedsRead,
    &events::UrgentReclaimed,
    &events::ReclaimDropped,
    &events::AdmissionRefused,
    &events::GangReserved,
    &events::UnitStopped,
    &events::KeptChanged,
    &events::UnitMovedAway,
    &events::UnitLeftBehind,
    &events::DepartureRoomLost,
    &events::SubmissionRefused,
    &events::SubmissionUnsettled,
    &events::RequestForwarded,
    &events::RequestDenied,
    &events::CancellationStored,
    &events::ConnectionsTurnedAway,
};

} // namespace

std::string_view name(log_level Level) {
  switch (Level) {
  case log_level::Info:
    return "info";
  case log_level::Warning:
    return "warning";
  case log_level::Error:
    break;
  }
  return "error";
}

std::span<const log_event *const> logCatalogue() { return Catalogue; }

std::string printLogCatalogue() {
  std::string Page = "# Log events\n\nPrinted by `galenastagectl log-events`; "
                     "don't edit by hand.\n\n"
                     "| number | level | name | meaning | what to do |\n"
                     "|---|---|---|---|---|\n";
  for (const log_event *Event : logCatalogue()) {
    Page += "| " + std::to_string(Event->Number) + " | ";
    Page += std::string(name(Event->Level)) + " | ";
    Page += std::string(Event->Name) + " | ";
    Page += std::string(Event->Meaning) + " | ";
    Page += std::string(Event->Action) + " |\n";
  }
  return Page;
}

} // namespace galenastage
