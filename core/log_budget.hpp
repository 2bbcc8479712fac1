#pragma once

// Bounds how many log lines of each kind a process writes, so that a flood of
// one kind neither costs the processor nor hides the others.

#include "core/types.hpp"

#include <map>

namespace galenastage {

struct log_budget_settings {
  double LinesPerSecond = 40; // of one kind, in the long run
  double Burst = 200;         // lines of one kind at once

  friend bool operator==(const log_budget_settings &,
                         const log_budget_settings &) = default;
};

/// Token buckets, one for each kind of event.
class log_budget {
public:
  explicit log_budget(log_budget_settings Settings = {}) : Settings(Settings) {}

  /// Whether a line of this kind may be written now; counts it when not.
  bool take(int EventNumber, instant Now);

  /// Counts a line that was allowed but could not be written.
  void noteLost(int EventNumber);

  /// Lines left out by kind since the last call.
  std::map<int, std::uint64_t> takeDropped();

  /// Lines left out since the start.
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
