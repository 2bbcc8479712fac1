#include "standin/kv_service.hpp"

#include "net/base64.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace galenastage::standin {
namespace {

using nlohmann::json;

constexpr milliseconds WatchPoll{5};
constexpr milliseconds WatchProgressInterval{5'000};

task<void> pause(asio::io_context &Context, milliseconds Duration) {
  asio::steady_timer Timer(Context, Duration);
  co_await Timer.async_wait(asio::use_awaitable);
}

http_response dropConnection() {
  http_response Response;
  Response.Status = 0;
  return Response;
}

json watchEvents(const std::vector<kv_change> &Changes, std::int64_t Revision) {
  json Events = json::array();
  for (const kv_change &Change : Changes) {
    json Event = {{"kv", kv_store::printPair(Change.Pair)}};
    if (Change.IsDelete)
      Event["type"] = "DELETE";
    Events.push_back(std::move(Event));
  }
  return {{"result",
           {{"header", {{"revision", std::to_string(Revision)}}},
            {"events", std::move(Events)}}}};
}

} // namespace

instant readProcessClock() {
  return instant(std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

kv_service::kv_service(asio::io_context &Context, const endpoint &Endpoint,
                       std::function<bool(const std::string &)> IsCutOff)
    : Context(Context), IsCutOff(std::move(IsCutOff)),
      Server(Context, Endpoint, [this](http_request Request) {
        return handle(std::move(Request));
      }) {}

task<http_response> kv_service::handle(http_request Request) {
  if (Faults.IsDown || IsCutOff(Request.Peer))
    co_return dropConnection();
  if (Faults.DelayMilliseconds > 0)
    co_await pause(Context, milliseconds(Faults.DelayMilliseconds));
  const std::string Path(Request.path());
  http_response Response = Path == "/v3/watch"
                               ? startWatch(Request.Body, Request.Peer)
                               : act(Path, Request.Body);
  if (Faults.LosesAnswers && Path != "/v3/watch")
    co_return dropConnection();
  co_return Response;
}

/// The data that reads return: the current store, or while reads are stale, the
/// snapshot taken at the first stale read.
const kv_store &kv_service::readable() {
  if (!Faults.ReadsStale) {
    Stale.reset();
    return Store;
  }
  if (!Stale)
    Stale = Store;
  return *Stale;
}

http_response kv_service::act(const std::string &Path,
                              const std::string &Body) {
  const instant Now = readProcessClock();
  Store.expireLeases(Now);
  try {
    const json Request = json::parse(Body);
    json Answer;
    if (Path == "/v3/kv/range") {
      ++Counts.Reads;
      Answer = readable().range(Request);
    } else if (Path == "/v3/kv/txn") {
      ++Counts.Writes;
      Answer = Store.transact(Request);
    } else if (Path == "/v3/lease/grant") {
      ++Counts.Leases;
      Answer = Store.grantLease(Request, Now);
    } else if (Path == "/v3/lease/keepalive") {
      ++Counts.Leases;
      Answer = Store.keepLease(Request, Now);
    } else if (Path == "/v3/lease/revoke") {
      ++Counts.Leases;
      Answer = Store.revokeLease(Request);
    } else {
      return jsonResponse(404, R"({"error":"Not Found","code":5})");
    }
    return jsonResponse(200, Answer.dump());
  } catch (const std::exception &Error) {
    return jsonResponse(400, json{{"error", Error.what()}, {"code", 3}}.dump());
  }
}

http_response kv_service::startWatch(const std::string &Body,
                                     std::string Peer) {
  if (Faults.CutsWatches)
    return dropConnection();
  try {
    const json Create = json::parse(Body).at("create_request");
    const auto Key = decodeBase64(Create.at("key").get<std::string>());
    const auto End = decodeBase64(Create.value("range_end", ""));
    if (!Key || !End)
      return jsonResponse(400, R"({"error":"not base64","code":3})");
    const std::string Start = Create.value("start_revision", "0");
    std::int64_t From = std::stoll(Start);
    if (From == 0)
      From = Store.revision() + 1;
    ++Counts.WatchesStarted;
    http_response Response;
    Response.Headers.set("Content-Type", "application/json");
    Response.Stream = [this, Key = *Key, End = *End, From,
                       Peer](chunk_writer Write) {
      return streamChanges(std::move(Write), Key, End, From, Peer);
    };
    return Response;
  } catch (const std::exception &Error) {
    return jsonResponse(400, json{{"error", Error.what()}, {"code", 3}}.dump());
  }
}

task<void> kv_service::streamChanges(chunk_writer Write, std::string Key,
                                     std::string End, std::int64_t FromRevision,
                                     std::string Peer) {
  ++Counts.WatchesWaiting;
  const json Header = {{"revision", std::to_string(Store.revision())}};
  bool IsOpen = true;
  if (FromRevision <= Store.compactedRevision()) {
    const json Gone = {
        {"result",
         {{"header", Header},
          {"canceled", true},
          {"compact_revision", std::to_string(Store.compactedRevision())}}}};
    co_await Write(Gone.dump() + "\n");
    IsOpen = false;
  } else {
    const json Created = {{"result", {{"header", Header}, {"created", true}}}};
    IsOpen = co_await Write(Created.dump() + "\n");
  }
  milliseconds Quiet{0};
  while (IsOpen && !Faults.CutsWatches && !Faults.IsDown && !IsCutOff(Peer)) {
    const auto Changes = Store.changesSince(FromRevision, Key, End);
    FromRevision = Store.revision() + 1;
    if (!Changes.empty() || Quiet >= WatchProgressInterval) {
      Quiet = milliseconds(0);
      const json Line = watchEvents(Changes, Store.revision());
      IsOpen = co_await Write(Line.dump() + "\n");
    }
    Quiet += WatchPoll;
    co_await pause(Context, WatchPoll);
  }
  --Counts.WatchesWaiting;
}

} // namespace galenastage::standin
