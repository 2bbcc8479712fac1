#include "platform.hpp"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr std::size_t MaxItems = 500;
constexpr std::int64_t MinTtlMs = 1'000;
constexpr std::int64_t MaxWaitMs = 30'000;
constexpr std::int64_t MaxHoldWaitMs = 2'000;
constexpr std::int64_t HoldMaxMs = 10'000;
constexpr std::int64_t FailAfterMs = 300;
constexpr int Whole = 100;

using std::chrono::milliseconds;

std::string encodeBase64(const std::string &Text) {
  static constexpr std::string_view Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Encoded;
  for (std::size_t I = 0; I < Text.size(); I += 3) {
    unsigned Bits = 0;
    const std::size_t Count = std::min<std::size_t>(3, Text.size() - I);
    for (std::size_t J = 0; J < 3; ++J)
      Bits = Bits << 8U |
             (J < Count ? static_cast<unsigned char>(Text[I + J]) : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Encoded.push_back(J <= Count ? Digits[Bits >> (18 - 6 * J) & 63U] : '=');
  }
  return Encoded;
}

std::int64_t number(const request &Request, const std::string &Name) {
  const auto Found = Request.Query.find(Name);
  return Found == Request.Query.end() ? 0 : std::stoll(Found->second);
}

std::string text(const request &Request, const std::string &Name) {
  const auto Found = Request.Query.find(Name);
  return Found == Request.Query.end() ? "" : Found->second;
}

std::int64_t unixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// The number after "NAME=" in a spec; 0: none.
std::int64_t readSpec(const std::string &Spec, const std::string &Name) {
  return Spec.starts_with(Name + "=") ? std::stoll(Spec.substr(Name.size() + 1))
                                      : 0;
}

} // namespace

record::record(const std::string &Path) : Path(Path), Start(steadyMs()) {
  std::ofstream Empty(Path);
}

void record::write(const std::string &Line) {
  const std::lock_guard Lock(Mutex);
  std::ofstream(Path, std::ios::app)
      << steadyMs() - Start << " ms " << Line << "\n";
}

// The store

store::store(const std::string &Address)
    : Server(Address,
             [this](const request &Request) { return handle(Request); }) {
  std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(milliseconds(20));
      expireLeases();
    }
  }).detach();
}

void store::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard Lock(Mutex);
  ++Revision;
  apply(Key, encodeBase64(Value), 0);
}

response store::handle(const request &Request) {
  static const std::string Keep = "/v1/kv-keep/";
  static const std::string End = "/v1/kv-lease-end/";
  const std::string &Path = Request.Path;
  if (Path == "/v1/kv-key")
    return readKey(text(Request, "key"));
  if (Path == "/v1/kv-range")
    return readRange(text(Request, "prefix"), text(Request, "after"));
  if (Path == "/v1/kv-watch")
    return watch(text(Request, "prefix"), number(Request, "after"),
                 std::min(number(Request, "wait_ms"), MaxWaitMs));
  if (Path == "/v1/kv-txn")
    return change(json::parse(Request.Body));
  if (Path == "/v1/kv-lease")
    return grant(json::parse(Request.Body).at("ttl_ms").get<std::int64_t>());
  if (Path.starts_with(Keep))
    return keep(std::stoll(Path.substr(Keep.size())));
  if (Path.starts_with(End))
    return end(std::stoll(Path.substr(End.size())));
  return {404, "{}"};
}

json store::print(const std::string &Key, const item &Item) {
  return {{"key", Key},
          {"value", Item.Value},
          {"revision", Item.Revision},
          {"created", Item.Created},
          {"lease", Item.Lease}};
}

response store::readKey(const std::string &Key) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Items.find(Key);
  if (Found == Items.end())
    return {404, "{}"};
  json Body = print(Key, Found->second);
  Body["at_revision"] = Revision;
  return {200, Body.dump()};
}

response store::readRange(const std::string &Prefix, const std::string &After) {
  const std::lock_guard Lock(Mutex);
  json Page = json::array();
  bool HasMore = false;
  auto Item = After.empty() ? Items.lower_bound(Prefix)
                            : Items.upper_bound(std::max(After, Prefix));
  for (; Item != Items.end() && Item->first.starts_with(Prefix); ++Item) {
    HasMore = Page.size() == MaxItems;
    if (HasMore)
      break;
    Page.push_back(print(Item->first, Item->second));
  }
  return {200, json{{"items", std::move(Page)},
                    {"has_more", HasMore},
                    {"at_revision", Revision}}
                   .dump()};
}

