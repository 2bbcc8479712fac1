#include "standin/kv_store.hpp"

#include "net/base64.hpp"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace galenastage::standin {
namespace {

using nlohmann::json;

constexpr std::size_t MaxHistory = 100'000; // changes kept for watches
constexpr std::size_t MaxValueBytes = 1'024 * 1'024;
constexpr std::size_t MaxOperations = 128; // in one transaction

std::string bytesAt(const json &Object, const char *Field) {
  const auto Bytes = decodeBase64(Object.value(Field, ""));
  if (!Bytes)
    throw std::invalid_argument(std::string(Field) + " is not base64");
  return *Bytes;
}

std::int64_t integerAt(const json &Object, const char *Field) {
  if (!Object.contains(Field))
    return 0;
  const json &Value = Object.at(Field);
  return Value.is_string() ? std::stoll(Value.get<std::string>())
                           : Value.get<std::int64_t>();
}

/// Whether Key lies in [From, End). An empty End selects From alone, a zero
/// byte means no upper bound.
bool isInRange(const std::string &Key, const std::string &From,
               const std::string &End) {
  if (End.empty())
    return Key == From;
  return Key >= From && (End == std::string(1, '\0') || Key < End);
}

} // namespace

json kv_store::printPair(const kv_pair &Pair) {
  return {{"key", encodeBase64(Pair.Key)},
          {"value", encodeBase64(Pair.Value)},
          {"create_revision", std::to_string(Pair.CreateRevision)},
          {"mod_revision", std::to_string(Pair.ModRevision)},
          {"version", std::to_string(Pair.Version)},
          {"lease", std::to_string(Pair.Lease)}};
}

json kv_store::header() const {
  return {{"revision", std::to_string(Revision)}};
}

json kv_store::range(const json &Request) const {
  const std::string From = bytesAt(Request, "key");
  const std::string End = bytesAt(Request, "range_end");
  const std::int64_t Limit = integerAt(Request, "limit");
  json Found = json::array();
  std::int64_t Count = 0;
  for (auto It = Pairs.lower_bound(From);
       It != Pairs.end() && isInRange(It->first, From, End); ++It) {
    ++Count;
    if (Limit == 0 || Count <= Limit)
      Found.push_back(printPair(It->second));
  }
  return {{"header", header()},
          {"kvs", std::move(Found)},
          {"more", Limit > 0 && Count > Limit},
          {"count", std::to_string(Count)}};
}

json kv_store::transact(const json &Request) {
  WriteRevision = Revision + 1;
  json Answer = applyTransaction(Request);
  Answer["header"] = header();
  return Answer;
}

json kv_store::applyTransaction(const json &Request) {
  bool Succeeds = true;
  if (Request.contains("compare"))
    for (const json &Condition : Request.at("compare"))
      Succeeds = Succeeds && holds(Condition);
  const char *Branch = Succeeds ? "success" : "failure";
  json Answer = {{"succeeded", Succeeds}, {"responses", json::array()}};
  if (Request.contains(Branch))
    Answer["responses"] = applyOperations(Request.at(Branch));
  return Answer;
}

json kv_store::applyOperations(const json &Operations) {
  if (Operations.size() > MaxOperations)
    throw std::invalid_argument("too many operations in txn request");
  json Responses = json::array();
  for (const json &Operation : Operations)
    Responses.push_back(applyOperation(Operation));
  return Responses;
}

json kv_store::applyOperation(const json &Operation) {
  if (Operation.contains("request_put"))
    return {{"response_put", put(Operation.at("request_put"))}};
  if (Operation.contains("request_delete_range"))
    return {{"response_delete_range",
             deleteRange(Operation.at("request_delete_range"))}};
  if (Operation.contains("request_range"))
    return {{"response_range", range(Operation.at("request_range"))}};
  if (Operation.contains("request_txn"))
    return {{"response_txn", applyTransaction(Operation.at("request_txn"))}};
  throw std::invalid_argument("unknown operation");
}

bool kv_store::holds(const json &Condition) const {
  const auto Found = Pairs.find(bytesAt(Condition, "key"));
  const kv_pair Pair = Found == Pairs.end() ? kv_pair{} : Found->second;
  const auto Target = Condition.value("target", "VERSION");
  if (Condition.value("result", "EQUAL") != "EQUAL")
    throw std::invalid_argument("only EQUAL is known here");
  if (Target == "CREATE")
    return Pair.CreateRevision == integerAt(Condition, "create_revision");
  if (Target == "MOD")
    return Pair.ModRevision == integerAt(Condition, "mod_revision");
  if (Target == "VALUE")
    return Found != Pairs.end() && Pair.Value == bytesAt(Condition, "value");
  return Pair.Version == integerAt(Condition, "version");
}

