#include "apps/instance/deployment_feed.hpp"

#include "apps/runtime/logging.hpp"
#include "apps/runtime/process.hpp"
#include "core/error.hpp"
#include "platform/wire.hpp"

namespace galenastage {
namespace {

// A connection can stall without a reset. After that the next watch has to find
// an edit within the 3 s in which an instance may be out of touch.
constexpr milliseconds WatchTimeout{1'500};
constexpr milliseconds RetryDelay{200}; // after a failed read or watch
// A watch without changes confirms the view once in WatchTimeout. A slow store
// takes 0.24 s for the answer before and as long for the next one.
constexpr milliseconds MaxConfirmedAge = WatchTimeout + milliseconds(1'000);

} // namespace

deployment_feed::deployment_feed(
    asio::io_context &Context, platform::metadata_store &Store,
    instance_metrics &Metrics,
    std::function<void(const deployment_view &)> OnChange,
    std::function<void(instant)> OnConfirmed)
    : Context(Context), Store(Store), Metrics(Metrics),
      OnChange(std::move(OnChange)), OnConfirmed(std::move(OnConfirmed)) {}

milliseconds deployment_feed::age() const { return readClock() - ConfirmedAt; }

bool deployment_feed::isConfirmed() const {
  return View && Store.isReachable() && age() <= MaxConfirmedAge;
}

task<void> deployment_feed::run() {
  bool IsCurrent = false;
  milliseconds Wait{0};
  for (;;) {
    if (!IsCurrent) {
      IsCurrent = co_await readAll();
      if (!IsCurrent)
        co_await sleepFor(Context, RetryDelay);
      Wait = milliseconds(0); // the read may have taken long
      continue;
    }
    const instant Sent = readClock();
    const platform::watch_result Watch =
        co_await Store.watch(platform::OperatorPrefix, Revision, Wait);
    if (Watch.Error) {
      noteFailure("watch", Watch.Error, Sent);
      Wait = milliseconds(0); // confirms the view at once
      IsCurrent = Watch.Error != errc::NotFound;
      const bool HasWaited = Watch.Error == errc::DeadlineExceeded;
      if (IsCurrent && !HasWaited)
        co_await sleepFor(Context, RetryDelay);
      continue;
    }
    Revision = Watch.Revision;
    const bool HasWaited = Watch.Changes.empty() && readClock() - Sent >= Wait;
    const instant AsOf = HasWaited ? Sent + Wait : Sent;
    // A change may have come long after the call.
    Wait = HasWaited ? WatchTimeout : milliseconds(0);
    deployment_view Next = View ? *View : deployment_view{};
    bool HasChanged = false;
    for (const platform::item_change &Change : Watch.Changes)
      HasChanged = applyItem(Next, Change) || HasChanged;
    if (HasChanged)
      publish(std::move(Next));
    if (Watch.IsWhole)
      confirm(AsOf);
  }
}

task<bool> deployment_feed::readAll() {
  const instant Sent = readClock();
  const platform::range_read Range =
      co_await Store.readPrefix(platform::OperatorPrefix);
  if (Range.Error) {
    noteFailure("read", Range.Error, Sent);
    co_return false;
  }
  deployment_view Next = View ? *View : deployment_view{};
  Next.Evacuated.clear();
  for (const platform::store_item &Item : Range.Items)
    applyItem(Next, {Item, false});
  Revision = Range.Revision;
  if (Next.Config.Version != 0)
    publish(std::move(Next));
  confirm(Sent);
  co_return true;
}

void deployment_feed::noteFailure(std::string_view Call,
                                  const std::error_code &Error, instant Sent) {
  Metrics.noteFailedConfigurationCall(Call);
  writeLog(events::WatchFailed,
           {{"watch", "configuration"},
            {"call", std::string(Call)},
            {"error", Error.message()},
            {"took_ms", std::to_string((readClock() - Sent).count())},
            {"revision", std::to_string(Revision)}});
}

/// Applies one stored item; returns whether the view has changed.
bool deployment_feed::applyItem(deployment_view &Next,
                                const platform::item_change &Change) {
  const std::string &Key = Change.Item.Key;
  if (Key.starts_with(platform::EvacuationPrefix)) {
    const data_centre_id Name(
        Key.substr(std::string_view(platform::EvacuationPrefix).size()));
    if (Change.IsRemoved)
      Next.Evacuated.erase(Name);
    else
      Next.Evacuated.insert(Name);
    return true;
  }
  if (Key != platform::ConfigKey || Change.IsRemoved)
    return false;
  auto Parsed = platform::parseConfig(Change.Item.Value);
  if (!Parsed.Result) {
    writeLog(events::ConfigurationUnreadable,
             {{"revision", std::to_string(Change.Item.Revision)},
              {"reason", Parsed.Reason}});
    return false;
  }
  if (Parsed.Result->Version <= Next.Config.Version)
    return false;
  Next.Config = std::move(*Parsed.Result);
  return true;
}

void deployment_feed::publish(deployment_view Next) {
  const bool IsNewVersion =
      !View || View->Config.Version != Next.Config.Version;
  if (IsNewVersion)
    writeLog(events::ConfigurationInForce,
             {{"version", std::to_string(Next.Config.Version)},
              {"queues", std::to_string(Next.Config.Queues.size())},
              {"revision", std::to_string(Revision)}});
  if (!View || View->Evacuated != Next.Evacuated) {
    std::string Names;
    for (const data_centre_id &Name : Next.Evacuated)
      Names += (Names.empty() ? "" : ",") + Name.Value;
    writeLog(events::EvacuationsChanged, {{"evacuated", Names}});
  }
  View = std::make_shared<const deployment_view>(std::move(Next));
  OnChange(*View);
}

void deployment_feed::confirm(instant AsOf) {
  ConfirmedAt = std::max(ConfirmedAt, AsOf);
  if (View)
    OnConfirmed(ConfirmedAt);
}

} // namespace galenastage
