#pragma once

#include "core/recovery/ownership.hpp"
#include "core/recovery/relay.hpp"
#include "net/store.hpp"

#include <functional>

namespace galenastage {

/// Leader election of one data centre, by a key with a lease in the key-value
/// service. The lease only avoids duplicate work by two leaders. Safety doesn't
/// depend on it: workers refuse orders with a lower epoch, and every write of a
/// leader is conditional on still holding the key.
///
/// A standby learns of the leader through its peers, without calls to the
/// service. While the service is unreachable, a standby may lead with a local
/// epoch.
class election {
public:
  /// OnChange is called with whether this process leads, and the epoch.
  election(asio::io_context &Context, store_client &Store,
           data_centre_id DataCentre, std::string Instance,
           std::function<void(bool, epoch)> OnChange);

  /// Campaigns and leads until resign is called.
  task<void> run();

  /// Records the leader as reported by peers.
  void noteLeader(const publish_leader &Leader);

  /// Records an epoch seen elsewhere. The next epoch of this process is higher;
  /// if it leads with a lower epoch, its term ends.
  void noteEpoch(epoch Highest);

  /// The condition for this leader's writes. It never holds unless the
  /// leadership was won in the store.
  [[nodiscard]] store_condition fence() const;

  /// Revokes the lease, so that another instance takes over without waiting
  /// for it to expire.
  task<void> resign();

private:
  task<bool> tryAcquireKey();
  task<void> lead();
  task<void> leadLocally();
  task<void> keepLeaseUntilLost();
  void endTerm();
  [[nodiscard]] standby_step decide() const;

  asio::io_context &Context;
  store_client &Store;
  std::string Key;
  std::string Instance;
  std::function<void(bool, epoch)> OnChange;
  publish_leader Leader; // as last reported by peers
  instant StandbySince;
  std::string Token; // value of the key while held; else empty
  std::int64_t Lease = 0;
  epoch Epoch = 0;
  epoch HighestSeen = 0;
  bool IsResigning = false;
};

} // namespace galenastage
