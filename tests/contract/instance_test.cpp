// Tests the parts of an instance against a simulated metadata store: answers to
// clients, the active configuration, and leader election.

#include "apps/instance/front.hpp"
#include "apps/instance/keys.hpp"
#include "apps/instance/leadership.hpp"
#include "apps/runtime/process.hpp"
#include "standin/metadata_service.hpp"
#include "tests/support/run_task.hpp"
#include "tests/support/tcp_relay.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

const char *const Job = R"({"spec":"x","steps":[{"count":1,"cpu":500}]})";

std::string config(int Version) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[{"name":"open","host":"h","prefix":"/open/",)"
         R"("service":"s","public":true},{"name":"keyed","host":"h",)"
         R"("prefix":"/keyed/","service":"s"}],"services":[{"name":"s"}],)"
         R"("limits":{"max_body_bytes":200},"tenants":[)"
         R"({"name":"one","api_keys":["k1"]},{"name":"two","api_keys":["k2"]}]})";
}

struct instance_fixture {
  asio::io_context Context{1};
  standin::metadata_service Service{Context, {"127.0.0.1", 0}};
  platform::metadata_store Store{Context, Service.localEndpoint(), ""};
  std::vector<deployment_view> Views;
  instance_metrics Metrics;
  deployment_feed Feed{
      Context, Store, Metrics,
      [this](const deployment_view &View) { Views.push_back(View); }};
  std::optional<endpoint> Leader;
  front Front{Context,
              "",
              Store,
              Feed,
              Metrics,
              admission_settings{},
              [this] { return Leader; },
              1'048'576};

  /// Runs the context until the condition holds.
  template <typename Condition> void runUntil(Condition Holds) {
    while (!Holds())
      Context.run_one();
  }
  void startFeed(int Version = 1) {
    Service.put("op/config", config(Version));
    asio::co_spawn(Context, Feed.run(), asio::detached);
    runUntil([&] { return Feed.view() != nullptr; });
  }
  http_response call(const std::string &Method, const std::string &Target,
                     const std::string &Body = "", const std::string &Key = "",
                     bool IsForwarded = false) {
    http_request Request;
    Request.Method = Method;
    Request.Target = Target;
    Request.Body = Body;
    Request.Headers.set("Host", "h:80");
    if (!Key.empty())
      Request.Headers.set("Authorization", "Bearer " + Key);
    return test::runTask(Context,
                         Front.handle(std::move(Request), IsForwarded));
  }
};

const std::string Id = "00000000000000a1";

} // namespace

TEST_CASE_METHOD(instance_fixture,
                 "front: requests are refused before a configuration is read") {
  const http_response Response = call("POST", "/open/" + Id, Job);
  CHECK(Response.Status == 503);
  CHECK_FALSE(Response.Headers.find("Retry-After").empty());
  CHECK(Service.value(keys::specKey(job_id(Id))).empty());
}

TEST_CASE_METHOD(instance_fixture,
                 "front: each kind of invalid request has its own status") {
  startFeed();
  CHECK(call("POST", "/open/" + Id, "{").Status == 400);
  CHECK(call("POST", "/open/" + Id, std::string(201, ' ')).Status == 413);
  CHECK(call("PUT", "/open/" + Id, Job).Status == 405);
  CHECK(call("POST", "/open/short", Job).Status == 404);
  CHECK(call("POST", "/none/" + Id, Job).Status == 404);
  CHECK(call("POST", "/keyed/" + Id, Job).Status == 401);
  CHECK(call("POST", "/keyed/" + Id, Job, "k3").Status == 401);
  CHECK(call("GET", "/open/" + Id).Status == 410);
  CHECK(call("DELETE", "/open/" + Id).Status == 410);
  CHECK(Service.value(keys::specKey(job_id(Id))).empty());
}

// Guards against a job whose progress outgrows the store's items later on.
TEST_CASE_METHOD(instance_fixture,
                 "front: a job that the store can't hold is refused with the "
                 "limit") {
  startFeed();
  const http_response Response =
      call("POST", "/open/" + Id,
           R"({"spec":"x","steps":[{"count":8000}],"repetitions":8000})");
  CHECK(Response.Status == 400);
  CHECK_THAT(Response.Body, Catch::Contains("value_bytes of 1048576"));
  CHECK(Service.value(keys::specKey(job_id(Id))).empty());
}

