#include "apps/runtime/platform_feed.hpp"

#include "apps/runtime/logging.hpp"
#include "apps/runtime/process.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace galenastage {
namespace {

constexpr milliseconds WatchRetryDelay{500};

/// Turns what the store holds into tables_seen, and logs changes of its
/// reachability once.
class tables_feed {
public:
  explicit tables_feed(std::function<void(tables_seen)> OnTables)
      : OnTables(std::move(OnTables)) {}

  void take(const std::string &Text, instant AsOf) {
    if (Text != LastText) {
      parsed_tables Parsed = parseTables(Text);
      LastText = Text;
      if (!Parsed.Tables) {
        const table_problem &First = Parsed.Problems.front();
        writeLog(events::TablesUnreadable,
                 {{"field", First.Field}, {"rule", First.Rule}});
        Last = nullptr;
        return;
      }
      Last = std::make_shared<const tables>(std::move(*Parsed.Tables));
    }
    if (Last)
      OnTables({Last, AsOf});
  }

  void noteReachable(const std::error_code &Error) {
    const bool IsReachable = !Error;
    if (IsReachable == WasReachable)
      return;
    WasReachable = IsReachable;
    if (IsReachable)
      writeLog(events::StoreReachable, {});
    else
      writeLog(events::StoreUnreachable, {{"error", Error.message()}});
  }

private:
  std::function<void(tables_seen)> OnTables;
  std::string LastText;
  std::shared_ptr<const tables> Last;
  bool WasReachable = true;
};

task<void> confirmLoop(asio::io_context &Context, store_client &Store,
                       std::shared_ptr<tables_feed> Feed,
                       milliseconds Interval) {
  for (;;) {
    const instant AsOf = readClock();
    const store_read Read = co_await Store.read(std::string(TablesKey));
    Feed->noteReachable(Read.Error);
    if (!Read.Error && !Read.Entries.empty())
      Feed->take(Read.Entries.front().Value, AsOf);
    co_await sleepFor(Context, Interval);
  }
}

} // namespace

task<void> feedTables(asio::io_context &Context, store_client &Store,
                      milliseconds ConfirmInterval,
                      std::function<void(tables_seen)> OnTables) {
  auto Feed = std::make_shared<tables_feed>(std::move(OnTables));
  asio::co_spawn(Context, confirmLoop(Context, Store, Feed, ConfirmInterval),
                 asio::detached);
  for (;;) {
    watch_callbacks Callbacks;
    Callbacks.OnEvent = [Feed](const store_event &Event) {
      if (!Event.IsDelete && Event.Entry.Key == TablesKey)
        Feed->take(Event.Entry.Value, readClock());
    };
    co_await Store.watch(std::string(TablesKey), 0, std::move(Callbacks));
    co_await sleepFor(Context, WatchRetryDelay);
  }
}

task<void>
feedInstances(asio::io_context &Context, instance_list_client &List,
              instance_kind Kind, data_centre_id DataCentre,
              milliseconds Interval,
              std::function<void(std::vector<instance>)> OnInstances) {
  for (;;) {
    instance_read Read = co_await List.read(Kind, DataCentre);
    if (!Read.Error)
      OnInstances(std::move(Read.Instances));
    co_await sleepFor(Context, Interval);
  }
}

} // namespace galenastage