response store::watch(const std::string &Prefix, std::int64_t After,
                      std::int64_t WaitMs) {
  std::unique_lock Lock(Mutex);
  json Events = json::array();
  Changed.wait_for(Lock, milliseconds(WaitMs), [&] {
    for (const event &Event : History)
      if (Event.Revision > After && Event.Key.starts_with(Prefix) &&
          Events.size() < MaxItems)
        Events.push_back(Event.Printed);
    return !Events.empty();
  });
  const std::int64_t At = Events.size() == MaxItems
                              ? Events.back().at("revision").get<std::int64_t>()
                              : Revision;
  return {200, json{{"events", std::move(Events)}, {"at_revision", At}}.dump()};
}

response store::change(const json &Body) {
  const std::lock_guard Lock(Mutex);
  json Current = json::array();
  bool Holds = true;
  for (const json &Row : Body.value("precondition", json::array())) {
    const auto Key = Row.at("key").get<std::string>();
    const auto Found = Items.find(Key);
    const std::int64_t Present =
        Found == Items.end() ? 0 : Found->second.Revision;
    Holds = Holds && Present == Row.at("revision").get<std::int64_t>();
    if (Found != Items.end())
      Current.push_back(print(Key, Found->second));
  }
  if (!Holds)
    return {412, json{{"items", std::move(Current)}}.dump()};
  const json Writes = Body.value("write", json::array());
  for (const json &Row : Writes) {
    const auto Lease = Row.value("lease", std::int64_t{0});
    if (Lease != 0 && !Leases.contains(Lease))
      return {404, "{}"};
  }
  ++Revision;
  for (const json &Row : Writes)
    apply(Row.at("key").get<std::string>(), Row.at("value").get<std::string>(),
          Row.value("lease", std::int64_t{0}));
  for (const json &Key : Body.value("remove", json::array()))
    remove(Key.get<std::string>());
  return {200, json{{"revision", Revision}}.dump()};
}

/// Writes at the present revision.
void store::apply(const std::string &Key, const std::string &Value,
                  std::int64_t Lease) {
  item &Item = Items[Key];
  if (Item.Created == 0)
    Item.Created = Revision;
  Item.Value = Value;
  Item.Revision = Revision;
  Item.Lease = Lease;
  History.push_back({Revision, Key, print(Key, Item)});
  Changed.notify_all();
}

void store::remove(const std::string &Key) {
  if (Items.erase(Key) == 0)
    return;
  History.push_back(
      {Revision,
       Key,
       {{"key", Key}, {"revision", Revision}, {"deleted", true}}});
  Changed.notify_all();
}

response store::grant(std::int64_t TtlMs) {
  const std::lock_guard Lock(Mutex);
  const std::int64_t Life = std::max(TtlMs, MinTtlMs);
  Leases[++LastLease] = {Life, steadyMs() + Life};
  return {200, json{{"lease", LastLease}, {"ttl_ms", Life}}.dump()};
}

response store::keep(std::int64_t Id) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Leases.find(Id);
  if (Found == Leases.end())
    return {404, "{}"};
  Found->second.Until = steadyMs() + Found->second.TtlMs;
  return {200, json{{"ttl_ms", Found->second.TtlMs}}.dump()};
}

response store::end(std::int64_t Id) {
  const std::lock_guard Lock(Mutex);
  if (!Leases.contains(Id))
    return {404, "{}"};
  endLease(Id);
  return {200, "{}"};
}

void store::endLease(std::int64_t Id) {
  Leases.erase(Id);
  std::vector<std::string> Keys;
  for (const auto &[Key, Item] : Items)
    if (Item.Lease == Id)
      Keys.push_back(Key);
  if (!Keys.empty())
    ++Revision;
  for (const std::string &Key : Keys)
    remove(Key);
}

void store::expireLeases() {
  const std::lock_guard Lock(Mutex);
  const std::int64_t Now = steadyMs();
  std::vector<std::int64_t> Over;
  for (const auto &[Id, Lease] : Leases)
    if (Now >= Lease.Until)
      Over.push_back(Id);
  for (const std::int64_t Id : Over)
    endLease(Id);
}

// The executors

