#include "review/standin/store.hpp"

namespace review {
namespace {

using nlohmann::json;

constexpr std::size_t MaxItems = 500; // of a page
constexpr std::string_view Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string &Bytes) {
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    unsigned Group = 0;
    for (std::size_t J = I; J < I + 3; ++J)
      Group = Group << 8U |
              (J < Bytes.size() ? static_cast<unsigned char>(Bytes[J]) : 0U);
    for (unsigned J = 0; J < 4; ++J)
      Text.push_back(
          I + J > Bytes.size() ? '=' : Alphabet[Group >> (18U - 6U * J) & 63U]);
  }
  return Text;
}

std::string decodeBase64(const std::string &Text) {
  std::string Bytes;
  unsigned Group = 0;
  unsigned Bits = 0;
  for (const char Letter : Text) {
    const std::size_t Value = Alphabet.find(Letter);
    if (Value == std::string_view::npos)
      break;
    Group = Group << 6U | static_cast<unsigned>(Value);
    Bits += 6;
    if (Bits < 8)
      continue;
    Bits -= 8;
    Bytes.push_back(static_cast<char>(Group >> Bits & 255U));
  }
  return Bytes;
}

http_reply answer(int Status, const json &Body) {
  return {Status, Body.dump()};
}

bool isForeign(const std::string &Key) {
  return Key.starts_with("op/") || Key.starts_with("servers/");
}

} // namespace

metadata_store::metadata_store(const std::string &Address)
    : Expirer([this] { expireLeases(); }),
      Server(Address, 0,
             [this](const http_request &Request) { return handle(Request); }) {}

metadata_store::~metadata_store() {
  {
    const std::lock_guard Lock(Mutex);
    IsStopping = true;
    HasChanged.notify_all();
  }
  Server.close();
  Expirer.join();
}

bool metadata_store::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard Lock(Mutex);
  if (IsBusy)
    return false;
  ++Revision;
  write(Key, Value, 0);
  return true;
}

bool metadata_store::remove(const std::string &Key) {
  const std::lock_guard Lock(Mutex);
  if (IsBusy)
    return false;
  ++Revision;
  erase(Key);
  return true;
}

void metadata_store::setBusy(bool NewIsBusy) {
  const std::lock_guard Lock(Mutex);
  const moment Now = std::chrono::steady_clock::now();
  if (NewIsBusy)
    BusySince = Now;
  else if (IsBusy)
    for (auto &[Id, Lease] : Leases)
      Lease.Expires += Now - BusySince;
  IsBusy = NewIsBusy;
  HasChanged.notify_all(); // cuts the watches
}

void metadata_store::silenceWatches() {
  const std::lock_guard Lock(Mutex);
  IsSilent = true;
}

void metadata_store::forgetHistory() {
  const std::lock_guard Lock(Mutex);
  History.clear();
  Forgotten = Revision;
  IsSilent = false;
  ++Cuts;
  HasChanged.notify_all();
}

std::string metadata_store::lastWriter() {
  const std::lock_guard Lock(Mutex);
  return LastWriter;
}

std::optional<http_reply> metadata_store::handle(const http_request &Request) {
  constexpr int BitsPerByte = 8;
  std::this_thread::sleep_for(AnswerTime.load());
  std::optional<http_reply> Reply = answerCall(Request);
  if (Reply)
    std::this_thread::sleep_for(
        std::chrono::microseconds(Reply->Body.size() * BitsPerByte / LinkMbps));
  return Reply;
}

std::optional<http_reply>
metadata_store::answerCall(const http_request &Request) {
  const std::string Path = Request.path();
  const std::string Keep = "/v1/kv-keep/";
  const std::string End = "/v1/kv-lease-end/";
  {
    const std::lock_guard Lock(Mutex);
    if (IsBusy)
      return http_reply{503, "{}"};
  }
  if (Path == "/v1/kv-key")
    return read(Request);
  if (Path == "/v1/kv-range")
    return readRange(Request);
  if (Path == "/v1/kv-watch")
    return watch(Request);
  if (Path == "/v1/kv-txn")
    return apply(Request);
  if (Path == "/v1/kv-lease")
    return grant(Request);
  if (Path.starts_with(Keep))
    return keep(Path.substr(Keep.size()));
  if (Path.starts_with(End))
    return end(Path.substr(End.size()));
  return http_reply{404, "{}"};
}

http_reply metadata_store::read(const http_request &Request) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Items.find(Request.query("key"));
  if (Found == Items.end())
    return {404, "{}"};
  json Body = print(Found->first, Found->second);
  Body["at_revision"] = Revision;
  return answer(200, Body);
}

http_reply metadata_store::readRange(const http_request &Request) {
  const std::lock_guard Lock(Mutex);
  const std::string Prefix = Request.query("prefix");
  const std::string After = Request.query("after");
  json Found = json::array();
  bool HasMore = false;
  for (const auto &[Key, Item] : Items) {
    if (!Key.starts_with(Prefix) || (!After.empty() && Key <= After))
      continue;
    HasMore = Found.size() == MaxItems;
    if (HasMore)
      break;
    Found.push_back(print(Key, Item));
  }
  return answer(
      200,
      {{"items", Found}, {"has_more", HasMore}, {"at_revision", Revision}});
}

