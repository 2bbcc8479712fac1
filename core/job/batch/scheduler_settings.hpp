#pragma once

// Settings of the batch scheduler. Those of its parts are declared with them.

#include "core/job/batch/crashes.hpp"
#include "core/job/batch/departure.hpp"
#include "core/job/batch/headroom.hpp"
#include "core/job/batch/model.hpp"
#include "core/job/batch/pace.hpp"
#include "core/job/batch/shares.hpp"
#include "core/job/batch/speed.hpp"
#include "core/job/policy/quarantine.hpp"

namespace galenastage::batch {

/// Defaults, which the platform's settings override.
struct scheduler_settings {
  milliseconds MaxLease{10'000};     // executors cap longer leases
  milliseconds Lease{8'000};         // of runs; survives an outage of 5 s
  milliseconds HoldWait{2'000};      // longest wait of an executor for an end
  milliseconds UrgentHoldWait{700};  // while runs of priority 0 are there
  milliseconds HoldRetry{300};       // after a failed hold
  milliseconds IdleHoldRetry{1'000}; // the same, of an idle executor
  milliseconds UnsavedHoldInterval{500}; // hold interval while ends are unsaved
  milliseconds ConfirmInterval{100};     // hold interval for unconfirmed runs
  milliseconds StopRetry{500};     // until an unanswered stop is sent again
  milliseconds LateStarts{13'000}; // longest delay of an unanswered start
  milliseconds LateStartWait{500}; // longest hold while one may arrive
  // That are remembered of an executor: as many as one job has tasks.
  std::size_t MaxClosedStarts = MaxTasksPerJob;
  milliseconds SpreadDelay{1'500}; // wait for the preferred rack before that
  milliseconds PlanTimeout{3'000}; // of a reservation after a preemption
  milliseconds PlanGrace{500};     // for orders, beyond the stops it waits for
  milliseconds ReclaimRetry{100};  // after a reclaim that found no room
  int MaxReclaimRacks = 24;        // that one reclaim considers
  milliseconds RestartDelay{200};  // before a failed unit restarts
  milliseconds AvoidFor{2'000};    // an executor where a unit failed, at first
  milliseconds MaxAvoidFor{6'000}; // upper limit of the doubling time
  milliseconds ProvenFor{4'000};   // after a success on an executor
  milliseconds ProvenWait{2'000};  // of a last attempt for proven executors
  milliseconds SuspectWait{6'000}; // the same, for one without a failure
  milliseconds Retention{150'000}; // of ended jobs
  int MaxForgetting = 8;           // ended jobs that are removed at a time
  milliseconds ForgetRetry{1'000}; // after a removal that failed
  milliseconds EntryLifetime{5'000}; // an entry of an ended life is gone then
  milliseconds QueueLengthInterval{500}; // between publications
  milliseconds PlacementInterval{15};    // batches changes into one pass
  // Of the leader's knowledge; older, nothing starts.
  milliseconds MaxRequestAge{2'500}; // of jobs and cancellations
  milliseconds MaxListAge{2'500};    // of the executors
  // With the evacuations: these have 5 s, after 3 s out of touch.
  milliseconds MaxConfigurationAge{8'000};
  int SpreadBelowPercent = 60; // accelerators in use; above, no spreading
  std::size_t MaxRecordBytes = 1'048'576; // of a job's progress
  int MaxJobsPerSave = 15; // fits a store transaction of 32 entries
  quarantine_settings Quarantine{2, 10, milliseconds(6'000),
                                 milliseconds(60'000)};
  milliseconds ProbeTime{3'000}; // a run that lives so long passes as a probe
  milliseconds StopTimeout{900}; // longest time that a stop takes
  milliseconds CheckpointInterval{1'000}; // of work between checkpoints
  milliseconds RestoreTime{100};          // to resume from a checkpoint
  pace_settings Pace;
  crash_settings Crashes;
  speed_settings Speeds;
  share_settings Shares;
  headroom_settings Headroom;
  departure_settings Departures;

  friend bool operator==(const scheduler_settings &,
                         const scheduler_settings &) = default;
};

} // namespace galenastage::batch
