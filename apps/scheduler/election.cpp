#include "apps/scheduler/election.hpp"

#include "apps/runtime/logging.hpp"
#include "apps/runtime/process.hpp"
#include "core/error.hpp"

#include <algorithm>

namespace galenastage {
namespace {

constexpr seconds LeaseDuration{3};
constexpr milliseconds KeepInterval{1'000};
constexpr milliseconds CampaignInterval{500};
constexpr std::size_t TokenDigits = 16;

} // namespace

election::election(asio::io_context &Context, store_client &Store,
                   data_centre_id DataCentre, std::string Instance,
                   std::function<void(bool, epoch)> OnChange)
    : Context(Context), Store(Store),
      Key("/galenastage/leader/" + DataCentre.Value),
      Instance(std::move(Instance)), OnChange(std::move(OnChange)),
      StandbySince(readClock()) {}

task<void> election::run() {
  while (!IsResigning) {
    const standby_step Step = decide();
    if (Step == standby_step::TryStore) {
      const bool HasAcquired = co_await tryAcquireKey();
      if (HasAcquired)
        co_await lead();
    } else if (Step == standby_step::ClaimLocally) {
      co_await leadLocally();
    }
    co_await sleepFor(Context, CampaignInterval);
  }
}

void election::noteLeader(const publish_leader &Heard) {
  Leader = Heard;
  noteEpoch(Heard.Epoch);
}

void election::noteEpoch(epoch Highest) {
  HighestSeen = std::max(HighestSeen, Highest);
}

store_condition election::fence() const { return value_is{Key, Token}; }

task<void> election::resign() {
  IsResigning = true;
  if (Lease != 0)
    co_await Store.revokeLease(Lease);
  Lease = 0;
}

standby_step election::decide() const {
  standby_view View;
  View.StandbySince = StandbySince;
  View.LeaderHeardAt = Leader.HeardAt;
  View.IsStoreReached = Leader.IsStoreReached;
  View.IsLinked = Leader.IsLinked;
  View.Rank = Leader.Rank;
  return nextStep(View, {}, readClock());
}

task<bool> election::tryAcquireKey() {
  // A read costs the service less than a write, and most campaigns end here
  // because the key exists.
  const store_read Holder = co_await Store.read(Key);
  if (Holder.Error || !Holder.Entries.empty())
    co_return false;
  const store_lease Granted = co_await Store.grantLease(LeaseDuration);
  if (Granted.Error)
    co_return false;
  const std::string NewToken = Instance + " " + randomHex(TokenDigits);
  store_transaction Transaction;
  Transaction.Conditions.push_back(key_missing{Key});
  Transaction.Changes.push_back(put_key{Key, NewToken, Granted.Id});
  const store_write Write = co_await Store.commit(std::move(Transaction));
  bool HasAcquired = !Write.Error && Write.IsApplied;
  std::int64_t Revision = Write.Revision;
  if (Write.Error) {
    const store_read Read = co_await Store.read(Key);
    HasAcquired =
        !Read.Entries.empty() && Read.Entries.front().Value == NewToken;
    Revision = Read.Revision;
  }
  if (!HasAcquired) {
    co_await Store.revokeLease(Granted.Id);
    co_return false;
  }
  Token = NewToken;
  Lease = Granted.Id;
  Epoch = storeEpoch(Revision, std::max(HighestSeen, Epoch));
  co_return true;
}

task<void> election::lead() {
  OnChange(true, Epoch);
  co_await keepLeaseUntilLost();
  endTerm();
}

/// Leads without the store until a higher epoch is seen: workers report it when
/// they refuse this one. When the store is reachable again, campaigns there; if
/// another instance has won, its higher epoch ends this term.
task<void> election::leadLocally() {
  Epoch = localEpoch(std::max(HighestSeen, Epoch), instance_id(Instance));
  writeLog(events::LeadershipClaimed, {{"epoch", std::to_string(Epoch)}});
  OnChange(true, Epoch);
  while (!IsResigning && HighestSeen <= Epoch) {
    co_await sleepFor(Context, KeepInterval);
    if (!Leader.IsStoreReached)
      continue;
    const bool HasAcquired = co_await tryAcquireKey();
    if (HasAcquired) {
      co_await lead();
      co_return;
    }
  }
  endTerm();
}

void election::endTerm() {
  Token.clear();
  StandbySince = readClock();
  OnChange(false, Epoch);
}

task<void> election::keepLeaseUntilLost() {
  while (!IsResigning && HighestSeen <= Epoch) {
    co_await sleepFor(Context, KeepInterval);
    const std::error_code Error = co_await Store.renewLease(Lease);
    // An unreachable store alone doesn't end the leadership. If a standby takes
    // over locally, this process learns of its higher epoch from the workers.
    if (Error == errc::NotFound)
      co_return;
  }
  if (!IsResigning)
    co_await Store.revokeLease(Lease);
}

} // namespace galenastage