std::optional<http_reply> metadata_store::watch(const http_request &Request) {
  const std::string Prefix = Request.query("prefix");
  const std::int64_t After = std::stoll(Request.query("after"));
  const moment Until = std::chrono::steady_clock::now() +
                       milliseconds(std::stoll(Request.query("wait_ms")));
  std::unique_lock Lock(Mutex);
  if (After < Forgotten)
    return http_reply{410, "{}"};
  const int CutsBefore = Cuts;
  std::size_t Seen = 0; // of the history
  for (;;) {
    json Events = json::array();
    for (; !IsSilent && Seen < History.size(); ++Seen) {
      const change &Change = History[Seen];
      if (Change.Item.Revision <= After || !Change.Key.starts_with(Prefix))
        continue;
      Events.push_back(Change.IsRemoved
                           ? json{{"key", Change.Key},
                                  {"revision", Change.Item.Revision},
                                  {"deleted", true}}
                           : print(Change.Key, Change.Item));
    }
    if (IsBusy)
      return http_reply{503, "{}"};
    const bool IsOver = IsStopping || std::chrono::steady_clock::now() >= Until;
    if (!Events.empty() || (IsOver && !IsSilent))
      return answer(200, {{"events", Events}, {"at_revision", Revision}});
    if (IsStopping)
      return std::nullopt;
    if (IsSilent)
      HasChanged.wait(Lock);
    else
      HasChanged.wait_until(Lock, Until);
    if (Cuts != CutsBefore)
      return std::nullopt;
  }
}

http_reply metadata_store::apply(const http_request &Request) {
  const json Body = json::parse(Request.Body);
  const std::lock_guard Lock(Mutex);
  json Current = json::array();
  bool Holds = true;
  for (const json &Row : Body.at("precondition")) {
    const auto Key = Row.at("key").get<std::string>();
    const auto Found = Items.find(Key);
    const std::int64_t Known =
        Found == Items.end() ? 0 : Found->second.Revision;
    Holds = Holds && Known == Row.at("revision").get<std::int64_t>();
    Current.push_back(Found == Items.end() ? json{{"key", Key}, {"revision", 0}}
                                           : print(Key, Found->second));
  }
  if (!Holds)
    return answer(412, {{"items", Current}});
  for (const json &Row : Body.at("write")) {
    const auto Lease = Row.value("lease", std::int64_t{0});
    if (isForeign(Row.at("key").get<std::string>()))
      return {403, "{}"};
    if (Lease != 0 && !Leases.contains(Lease))
      return {404, "{}"};
  }
  // Clients' instances only create items.
  for (const json &Row : Body.at("precondition"))
    if (Row.at("revision").get<std::int64_t>() != 0)
      LastWriter = Request.Peer;
  ++Revision;
  for (const json &Row : Body.at("write"))
    write(Row.at("key").get<std::string>(),
          decodeBase64(Row.at("value").get<std::string>()),
          Row.value("lease", std::int64_t{0}));
  for (const json &Key : Body.at("remove"))
    erase(Key.get<std::string>());
  return answer(200, {{"revision", Revision}});
}

http_reply metadata_store::grant(const http_request &Request) {
  const milliseconds Life(
      json::parse(Request.Body).at("ttl_ms").get<std::int64_t>());
  const std::lock_guard Lock(Mutex);
  Leases[++LastLease] = {Life, std::chrono::steady_clock::now() + Life};
  return answer(200, {{"lease", LastLease}, {"ttl_ms", Life.count()}});
}

http_reply metadata_store::keep(const std::string &Id) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Leases.find(std::stoll(Id));
  if (Found == Leases.end())
    return {404, "{}"};
  lease &Lease = Found->second;
  Lease.Expires = std::chrono::steady_clock::now() + Lease.Life;
  return answer(200, {{"ttl_ms", Lease.Life.count()}});
}

http_reply metadata_store::end(const std::string &Id) {
  const std::lock_guard Lock(Mutex);
  endLease(std::stoll(Id));
  return {200, "{}"};
}

void metadata_store::write(const std::string &Key, const std::string &Value,
                           std::int64_t Lease) {
  item &Item = Items[Key];
  Item = {Value, Revision, Item.Created == 0 ? Revision : Item.Created, Lease};
  History.push_back({Key, Item, false});
  HasChanged.notify_all();
}

void metadata_store::erase(const std::string &Key) {
  if (Items.erase(Key) == 0)
    return;
  History.push_back({Key, {"", Revision, 0, 0}, true});
  HasChanged.notify_all();
}

void metadata_store::endLease(std::int64_t Id) {
  if (Leases.erase(Id) == 0)
    return;
  ++Revision;
  std::vector<std::string> Keys;
  for (const auto &[Key, Item] : Items)
    if (Item.Lease == Id)
      Keys.push_back(Key);
  for (const std::string &Key : Keys)
    erase(Key);
}

void metadata_store::expireLeases() {
  std::unique_lock Lock(Mutex);
  while (!IsStopping) {
    HasChanged.wait_for(Lock, 10ms);
    if (IsBusy)
      continue;
    std::vector<std::int64_t> Ended;
    for (const auto &[Id, Lease] : Leases)
      if (std::chrono::steady_clock::now() >= Lease.Expires)
        Ended.push_back(Id);
    for (const std::int64_t Id : Ended)
      endLease(Id);
  }
}

json metadata_store::print(const std::string &Key, const item &Item) const {
  return {{"key", Key},
          {"value", encodeBase64(Item.Value)},
          {"revision", Item.Revision},
          {"created", Item.Created},
          {"lease", Item.Lease}};
}

} // namespace review
