#pragma once

// Client of the platform's key-value service, in the JSON form of the etcd v3
// API. Every call counts against the service's budget, a waiting watch as one.
//
// Index of this file
// [1] Entries
// [2] Writes
// [3] Watches
// [4] The client

#include "net/http.hpp"

#include <cstdint>
#include <variant>

namespace galenastage {

// [1] Entries

struct store_entry {
  std::string Key;
  std::string Value;
  std::int64_t CreateRevision = 0; //
  std::int64_t ModRevision = 0;    // revision of its last change

  friend bool operator==(const store_entry &, const store_entry &) = default;
};

struct store_read {
  std::error_code Error;     // clear: Entries is complete
  std::int64_t Revision = 0; // of the store at the time of the read
  std::vector<store_entry> Entries;
};

// [2] Writes

/// A condition that must hold for a transaction to be applied.
struct key_missing {
  std::string Key;
};
struct revision_is {
  std::string Key;
  std::int64_t ModRevision = 0;
};
struct value_is {
  std::string Key;
  std::string Value;
};
using store_condition = std::variant<key_missing, revision_is, value_is>;

struct put_key {
  std::string Key;
  std::string Value;
  std::int64_t Lease = 0; // 0: none
};
struct delete_key {
  std::string Key;
};
using store_change = std::variant<put_key, delete_key>;

/// Applies all changes if all conditions hold, and none otherwise.
struct store_transaction {
  std::vector<store_condition> Conditions;
  std::vector<store_change> Changes;
};

struct store_write {
  std::error_code Error;             // clear: IsApplied is certain
  verdict Verdict = verdict::NotRun; // Unknown: it may have been applied
  bool IsApplied = false;
  std::int64_t Revision = 0; // of the store after the call
};

struct store_lease {
  std::error_code Error;
  std::int64_t Id = 0;
};

// [3] Watches

/// One change that a watch reports.
struct store_event {
  bool IsDelete = false;
  store_entry Entry; // a deletion has only Key and ModRevision
};

struct watch_callbacks {
  std::function<void(const store_event &)> OnEvent;
  /// Called once the watch is established; changes after Revision are reported.
  std::function<void(std::int64_t Revision)> OnReady;
  /// Checked at each message; false ends the watch. Empty: never ends it.
  std::function<bool()> ShouldContinue;
};

// [4] The client

class store_client {
public:
  store_client(asio::io_context &Context, endpoint Service,
               std::string LocalAddress = "");

  /// Reads one key.
  task<store_read> read(std::string Key);

  /// Reads all keys with this prefix, page by page, at one revision.
  task<store_read> readPrefix(std::string Prefix);

  /// Commits one transaction. If Verdict is Unknown it may have been applied:
  /// read it back before reporting a result.
  task<store_write> commit(store_transaction Transaction);

  /// Commits several independent transactions in one call. The conditions of
  /// each decide on it alone. Returns one result for each, in order.
  task<std::vector<store_write>>
  commitGroup(std::vector<store_transaction> Transactions);

  task<store_lease> grantLease(seconds Life);
  /// Renews a lease. errc::NotFound: it has expired.
  task<std::error_code> renewLease(std::int64_t Id);
  task<std::error_code> revokeLease(std::int64_t Id);

  /// Reports changes under the prefix from the given revision on, until the
  /// watch ends. errc::NotFound: the revision was compacted; read the prefix
  /// again.
  task<std::error_code> watch(std::string Prefix, std::int64_t FromRevision,
                              watch_callbacks Callbacks);

  /// Calls made so far.
  [[nodiscard]] std::uint64_t calls() const { return Calls; }

private:
  task<http_result> call(std::string Path, std::string Body);

  http_client Http;
  endpoint Service;
  std::atomic<std::uint64_t> Calls{0};
};

/// The exclusive upper bound of the keys with this prefix.
std::string prefixEnd(std::string Prefix);

} // namespace galenastage
