#pragma once

// The reducer of requests in one entry instance: admission, choice of executor,
// retries and refusals. It does no I/O; the caller performs its effects and
// reports how each try ended.
//
// Index of this file
// [1] Events
// [2] Effects
// [3] State and reducer

#include "core/request/admission.hpp"
#include "core/request/retry.hpp"

#include <unordered_map>
#include <variant>

namespace galenastage {

// [1] Events

/// A client's request that may be sent now.
struct request_arrived {
  request_number Number = 0;
  request_attributes Ask;
  std::uint64_t Random = 0;
};

/// A try that the reducer asked for has ended.
struct try_ended {
  request_number Number = 0;
  try_outcome Outcome = try_outcome::Answered;
  verdict Verdict = verdict::NotRun; // of this try alone
  milliseconds Took{0};
  std::uint64_t Random = 0;
};

/// The usable executors with this instance's shares of their slots.
struct executors_listed {
  std::vector<executor_choice> Executors;
};

/// Sent regularly while requests wait.
struct time_passed {};

using request_event_body =
    std::variant<request_arrived, try_ended, executors_listed, time_passed>;

struct request_event {
  instant Now;
  request_event_body Body;
};

// [2] Effects

enum class refusal {
  NoExecutor,     // no executor serves this route
  QueueFull,      // a limit of waiting requests is reached
  DeadlineTooSoon // no answer is expected before the deadline
};

/// Send the request to this executor, then report try_ended.
struct send_request {
  request_number Number = 0;
  executor_row Executor;
};

/// Refuse the request; it is not tried again.
struct refuse_request {
  request_number Number = 0;
  refusal Reason = refusal::QueueFull;
  verdict Verdict = verdict::NotRun; // of all tries together
  seconds RetryAfter{1};
};

/// Report the answer or failure of the last try to the client.
struct finish_request {
  request_number Number = 0;
  verdict Verdict = verdict::NotRun; // of all tries together
  int Tries = 0;
};

using request_effect =
    std::variant<send_request, refuse_request, finish_request>;
using request_effects = std::vector<request_effect>;

// [3] State and reducer

/// A request that has been accepted and not yet finished or refused.
struct active_request {
  request_attributes Ask;
  executor_id Executor;              // of the try in progress
  verdict Verdict = verdict::NotRun; // of the tries that ended
  int Tries = 0;
  milliseconds LastDelay{0};
  instant RetryAt; // valid while the request is in Retrying
};

struct request_state {
  static constexpr int MaxTries = 3;
  // Patient work leaves a quarter of the slots to the other classes, so that
  // they don't have to wait for a long request to end.
  static constexpr double PatientShare = 0.75;

  upstreams Upstreams;
  request_queue Queue;
  retry_budget Budget;
  std::unordered_map<request_number, active_request> Active;
  std::vector<request_number> Retrying; // waiting for their RetryAt
  std::map<service_id, int> PatientRunning;
  std::uint64_t Random = 0; // generator state, seeded by the events
};

/// Applies one event in place.
request_effects reduce(request_state &State, const request_event &Event);

/// The refusal of a request that arrives now, or nullopt. Lets the caller
/// refuse a request before it writes a dispatch record.
std::optional<refuse_request> refusalNow(const request_state &State,
                                         request_number Number,
                                         const request_attributes &Ask,
                                         instant Now);

} // namespace galenastage
