#include "apps/scheduler/election.hpp"

#include "apps/runtime/process.hpp"
#include "core/error.hpp"

#include <algorithm>

namespace galenastage {
namespace {

constexpr seconds LeaseLife{3};
constexpr milliseconds KeepInterval{1'000};
constexpr milliseconds CampaignInterval{500};
constexpr std::size_t TokenDigits = 16;

} // namespace

election::election(asio::io_context &Context, store_client &Store,
                   data_centre_id DataCentre, std::string Instance,
                   std::function<void(bool, epoch)> OnChange)
    : Context(Context), Store(Store),
      Key("/galenastage/leader/" + DataCentre.Value),
      Instance(std::move(Instance)), OnChange(std::move(OnChange)) {}

task<void> election::run() {
  while (!IsResigning) {
    const bool IsWon = co_await tryWin();
    if (IsWon) {
      OnChange(true, Epoch);
      co_await holdUntilLost();
      OnChange(false, Epoch);
    }
    co_await sleepFor(Context, CampaignInterval);
  }
}

void election::noteEpoch(epoch Highest) {
  HighestSeen = std::max(HighestSeen, Highest);
}

task<void> election::resign() {
  IsResigning = true;
  if (Lease != 0)
    co_await Store.revokeLease(Lease);
  Lease = 0;
}

task<bool> election::tryWin() {
  // Reads are cheaper for the service than writes: most campaigns end here.
  const store_read Holder = co_await Store.read(Key);
  if (Holder.Error || !Holder.Entries.empty())
    co_return false;
  const store_lease Granted = co_await Store.grantLease(LeaseLife);
  if (Granted.Error)
    co_return false;
  const std::string Token = Instance + " " + randomHex(TokenDigits);
  store_transaction Transaction;
  Transaction.Conditions.push_back(key_missing{Key});
  Transaction.Changes.push_back(put_key{Key, Token, Granted.Id});
  const store_write Write = co_await Store.commit(std::move(Transaction));
  bool IsWon = !Write.Error && Write.IsApplied;
  std::int64_t Revision = Write.Revision;
  if (Write.Error) {
    const store_read Read = co_await Store.read(Key);
    IsWon = !Read.Entries.empty() && Read.Entries.front().Value == Token;
    Revision = Read.Revision;
  }
  if (!IsWon) {
    co_await Store.revokeLease(Granted.Id);
    co_return false;
  }
  Lease = Granted.Id;
  Epoch = std::max<epoch>(Revision, HighestSeen + 1);
  co_return true;
}

task<void> election::holdUntilLost() {
  while (!IsResigning && HighestSeen <= Epoch) {
    co_await sleepFor(Context, KeepInterval);
    const std::error_code Error = co_await Store.keepLease(Lease);
    // An unreachable store takes nobody's leadership away; a standby can't win
    // without it either.
    if (Error == errc::NotFound)
      co_return;
  }
  if (!IsResigning)
    co_await Store.revokeLease(Lease);
}

} // namespace galenastage
