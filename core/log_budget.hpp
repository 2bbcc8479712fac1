#pragma once

// Limits the rate of log lines of each kind, so that a flood of one kind
// neither uses up processor time nor hides other lines.

#include "core/types.hpp"

#include <map>

namespace galenastage {

struct log_budget_settings {
  double LinesPerSecond = 40; // sustained, of one kind
  double Burst = 200;         // lines of one kind

  friend bool operator==(const log_budget_settings &,
                         const log_budget_settings &) = default;
};

/// Token buckets, one for each kind of event.
class log_budget {
public:
  explicit log_budget(log_budget_settings Settings = {}) : Settings(Settings) {}

  /// Whether a line of this kind may be written now. Counts it as dropped if
  /// not.
  bool take(int EventNumber, instant Now);

  /// Counts a line as dropped that was allowed but could not be written.
  void noteLost(int EventNumber);

  /// Lines dropped since the last call, by event number.
  std::map<int, std::uint64_t> takeDropped();

  /// Lines dropped since the start.
  [[nodiscard]] std::uint64_t totalDropped() const { return Total; }

private:
  struct bucket {
    double Lines = 0;
    instant FilledAt{};
  };

  log_budget_settings Settings;
  std::map<int, bucket> Buckets;
  std::map<int, std::uint64_t> Dropped;
  std::uint64_t Total = 0;
};

} // namespace galenastage
