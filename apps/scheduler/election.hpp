#pragma once

#include "platform/store.hpp"

#include <functional>

namespace galenastage {

/// Campaigns for the leadership of one data centre: a key with a lease in the
/// key-value service. The lease is for economy, so that two don't work at once;
/// safety is the workers', which refuse the lower epoch.
class election {
public:
  /// OnChange gets whether this process leads, and the epoch.
  election(asio::io_context &Context, store_client &Store,
           data_centre_id DataCentre, std::string Instance,
           std::function<void(bool, epoch)> OnChange);

  /// Campaigns until the io_context ends.
  task<void> run();

  /// A worker has seen this epoch: the next one won is higher, and a current
  /// leadership with a lower one ends.
  void noteEpoch(epoch Highest);

  /// Gives the leadership up, so that another instance takes over at once.
  task<void> resign();

private:
  task<bool> tryWin();
  task<void> holdUntilLost();

  asio::io_context &Context;
  store_client &Store;
  std::string Key;
  std::string Instance;
  std::function<void(bool, epoch)> OnChange;
  std::int64_t Lease = 0;
  epoch Epoch = 0;
  epoch HighestSeen = 0;
  bool IsResigning = false;
};

} // namespace galenastage