TEST_CASE_METHOD(instance_fixture,
                 "front: a job is stored once, then accepted") {
  startFeed();
  CHECK(call("POST", "/keyed/" + Id, Job, "k1").Status == 200);
  const std::string Stored = Service.value(keys::specKey(job_id(Id)));
  CHECK_FALSE(Stored.empty());
  CHECK(call("POST", "/keyed/" + Id, Job, "k1").Status == 200);
  CHECK(Service.value(keys::specKey(job_id(Id))) == Stored);
  CHECK(call("GET", "/keyed/" + Id, "", "k1").Body == R"({"state":"queued"})");
  SECTION("another organisation neither takes the id nor sees the job") {
    CHECK(call("POST", "/keyed/" + Id, Job, "k2").Status == 409);
    CHECK(call("GET", "/keyed/" + Id, "", "k2").Status == 410);
    CHECK(call("DELETE", "/keyed/" + Id, "", "k2").Status == 410);
    CHECK(Service.value(keys::cancelKey(job_id(Id))).empty());
  }
  SECTION("a cancellation is stored, and may be repeated") {
    CHECK(call("DELETE", "/keyed/" + Id, "", "k1").Status == 200);
    CHECK_FALSE(Service.value(keys::cancelKey(job_id(Id))).empty());
    // Each is written, so that the leader reads it once more.
    const std::int64_t Stored = Service.revision();
    CHECK(call("DELETE", "/keyed/" + Id, "", "k1").Status == 200);
    CHECK(Service.revision() > Stored);
  }
}

// Guards against a job that runs although its client was told, after it had
// cancelled it, that it doesn't exist: the submission was still on its way.
TEST_CASE_METHOD(instance_fixture,
                 "front: a job that comes after its cancellation is stored as "
                 "cancelled") {
  startFeed();
  CHECK(call("DELETE", "/keyed/" + Id, "", "k1").Status == 410);
  CHECK(call("DELETE", "/keyed/" + Id, "", "k1").Status == 410);
  const job_id Job1(Id);
  REQUIRE_FALSE(Service.value(keys::cancelKey(Job1)).empty());
  SECTION("of the same organisation") {
    const http_response Answer = call("POST", "/keyed/" + Id, Job, "k1");
    CHECK(Answer.Status == 200);
    CHECK(Answer.Body == R"({"state":"cancelled"})");
    CHECK(call("GET", "/keyed/" + Id, "", "k1").Body ==
          R"({"state":"cancelled"})");
    CHECK(Service.value(keys::cancelKey(Job1)) == "{}");
    CHECK(call("POST", "/keyed/" + Id, Job, "k1").Status == 200);
  }
  SECTION("not of another organisation") {
    const http_response Answer = call("POST", "/keyed/" + Id, Job, "k2");
    CHECK(Answer.Status == 200);
    CHECK(Answer.Body == R"({"state":"queued"})");
    CHECK(Service.value(keys::cancelKey(Job1)).empty());
  }
}

TEST_CASE_METHOD(instance_fixture,
                 "front: a cancellation of an unknown job that the store can't "
                 "keep isn't answered with 410") {
  startFeed();
  Service.Faults.WritesLeft = 0;
  CHECK(call("DELETE", "/open/" + Id).Status == 503);
  Service.Faults = {};
  Service.Faults.DefersWrites = true;
  CHECK(call("DELETE", "/open/" + Id).Status == 504);
  Service.Faults = {};
  Service.carryOutDeferred();
  runUntil([&] { return Store.isReachable(); });
  CHECK(call("POST", "/open/" + Id, Job).Body == R"({"state":"cancelled"})");
}

