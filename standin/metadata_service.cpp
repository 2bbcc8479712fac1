#include "standin/metadata_service.hpp"

#include "apps/runtime/process.hpp"
#include "net/base64.hpp"

#include <nlohmann/json.hpp>

#include <charconv>

namespace galenastage::standin {
namespace {

using json = nlohmann::json;

constexpr milliseconds WatchPoll{10}; // polling interval
constexpr milliseconds Silence{60'000};

std::string decodeQuery(std::string_view Text) {
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    unsigned Byte = 0;
    const bool IsEscape =
        Text[I] == '%' && I + 2 < Text.size() &&
        std::from_chars(&Text[I + 1], &Text[I + 3], Byte, 16).ec == std::errc();
    Decoded.push_back(IsEscape ? static_cast<char>(Byte) : Text[I]);
    I += IsEscape ? 2 : 0;
  }
  return Decoded;
}

std::int64_t number(std::string_view Text) {
  std::int64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

http_response status(unsigned Status) { return jsonResponse(Status, "{}"); }

} // namespace

metadata_service::metadata_service(asio::io_context &Context,
                                   const endpoint &Endpoint)
    : Context(Context), Server(Context, Endpoint, [this](http_request Request) {
        return handle(std::move(Request));
      }) {}

void metadata_service::put(const std::string &Key, const std::string &Value) {
  write(Key, Value, 0, ++Revision);
}

void metadata_service::remove(const std::string &Key) {
  erase(Key, ++Revision);
}

std::string metadata_service::value(const std::string &Key) const {
  const auto Found = Items.find(Key);
  return Found == Items.end() ? std::string() : Found->second.Value;
}

void metadata_service::forgetHistory() {
  History.clear();
  Forgotten = ++Revision;
}

std::int64_t metadata_service::watchedAfter(const std::string &Prefix) const {
  const auto Found = Watched.find(Prefix);
  return Found == Watched.end() ? -1 : Found->second;
}

void metadata_service::endLease(std::int64_t Id) {
  if (Leases.erase(Id) == 0)
    return;
  std::vector<std::string> Keys;
  for (const auto &[Key, Item] : Items)
    if (Item.Lease == Id)
      Keys.push_back(Key);
  ++Revision;
  for (const std::string &Key : Keys)
    erase(Key, Revision);
}

void metadata_service::expireLeases() {
  const instant Now = readClock();
  std::vector<std::int64_t> Over;
  for (const auto &[Id, Lease] : Leases)
    if (Now >= Lease.Expires)
      Over.push_back(Id);
  for (const std::int64_t Id : Over)
    endLease(Id);
}

void metadata_service::write(const std::string &Key, const std::string &Value,
                             std::int64_t Lease, std::int64_t At) {
  const auto Found = Items.find(Key);
  const std::int64_t Created =
      Found == Items.end() ? At : Found->second.Created;
  Items[Key] = {Value, At, Created, Lease};
  History.push_back({Key, Items[Key], false});
}

void metadata_service::erase(const std::string &Key, std::int64_t At) {
  if (Items.erase(Key) == 1)
    History.push_back({Key, {"", At, 0, 0}, true});
}

json metadata_service::print(const std::string &Key, const item &Item) const {
  return {{"key", Key},
          {"value", encodeBase64(Item.Value)},
          {"revision", Item.Revision},
          {"created", Item.Created},
          {"lease", Item.Lease}};
}

json metadata_service::changesAfter(const std::string &Prefix,
                                    std::int64_t After) const {
  json Events = json::array();
  std::int64_t Last = 0; // changes of one revision stay together
  for (const change &Change : History) {
    if (Change.Item.Revision <= After || !Change.Key.starts_with(Prefix))
      continue;
    if (Events.size() >= Faults.WatchItems && Change.Item.Revision != Last)
      break;
    Last = Change.Item.Revision;
    if (Change.IsRemoved)
      Events.push_back({{"key", Change.Key},
                        {"revision", Change.Item.Revision},
                        {"deleted", true}});
    else
      Events.push_back(print(Change.Key, Change.Item));
  }
  return Events;
}

task<http_response> metadata_service::handle(http_request Request) {
  ++Calls;
  expireLeases();
  const bool IsWatch = Request.path() == "/v1/kv-watch";
  if (Faults.IsSilent || (Faults.IgnoresWatches && IsWatch))
    co_await sleepFor(Context, Silence);
  const bool IsRange = Request.path() == "/v1/kv-range";
  if (Faults.IsBusy || (Faults.RejectsRanges && IsRange))
    co_return status(503);
  if (Faults.IsOverRate)
    co_return status(429);
  const bool IsWrite = Request.path() == "/v1/kv-txn";
  while (IsWrite && Faults.HoldsWrites)
    co_await sleepFor(Context, WatchPoll);
  http_response Response;
  if (Faults.DefersWrites && IsWrite) {
    Deferred.push_back(Request.Body);
    Response.Status = 0;
    co_return Response;
  }
  if (IsWatch) {
    Response = co_await watch(Request);
  } else {
    try {
      Response = act(Request);
    } catch (const json::exception &) {
      Response = status(400);
    }
  }
  PagesRead += IsRange ? 1 : 0;
  while (IsRange && Faults.HoldsRanges)
    co_await sleepFor(Context, WatchPoll);
  if (Faults.LosesAnswers)
    Response.Status = 0;
  co_return Response;
}

task<http_response> metadata_service::watch(const http_request &Request) {
  const std::string Prefix = decodeQuery(Request.query("prefix"));
  const std::int64_t After = number(Request.query("after"));
  Watched[Prefix] = After;
  WatchWait = milliseconds(number(Request.query("wait_ms")));
  const instant Until = readClock() + WatchWait;
  for (;;) {
    expireLeases();
    if (After < Forgotten)
      co_return status(410);
    json Events = changesAfter(Prefix, After);
    if (!Events.empty() || readClock() >= Until) {
      const bool IsCut = Events.size() >= Faults.WatchItems;
      const json Body = {{"at_revision", IsCut ? Events.back().at("revision")
                                               : json(Revision)},
                         {"events", std::move(Events)}};
      co_return jsonResponse(200, Body.dump());
    }
    co_await sleepFor(Context, WatchPoll);
  }
}

http_response metadata_service::act(const http_request &Request) {
  const std::string Path(Request.path());
  if (Path == "/v1/kv-key") {
    const std::string Key = decodeQuery(Request.query("key"));
    const auto Found = Items.find(Key);
    if (Found == Items.end())
      return status(404);
    json Body = print(Key, Found->second);
    Body["at_revision"] = Revision;
    return jsonResponse(200, Body.dump());
  }
  if (Path == "/v1/kv-range")
    return readRange(Request);
  if (Path == "/v1/kv-txn") {
    if (Faults.WritesLeft && --*Faults.WritesLeft < 0)
      return status(503);
    return commit(Request.Body);
  }
  return handleLease(Path, Request.Body);
}

http_response metadata_service::readRange(const http_request &Request) const {
  const std::string Prefix = decodeQuery(Request.query("prefix"));
  const std::string After = decodeQuery(Request.query("after"));
  json Page = json::array();
  bool HasMore = false;
  for (const auto &[Key, Item] : Items) {
    if (!Key.starts_with(Prefix) || (!After.empty() && Key <= After))
      continue;
    HasMore = Page.size() >= Faults.PageItems;
    if (HasMore)
      break;
    Page.push_back(print(Key, Item));
  }
  const json Body = {{"items", std::move(Page)},
                     {"has_more", HasMore},
                     {"at_revision", Revision}};
  return jsonResponse(200, Body.dump());
}

http_response metadata_service::commit(const std::string &Text) {
  const json Body = json::parse(Text);
  json Current = json::array();
  bool Holds = true;
  for (const json &Row : Body.value("precondition", json::array())) {
    const auto Key = Row.at("key").get<std::string>();
    const auto Found = Items.find(Key);
    const std::int64_t Now = Found == Items.end() ? 0 : Found->second.Revision;
    Holds = Holds && Now == Row.at("revision").get<std::int64_t>();
    Current.push_back(Found == Items.end() ? json{{"key", Key}, {"revision", 0}}
                                           : print(Key, Found->second));
  }
  if (!Holds)
    return jsonResponse(412, json{{"items", std::move(Current)}}.dump());
  for (const json &Row : Body.value("write", json::array())) {
    const auto Lease = Row.value("lease", std::int64_t{0});
    if (Lease != 0 && !Leases.contains(Lease))
      return status(404);
  }
  for (const json &Row : Body.value("write", json::array())) {
    const auto Value = decodeBase64(Row.at("value").get<std::string>());
    if (Value.value_or("").size() > Faults.MaxValueBytes)
      return status(413);
  }
  ++Revision;
  for (const json &Row : Body.value("write", json::array()))
    write(Row.at("key").get<std::string>(),
          decodeBase64(Row.at("value").get<std::string>()).value_or(""),
          Row.value("lease", std::int64_t{0}), Revision);
  for (const json &Key : Body.value("remove", json::array()))
    erase(Key.get<std::string>(), Revision);
  return jsonResponse(200, json{{"revision", Revision}}.dump());
}

void metadata_service::carryOutDeferred() {
  for (const std::string &Body : std::exchange(Deferred, {}))
    commit(Body);
}

http_response metadata_service::handleLease(const std::string &Path,
                                            const std::string &Body) {
  constexpr std::string_view Keep = "/v1/kv-keep/";
  constexpr std::string_view End = "/v1/kv-lease-end/";
  if (Path == "/v1/kv-lease") {
    const milliseconds Life(json::parse(Body).at("ttl_ms").get<std::int64_t>());
    const std::int64_t Id = NextLease++;
    Leases[Id] = {Life, readClock() + Life};
    return jsonResponse(200,
                        json{{"lease", Id}, {"ttl_ms", Life.count()}}.dump());
  }
  if (Path.starts_with(End)) {
    endLease(number(std::string_view(Path).substr(End.size())));
    return status(200);
  }
  if (!Path.starts_with(Keep))
    return status(404);
  const auto Found =
      Leases.find(number(std::string_view(Path).substr(Keep.size())));
  if (Found == Leases.end())
    return status(404);
  Found->second.Expires = readClock() + Found->second.Life;
  return jsonResponse(200, json{{"ttl_ms", Found->second.Life.count()}}.dump());
}

} // namespace galenastage::standin
