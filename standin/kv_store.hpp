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

/// The data of a small key-value service that behaves as etcd v3 does:
/// revisions, transactions, leases and a history for watches. It has no clock;
/// the caller passes the moment.
class kv_store {
public:
  /// Each takes and gives the JSON form of the etcd v3 API. They throw
  /// nlohmann::json::exception on malformed requests.
  nlohmann::json range(const nlohmann::json &Request) const;
  nlohmann::json transact(const nlohmann::json &Request);
  nlohmann::json grantLease(const nlohmann::json &Request, instant Now);
  nlohmann::json keepLease(const nlohmann::json &Request, instant Now);
  nlohmann::json revokeLease(const nlohmann::json &Request);

  /// Deletes the keys whose lease has run out.
  void expireLeases(instant Now);

  [[nodiscard]] std::int64_t revision() const { return Revision; }

  /// Forgets the history up to this revision.
  void compact(std::int64_t UpTo);
  [[nodiscard]] std::int64_t compactedRevision() const { return Compacted; }

  /// Changes of keys in [Key, End) from a revision on, oldest first.
  [[nodiscard]] std::vector<kv_change>
  changesSince(std::int64_t FromRevision, const std::string &Key,
               const std::string &End) const;

  static nlohmann::json printPair(const kv_pair &Pair);

private:
  struct lease {
    seconds Life{0};
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