executor::executor(std::string NewId, const std::string &NewAddress,
                   std::string NewKind, std::string NewRack,
                   capacity NewCapacity, record &NewRecord)
    : Id(std::move(NewId)), Address(NewAddress), Kind(std::move(NewKind)),
      Rack(std::move(NewRack)), Capacity(NewCapacity), Record(NewRecord),
      Born(unixMs()), Server(NewAddress, [this](const request &Request) {
        return handle(Request);
      }) {
  std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(milliseconds(10));
      const std::lock_guard Lock(Mutex);
      advance();
    }
  }).detach();
}

void executor::failUntil(std::int64_t Time) {
  const std::lock_guard Lock(Mutex);
  FailUntil = Time;
}

void executor::delayNextStart(int NewDelayMs) {
  const std::lock_guard Lock(Mutex);
  DelayMs = NewDelayMs;
}

std::int64_t executor::delayedAt() {
  const std::lock_guard Lock(Mutex);
  return DelayedAt;
}

void executor::restart(int DownMs) {
  const std::lock_guard Lock(Mutex);
  while (!Active.empty())
    finish(run_key(Active.begin()->first), "died");
  DownUntil = steadyMs() + DownMs;
  Start = DownUntil;
  Born = unixMs() + DownMs;
  Token = 0;
  LeaseEnd = 0;
  Closed.clear();
  Ended.clear();
  Numbers.clear();
  LastNumber = 0;
  Record.write("executor " + Id + " crashes, and is back in " +
               std::to_string(DownMs) + " ms");
}

bool executor::isDown() {
  const std::lock_guard Lock(Mutex);
  return steadyMs() < DownUntil;
}

/// Returns when the caller has long given up.
response executor::leaveUnanswered(json Body,
                                   std::unique_lock<std::mutex> &Lock) {
  constexpr int Silence = 5'000;
  const int Delay = std::exchange(DelayMs, 0);
  DelayedAt = steadyMs();
  Record.write("a start order of " + Body.at("task").get<std::string>() +
               " comes to " + Id + " and is left unanswered");
  std::thread([this, Delay, Body = std::move(Body)] {
    std::this_thread::sleep_for(milliseconds(Delay));
    const std::lock_guard Late(Mutex);
    const response Answer = start(Body);
    Record.write("the late order is carried out on " + Id + ": " +
                 std::to_string(Answer.Status) + " " + Answer.Body);
  }).detach();
  Lock.unlock();
  std::this_thread::sleep_for(milliseconds(Silence));
  Lock.lock();
  return {};
}

std::vector<run> executor::runs() {
  const std::lock_guard Lock(Mutex);
  return All;
}

bool executor::isIdle() {
  const std::lock_guard Lock(Mutex);
  return Active.empty();
}

std::string executor::entry(const std::string &Service, int Sequence) {
  const std::lock_guard Lock(Mutex);
  return json{{"service", Service},
              {"address", Address + ":" + std::to_string(Server.port())},
              {"zone", "zone-a"},
              {"version", "v1"},
              {"slots", 8},
              {"state", "ready"},
              {"cold_left_ms", 0},
              {"capacity",
               {{"cpu", Capacity.Cpu},
                {"mem_mb", Capacity.MemMb},
                {"gpu", Capacity.Gpu}}},
              {"labels", {Kind, Rack}},
              {"clock_ms", clock()},
              {"born", Born},
              {"sequence", Sequence}}
      .dump();
}

response executor::handle(const request &Request) {
  std::unique_lock Lock(Mutex);
  if (steadyMs() < DownUntil)
    return {};
  const auto Meant = Request.Headers.find("galenastage-expected-instance");
  if (Meant == Request.Headers.end() || Meant->second != Id)
    return answer(421, "");
  const json Body = json::parse(Request.Body, nullptr, false);
  if (!Body.is_object())
    return answer(400, "");
  if (Request.Path == "/v1/run-start" && DelayMs > 0)
    return leaveUnanswered(Body, Lock);
  if (Request.Path == "/v1/run-start")
    return start(Body);
  if (Request.Path == "/v1/run-stop")
    return stop(Body);
  if (Request.Path == "/v1/hold")
    return hold(Body, Lock);
  return {404, "{}"};
}

response executor::answer(int Status, const std::string &Reason) {
  json Body = {{"clock_ms", clock()}, {"born", Born}};
  if (!Reason.empty())
    Body["reason"] = Reason;
  return {Status, Body.dump()};
}

bool executor::isFenced(const json &Body) {
  const auto Given = Body.value("fencing_token", std::uint64_t{0});
  if (Given < Token)
    return true;
  Token = Given;
  return false;
}

