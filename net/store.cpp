#include "net/store.hpp"

#include "core/error.hpp"
#include "core/json_text.hpp"
#include "net/base64.hpp"

#include <nlohmann/json.hpp>

namespace galenastage {
namespace {

using nlohmann::json;

constexpr milliseconds CallTimeout{1'000};
// A watch that receives nothing for this long, not even progress messages, is
// taken for broken.
constexpr milliseconds WatchIdleTimeout{30'000};
constexpr int PageSize = 500; // keys per range call
constexpr std::size_t MaxAnswerBytes = 64 * 1'024 * 1'024; // as of the client

std::int64_t integerOf(const json &Value) {
  // The JSON API sends 64-bit integers as strings, but small ones may be
  // numbers.
  return Value.is_string() ? std::stoll(Value.get<std::string>())
                           : Value.get<std::int64_t>();
}

std::int64_t integerAt(const json &Object, const char *Field) {
  return Object.contains(Field) ? integerOf(Object.at(Field)) : 0;
}

std::int64_t revisionOf(const json &Answer) {
  return Answer.contains("header") ? integerAt(Answer.at("header"), "revision")
                                   : 0;
}

store_entry entryOf(const json &Item) {
  const auto Key = decodeBase64(Item.at("key").get<std::string>());
  const auto Value = decodeBase64(Item.value("value", ""));
  if (!Key || !Value)
    throw std::invalid_argument("not base64");
  return {*Key, *Value, integerAt(Item, "create_revision"),
          integerAt(Item, "mod_revision")};
}

json conditionJson(const store_condition &Condition) {
  return std::visit(overloaded{[](const key_missing &Missing) {
                                 return json{{"key", encodeBase64(Missing.Key)},
                                             {"target", "CREATE"},
                                             {"result", "EQUAL"},
                                             {"create_revision", "0"}};
                               },
                               [](const revision_is &Is) {
                                 return json{{"key", encodeBase64(Is.Key)},
                                             {"target", "MOD"},
                                             {"result", "EQUAL"},
                                             {"mod_revision",
                                              std::to_string(Is.ModRevision)}};
                               },
                               [](const value_is &Is) {
                                 return json{{"key", encodeBase64(Is.Key)},
                                             {"target", "VALUE"},
                                             {"result", "EQUAL"},
                                             {"value", encodeBase64(Is.Value)}};
                               }},
                    Condition);
}

json changeJson(const store_change &Change) {
  return std::visit(
      overloaded{[](const put_key &Put) {
                   return json{{"request_put",
                                {{"key", encodeBase64(Put.Key)},
                                 {"value", encodeBase64(Put.Value)},
                                 {"lease", std::to_string(Put.Lease)}}}};
                 },
                 [](const delete_key &Delete) {
                   return json{{"request_delete_range",
                                {{"key", encodeBase64(Delete.Key)}}}};
                 }},
      Change);
}

json transactionJson(const store_transaction &Transaction) {
  json Body = {{"compare", json::array()}, {"success", json::array()}};
  for (const store_condition &Condition : Transaction.Conditions)
    Body["compare"].push_back(conditionJson(Condition));
  for (const store_change &Change : Transaction.Changes)
    Body["success"].push_back(changeJson(Change));
  return Body;
}

/// Calls ReadJson on the parsed response; an exception gives MalformedAnswer.
template <typename Read>
std::error_code readAnswer(const http_result &Result, Read ReadJson) {
  if (Result.Error)
    return Result.Verdict == verdict::Unknown ? errc::StoreAnswerLost
                                              : errc::StoreUnavailable;
  if (Result.Response.Status == 404)
    return errc::NotFound;
  if (Result.Response.Status != 200)
    return errc::StoreUnavailable;
  try {
    ReadJson(parseJson(Result.Response.Body, MaxAnswerBytes));
    return {};
  } catch (const std::exception &) {
    return errc::MalformedAnswer;
  }
}

verdict writeVerdict(const http_result &Result, const std::error_code &Error) {
  if (!Error)
    return verdict::Ran;
  // Only a request that was never sent is known not to have run.
  return Result.Verdict == verdict::NotRun ? verdict::NotRun : verdict::Unknown;
}

} // namespace

std::string prefixEnd(std::string Prefix) {
  while (!Prefix.empty()) {
    auto &Last = reinterpret_cast<unsigned char &>(Prefix.back());
    if (Last < 0xff) {
      ++Last;
      return Prefix;
    }
    Prefix.pop_back();
  }
  return std::string(1, '\0'); // no upper bound
}

store_client::store_client(asio::io_context &Context, endpoint Service,
                           std::string LocalAddress)
    : Http(Context, std::move(LocalAddress)), Service(std::move(Service)) {}

task<http_result> store_client::call(std::string Path, std::string Body) {
  ++Calls;
  http_request Request;
  Request.Method = "POST";
  Request.Target = std::move(Path);
  Request.Headers.set("Content-Type", "application/json");
  Request.Body = std::move(Body);
  co_return co_await Http.send(Service, std::move(Request), CallTimeout);
}

task<store_read> store_client::read(std::string Key) {
  const json Body = {{"key", encodeBase64(Key)}};
  const http_result Result = co_await call("/v3/kv/range", Body.dump());
  store_read Read;
  Read.Error = readAnswer(Result, [&](const json &Answer) {
    Read.Revision = revisionOf(Answer);
    if (Answer.contains("kvs"))
      for (const json &Item : Answer.at("kvs"))
        Read.Entries.push_back(entryOf(Item));
  });
  co_return Read;
}

task<store_read> store_client::readPrefix(std::string Prefix) {
  store_read Read;
  std::string From = Prefix;
  const std::string End = prefixEnd(Prefix);
  bool HasMore = true;
  while (HasMore && !Read.Error) {
    json Body = {{"key", encodeBase64(From)},
                 {"range_end", encodeBase64(End)},
                 {"limit", std::to_string(PageSize)}};
    // Later pages read at the revision of the first, for a consistent view.
    if (Read.Revision > 0)
      Body["revision"] = std::to_string(Read.Revision);
    const http_result Result = co_await call("/v3/kv/range", Body.dump());
    Read.Error = readAnswer(Result, [&](const json &Answer) {
      if (Read.Revision == 0)
        Read.Revision = revisionOf(Answer);
      const std::size_t Known = Read.Entries.size();
      if (Answer.contains("kvs"))
        for (const json &Item : Answer.at("kvs"))
          Read.Entries.push_back(entryOf(Item));
      HasMore = Answer.value("more", false);
      if (HasMore && Read.Entries.size() == Known)
        throw std::invalid_argument("a page without items isn't the last");
      if (HasMore)
        From = Read.Entries.back().Key + '\0';
    });
  }
  co_return Read;
}

task<store_write> store_client::commit(store_transaction Transaction) {
  const json Body = transactionJson(Transaction);
  const http_result Result = co_await call("/v3/kv/txn", Body.dump());
  store_write Write;
  Write.Error = readAnswer(Result, [&](const json &Answer) {
    Write.IsApplied = Answer.value("succeeded", false);
    Write.Revision = revisionOf(Answer);
  });
  Write.Verdict = writeVerdict(Result, Write.Error);
  co_return Write;
}

task<std::vector<store_write>>
store_client::commitGroup(std::vector<store_transaction> Transactions) {
  // An unconditional transaction of nested ones, each with its own conditions.
  json Body = {{"compare", json::array()}, {"success", json::array()}};
  for (const store_transaction &Transaction : Transactions)
    Body["success"].push_back({{"request_txn", transactionJson(Transaction)}});
  const http_result Result = co_await call("/v3/kv/txn", Body.dump());
  std::vector<store_write> Writes(Transactions.size());
  const std::error_code Error = readAnswer(Result, [&](const json &Answer) {
    for (std::size_t I = 0; I < Writes.size(); ++I) {
      const json &Part = Answer.at("responses").at(I).at("response_txn");
      Writes[I].IsApplied = Part.value("succeeded", false);
      Writes[I].Revision = revisionOf(Answer);
    }
  });
  for (store_write &Write : Writes) {
    Write.Error = Error;
    Write.Verdict = writeVerdict(Result, Error);
  }
  co_return Writes;
}

task<store_lease> store_client::grantLease(seconds Life) {
  const json Body = {{"TTL", std::to_string(Life.count())}};
  const http_result Result = co_await call("/v3/lease/grant", Body.dump());
  store_lease Lease;
  Lease.Error = readAnswer(Result, [&](const json &Answer) {
    Lease.Id = integerOf(Answer.at("ID"));
  });
  co_return Lease;
}

task<std::error_code> store_client::renewLease(std::int64_t Id) {
  const json Body = {{"ID", std::to_string(Id)}};
  const http_result Result = co_await call("/v3/lease/keepalive", Body.dump());
  bool IsAlive = false;
  const std::error_code Error = readAnswer(Result, [&](const json &Answer) {
    IsAlive = integerAt(Answer.at("result"), "TTL") > 0;
  });
  if (Error)
    co_return Error;
  co_return IsAlive ? std::error_code{} : make_error_code(errc::NotFound);
}

task<std::error_code> store_client::revokeLease(std::int64_t Id) {
  const json Body = {{"ID", std::to_string(Id)}};
  const http_result Result = co_await call("/v3/lease/revoke", Body.dump());
  co_return readAnswer(Result, [](const json &) {});
}

task<std::error_code> store_client::watch(std::string Prefix,
                                          std::int64_t FromRevision,
                                          watch_callbacks Callbacks) {
  ++Calls;
  const json Body = {{"create_request",
                      {{"key", encodeBase64(Prefix)},
                       {"range_end", encodeBase64(prefixEnd(Prefix))},
                       {"start_revision", std::to_string(FromRevision)},
                       {"progress_notify", true}}}};
  http_request Request;
  Request.Method = "POST";
  Request.Target = "/v3/watch";
  Request.Headers.set("Content-Type", "application/json");
  Request.Body = Body.dump();

  std::error_code Outcome;
  const auto OnLine = [&](std::string_view Line) {
    if (Callbacks.ShouldContinue && !Callbacks.ShouldContinue())
      return false;
    try {
      const json Result = parseJson(Line, MaxAnswerBytes).at("result");
      if (integerAt(Result, "compact_revision") > 0) {
        Outcome = errc::NotFound;
        return false;
      }
      if (Result.value("canceled", false))
        return false;
      if (Result.value("created", false) && Callbacks.OnReady)
        Callbacks.OnReady(revisionOf(Result));
      if (Result.contains("events"))
        for (const json &Item : Result.at("events"))
          Callbacks.OnEvent(
              {Item.value("type", "PUT") == "DELETE", entryOf(Item.at("kv"))});
      return true;
    } catch (const std::exception &) {
      Outcome = errc::MalformedAnswer;
      return false;
    }
  };
  const std::error_code Error = co_await Http.streamLines(
      Service, std::move(Request), WatchIdleTimeout, OnLine);
  co_return Outcome ? Outcome : Error;
}

} // namespace galenastage
