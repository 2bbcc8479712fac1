#pragma once

// What the simulated executors of the users' platform ran, and the tasks among
// it that ran twice.

#include "core/types.hpp"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace galenastage::standin {

/// The call that set the end of a lease last.
struct lease_source {
  std::string Path;            // of the call
  instant Handled{};           //
  milliseconds Waited{0};      // from its arrival until its handling began
  bool IsOfFormerLife = false; // it arrived before this life answered

  friend bool operator==(const lease_source &, const lease_source &) = default;
};

/// One run that was begun, for good: also of former lives.
struct run_record {
  std::string Executor;
  std::int64_t Life = 0; // Unix milliseconds of the executor's start
  std::string Task;
  int Attempt = 0;
  std::uint64_t Token = 0; // of the start
  instant Began{};
  milliseconds Waited{0};      // from the start's arrival until its handling
  bool IsOfFormerLife = false; // it arrived before this life answered
  std::optional<instant> Ended;
  std::string How;             // as in the list of ends, or "died"
  std::optional<instant> Seen; // when last_seen reached the end in time
  lease_source Lease;          // of its executor, when the run ended

  friend bool operator==(const run_record &, const run_record &) = default;
};

/// Two runs of one task that break rule TWICE.
struct double_run {
  run_record First; // began earlier
  run_record Second;
  milliseconds Overlap{0}; // 0: it began after an end that was taken note of

  friend bool operator==(const double_run &, const double_run &) = default;
};

/// Finds each pair of runs of one task that ran at the same time, or of which
/// one began after the other's "done" end, if that end is ever taken note of.
std::vector<double_run> findDoubleRuns(std::vector<run_record> Records,
                                       instant Now);

/// The runs and the pairs that break the rule, with times as Unix milliseconds.
nlohmann::json printLedger(const std::vector<run_record> &Records, instant Now,
                           std::int64_t NowUnixMs);

} // namespace galenastage::standin
