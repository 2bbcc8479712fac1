#pragma once

// Shares capacity between organisations beyond their guarantees. Pure
// functions: the time is an argument.

#include "core/job/batch/model.hpp"

namespace galenastage::batch {

struct share_settings {
  bool IsEnabled = true;
  // A step is due when it misses its objective unless it starts within this
  // time, about as long as a stop takes.
  milliseconds DueWithin{500};

  friend bool operator==(const share_settings &,
                         const share_settings &) = default;
};

/// A sum of resources over many executors; `resources` would overflow.
struct capacity_sum {
  std::int64_t MilliCpu = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;

  /// Adds Count times Each; Count may be negative.
  void add(const resources &Each, int Count);

  friend bool operator==(const capacity_sum &, const capacity_sum &) = default;
};

/// The largest of the shares of cores, memory and accelerators. A resource that
/// Total has none of counts as no share.
double dominantShare(const capacity_sum &Used, const capacity_sum &Total);

/// What an organisation's next step contends with for capacity, among steps of
/// one priority.
struct share_claim {
  bool IsGuaranteed = false; // its next unit fits the organisation's guarantee
  bool IsDue = false;        // misses its objective if not started now
  double Share = 0;          // dominant share of its organisation
};

/// Negative when Left goes first, positive when Right does, 0 when the claims
/// don't tell. Work within a guarantee precedes other work, because it would
/// reclaim the capacity that the other got. Then the smaller share precedes,
/// except that a due step precedes one that isn't, unless its organisation has
/// more than the even share and the other one less.
int compareClaims(const share_claim &Left, const share_claim &Right,
                  double EvenShare);

} // namespace galenastage::batch
