#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenastage {

enum class log_level { Info, Warning, Error };

std::string_view name(log_level Level);

/// One entry of the catalogue of log events. Operators search for the number;
/// its meaning never changes. docs/LOG-EVENTS.md is generated from this
/// catalogue.
struct log_event {
  int Number; // 1000s process, 2000s tables, 3000s jobs, 4000s requests, 5000s
              // ownership
  log_level Level;          //
  std::string_view Name;    // short and readable
  std::string_view Meaning; // what happened and why
  std::string_view Action;  // what an operator should do

  friend bool operator==(const log_event &Left, const log_event &Right) {
    return Left.Number == Right.Number;
  }
};

/// One key=value pair of a log line.
struct log_field {
  std::string Key;
  std::string Value;

  friend bool operator==(const log_field &, const log_field &) = default;
};

/// A log line as data, so that reducers can return it as an effect.
struct log_line {
  const log_event *Event;
  std::vector<log_field> Fields;

  friend bool operator==(const log_line &, const log_line &) = default;
};

/// The effect that writes a log line.
struct write_log {
  log_line Line;
};

/// Every event, in the order of the printed page.
std::span<const log_event *const> logCatalogue();

/// The catalogue as a Markdown page.
std::string printLogCatalogue();

namespace events {

// 1000: process
extern const log_event ProcessStarted;
extern const log_event ProcessStopping;
extern const log_event ProcessStopped;
extern const log_event SettingsInvalid;
extern const log_event ListenFailed;
// 2000: tables and store
extern const log_event TablesInForce;
extern const log_event TablesUnreadable;
extern const log_event StoreUnreachable;
extern const log_event StoreReachable;
extern const log_event EditAccepted;
extern const log_event StoreBehind;
extern const log_event TablesRestored;
extern const log_event PeerLinkFailed;
// 2200: the users' platform
extern const log_event ConfigurationInForce;
extern const log_event ConfigurationUnreadable;
extern const log_event EvacuationsChanged;
extern const log_event EntryIgnored;
extern const log_event SettingsReloaded;
extern const log_event LinesDropped;
extern const log_event WatchFailed;
extern const log_event HistorySkipped;
extern const log_event HistoryRead;
// 3000: jobs
extern const log_event JobAccepted;
extern const log_event JobPlaced;
extern const log_event JobRunning;
extern const log_event JobEnded;
extern const log_event JobMoved;
extern const log_event GangStartAborted;
extern const log_event JobRefused;
extern const log_event WorkerSilent;
extern const log_event WorkerBack;
extern const log_event JobUnreadable;
// 3100: policy
extern const log_event GuaranteeUnmet;
extern const log_event GuaranteeBound;
extern const log_event GangEvicted;
extern const log_event WorkerQuarantined;
extern const log_event WorkerReinstated;
// 3200: batch jobs
extern const log_event BatchJobStored;
extern const log_event BatchJobFound;
extern const log_event BatchJobEnded;
extern const log_event UnitStarted;
extern const log_event StartNotAccepted;
extern const log_event RunEnded;
extern const log_event RunAdopted;
extern const log_event RoomReclaimed;
extern const log_event SaveFailed;
extern const log_event AnswerOutdated;
// 3300: executors
extern const log_event CancellationUnmatched;
extern const log_event CancellationKept;
extern const log_event CancellationMatched;
extern const log_event CancellationDropped;
extern const log_event StartsPaused;
extern const log_event StartsResumed;
extern const log_event StartWithdrawn;
extern const log_event CrashCounted;
extern const log_event CrashWithdrawn;
extern const log_event FailureKnown;
extern const log_event RecordRefused;
extern const log_event ExecutorEntryOutdated;
extern const log_event ExecutorSilent;
extern const log_event ExecutorLost;
extern const log_event ExecutorUnlisted;
extern const log_event ExecutorDraining;
extern const log_event ExecutorQuarantined;
extern const log_event ExecutorReinstated;
extern const log_event ExecutorStalled;
extern const log_event ExecutorAdvances;
extern const log_event UnitMoved;
extern const log_event ExecutorAnswers;
extern const log_event ReportNotWhole;
extern const log_event LateStartStopped;
extern const log_event AnswerOfOtherLife;
extern const log_event AnswerWithoutLife;
extern const log_event EarlierCallsClosed;
extern const log_event SpeedClassChanged;
extern const log_event SpeedsRead;
// Shares of organisations
extern const log_event UrgentReclaimed;
extern const log_event ReclaimDropped;
extern const log_event AdmissionRefused;
extern const log_event GangReserved;
// 3340: headroom
extern const log_event UnitStopped;
extern const log_event KeptChanged;
extern const log_event UnitMovedAway;
extern const log_event UnitLeftBehind;
extern const log_event DepartureRoomLost;
// 4000: requests
extern const log_event RequestAnswered;
extern const log_event SubmissionRefused;
extern const log_event SubmissionUnsettled;
extern const log_event RequestForwarded;
extern const log_event RequestDenied;
extern const log_event CancellationStored;
extern const log_event ConnectionsTurnedAway;
// 5000: ownership
extern const log_event LeadershipGained;
extern const log_event LeadershipLost;
extern const log_event LeadershipClaimed;

} // namespace events
} // namespace galenastage
