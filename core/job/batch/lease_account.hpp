#pragma once

// How long anything on an executor may run on leases, as its leader reckons.
//
// A lease ends at a time on the executor's clock. The executor may start again
// under its id, with a clock that begins anew, and calls name the id only. A
// call that another life handles than it was for may have a time far ahead of
// that life's clock: its lease ends with the executor's own limit, counted from
// the arrival. Until the new life rejects calls of before, by their fencing
// token, those without an answer may still arrive.

#include "core/types.hpp"

namespace galenastage::batch {

/// Upper bound for how slow an executor's clock may run.
inline constexpr double ClockDrift = 1.02;

/// For calls on their way and late timers.
inline constexpr milliseconds LeaseMargin{300};

struct lease_limits {
  milliseconds Longest{10'000};   // executors cap longer leases
  milliseconds LateCalls{13'000}; // longest way of a call without an answer

  friend bool operator==(const lease_limits &, const lease_limits &) = default;
};

/// What the calls to one executor may have caused. The functions below return
/// the account after one more event; a time that isn't set stands for none.
struct lease_account {
  instant Until{};      // of the leases, if no call is late
  instant Unanswered{}; // when the last call without an answer was sent, of
                        // those with a lease
  instant LateUntil{};  // until when such calls may reach a later life

  friend bool operator==(const lease_account &,
                         const lease_account &) = default;
};

/// A lease of the executor's limit that begins at Handled.
instant longestLeaseFrom(instant Handled, const lease_limits &Limits);

/// A call sent at Sent, with a lease of that length on a clock that was read
/// Age ago.
lease_account addLease(lease_account Account, const lease_limits &Limits,
                       instant Sent, milliseconds Lease, milliseconds Age);

/// A call with a lease, sent at Sent, has no answer.
lease_account addUnanswered(lease_account Account, instant Sent);

/// A call with a lease was handled by Handled, perhaps by another life than it
/// was for.
lease_account addLongestLease(lease_account Account, const lease_limits &Limits,
                              instant Handled);

/// A new life of the executor is known, which calls without an answer may
/// reach, and those that earlier leaders sent by TakenOver.
lease_account expectLateCalls(lease_account Account, const lease_limits &Limits,
                              instant TakenOver);

/// From Closed on, this life of the executor rejects all calls of before. The
/// next one may not.
lease_account closeLateCalls(lease_account Account, const lease_limits &Limits,
                             instant Closed);

/// By then every lease on the executor has ended.
instant leasesEnd(const lease_account &Account, const lease_limits &Limits);

} // namespace galenastage::batch