// Guards against a client that is told that its cancellation may be lost,
// although it is stored.
TEST_CASE_METHOD(instance_fixture,
                 "front: a repeated cancellation that can't be written anew is "
                 "confirmed") {
  startFeed();
  REQUIRE(call("POST", "/open/" + Id, Job).Status == 200);
  REQUIRE(call("DELETE", "/open/" + Id).Status == 200);
  const std::int64_t Stored = Service.revision();
  Service.Faults.WritesLeft = 1; // tells that the cancellation exists
  CHECK(call("DELETE", "/open/" + Id).Status == 200);
  CHECK(Service.revision() == Stored);
  CHECK(Service.Faults.WritesLeft < 0);
}

TEST_CASE_METHOD(instance_fixture,
                 "front: a submission whose store answer is lost is never "
                 "reported as not run") {
  startFeed();
  Service.Faults.LosesAnswers = true;
  const http_response Lost = call("POST", "/open/" + Id, Job);
  CHECK(Lost.Status == 504);
  CHECK_FALSE(Service.value(keys::specKey(job_id(Id))).empty());
  Service.Faults.LosesAnswers = false;
  runUntil([&] { return Store.isReachable(); });
  CHECK(call("POST", "/open/" + Id, Job).Status == 200);
}

TEST_CASE_METHOD(
    instance_fixture,
    "front: a submission is refused, and nothing is stored, while the store "
    "rejects writes") {
  startFeed();
  Service.Faults.IsBusy = true;
  const http_response Refused = call("POST", "/open/" + Id, Job);
  CHECK(Refused.Status == 503);
  CHECK(Refused.Headers.find("Galenastage-Verdict") == "not-run");
  CHECK_FALSE(Refused.Headers.find("Retry-After").empty());
  Service.Faults.IsBusy = false;
  CHECK(Service.value(keys::specKey(job_id(Id))).empty());
}

TEST_CASE_METHOD(instance_fixture,
                 "front: an instance that the store rejects forwards each "
                 "request to the leader, at most one hop") {
  startFeed();
  int Forwarded = 0;
  const http_server Other(Context, {"127.0.0.1", 0},
                          [&](http_request Request) -> task<http_response> {
                            ++Forwarded;
                            CHECK(Request.Target == "/open/" + Id);
                            CHECK(Request.Headers.find("Host") == "h:80");
                            CHECK(Request.Body == Job);
                            co_return jsonResponse(200,
                                                   R"({"state":"queued"})");
                          });
  Service.Faults.IsBusy = true;
  runUntil([&] { return !Store.isReachable(); });
  const std::uint64_t Calls = Store.calls();
  CHECK(call("POST", "/open/" + Id, Job).Status == 503); // no leader is known
  Leader = Other.localEndpoint();
  CHECK(call("POST", "/open/" + Id, Job).Status == 200);
  CHECK(Forwarded == 1);
  CHECK(call("POST", "/open/" + Id, Job, "", true).Status == 503);
  CHECK(Forwarded == 1);
  Leader = endpoint{"127.0.0.1", 1}; // nobody listens
  CHECK(call("POST", "/open/" + Id, Job).Status == 503);
  CHECK(Store.calls() - Calls <= 20); // all by the feed, none for the requests
}

TEST_CASE_METHOD(instance_fixture,
                 "front: a forwarded request leaves out the fields of its "
                 "connection") {
  startFeed();
  http_request Request;
  Request.Method = "POST";
  Request.Target = "/open/" + Id;
  Request.Body = Job;
  Request.Headers.Fields = {
      {"Host", "h:80"}, {"Connection", "close, X-Hop"}, {"X-Hop", "1"}};
  http_headers Received;
  const http_server Other(Context, {"127.0.0.1", 0},
                          [&](http_request Forwarded) -> task<http_response> {
                            Received = Forwarded.Headers;
                            co_return jsonResponse(200, "{}");
                          });
  Leader = Other.localEndpoint();
  Service.Faults.IsBusy = true;
  runUntil([&] { return !Store.isReachable(); });
  test::runTask(Context, Front.handle(std::move(Request), false));
  CHECK(Received.find("Host") == "h:80");
  CHECK(Received.find("Connection").empty());
  CHECK(Received.find("X-Hop").empty());
}

