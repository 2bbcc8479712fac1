#pragma once

// Measures the cost of common failures in one data centre, in virtual time.

#include "measure/slopes.hpp"

#include <cstdint>

namespace galenastage::measure {

/// The cost of one failure, above what the same time costs without it.
struct failure_cost {
  std::string Name;                // what failed
  int Workers = 0;                 // of the data centre
  std::int64_t WorkerMessages = 0; // without renewals
  std::int64_t StoreWrites = 0;    // job records
  int GangsStarted = 0;            // again
  double LostTaskSeconds = 0;      // work done and not kept
  std::int64_t WholeAfterMs = 0;   // until every job runs again
  bool IsWhole = false;            // within the time observed
};

/// Fails workers, racks, the scheduler and the store of data centres of several
/// sizes.
std::vector<failure_cost> measureFailures();

/// Work lost when a worker fails, against the age of the gangs on it.
measured_slope measureLoss();

std::string printFailures(std::span<const failure_cost> Failures);

void to_json(nlohmann::json &Json, const failure_cost &Cost);

} // namespace galenastage::measure
