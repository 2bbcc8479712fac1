#pragma once

#include "core/recovery/ownership.hpp"
#include "core/recovery/relay.hpp"
#include "net/store.hpp"

#include <functional>

namespace galenastage {

/// Campaigns for the leadership of one data centre: a key with a lease in the
/// key-value service. The lease is for economy, so that two don't work at once;
/// safety is the workers', which refuse the lower epoch, and the store's, where
/// every write of a leader is on condition that the key is still its own.
///
/// A standby hears the leader through its peers and costs the service nothing.
/// While the service is out of reach a standby may lead with a local epoch.
class election {
public:
  /// OnChange gets whether this process leads, and the epoch.
  election(asio::io_context &Context, store_client &Store,
           data_centre_id DataCentre, std::string Instance,
           std::function<void(bool, epoch)> OnChange);

  /// Campaigns until the io_context ends.
  task<void> run();

  /// What peers say of the leader.
  void noteLeader(const publish_leader &Leader);

  /// A worker has seen this epoch: the next one won is higher, and a current
  /// leadership with a lower one ends.
  void noteEpoch(epoch Highest);

  /// The condition under which this leader's writes may be applied. It never
  /// holds without a leadership won in the store.
  [[nodiscard]] store_condition fence() const;

  /// Gives the leadership up, so that another instance takes over at once.
  task<void> resign();

private:
  task<bool> tryWin();
  task<void> lead();
  task<void> leadLocally();
  task<void> holdUntilLost();
  void endTerm();
  [[nodiscard]] standby_step decide() const;

  asio::io_context &Context;
  store_client &Store;
  std::string Key;
  std::string Instance;
  std::function<void(bool, epoch)> OnChange;
  publish_leader Leader; // as last heard
  instant StandbySince;
  std::string Token; // value of the key while it is this process's
  std::int64_t Lease = 0;
  epoch Epoch = 0;
  epoch HighestSeen = 0;
  bool IsResigning = false;
};

} // namespace galenastage
