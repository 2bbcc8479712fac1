#pragma once

// A fake of the metadata store of the users' platform: items with revisions,
// conditional writes, leases and long-polling watches, with injectable faults.

#include "net/http.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace galenastage::standin {

struct metadata_faults {
  bool IsBusy = false;          // 503 to every call
  bool RejectsRanges = false;   // 503 to reads of ranges
  bool IsOverRate = false;      // 429 to every call
  bool LosesAnswers = false;    // acts, then closes without a response
  bool IsSilent = false;        // accepts requests and never responds
  bool IgnoresWatches = false;  // never responds to watches
  std::size_t PageItems = 500;  // items in one page of a range
  std::size_t WatchItems = 500; // changes in one answer to a watch
  bool HoldsRanges = false;     // reads ranges, and responds once this is off
  bool HoldsWrites = false;     // acts on transactions once this is off
  bool DefersWrites = false;    // closes without a response, acts when asked to
  std::size_t MaxValueBytes = 1'048'576; // of an item; 413 beyond
  std::optional<int> WritesLeft; // transactions before 503; nullopt: no limit

  friend bool operator==(const metadata_faults &,
                         const metadata_faults &) = default;
};

class metadata_service {
public:
  metadata_service(asio::io_context &Context, const endpoint &Endpoint);

  metadata_faults Faults;

  [[nodiscard]] endpoint localEndpoint() const {
    return Server.localEndpoint();
  }
  [[nodiscard]] std::uint64_t calls() const { return Calls; }
  /// Pages of ranges that were read, also those not responded yet.
  [[nodiscard]] std::uint64_t pagesRead() const { return PagesRead; }

  /// Writes unconditionally, as the operator or an executor does.
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  /// Value of a key; empty when the key does not exist.
  [[nodiscard]] std::string value(const std::string &Key) const;

  /// Discards the change history: watches from an older revision are refused.
  void forgetHistory();
  /// Revision after which the latest watch of the prefix began; -1: none has.
  [[nodiscard]] std::int64_t watchedAfter(const std::string &Prefix) const;
  /// How long the latest watch wants to wait for a change.
  [[nodiscard]] milliseconds watchWait() const { return WatchWait; }
  /// Revision of the latest change.
  [[nodiscard]] std::int64_t revision() const { return Revision; }
  /// Ends a lease as if it had expired, and removes its keys.
  void endLease(std::int64_t Id);
  /// Acts on the deferred transactions, as far as their conditions still hold.
  void carryOutDeferred();

private:
  struct item {
    std::string Value;
    std::int64_t Revision = 0;
    std::int64_t Created = 0;
    std::int64_t Lease = 0;
  };
  struct change {
    std::string Key;
    item Item;
    bool IsRemoved = false;
  };
  struct lease {
    milliseconds Life{0};
    instant Expires{};
  };

  task<http_response> handle(http_request Request);
  task<http_response> watch(const http_request &Request);
  http_response act(const http_request &Request);
  http_response readRange(const http_request &Request) const;
  http_response commit(const std::string &Body);
  http_response handleLease(const std::string &Path, const std::string &Body);
  void expireLeases();
  void write(const std::string &Key, const std::string &Value,
             std::int64_t Lease, std::int64_t At);
  void erase(const std::string &Key, std::int64_t At);
  [[nodiscard]] nlohmann::json print(const std::string &Key,
                                     const item &Item) const;
  [[nodiscard]] nlohmann::json changesAfter(const std::string &Prefix,
                                            std::int64_t After) const;

  asio::io_context &Context;
  std::map<std::string, item> Items;
  std::map<std::int64_t, lease> Leases;
  std::deque<change> History;
  std::map<std::string, std::int64_t> Watched; // by prefix, see watchedAfter
  milliseconds WatchWait{0};
  std::int64_t Revision = 1;
  std::int64_t Forgotten = 0; // changes up to this revision are discarded
  std::int64_t NextLease = 100;
  std::uint64_t Calls = 0;
  std::uint64_t PagesRead = 0;
  std::vector<std::string> Deferred; // bodies of transactions
  http_server Server;
};

} // namespace galenastage::standin