json kv_store::put(const json &Request) {
  const std::string Key = bytesAt(Request, "key");
  std::string Value = bytesAt(Request, "value");
  const std::int64_t Lease = integerAt(Request, "lease");
  if (Value.size() > MaxValueBytes)
    throw std::invalid_argument("value is too large");
  if (Lease != 0 && !Leases.contains(Lease))
    throw std::invalid_argument("requested lease not found");
  Revision = WriteRevision;
  kv_pair &Pair = Pairs[Key];
  if (Pair.Version == 0)
    Pair.CreateRevision = Revision;
  Pair.Key = Key;
  Pair.Value = std::move(Value);
  Pair.ModRevision = Revision;
  Pair.Lease = Lease;
  ++Pair.Version;
  History.push_back({false, Pair});
  if (History.size() > MaxHistory)
    compact(History.front().Pair.ModRevision);
  return {{"header", header()}};
}

json kv_store::deleteRange(const json &Request) {
  const std::string From = bytesAt(Request, "key");
  const std::string End = bytesAt(Request, "range_end");
  std::vector<std::string> Keys;
  for (auto It = Pairs.lower_bound(From);
       It != Pairs.end() && isInRange(It->first, From, End); ++It)
    Keys.push_back(It->first);
  for (const std::string &Key : Keys)
    erase(Key);
  return {{"header", header()}, {"deleted", std::to_string(Keys.size())}};
}

void kv_store::erase(const std::string &Key) {
  Revision = WriteRevision;
  Pairs.erase(Key);
  kv_pair Gone;
  Gone.Key = Key;
  Gone.ModRevision = Revision;
  History.push_back({true, std::move(Gone)});
}

json kv_store::grantLease(const json &Request, instant Now) {
  const seconds Lifetime(std::max<std::int64_t>(1, integerAt(Request, "TTL")));
  const std::int64_t Id = ++NextLease;
  Leases[Id] = {Lifetime, Now + Lifetime};
  return {{"header", header()},
          {"ID", std::to_string(Id)},
          {"TTL", std::to_string(Lifetime.count())}};
}

json kv_store::keepLease(const json &Request, instant Now) {
  const std::int64_t Id = integerAt(Request, "ID");
  const auto Found = Leases.find(Id);
  seconds Left{0};
  if (Found != Leases.end()) {
    Left = Found->second.Lifetime;
    Found->second.Expires = Now + Left;
  }
  return {{"result",
           {{"header", header()},
            {"ID", std::to_string(Id)},
            {"TTL", std::to_string(Left.count())}}}};
}

json kv_store::revokeLease(const json &Request) {
  const std::int64_t Id = integerAt(Request, "ID");
  eraseOfLease(Id);
  Leases.erase(Id);
  return {{"header", header()}};
}

void kv_store::expireLeases(instant Now) {
  std::vector<std::int64_t> Expired;
  for (const auto &[Id, Lease] : Leases)
    if (Now >= Lease.Expires)
      Expired.push_back(Id);
  for (const std::int64_t Id : Expired) {
    eraseOfLease(Id);
    Leases.erase(Id);
  }
}

void kv_store::eraseOfLease(std::int64_t Lease) {
  std::vector<std::string> Keys;
  for (const auto &[Key, Pair] : Pairs)
    if (Pair.Lease == Lease)
      Keys.push_back(Key);
  WriteRevision = Revision + 1;
  for (const std::string &Key : Keys)
    erase(Key);
}

void kv_store::compact(std::int64_t UpTo) {
  while (!History.empty() && History.front().Pair.ModRevision <= UpTo)
    History.pop_front();
  Compacted = std::max(Compacted, UpTo);
}

std::vector<kv_change> kv_store::changesSince(std::int64_t FromRevision,
                                              const std::string &Key,
                                              const std::string &End) const {
  std::vector<kv_change> Changes;
  for (auto It = History.rbegin();
       It != History.rend() && It->Pair.ModRevision >= FromRevision; ++It)
    if (isInRange(It->Pair.Key, Key, End))
      Changes.push_back(*It);
  return {Changes.rbegin(), Changes.rend()};
}

} // namespace galenastage::standin
