#pragma once

// A simulation of the users' platform in virtual time: a store, executors, and
// instances that lead one after the other, with faults drawn from a seed. It
// drives the scheduler's reducer and checks what executors and clients see.

#include "core/job/batch/scheduler.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace galenastage::batch::test {

/// Faults of a simulation. Fractions are between 0 and 1; integers are the
/// number of occurrences in one run.
struct world_faults {
  double LostOrders = 0; // fraction of start and stop calls without a response
  double LateOrders =
      0; // fraction of those that are executed late, by 1 to 12 s
  double LostWrites =
      0; // fraction of saves that take effect without a response
  double FailingRuns = 0;   // fraction of runs that fail
  int LeaderLosses = 0;     // leader killed, frozen or cut off from the store
  int ExecutorRestarts = 0; // restart under the same id
  int ExecutorCuts = 0;     // cut off from the leader for 1 to 12 s
  int StoreOutages = 0;     // for 0.1 to 3 lives of the leader's lease
  bool HasFrozenLeaders = false; // a lost leader may freeze and resume
  double FailingExecutors = 0;   // fraction that fails all runs that end while
  milliseconds FailingFrom{0};   // between these times
  milliseconds FailingUntil{0};
  double CrashingJobs = 0; // fraction with a task that crashes its executors
  int Outages = 0;         // crashes of three executors at once
  milliseconds LongestDown{5'000}; // of a crashed executor
  double LeavingExecutors = 0; // fraction that drains and then goes for good;
                               // a new one comes 2 s later
  milliseconds Notice{4'000};  // of those departures
  int CapacityChanges = 0;     // an executor's capacity is halved for 2 to 12 s
  int FailingLists = 0;        // reads of the executors' list fail for 1 to 8 s
  int SilentWatches = 0; // leaders hear of no job or cancellation for 1 to 8 s
  int IdleCuts = 0; // begin when a start is ordered on an idle executor, which
                    // then refuses all calls for 0.5 to 4 s
  int SlowStores = 0;       // for 4 s each write takes 60 times as long
  int RestartsWithEnds = 0; // like ExecutorRestarts, with an end that isn't
                            // acknowledged yet
  int LossesWithEnds = 0;   // like LeaderLosses, while there is such an end
  int LossesPerOutage = 0;  // of leaders, 3 s apart, after one more crash for
                            // each of Outages
  int KindChanges = 0;      // restart under the same id as another kind; the
                            // two last executors do so
  int RefusedWrites = 0;    // the store refuses all writes for a second
  double FailingWrites = 0; // fraction of writes that the store refuses
  int Recuts = 0; // of three executors that restart under their ids; calls
                  // wait for 0.2 to 2 s and up to 0.5 s before, and 0.5 to 4 s
                  // later each executor is cut off for 4 to 12 s
  double RecutLosses = 0; // fraction of those with a leader lost within 4 s
  double LateHolds = 0;   // fraction of holds without a response, which are
                          // executed late, by 1 to 12 s
  double SlowClocks = 0;  // largest share that an executor's clock falls behind
  milliseconds LostOrdersUntil{0}; // 0: orders are lost until the end

  /// Whether lives of executors are played in detail: leases end on time, late
  /// calls reach executors that are cut off, and a start that is refused as old
  /// extends leases all the same.
  [[nodiscard]] bool hasLives() const {
    return Recuts > 0 || LateHolds > 0 || SlowClocks > 0;
  }
};

/// A stream of jobs with one step each.
struct job_load {
  int Priority = 0;
  double PerSecond = 1;
  double MeanWidth = 1; // tasks; widths vary between half and one and a half
  int MilliCpu = 1'000;
  int MemoryMb = 1'000;
  std::vector<int> Accelerators; // of a task; one of them for each job
  milliseconds Work{1'000};      // of a task
  bool IsGang = false;
  double RackLocal = 0;     // fraction of the jobs
  double Checkpointing = 0; // fraction of the jobs
  double StretchFactor = 3;
  milliseconds TargetDuration{0};
  int MaxAttempts = 3;
  int Organisation = -1;       // number of its sender; -1: all of them in turn
  double EstimateError = 0;    // largest deviation of the estimates, a fraction
  milliseconds BurstPeriod{0}; // in its first quarter come five times as many
                               // jobs as in the rest; 0: no bursts
};

struct world_settings {
  int Executors = 8;
  int PerRack = 4;
  resources Capacity{32'000, 64'000, 8};
  std::vector<double> Speeds;  // each executor has one of them; empty: 1
  double TaskDeviation = 0;    // of the logarithm of a task's work
  int Jobs = 20;               // of mixed kinds, when there are no Loads
  std::vector<job_load> Loads; // streams of jobs
  double RareJobs = 0;         // fraction of the Jobs for the kind of the last
                               // executor, which no other one has
  int Organisations = 1;       // that share the jobs evenly
  int Guaranteed = 32;         // accelerators of each of them
  milliseconds Arrivals{20'000}; // jobs arrive until then
  milliseconds Faulty{40'000};   // faults occur until then
  milliseconds Length{160'000};  // duration of the run
  milliseconds CountedFrom{0};   // runs count for RoomOf between these times
  milliseconds CountedUntil{0};
  milliseconds ShortestTask{500}; // of the Jobs
  milliseconds LongestTask{6'000};
  milliseconds StopTime{300};      // from the order to stop to the end
  std::size_t EndsPerReport = 500; // that an executor lists at most
  // Also judges late starts that an earlier life of their executor had closed.
  bool JudgesClosedStarts = false;
  world_faults Faults;
  scheduler_settings Scheduler; // of the leaders; the executors use its
                                // RestoreTime and CheckpointInterval
};

/// Times of the jobs of one priority that have got so far.
struct job_times {
  std::vector<milliseconds> Starts; // from submission to the first start
  std::vector<milliseconds> Ends;   // from submission to the last end
  int InTime = 0; // ended within their objective, by their actual work
};

/// Violations that were found, and the final counts.
struct world_report {
  std::vector<std::string> Violations;
  int Jobs = 0;
  int Completed = 0;
  int Failed = 0;
  int Cancelled = 0;
  int Unfinished = 0;
  int FailedInnocents = 0;  // without a task that crashes executors
  int LostWithExecutor = 0; // runs on executors that left with a notice
  int LostUnsaved = 0;      // of them, those that can save a checkpoint
  int Starts = 0;
  int Leaders = 0;
  std::map<int, job_times> Times;                              // by priority
  std::map<organisation_id, std::map<int, job_times>> TimesOf; // the same
  std::map<organisation_id, double> RoomOf; // weighted core-seconds in use
  double CompletedWork = 0; // weighted core-seconds of runs that ended as done
  double LostWork = 0; // of runs that ended otherwise, without what they saved
  std::uint64_t Examined = 0; // executors that placements looked at
  std::uint64_t Holds = 0;
  speed_sums Speeds; // as the last leader knew them
};

world_report runWorld(const world_settings &Settings, std::uint64_t Seed);

} // namespace galenastage::batch::test
