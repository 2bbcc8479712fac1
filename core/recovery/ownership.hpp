#pragma once

// Which scheduler leads a data centre: the order of epochs, and when a standby
// tries to take over.
//
// Index of this file
// [1] Epochs
// [2] Steps of a standby

#include "core/recovery/evidence.hpp"

namespace galenastage {

// [1] Epochs

/// An epoch holds, from the most significant bits: the store revision at which
/// the leadership was won; the number of local takeovers since; a hash of the
/// name of the standby that took over, so that two concurrent takeovers get
/// different epochs. Epochs are totally ordered; one won in the store is higher
/// than every epoch that the winner has seen.
inline constexpr int LocalCountBits = 8;
inline constexpr int ClaimantBits = 16;
inline constexpr int LocalBits = LocalCountBits + ClaimantBits;

/// The epoch of a leadership won in the store. It is above HighestSeen even if
/// the store was restored from an older copy.
epoch storeEpoch(std::int64_t Revision, epoch HighestSeen);

/// The epoch of a leadership claimed while the store can't be reached.
epoch localEpoch(epoch HighestSeen, const instance_id &Claimant);

// [2] Steps of a standby

struct ownership_settings {
  milliseconds LeaderSilence{1'500}; // then the standby tries the store
  milliseconds ClaimAfter{2'500};    // silence after which a standby claims;
                                     // this plus the time to rebuild the
                                     // state is shorter than a lease
  milliseconds ClaimStep{1'000};     // added per standby ranked before it
};

/// The inputs of a standby's decision.
struct standby_view {
  instant StandbySince = Never; //
  instant LeaderHeardAt = Never;
  bool IsStoreReached = false; // recently, by any process of the data
                               // centre
  bool IsLinked = false;       // to an entry instance, which relays a
                               // leader's heartbeats
  int Rank = 0;                // among the live schedulers of the data centre
};

enum class standby_step {
  Wait,
  TryStore,    // try to acquire the leased key
  ClaimLocally // lead with a local epoch if the workers accept it
};

standby_step nextStep(const standby_view &View,
                      const ownership_settings &Settings, instant Now);

} // namespace galenastage
