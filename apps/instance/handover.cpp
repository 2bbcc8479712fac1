#include "apps/instance/handover.hpp"

#include "apps/instance/keys.hpp"
#include "apps/runtime/process.hpp"
#include "core/error.hpp"

#include <charconv>
#include <utility>

namespace galenastage {
namespace {

// Longer than any delay of a campaign.
constexpr std::int64_t MaxDelayMs = 3'600'000;

} // namespace

std::string printCandidate(const leader_candidate &Candidate) {
  return Candidate.Name + " " + std::to_string(Candidate.CampaignDelay.count());
}

std::optional<leader_candidate> parseCandidate(std::string_view Text) {
  const std::size_t Space = Text.rfind(' ');
  if (Space == std::string_view::npos || Space == 0)
    return std::nullopt;
  const std::string_view Number = Text.substr(Space + 1);
  std::int64_t Delay = 0;
  const auto Read =
      std::from_chars(Number.data(), Number.data() + Number.size(), Delay);
  const bool IsWhole =
      Read.ec == std::errc() && Read.ptr == Number.data() + Number.size();
  if (!IsWhole || Delay < 0 || Delay > MaxDelayMs)
    return std::nullopt;
  return leader_candidate{std::string(Text.substr(0, Space)),
                          milliseconds(Delay)};
}

bool isLarger(milliseconds OwnDelay, milliseconds LeaderDelay,
              const handover_settings &Settings) {
  return OwnDelay + Settings.Margin <= LeaderDelay;
}

bool isHandoverDue(const handover_view &View,
                   const handover_settings &Settings) {
  return isLarger(View.CandidateDelay, View.OwnDelay, Settings) &&
         View.Well >= Settings.MinWell && View.Term >= Settings.MinTerm &&
         View.Quiet >= Settings.MinQuiet;
}

candidacy::candidacy(asio::io_context &Context, platform::metadata_store &Store,
                     leader_candidate Self, const handover_settings &Settings)
    : Context(Context), Store(Store), Self(std::move(Self)),
      Settings(Settings) {}

bool candidacy::isWanted() const {
  return LeaderDelay && isLarger(Self.CampaignDelay, *LeaderDelay, Settings);
}

task<void> candidacy::run() {
  while (!IsStopped) {
    co_await sleepFor(Context, Lease != 0 ? Settings.KeepInterval
                                          : Settings.OfferInterval);
    if (!isWanted() || IsStopped)
      co_await withdraw();
    else if (Lease == 0)
      co_await offer();
    else
      co_await keep();
  }
}

/// Writes the key unless another standby has.
task<void> candidacy::offer() {
  const platform::item_read Known = co_await Store.read(keys::Candidate);
  if (Known.Error || Known.Item)
    co_return;
  const platform::lease_result Granted =
      co_await Store.grantLease(Settings.CandidateLife);
  if (Granted.Error)
    co_return;
  platform::store_change Change;
  Change.Conditions.push_back({keys::Candidate, 0});
  Change.Writes.push_back({keys::Candidate, printCandidate(Self), Granted.Id});
  const platform::change_result Write =
      co_await Store.change(std::move(Change));
  if (!Write.Error && Write.IsApplied) {
    Lease = Granted.Id;
    co_return;
  }
  // An unknown write ends with its lease.
  co_await Store.endLease(Granted.Id);
}

task<void> candidacy::keep() {
  const platform::lease_result Kept = co_await Store.keepLease(Lease);
  if (Kept.Error == errc::NotFound)
    Lease = 0;
}

task<void> candidacy::withdraw() {
  const std::int64_t Ended = std::exchange(Lease, 0);
  if (Ended != 0)
    co_await Store.endLease(Ended); // or it expires
}

} // namespace galenastage
