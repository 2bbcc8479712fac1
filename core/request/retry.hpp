#pragma once

// Retries: when one is safe, how many are allowed, and the delay before one.
//
// Index of this file
// [1] Verdicts of several tries
// [2] The budget
// [3] The delay

#include "core/types.hpp"

namespace galenastage {

// [1] Verdicts of several tries

/// The verdict of a request after one more try. A later NotRun never hides that
/// an earlier try may have run.
verdict combineVerdicts(verdict Earlier, verdict Later);

/// Whether a retry is safe: it can't run non-idempotent work twice, and work
/// that has run isn't repeated.
bool isRetrySafe(verdict Verdict, bool IsIdempotent);

// [2] The budget

/// A token bucket that bounds retries to a share of first tries, so that a
/// failing upstream doesn't get a multiple of its usual traffic. Needs no
/// clock.
struct retry_budget {
  static constexpr double Share = 0.1; // tokens added per first try
  static constexpr double Burst = 10;  // maximum number of tokens

  double Tokens = Burst;

  friend bool operator==(const retry_budget &, const retry_budget &) = default;
};

/// Adds the tokens for one first try.
void addRetryTokens(retry_budget &Budget);

/// Takes the token for one retry; false when none is left.
bool takeRetryToken(retry_budget &Budget);

// [3] The delay

/// Bounds of the delay before a retry.
constexpr milliseconds MinRetryDelay{10};
constexpr milliseconds MaxRetryDelay{1'000};

/// Decorrelated jitter: uniform between MinRetryDelay and three times the
/// previous delay, so that requests which failed together aren't retried
/// together.
milliseconds retryDelay(milliseconds Previous, std::uint64_t Random);

} // namespace galenastage
