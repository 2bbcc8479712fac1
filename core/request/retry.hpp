#pragma once

// Retries: when one is safe, how many there may be, and how long to wait.
//
// Index of this file
// [1] Verdicts of several tries
// [2] The budget
// [3] The delay

#include "core/types.hpp"

namespace galenastage {

// [1] Verdicts of several tries

/// The verdict of a request after one more try. A later "not run" never hides
/// that an earlier try may have run.
verdict joinVerdicts(verdict Earlier, verdict Later);

/// Whether one more try can't make the work run twice against the caller's
/// will.
bool isRetrySafe(verdict Verdict, bool IsIdempotent);

// [2] The budget

/// Bounds retries as a share of first tries, so that a failing upstream isn't
/// sent a multiple of its usual traffic. Plain value; no clock.
struct retry_budget {
  static constexpr double Share = 0.1; // retries for each first try
  static constexpr double Burst = 10;  // retries that may be saved up

  double Tokens = Burst;

  friend bool operator==(const retry_budget &, const retry_budget &) = default;
};

void earnRetries(retry_budget &Budget);

/// Takes one retry; false when the budget is spent.
bool takeRetry(retry_budget &Budget);

// [3] The delay

/// Bounds of the delay before a retry.
constexpr milliseconds MinRetryDelay{10};
constexpr milliseconds MaxRetryDelay{1'000};

/// Decorrelated jitter: uniform between the least delay and three times the
/// previous one, so that callers which failed together don't return together.
milliseconds retryDelay(milliseconds Previous, std::uint64_t Random);

} // namespace galenastage
