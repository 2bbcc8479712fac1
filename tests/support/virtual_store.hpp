#pragma once

// The key-value service as a process of the virtual network.

#include "net/store.hpp"
#include "standin/kv_store.hpp"
#include "tests/support/virtual_network.hpp"

namespace galenastage::test {

inline const std::string StoreName = "store";

class virtual_store {
public:
  explicit virtual_store(virtual_network &Network);

  // Calls, with the results that the platform's client library would give.
  void read(const std::string &From, const std::string &Prefix,
            std::function<void(store_read)> Done);
  void commit(const std::string &From, std::vector<store_transaction> Group,
              std::function<void(std::vector<store_write>)> Done);
  void grantLease(const std::string &From, seconds Life,
                  std::function<void(store_lease)> Done);
  void keepLease(const std::string &From, std::int64_t Id,
                 std::function<void(std::error_code)> Done);
  void revokeLease(const std::string &From, std::int64_t Id);
  /// Reports changes until the watch ends or IsWanted returns false.
  void watch(const std::string &From, const std::string &Prefix,
             std::int64_t FromRevision, std::function<bool()> IsWanted,
             std::function<void(store_event)> OnEvent,
             std::function<void()> OnEnd);

  // Direct access for tests, without the network.
  [[nodiscard]] std::vector<store_entry> entries(const std::string &Prefix);

  // Faults
  void setStale(bool IsStale); // half of the reads return a snapshot of now
  void setWatchesCut(bool AreCut);

  /// Called with each transaction that was applied.
  std::function<void(const store_transaction &)> OnCommit;

private:
  store_write apply(const store_transaction &Transaction);
  void poll(const std::string &From, const std::string &Prefix,
            std::int64_t NextRevision, std::function<bool()> IsWanted,
            std::function<void(store_event)> OnEvent,
            std::function<void()> OnEnd);
  void expire();

  virtual_network &Network;
  standin::kv_store Data;
  std::optional<standin::kv_store> Snapshot; // returned by stale reads
  bool AreWatchesCut = false;
};

} // namespace galenastage::test
