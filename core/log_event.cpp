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
    "A stop was asked for; the process finishes what is in progress.",
    "None. If 1003 doesn't follow, look for long requests in progress."};
const log_event ProcessStopped{1003, Info, "process-stopped",
                               "Everything in progress was finished.", "None."};
const log_event SettingsInvalid{
    1004, Error, "settings-invalid",
    "A setting is unknown, missing or out of range; the process exits.",
    "Correct the key that the line names; --check-settings tries a file."};
const log_event ListenFailed{1005, Error, "listen-failed",
                             "The address of the settings can't be used.",
                             "Look for another process on that port."};

const log_event TablesInForce{2001, Info, "tables-in-force",
                              "This process now acts on the named version.",
                              "None."};
const log_event TablesUnreadable{
    2002, Error, "tables-unreadable",
    "The stored tables can't be read; the last good version stays in force.",
    "Store a readable version with galenastagectl apply."};
const log_event StoreUnreachable{
    2003, Warning, "store-unreachable",
    "The key-value service didn't answer. Edits are refused, accepted jobs "
    "keep running, new jobs are refused as not run.",
    "Look at the key-value service; nothing needs to be done here."};
const log_event StoreReachable{2004, Info, "store-reachable",
                               "The key-value service answers again.", "None."};
const log_event EditAccepted{2005, Info, "edit-accepted",
                             "An edit of the tables is stored.", "None."};
const log_event StoreBehind{
    2006, Warning, "store-behind",
    "The key-value service holds older tables than those in force, or answers "
    "from an older state. The tables in force stay, and are written back if "
    "the service takes the write.",
    "Ask those who run the service whether it was restored from a copy."};
const log_event TablesRestored{
    2007, Warning, "tables-restored",
    "The tables in force were written back to a key-value service that held "
    "older ones.",
    "Look at galenastagectl history; job records may be missing as well."};
const log_event PeerLinkFailed{
    2101, Warning, "peer-link-failed",
    "A peer sent something unreadable; the connection was closed.",
    "Compare the versions of the programs that are running."};

const log_event ConfigurationInForce{
    2201, Info, "configuration-in-force",
    "This process now acts on the named version of the configuration.",
    "None."};
const log_event ConfigurationUnreadable{
    2202, Error, "configuration-unreadable",
    "The stored configuration can't be read; the last good one stays in force.",
    "Store a readable version."};
const log_event EvacuationsChanged{
    2203, Info, "evacuations-changed",
    "Nothing is started any more in the data centres named.", "None."};
const log_event EntryIgnored{
    2204, Warning, "entry-ignored",
    "A stored entry can't be read and is passed over; the reason names the "
    "field.",
    "Look at who writes entries of that name."};
const log_event SettingsReloaded{
    2205, Info, "settings-reloaded",
    "The settings file was read again after SIGHUP.", "None."};
const log_event LinesDropped{
    2206, Warning, "lines-dropped",
    "Log lines were left out, because their kind came too often or the reader "
    "of standard output fell behind.",
    "None, unless the reader stays behind."};

const log_event JobAccepted{3001, Info, "job-accepted",
                            "The job is stored and won't be lost.", "None."};
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
    "If one worker is named again and again, look at that worker."};
const log_event JobRefused{3007, Warning, "job-refused",
                           "The job can never run; the reason says why.",
                           "Correct the job or the tables."};
const log_event WorkerSilent{
    3008, Warning, "worker-silent",
    "A worker has not answered for longer than its leases last; its tasks "
    "have stopped themselves.",
    "Look at the worker or its rack switch."};
const log_event WorkerBack{3009, Info, "worker-back",
                           "A silent worker answers again.", "None."};
const log_event JobUnreadable{
    3010, Error, "job-unreadable",
    "A stored job record can't be read and is left as it is.",
    "Compare the versions of the programs that are running."};

const log_event GuaranteeUnmet{
    3101, Warning, "guarantee-unmet",
    "No rack has enough workers left for a pool's guaranteed shape; the line "
    "names the workers of its cell that were lost.",
    "Repair the workers named, or change the pool's shape."};
const log_event GuaranteeBound{
    3102, Info, "guarantee-bound",
    "A pool's guaranteed shape is bound to these workers; work that can't be "
    "stopped doesn't take them.",
    "None."};
const log_event GangEvicted{
    3103, Info, "gang-evicted",
    "A gang was checkpointed or stopped and waits again, so that the job named "
    "can start.",
    "None. If one organisation's gangs are evicted all day, its work exceeds "
    "what it is guaranteed."};
const log_event WorkerQuarantined{
    3104, Warning, "worker-quarantined",
    "Several different jobs in a row failed on the worker; it gets no work but "
    "a probe now and then.",
    "Look at the worker. It returns by itself once a probe ends well."};
const log_event WorkerReinstated{
    3105, Info, "worker-reinstated",
    "A probe ended well on a quarantined worker; it takes work again.",
    "None."};

const log_event BatchJobStored{3201, Info, "batch-job-stored",
                               "A job was stored and its client was told so.",
                               "None."};
