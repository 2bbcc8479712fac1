#pragma once

// One entry instance's view of the executors: requests in progress, health, and
// load balancing. Plain values; time and randomness are arguments.
//
// Index of this file
// [1] Outcomes
// [2] Executors
// [3] Choice
// [4] Health

#include "core/request/entry_state.hpp"

#include <span>
#include <vector>

namespace galenastage {

// [1] Outcomes

/// How one try ended, with regard to the executor's health.
enum class try_outcome {
  Answered,        // a complete answer
  AnsweredClosing, // a complete answer with "Connection: close"
  AnsweredError,   // a complete answer with a status of 500 or more
  Refused,         // 503 with verdict not-run
  ConnectFailed,   // no connection, so nothing was sent
  Failed,          // bytes were sent and no complete answer was received
  TimedOut,        // as Failed, and the executor may still be working
};

// [2] Executors

struct upstream_executor {
  executor_row Row;
  int Slots = 0;       // this instance's share; 0 once it is no longer listed
  int Outstanding = 0; // requests in progress from this instance
  int ConsecutiveFailures = 0; // consecutive failures
  int Ejections = 0;      // consecutive ejections, each longer than the last
  bool IsEjected = false; // gets only probes
  instant EjectedUntil;   // no probe before this
  bool KeepsConnections =
      false; // it normally keeps connections open after answers
  std::vector<instant> Abandoned; // when the slot of each timed-out request is
                                  // released; until then it is Outstanding

  friend bool operator==(const upstream_executor &,
                         const upstream_executor &) = default;
};

/// Every executor that is listed or still has requests in progress.
struct upstreams {
  data_centre_id DataCentre; // of this instance
  std::vector<upstream_executor> Executors;

  friend bool operator==(const upstreams &, const upstreams &) = default;
};

/// Returns the executor with this name, or null.
upstream_executor *findExecutor(upstreams &Upstreams, const executor_id &Name);

/// Applies a new list and keeps the state of executors that are still listed or
/// have requests in progress.
void replaceExecutors(upstreams &Upstreams,
                      std::span<const executor_choice> Listed);

// [3] Choice

struct executor_query {
  service_id Service;
  std::vector<data_centre_id> DataCentres; // empty: every one
  bool IsIdempotent = true;                // false: not used as a probe
  executor_id Avoid;                       // the last try failed there
};

/// Whether this executor may serve such a request, free or not.
bool isEligible(const upstream_executor &Executor, const executor_query &Query);

/// Total slots of the eligible executors, free or not. An ejected executor
/// counts as one slot.
int capacityFor(const upstreams &Upstreams, const executor_query &Query);

/// Chooses an executor with a free slot: power of two choices by the fraction
/// of slots in use, own data centre first. Null when none is free.
upstream_executor *chooseExecutor(upstreams &Upstreams,
                                  const executor_query &Query,
                                  std::uint64_t Random, instant Now);

// [4] Health

/// An executor may still work on a request that timed out, so its slot stays
/// taken for this long.
constexpr milliseconds AbandonedHold{5'000};

/// Releases the slot of a try that ended, after AbandonedHold if it timed out.
void releaseSlot(upstream_executor &Executor, try_outcome Outcome, instant Now);

/// Releases the slots of timed-out requests after AbandonedHold.
void releaseAbandoned(upstreams &Upstreams, instant Now);

/// Notes how a try ended. Ejects an outlier, but never more than half of a
/// service's executors, and reinstates it after a successful probe.
void noteOutcome(upstreams &Upstreams, upstream_executor &Executor,
                 try_outcome Outcome, instant Now);

} // namespace galenastage