void executor::extendLease(const json &Body) {
  const auto Wanted = Body.value("deadline_ms", std::int64_t{0});
  LeaseEnd = std::max(LeaseEnd, std::min(Wanted, clock() + HoldMaxMs));
}

response executor::start(const json &Body) {
  if (isFenced(Body))
    return answer(409, "fence");
  const run_key Key{Body.at("task").get<std::string>(),
                    Body.at("attempt").get<int>()};
  extendLease(Body);
  if (Active.contains(Key))
    return answer(200, "");
  if (Closed[Key.first] >= Key.second)
    return answer(409, "old");
  if (LeaseEnd <= clock())
    return answer(409, "late");
  const auto Spec = Body.value("spec", std::string());
  const std::int64_t Now = steadyMs();
  std::int64_t Work = readSpec(Spec, "work_ms");
  if (Key.second == 1 && readSpec(Spec, "first_ms") > 0)
    Work = readSpec(Spec, "first_ms");
  active Run{Now, Work > 0 ? Now + Work : 0, "done", All.size()};
  if (Now < FailUntil) {
    Run.EndsAt = Now + FailAfterMs;
    Run.How = "failed";
  }
  Active[Key] = Run;
  All.push_back({Key.first, Key.second, Now, 0, "", 0});
  Record.write("run " + Key.first + " attempt " + std::to_string(Key.second) +
               " begins on " + Id);
  return answer(200, "");
}

response executor::stop(const json &Body) {
  if (isFenced(Body))
    return answer(409, "fence");
  const run_key Key{Body.at("task").get<std::string>(),
                    Body.at("attempt").get<int>()};
  Closed[Key.first] = std::max(Closed[Key.first], Key.second);
  if (Active.contains(Key))
    finish(Key, "stopped");
  return answer(200, "");
}

response executor::hold(const json &Body, std::unique_lock<std::mutex> &Lock) {
  if (isFenced(Body))
    return answer(409, "fence");
  extendLease(Body);
  const auto LastSeen = Body.value("last_seen", std::int64_t{0});
  for (const auto &[Number, Index] : Numbers)
    if (Number <= LastSeen && All[Index].Noted == 0)
      All[Index].Noted = steadyMs();
  std::erase_if(Ended, [&](const json &Row) {
    return Row.at(0).get<std::int64_t>() <= LastSeen;
  });
  const auto Wait =
      std::min(Body.value("wait_ms", std::int64_t{0}), MaxHoldWaitMs);
  const std::int64_t Life = Born;
  Changed.wait_for(Lock, milliseconds(Wait),
                   [&] { return !Ended.empty() || Born != Life; });
  if (Born != Life) // the life that held the call is gone
    return {};
  json Rows = json::array();
  for (const auto &[Key, Run] : Active) {
    const std::int64_t Passed = steadyMs() - Run.Began;
    const std::int64_t Percent =
        Run.EndsAt == 0 ? Whole : Whole * Passed / (Run.EndsAt - Run.Began);
    Rows.push_back(
        {Key.first, Key.second, "", std::min<std::int64_t>(Percent, Whole), 0});
  }
  return {200, json{{"clock_ms", clock()},
                    {"born", Born},
                    {"active", std::move(Rows)},
                    {"ended", Ended}}
                   .dump()};
}

void executor::finish(const run_key &Key, const std::string &How) {
  const std::size_t Index = Active.at(Key).Index;
  run &Run = All[Index];
  Run.Ended = steadyMs();
  Run.How = How;
  Active.erase(Key);
  Closed[Key.first] = std::max(Closed[Key.first], Key.second);
  Numbers[LastNumber + 1] = Index;
  Ended.push_back({++LastNumber, Key.first, Key.second, How, ""});
  Changed.notify_all();
  Record.write("run " + Key.first + " attempt " + std::to_string(Key.second) +
               " ends " + How + " on " + Id);
}

/// Ends what is over.
void executor::advance() {
  const std::int64_t Now = steadyMs();
  std::vector<std::pair<run_key, std::string>> Over;
  for (const auto &[Key, Run] : Active)
    if (Run.EndsAt != 0 && Run.EndsAt <= Now)
      Over.emplace_back(Key, Run.How);
    else if (LeaseEnd <= clock())
      Over.emplace_back(Key, "lapsed");
  for (const auto &[Key, How] : Over)
    finish(Key, How);
}

} // namespace review
