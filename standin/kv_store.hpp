#pragma once

#include "core/types.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace galenastage::standin {

/// One version of one key.
struct kv_pair {
  std::string Key;
  std::string Value;
  std::int64_t CreateRevision = 0;
  std::int64_t ModRevision = 0;
  std::int64_t Version = 0;
  std::int64_t Lease = 0;
};

struct kv_change {
  bool IsDelete = false;
  kv_pair Pair;
};

/// An in-memory key-value store with the semantics of etcd v3: revisions,
/// transactions, leases and a change history for watches. It has no clock; the
/// caller passes the current time.
class kv_store {
public:
  /// Each takes and returns the JSON form of the etcd v3 API and throws
  /// nlohmann::json::exception on a malformed request.
  nlohmann::json range(const nlohmann::json &Request) const;
  nlohmann::json transact(const nlohmann::json &Request);
  nlohmann::json grantLease(const nlohmann::json &Request, instant Now);
  nlohmann::json keepLease(const nlohmann::json &Request, instant Now);
  nlohmann::json revokeLease(const nlohmann::json &Request);

  /// Deletes the keys whose lease has expired.
  void expireLeases(instant Now);

  [[nodiscard]] std::int64_t revision() const { return Revision; }

  /// Discards the history up to and including this revision.
  void compact(std::int64_t UpTo);
  [[nodiscard]] std::int64_t compactedRevision() const { return Compacted; }

  /// Changes of keys in [Key, End) since FromRevision (inclusive), oldest
  /// first.
  [[nodiscard]] std::vector<kv_change>
  changesSince(std::int64_t FromRevision, const std::string &Key,
               const std::string &End) const;

  static nlohmann::json printPair(const kv_pair &Pair);

private:
  struct lease {
    seconds Lifetime{0};
    instant Expires{};
  };

  nlohmann::json applyOperations(const nlohmann::json &Operations);
  nlohmann::json applyOperation(const nlohmann::json &Operation);
  nlohmann::json applyTransaction(const nlohmann::json &Request);
  nlohmann::json put(const nlohmann::json &Request);
  nlohmann::json deleteRange(const nlohmann::json &Request);
  [[nodiscard]] bool holds(const nlohmann::json &Condition) const;
  void erase(const std::string &Key);
  void eraseOfLease(std::int64_t Lease);
  [[nodiscard]] nlohmann::json header() const;

  std::map<std::string, kv_pair> Pairs;
  std::map<std::int64_t, lease> Leases;
  std::deque<kv_change> History;
  std::int64_t Revision = 1;
  std::int64_t WriteRevision = 1; // of the transaction in progress
  std::int64_t Compacted = 0;
  std::int64_t NextLease = 1'000;
};

} // namespace galenastage::standin
