#pragma once

// Limits the rate of log lines of each kind, so that a flood of one kind
// neither uses up processor time nor hides other lines.

#include "core/types.hpp"

#include <map>

namespace galenastage {

struct log_rate_limit {
  double LinesPerSecond = 40; // sustained, of one kind
  double Burst = 200;         // lines of one kind

  friend bool operator==(const log_rate_limit &,
                         const log_rate_limit &) = default;
};

/// Token buckets, one for each kind of event.
class log_rate_limiter {
public:
  explicit log_rate_limiter(log_rate_limit Settings = {})
      : Settings(Settings) {}

  /// Whether a line of this kind may be written now. Counts it as dropped if
  /// not.
  bool tryTake(int EventNumber, instant Now);

  /// Counts a line as dropped that was allowed but could not be written.
  void noteDropped(int EventNumber);

  /// Lines dropped since the last call, by event number.
  std::map<int, std::uint64_t> takeDropped();

  /// Lines dropped since the start.
  [[nodiscard]] std::uint64_t totalDropped() const { return Total; }

private:
  struct bucket {
    double Lines = 0;
    instant FilledAt{};
  };

  log_rate_limit Settings;
  std::map<int, bucket> Buckets;
  std::map<int, std::uint64_t> Dropped;
  std::uint64_t Total = 0;
};

} // namespace galenastage
