#include "core/job/batch/shares.hpp"

#include <algorithm>

namespace galenastage::batch {
namespace {

/// Total order that the rule about due steps amounts to; the lowest goes first.
int rankOf(const share_claim &Claim, double EvenShare) {
  if (Claim.IsDue)
    return Claim.Share <= EvenShare ? 0 : 2;
  return Claim.Share < EvenShare ? 1 : 3;
}

} // namespace

void capacity_sum::add(const resources &Each, int Count) {
  MilliCpu += std::int64_t{Each.MilliCpu} * Count;
  MemoryMb += std::int64_t{Each.MemoryMb} * Count;
  Accelerators += std::int64_t{Each.Accelerators} * Count;
}

double dominantShare(const capacity_sum &Used, const capacity_sum &Total) {
  const auto Share = [](std::int64_t Part, std::int64_t Whole) {
    return Whole > 0 ? static_cast<double>(Part) / static_cast<double>(Whole)
                     : 0.0;
  };
  return std::max({Share(Used.MilliCpu, Total.MilliCpu),
                   Share(Used.MemoryMb, Total.MemoryMb),
                   Share(Used.Accelerators, Total.Accelerators)});
}

int compareClaims(const share_claim &Left, const share_claim &Right,
                  double EvenShare) {
  if (Left.IsGuaranteed != Right.IsGuaranteed)
    return Left.IsGuaranteed ? -1 : 1;
  if (const int Difference = rankOf(Left, EvenShare) - rankOf(Right, EvenShare))
    return Difference;
  if (Left.Share != Right.Share)
    return Left.Share < Right.Share ? -1 : 1;
  return 0;
}

} // namespace galenastage::batch
