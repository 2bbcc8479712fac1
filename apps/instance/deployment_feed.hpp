#pragma once

#include "core/job/batch/model.hpp"
#include "platform/metadata_store.hpp"

#include <functional>

namespace galenastage {

/// What the operators have put in force, as this instance knows it.
struct deployment_view {
  batch::deployment_config Config;
  std::set<data_centre_id> Evacuated; // nothing starts there
};

/// Follows what operators write to the store. Versions never go back within a
/// process; a stored configuration that can't be read leaves the last one in
/// force.
class deployment_feed {
public:
  /// OnChange gets each new view, on the I/O thread.
  deployment_feed(asio::io_context &Context, platform::metadata_store &Store,
                  std::function<void(const deployment_view &)> OnChange);

  /// Follows until the io_context ends.
  task<void> run();

  /// Null before the first configuration was read.
  [[nodiscard]] std::shared_ptr<const deployment_view> view() const {
    return View;
  }

private:
  task<bool> readAll();
  bool applyItem(deployment_view &Next, const platform::item_change &Change);
  void publish(deployment_view Next);

  asio::io_context &Context;
  platform::metadata_store &Store;
  std::function<void(const deployment_view &)> OnChange;
  std::shared_ptr<const deployment_view> View;
  std::int64_t Revision = 0; // up to which changes are known
};

} // namespace galenastage
