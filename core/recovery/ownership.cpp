#include "core/recovery/ownership.hpp"

#include <xxhash.h>

#include <algorithm>

namespace galenastage {

epoch storeEpoch(std::int64_t Revision, epoch HighestSeen) {
  const epoch Base = static_cast<epoch>(Revision) << LocalBits;
  if (Base > HighestSeen)
    return Base;
  return ((HighestSeen >> LocalBits) + 1) << LocalBits;
}

epoch localEpoch(epoch HighestSeen, const instance_id &Claimant) {
  const epoch Hash = XXH64(Claimant.Value.data(), Claimant.Value.size(), 0) &
                     ((epoch(1) << ClaimantBits) - 1);
  // A counter overflow carries into the revision bits, which keeps the order.
  const epoch Count = (HighestSeen >> ClaimantBits) + 1;
  return Count << ClaimantBits | Hash;
}

standby_step nextStep(const standby_view &View,
                      const ownership_settings &Settings, instant Now) {
  const instant QuietSince = std::max(View.StandbySince, View.LeaderHeardAt);
  // A standby that has just started tries the store at once: there may be no
  // leader yet.
  const bool IsLeaderHeard = View.LeaderHeardAt != Never &&
                             View.LeaderHeardAt + Settings.LeaderSilence >= Now;
  if (IsLeaderHeard)
    return standby_step::Wait;
  if (View.IsStoreReached || !View.IsLinked)
    return standby_step::TryStore;
  const milliseconds ClaimDelay =
      Settings.ClaimAfter + View.Rank * Settings.ClaimStep;
  return QuietSince + ClaimDelay < Now ? standby_step::ClaimLocally
                                       : standby_step::TryStore;
}

} // namespace galenastage
