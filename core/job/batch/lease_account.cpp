#include "core/job/batch/lease_account.hpp"

#include <algorithm>

namespace galenastage::batch {
namespace {

milliseconds onSlowClock(milliseconds Time) {
  return std::chrono::duration_cast<milliseconds>(Time * ClockDrift);
}

} // namespace

instant longestLeaseFrom(instant Handled, const lease_limits &Limits) {
  return Handled + onSlowClock(Limits.Longest) + LeaseMargin;
}

lease_account addLease(lease_account Account, const lease_limits &Limits,
                       instant Sent, milliseconds Lease, milliseconds Age) {
  // The clock may have drifted since it was read as well.
  const milliseconds OfCall = onSlowClock(Age + Lease) - Age;
  Account.Until =
      std::max(Account.Until, std::min(Sent + OfCall + LeaseMargin,
                                       longestLeaseFrom(Sent, Limits)));
  return Account;
}

lease_account addUnanswered(lease_account Account, instant Sent) {
  Account.Unanswered = std::max(Account.Unanswered, Sent);
  return Account;
}

lease_account addLongestLease(lease_account Account, const lease_limits &Limits,
                              instant Handled) {
  Account.Until = std::max(Account.Until, longestLeaseFrom(Handled, Limits));
  return Account;
}

lease_account expectLateCalls(lease_account Account, const lease_limits &Limits,
                              instant TakenOver) {
  const instant Sent = std::max(Account.Unanswered, TakenOver);
  if (Sent != instant{})
    Account.LateUntil = std::max(Account.LateUntil, Sent + Limits.LateCalls);
  return Account;
}

lease_account closeLateCalls(lease_account Account, const lease_limits &Limits,
                             instant Closed) {
  if (Account.LateUntil != instant{})
    Account =
        addLongestLease(Account, Limits, std::min(Account.LateUntil, Closed));
  Account.LateUntil = {};
  return Account;
}

instant leasesEnd(const lease_account &Account, const lease_limits &Limits) {
  if (Account.LateUntil == instant{})
    return Account.Until;
  return std::max(Account.Until, longestLeaseFrom(Account.LateUntil, Limits));
}

} // namespace galenastage::batch