const log_event BatchJobFound{
    3202, Info, "batch-job-found",
    "The leader has read a newly stored job and may start its tasks.",
    "None. If 3204 doesn't follow, the job waits for room or for its time."};
const log_event BatchJobEnded{
    3203, Info, "batch-job-ended",
    "The job reached its final phase; the cause says why.",
    "If it failed, look at the 3206 lines of the task named."};
const log_event UnitStarted{
    3204, Info, "unit-started",
    "A task, or all tasks of a gang, were ordered to start.", "None."};
const log_event StartNotAccepted{
    3205, Warning, "start-not-accepted",
    "An executor refused a start, or didn't answer; without an answer the run "
    "counts as possible until a stop of it is answered.",
    "If one executor is named again and again, look at that executor."};
const log_event RunEnded{3206, Info, "run-ended",
                         "An executor listed the end of a run, or the run is "
                         "known to be gone.",
                         "None."};
const log_event RunAdopted{
    3207, Info, "run-adopted",
    "A run that this leader didn't start was found at an executor; it goes on "
    "if its job still wants it, and is stopped otherwise.",
    "None."};
const log_event RoomReclaimed{
    3208, Info, "room-reclaimed",
    "Work of lower priority is stopped for a job within its organisation's "
    "guarantee.",
    "None."};
const log_event SaveFailed{
    3209, Warning, "save-failed",
    "Progress of jobs could not be stored and is offered again.",
    "Look at the platform's store."};

const log_event ExecutorSilent{
    3301, Warning, "executor-silent",
    "An executor didn't answer; nothing new is started there, and its runs "
    "count as possible until their leases are over.",
    "Look at the executor or the way to it."};
const log_event ExecutorLost{
    3302, Warning, "executor-lost",
    "All runs of an executor are gone: it restarted, or their leases are over.",
    "None."};
const log_event ExecutorUnlisted{
    3303, Info, "executor-unlisted",
    "The platform's store no longer lists an executor.", "None."};
const log_event ExecutorDraining{
    3304, Info, "executor-draining",
    "An executor is about to leave; nothing new is started there.", "None."};
const log_event ExecutorQuarantined{
    3305, Warning, "executor-quarantined",
    "Several different jobs in a row failed on an executor; it gets no work "
    "but a probe now and then.",
    "Look at the executor. It returns by itself once a probe ends well."};
const log_event ExecutorStalled{
    3306, Warning, "executor-stalled",
    "No run on an executor advances; nothing new is started there, and what "
    "stands still moves once waiting costs more than starting again.",
    "Look at the executor. It takes work again once a run advances there."};
const log_event ExecutorAdvances{
    3307, Info, "executor-advances",
    "Runs on a stalled executor advance again, or it had none for a while; it "
    "takes work again.",
    "None."};
const log_event UnitMoved{
    3308, Info, "unit-moved",
    "A task, or a gang, stood still on an executor and starts again elsewhere.",
    "If one job moves again and again, its tasks stand still by themselves."};

const log_event RequestAnswered{
    4001, Info, "request-answered",
    "Access log: one request, its route, verdict and duration.", "None."};

const log_event SubmissionRefused{
    4002, Info, "submission-refused",
    "A job was not accepted and never runs; the reason says why.",
    "If the reason is the store, look at the platform's store."};
const log_event SubmissionUnsettled{
    4003, Warning, "submission-unsettled",
    "The answer to the write of a job was lost and the store could not be "
    "read in time; the client is told that the outcome is unknown.",
    "Look at the platform's store."};

const log_event RequestForwarded{
    4004, Info, "request-forwarded",
    "The platform's store doesn't serve this instance; the leader answered the "
    "request instead.",
    "Look at why the store turns this instance away."};

const log_event LeadershipGained{
    5001, Info, "leadership-gained",
    "This process now leads: one data centre, or the whole deployment on the "
    "users' platform.",
    "None."};
const log_event LeadershipLost{
    5002, Warning, "leadership-lost",
    "This process stands by; another one leads or will.",
    "None, unless it happens every few minutes: look at pauses of the "
    "instance."};
const log_event LeadershipClaimed{
    5003, Warning, "leadership-claimed",
    "The key-value service can't be reached and the active scheduler is "
    "silent: this scheduler continues with a local epoch, so that what runs "
    "goes on.",
    "Look at the key-value service and at the scheduler that fell silent."};

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
    &events::BatchJobStored,
    &events::BatchJobFound,
    &events::BatchJobEnded,
    &events::UnitStarted,
    &events::StartNotAccepted,
    &events::RunEnded,
    &events::RunAdopted,
    &events::RoomReclaimed,
    &events::SaveFailed,
    &events::ExecutorSilent,
    &events::ExecutorLost,
    &events::ExecutorUnlisted,
    &events::ExecutorDraining,
    &events::ExecutorQuarantined,
    &events::ExecutorStalled,
    &events::ExecutorAdvances,
    &events::UnitMoved,
    &events::SubmissionRefused,
    &events::SubmissionUnsettled,
    &events::RequestForwarded,
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
