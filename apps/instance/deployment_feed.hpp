#pragma once

#include "apps/instance/metrics.hpp"
#include "core/job/batch/model.hpp"
#include "platform/metadata_store.hpp"

#include <functional>

namespace galenastage {

/// The active configuration and evacuations, as last read by this instance.
struct deployment_view {
  batch::deployment_config Config;
  std::set<data_centre_id> Evacuated; // no run starts there
};

/// Watches the operators' keys in the store. Within a process the configuration
/// version never decreases; an unreadable configuration is logged and skipped,
/// so the last valid one stays active.
class deployment_feed {
public:
  /// Called on the I/O thread: OnChange with each new view, OnConfirmed with a
  /// time before which no change is unknown.
  deployment_feed(
      asio::io_context &Context, platform::metadata_store &Store,
      instance_metrics &Metrics,
      std::function<void(const deployment_view &)> OnChange,
      std::function<void(instant)> OnConfirmed = [](instant) {});

  /// Watches until the io_context stops.
  task<void> run();

  /// Null until the first configuration has been read.
  [[nodiscard]] std::shared_ptr<const deployment_view> view() const {
    return View;
  }

  /// Time for which newer changes may have been stored unknown to this
  /// instance. Call once there is a view.
  [[nodiscard]] milliseconds age() const;

  /// Whether requests may be answered from the view: the store serves this
  /// instance and has confirmed the view lately. While it doesn't, a route or a
  /// key that isn't in the view may have been added since.
  [[nodiscard]] bool isConfirmed() const;

private:
  task<bool> readAll();
  bool applyItem(deployment_view &Next, const platform::item_change &Change);
  void publish(deployment_view Next);
  void confirm(instant AsOf);
  void noteFailure(std::string_view Call, const std::error_code &Error,
                   instant Sent);

  asio::io_context &Context;
  platform::metadata_store &Store;
  instance_metrics &Metrics;
  std::function<void(const deployment_view &)> OnChange;
  std::function<void(instant)> OnConfirmed;
  std::shared_ptr<const deployment_view> View;
  std::int64_t Revision = 0; // of the last change applied
  instant ConfirmedAt{};
};

} // namespace galenastage
