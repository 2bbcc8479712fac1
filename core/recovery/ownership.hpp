#pragma once

// Who schedules a data centre: the order of epochs, and when a standby acts.
//
// Index of this file
// [1] Epochs
// [2] What a standby does

#include "core/recovery/evidence.hpp"

namespace galenastage {

// [1] Epochs

/// An epoch holds, from the highest bits on: the revision of the store at which
/// the leadership was won; how often a standby has taken over locally since; a
/// hash of that standby's name, so that two which take over at once differ. All
/// epochs are ordered, and one won in the store goes above every local one that
/// was known to the winner.
inline constexpr int LocalCountBits = 8;
inline constexpr int ClaimantBits = 16;
inline constexpr int LocalBits = LocalCountBits + ClaimantBits;

/// The epoch of a leadership won in the store, above the highest that was seen
/// even if the store was restored from an older copy.
epoch storeEpoch(std::int64_t Revision, epoch HighestSeen);

/// The epoch of a leadership that is claimed while the store is out of reach.
epoch localEpoch(epoch HighestSeen, const instance_id &Claimant);

// [2] What a standby does

struct ownership_settings {
  milliseconds LeaderSilence{1'500}; // then the store is asked who leads
  milliseconds ClaimAfter{2'500};    // silence after which a standby claims;
                                     // with a rebuild it is less than a lease
  milliseconds ClaimStep{1'000};     // more for each standby ranked before
};

/// What a standby knows.
struct standby_view {
  instant StandbySince = Never; //
  instant LeaderHeardAt = Never;
  bool IsStoreReached = false; // by anyone in the data centre, lately
  bool IsLinked = false;       // to an entry instance: it would hear a leader
  int Rank = 0;                // among the live schedulers of the data centre
};

enum class standby_step {
  Wait,
  AskStore,    // try to win the leased key
  ClaimLocally // lead with a local epoch, if the workers accept it
};

standby_step nextStep(const standby_view &View,
                      const ownership_settings &Settings, instant Now);

} // namespace galenastage
