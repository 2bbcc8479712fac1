#pragma once

// The executors as one entry instance knows them: requests in progress, health,
// and the choice among them. Plain values; time and randomness are arguments.
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

/// How one try ended, as far as the executor's health is concerned.
enum class try_outcome {
  Answered,        // a whole answer
  AnsweredLeaving, // a whole answer with "Connection: close"
  AnsweredError,   // a whole answer with a status of 500 or more
  Refused,         // 503 with verdict not-run: nothing ran
  ConnectFailed,   // no connection, so nothing left
  Failed,          // bytes left and no whole answer came back
  TimedOut,        // as Failed, and the executor may still be at it
};

// [2] Executors

struct upstream_executor {
  executor_row Row;
  int Slots = 0;       // this instance's share; 0 once it is no longer listed
  int Outstanding = 0; // requests in progress from this instance
  int Strikes = 0;     // failures in a row
  int Ejections = 0;   // ejections in a row, each longer than the last
  bool IsEjected = false;  // gets probes only
  instant EjectedUntil;    // no probe before this
  bool KeepsAlive = false; // it has left a connection open after an answer
  std::vector<instant> Abandoned; // when each timed-out request gives up its
                                  // slot, which is part of Outstanding

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

/// Takes over a new list and keeps what is known of executors that stay.
void replaceExecutors(upstreams &Upstreams,
                      std::span<const executor_choice> Listed);

// [3] Choice

struct executor_query {
  service_id Service;
  std::vector<data_centre_id> DataCentres; // empty: every one
  bool IsIdempotent = true;                // false: not used as a probe
  executor_id Avoid;                       // already failed this request
};

/// Whether this executor may ever answer such a request.
bool isEligible(const upstream_executor &Executor, const executor_query &Query);

/// Slots of all executors that may answer such a request, free or not.
int capacityFor(const upstreams &Upstreams, const executor_query &Query);

/// Chooses an executor with a free slot: power of two choices on the share of
/// slots in use, own data centre before others. Null when none is free.
upstream_executor *chooseExecutor(upstreams &Upstreams,
                                  const executor_query &Query,
                                  std::uint64_t Random, instant Now);

// [4] Health

/// An executor that was given up on may go on working. Its slot stays taken
/// for this long.
constexpr milliseconds AbandonedHold{5'000};

/// Gives the slot of an ended try back; later, when it timed out.
void releaseSlot(upstream_executor &Executor, try_outcome Outcome, instant Now);

/// Gives back the slots of requests that were abandoned long enough ago.
void releaseAbandoned(upstreams &Upstreams, instant Now);

/// Notes how a try ended. Ejects an outlier, but never more than half of a
/// service's executors, and returns it after a probe that went well.
void noteOutcome(upstreams &Upstreams, upstream_executor &Executor,
                 try_outcome Outcome, instant Now);

} // namespace galenastage