// Guards against 404 and 401 for routes and keys that were added while the
// store didn't serve the instance.
TEST_CASE_METHOD(instance_fixture,
                 "front: a request isn't denied by a configuration that the "
                 "store doesn't confirm") {
  startFeed();
  const std::string Denied = GENERATE("/none/", "/keyed/");
  const bool IsRejected = GENERATE(true, false);
  CAPTURE(IsRejected);
  if (IsRejected) {
    Service.Faults.IsBusy = true;
    runUntil([&] { return !Store.isReachable(); });
  } else { // the watch isn't answered, other calls are
    Service.Faults.IgnoresWatches = true;
    runUntil([&] { return Feed.age() > milliseconds(2'500); });
    REQUIRE_FALSE(test::runTask(Context, Store.read("op/config")).Error);
    REQUIRE(Store.isReachable());
    REQUIRE_FALSE(Feed.isConfirmed());
  }
  CHECK(call("POST", Denied + Id, Job).Status == 503);
  int Forwarded = 0;
  const http_server Other(
      Context, {"127.0.0.1", 0}, [&](http_request) -> task<http_response> {
        ++Forwarded;
        co_return jsonResponse(200, R"({"state":"queued"})");
      });
  Leader = Other.localEndpoint();
  CHECK(call("POST", Denied + Id, Job).Status == 200);
  CHECK(Forwarded == 1);
  Service.Faults = {};
  runUntil([&] { return Feed.isConfirmed(); });
  CHECK(call("POST", Denied + Id, Job).Status ==
        (Denied == "/none/" ? 404 : 401));
}

// Guards against refusals for the whole wait of a watch after an outage.
TEST_CASE_METHOD(instance_fixture,
                 "feed: after a failed watch the next one doesn't wait") {
  startFeed();
  Service.Faults.IsBusy = true;
  runUntil([&] { return !Feed.isConfirmed(); });
  Service.Faults.IsBusy = false;
  runUntil([&] { return Feed.isConfirmed(); });
  CHECK(Service.watchWait() == milliseconds(0));
  runUntil([&] { return Service.watchWait() == milliseconds(1'500); });
}

// Guards against answers by a configuration that is older than is claimed.
TEST_CASE_METHOD(instance_fixture,
                 "feed: what is known is as old as the call that told it") {
  constexpr milliseconds Delay{200};
  const auto PassDelay = [&] {
    const instant Until = readClock() + Delay;
    runUntil([&] { return readClock() >= Until; });
  };
  SECTION("a read that takes long") {
    Service.Faults.HoldsRanges = true;
    Service.put("op/config", config(1));
    asio::co_spawn(Context, Feed.run(), asio::detached);
    runUntil([&] { return Service.pagesRead() == 1; });
    PassDelay();
    Service.Faults.HoldsRanges = false;
    runUntil([&] { return Feed.view() != nullptr; });
    CHECK(Feed.age() >= Delay);
  }
  SECTION("a watch that a change ends") {
    startFeed();
    runUntil([&] { return Service.watchWait() > milliseconds(0); });
    PassDelay();
    Service.Faults.IgnoresWatches = true; // the next ones
    Service.put("op/evacuate/a", "{}");
    runUntil([&] { return !Views.back().Evacuated.empty(); });
    CHECK(Feed.age() >= Delay);
    Service.Faults.IgnoresWatches = false;
  }
}

TEST_CASE_METHOD(instance_fixture,
                 "feed: the configuration version never decreases") {
  startFeed(5);
  Service.put("op/config", config(4));
  Service.put("op/evacuate/a", "{}");
  runUntil([&] { return !Views.back().Evacuated.empty(); });
  CHECK(Views.back().Config.Version == 5);
  Service.put("op/config", "{unreadable");
  Service.remove("op/evacuate/a");
  runUntil([&] { return Views.back().Evacuated.empty(); });
  CHECK(Views.back().Config.Version == 5);
  Service.put("op/config", config(6));
  runUntil([&] { return Views.back().Config.Version == 6; });
}

TEST_CASE_METHOD(instance_fixture,
                 "feed: after history is compacted a new read finds all "
                 "changes, including removals") {
  startFeed(1);
  Service.put("op/evacuate/a", "{}");
  runUntil([&] { return !Views.back().Evacuated.empty(); });
  Service.Faults.IsBusy = true;
  runUntil([&] { return !Store.isReachable(); });
  Service.remove("op/evacuate/a");
  Service.put("op/config", config(2));
  Service.forgetHistory();
  Service.Faults.IsBusy = false;
  runUntil([&] { return Views.back().Config.Version == 2; });
  CHECK(Views.back().Evacuated.empty());
}

// Guards against a change that stays unknown for one timeout after the other:
// requests for a route added in it were answered 404 meanwhile.
TEST_CASE("feed: a change is found by the first call after its connections "
          "have fallen silent") {
  asio::io_context Context{1};
  standin::metadata_service Service(Context, {"127.0.0.1", 0});
  test::tcp_relay Relay(Context, Service.localEndpoint());
  platform::metadata_store Store(Context, Relay.localEndpoint(), "");
  instance_metrics Metrics;
  std::int64_t Version = 0;
  deployment_feed Feed(
      Context, Store, Metrics,
      [&](const deployment_view &View) { Version = View.Config.Version; });
  const auto RunUntil = [&](auto Holds) {
    while (!Holds())
      Context.run_one();
  };
  Service.put("op/config", config(1));
  // Idle connections, as parallel requests of clients leave them.
  constexpr int Parallel = 3;
  int Read = 0;
  for (int I = 0; I < Parallel; ++I)
    asio::co_spawn(
        Context, Store.read("op/config"),
        [&](std::exception_ptr, const platform::item_read &) { ++Read; });
  RunUntil([&] { return Read == Parallel; });
  asio::co_spawn(Context, Feed.run(), asio::detached);
  // A read, a watch that confirms it, and one that waits.
  const std::uint64_t Watched = Service.calls() + 3;
  RunUntil([&] { return Service.calls() == Watched; });

  Relay.silenceConnections();
  Service.put("op/config", config(2));
  RunUntil([&] { return Version == 2; });
  CHECK_THAT(Metrics.print(),
             Catch::Contains("galenastage_configuration_call_failures_total{"
                             "call=\"watch\"} 1\n"));
}

TEST_CASE_METHOD(
    instance_fixture,
    "leadership: only one instance leads, and its successor has a higher "
    "token") {
  std::vector<std::uint64_t> Tokens;
  const auto Post = [&](std::uint64_t, decltype(event::What) What) {
    if (const auto *Gained = std::get_if<leadership_gained>(&What))
      Tokens.push_back(Gained->Token);
  };
  leadership First(Context, Store, "first", {"127.0.0.1", 7},
                   milliseconds(60'000), milliseconds(0), Metrics, Post);
  asio::co_spawn(Context, First.run(), asio::detached);
  runUntil([&] { return First.isLeading(); });
  leadership Second(Context, Store, "second", {"127.0.0.1", 8},
                    milliseconds(60'000), milliseconds(0), Metrics, Post);
  asio::co_spawn(Context, Second.run(), asio::detached);
  runUntil([&] { return Second.knownLeader().has_value(); });
  CHECK(Second.knownLeader() == endpoint{"127.0.0.1", 7});
  CHECK_FALSE(First.knownLeader());
  CHECK_FALSE(Second.isLeading());
  asio::co_spawn(Context, First.resign(), asio::detached);
  runUntil([&] { return Second.isLeading(); });
  REQUIRE(Tokens.size() == 2);
  CHECK(Tokens[1] > Tokens[0]);
  CHECK(leadership::fence(Second.token()).Revision ==
        static_cast<std::int64_t>(Tokens[1]));
}

TEST_CASE_METHOD(instance_fixture,
                 "leadership: a restarted leader takes its own key over "
                 "without waiting for the lease to expire") {
  std::vector<std::uint64_t> Tokens;
  const auto Post = [&](std::uint64_t, decltype(event::What) What) {
    if (const auto *Gained = std::get_if<leadership_gained>(&What))
      Tokens.push_back(Gained->Token);
  };
  constexpr milliseconds LongLease{60'000};
  leadership Killed(Context, Store, "one", {"127.0.0.1", 7}, LongLease,
                    milliseconds(0), Metrics, Post);
  asio::co_spawn(Context, Killed.run(), asio::detached);
  runUntil([&] { return Killed.isLeading(); });
  // Neither another instance nor one of the same name at another address may
  // take the key over. "on" is a prefix of "one".
  leadership Other(Context, Store, "on", {"127.0.0.1", 8}, LongLease,
                   milliseconds(0), Metrics, Post);
  asio::co_spawn(Context, Other.run(), asio::detached);
  leadership Moved(Context, Store, "one", {"127.0.0.1", 9}, LongLease,
                   milliseconds(0), Metrics, Post);
  asio::co_spawn(Context, Moved.run(), asio::detached);
  runUntil([&] { return Other.knownLeader() && Moved.knownLeader(); });
  leadership Restarted(Context, Store, "one", {"127.0.0.1", 7}, LongLease,
                       milliseconds(0), Metrics, Post);
  asio::co_spawn(Context, Restarted.run(), asio::detached);
  runUntil([&] { return Restarted.isLeading(); });
  REQUIRE(Tokens.size() == 2);
  CHECK(Tokens[1] > Tokens[0]);
  CHECK_FALSE(Other.isLeading());
  CHECK_FALSE(Moved.isLeading());
}

TEST_CASE_METHOD(instance_fixture,
                 "leadership: after history is lost a new job doesn't wait for "
                 "a read of all jobs") {
  startFeed();
  std::vector<job_id> Found;
  const auto Post = [&](std::uint64_t, decltype(event::What) What) {
    if (const auto *Job = std::get_if<job_found>(&What))
      Found.push_back(Job->Spec.Id);
  };
  const auto HasFound = [&](const std::string &Name) {
    return std::ranges::count(Found, job_id(Name)) == 1;
  };
  leadership Leader(Context, Store, "one", {"127.0.0.1", 7},
                    milliseconds(60'000), milliseconds(0), Metrics, Post);
  CHECK(call("POST", "/open/" + Id, Job).Status == 200);
  asio::co_spawn(Context, Leader.run(), asio::detached);
  runUntil([&] { return HasFound(Id); });

  const std::string InGap = "00000000000000b1";
  const std::string Later = "00000000000000b2";
  std::string Record = Service.value(keys::specKey(job_id(Id)));
  Record.replace(Record.find(Id), Id.size(), InGap);
  Service.Faults.RejectsRanges = true;
  Service.put(keys::specKey(job_id(InGap)), Record);
  Service.forgetHistory();
  // What is stored before the leader goes on belongs to the gap.
  runUntil([&] {
    return Service.watchedAfter(keys::Requests) >= Service.revision();
  });
  CHECK(call("POST", "/open/" + Later, Job).Status == 200);
  runUntil([&] { return HasFound(Later); });
  CHECK_FALSE(HasFound(InGap));
  Service.Faults.RejectsRanges = false;
  runUntil([&] { return HasFound(InGap); });
  CHECK(Found.size() == 3);
}

TEST_CASE_METHOD(instance_fixture,
                 "front: a submission is refused as not run when the store "
                 "stops answering before anything was written") {
  startFeed();
  CHECK(call("POST", "/open/" + Id, Job).Status == 200);
  Service.Faults.IsSilent = true;
  // Wait until the last answer is too old to prove that the store answers.
  const instant Silent = readClock();
  runUntil([&] { return readClock() - Silent > milliseconds(60); });
  const std::string Next = "00000000000000a2";
  const http_response Refused = call("POST", "/open/" + Next, Job);
  CHECK(Refused.Status == 503);
  CHECK(Refused.Headers.find("Galenastage-Verdict") == "not-run");
  CHECK_FALSE(Refused.Headers.find("Retry-After").empty());
  Service.Faults.IsSilent = false;
  CHECK(Service.value(keys::specKey(job_id(Next))).empty());
}

TEST_CASE("leadership: instances with more CPU and bandwidth campaign first") {
  CHECK(campaignDelay(0.5, 200) == milliseconds(0));
  CHECK(campaignDelay(4, 1'000) == milliseconds(0));
  CHECK(campaignDelay(0.25, 1'000) > campaignDelay(0.5, 1'000));
  CHECK(campaignDelay(0.25, 10) > campaignDelay(0.12, 200) + milliseconds(500));
  CHECK(campaignDelay(0, 0) == milliseconds(0)); // unknown
  // Even the smallest instance takes over before the leases of runs expire.
  CHECK(campaignDelay(0.12, 2) < milliseconds(3'000));
}

TEST_CASE(
    "leadership: a handover needs a larger candidate that is well, an old "
    "term and a quiet moment") {
  const handover_settings Settings;
  const handover_view Due{milliseconds(900), milliseconds(100),
                          Settings.MinWell, Settings.MinTerm,
                          Settings.MinQuiet};
  CHECK(isHandoverDue(Due, Settings));
  constexpr milliseconds Little{1};
  handover_view View = Due;
  View.CandidateDelay = View.OwnDelay - Settings.Margin + Little;
  CHECK_FALSE(isHandoverDue(View, Settings));
  View = Due;
  View.Well -= Little;
  CHECK_FALSE(isHandoverDue(View, Settings));
  View = Due;
  View.Term -= Little;
  CHECK_FALSE(isHandoverDue(View, Settings));
  View = Due;
  View.Quiet -= Little;
  CHECK_FALSE(isHandoverDue(View, Settings));
}

TEST_CASE("leadership: a candidate is read as it was written") {
  const leader_candidate Candidate{"n-1", milliseconds(150)};
  CHECK(parseCandidate(printCandidate(Candidate)) == Candidate);
  for (const char *Text : {"", "n-1", " 150", "n-1 ", "n-1 x", "n-1 -1",
                           "n-1 150x", "n-1 99999999999999999999"})
    CHECK_FALSE(parseCandidate(Text));
}

namespace {

handover_settings fastHandover() {
  handover_settings Settings;
  Settings.KeepInterval = milliseconds(5);
  Settings.OfferInterval = milliseconds(5);
  Settings.MinWell = milliseconds(20);
  Settings.MinTerm = milliseconds(30);
  Settings.MinQuiet = milliseconds(10);
  return Settings;
}

constexpr milliseconds SmallDelay{350};

} // namespace

// Guards against a small instance that leads for the rest of its life after
// larger ones were away for a moment.
TEST_CASE_METHOD(instance_fixture,
                 "leadership: a small leader hands over to a larger standby") {
  const auto Post = [](std::uint64_t, const decltype(event::What) &) {};
  leadership Small(Context, Store, "small", {"127.0.0.1", 7},
                   milliseconds(60'000), SmallDelay, Metrics, Post,
                   fastHandover());
  asio::co_spawn(Context, Small.run(), asio::detached);
  runUntil([&] { return Small.isLeading(); });
  const std::uint64_t Token = Small.token();
  leadership Large(Context, Store, "large", {"127.0.0.1", 8},
                   milliseconds(60'000), milliseconds(0), Metrics, Post,
                   fastHandover());
  asio::co_spawn(Context, Large.run(), asio::detached);
  runUntil([&] { return Large.isLeading(); });
  CHECK_FALSE(Small.isLeading());
  CHECK(Large.token() > Token);
  // The offer ends with its reason.
  runUntil([&] { return Service.value(keys::Candidate).empty(); });
}

// Guards against a deployment without a leader when the candidate is gone at
// the moment of the handover.
TEST_CASE_METHOD(instance_fixture,
                 "leadership: after a handover that nobody takes up the same "
                 "instance leads again") {
  std::vector<std::uint64_t> Tokens;
  const auto Post = [&](std::uint64_t, decltype(event::What) What) {
    if (const auto *Gained = std::get_if<leadership_gained>(&What))
      Tokens.push_back(Gained->Token);
  };
  leadership Small(Context, Store, "small", {"127.0.0.1", 7},
                   milliseconds(60'000), SmallDelay, Metrics, Post,
                   fastHandover());
  Service.put(keys::Candidate, "gone 0");
  asio::co_spawn(Context, Small.run(), asio::detached);
  runUntil([&] { return Tokens.size() == 2; });
  CHECK(Tokens[1] > Tokens[0]);
}
