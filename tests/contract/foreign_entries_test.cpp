// Lists to which other programs write: an entry that can't be used is left out,
// and the others hold.

#include "apps/instance/backlog_record.hpp"
#include "apps/instance/keys.hpp"
#include "apps/instance/leadership.hpp"
#include "apps/instance/queue_lengths.hpp"
#include "apps/instance/speed_record.hpp"
#include "net/instance_list.hpp"
#include "standin/metadata_service.hpp"
#include "tests/support/nested_text.hpp"
#include "tests/support/run_task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;
using test::nest;

namespace {

std::string executor(const std::string &Port, const std::string &Cpu = "16000",
                     const std::string &More = "") {
  return R"({"service":"s","address":"127.0.0.1:)" + Port +
         R"(","zone":"a","state":"ready","capacity":{"cpu":)" + Cpu +
         R"(,"mem_mb":32768,"gpu":8},"labels":["k","r"],"born":5)" + More + "}";
}

/// The ids in the first list of executors that a new leader posts.
std::vector<std::string>
listExecutors(const std::map<std::string, std::string> &Entries) {
  asio::io_context Context{1};
  standin::metadata_service Service(Context, {"127.0.0.1", 0});
  for (const auto &[Id, Text] : Entries)
    Service.put("servers/" + Id, Text);
  platform::metadata_store Store(Context, Service.localEndpoint(), "");
  std::optional<std::vector<std::string>> Ids;
  const auto Post = [&](std::uint64_t, decltype(event::What) What) {
    const auto *Listed = std::get_if<executors_listed>(&What);
    if (!Listed)
      return;
    Ids.emplace();
    for (const executor_report &Report : Listed->Executors)
      Ids->push_back(Report.Id.Value);
  };
  instance_metrics Metrics;
  leadership Leader(Context, Store, "one", {"127.0.0.1", 7},
                    milliseconds(60'000), milliseconds(0), Metrics, Post);
  asio::co_spawn(Context, Leader.run(), asio::detached);
  while (!Ids)
    Context.run_one();
  return *Ids;
}

/// Answers every request with the same body.
struct canned_fixture {
  asio::io_context Context{1};
  std::string Body;
  http_server Server{
      Context, {"127.0.0.1", 0}, [this](http_request) -> task<http_response> {
        co_return jsonResponse(200, Body);
      }};
};

} // namespace

// Guards against a leader that ends, or no longer follows the list, because of
// one entry that another program wrote.
TEST_CASE("leadership: one odd entry doesn't hide the executors") {
  const std::vector<std::string> Odd = {
      executor("8002", nest(50)),
      executor("8002", nest(100'000)),
      executor("8002", nest(500'000)),
      executor("8002", nest(150'000, "{\"a\":", "}")),
      executor("8002", "16000", ",\"new\":" + nest(400'000)),
      std::string(1'000'000, '['),
      executor("8002", "1e999"),
      executor("8002", "99999999999999999999"),
      executor("8002", "2147483648"),
      executor("8002", "2147483647"),
      executor("8002", "-1"),
      executor("0"),
      executor("65536"),
      executor("99999999999"),
      executor("-1"),
      executor("12x"),
      "\xff\xfe",
      "",
      "null"};
  std::map<std::string, std::string> Entries = {{"i-1", executor("8001")},
                                                {"i-3", executor("8003")}};
  for (const std::string &Text : Odd) {
    CAPTURE(Text.substr(0, 200));
    Entries["i-2"] = Text;
    CHECK(listExecutors(Entries) == std::vector<std::string>{"i-1", "i-3"});
  }
  Entries["i-2"] = executor("8002");
  CHECK(listExecutors(Entries).size() == 3);
}

TEST_CASE_METHOD(canned_fixture,
                 "metadata: an item that can't be decoded fails a range, or is "
                 "skipped on request") {
  Body = R"({"items":[{"key":"r/1","value":"YQ==","revision":3},)"
         R"({"key":"r/2","value":"?","revision":4},)"
         R"({"key":"r/3","value":"Yg==","revision":1e300},)"
         R"({"key":"r/4","value":"Yg==","revision":5}],)"
         R"("has_more":false,"at_revision":9})";
  platform::metadata_store Store(Context, Server.localEndpoint(), "");
  CHECK(test::runTask(Context, Store.readPrefix("r/")).Error);
  const platform::range_read Range = test::runTask(
      Context, Store.readPrefix("r/", platform::unreadable_items::AreSkipped));
  REQUIRE_FALSE(Range.Error);
  CHECK(Range.Skipped == std::vector<std::string>{"r/2", "r/3"});
  REQUIRE(Range.Items.size() == 2);
  CHECK(Range.Items[0].Value == "a");
  CHECK(Range.Items[1].Value == "b");
  CHECK(Range.Revision == 9);
}

// Guards against a list of instances that is no longer followed because of one
// entry.
TEST_CASE_METHOD(canned_fixture,
                 "instance list: one odd entry doesn't hide the others") {
  const auto Entry = [](const std::string &Name, const std::string &Address,
                        const std::string &Accelerators = "8") {
    return R"({"name":")" + Name +
           R"(","kind":"executor","data_centre":"a","address":")" + Address +
           R"(","accelerators":)" + Accelerators + "}";
  };
  instance_list_client List(Context, Server.localEndpoint());
  for (const std::string &Odd :
       {Entry("x", "127.0.0.1:65536"), Entry("x", "127.0.0.1:0"),
        Entry("x", "127.0.0.1:99999999999"), Entry("x", "127.0.0.1:-1"),
        Entry("x", "127.0.0.1:12x"), Entry("x", "127.0.0.1"),
        Entry("x", "127.0.0.1:80", "99999999999999999999"),
        Entry("x", "127.0.0.1:80", "2147483648"),
        Entry("x", "127.0.0.1:80", "1e300"), Entry("x", "127.0.0.1:80", "-1"),
        Entry("x", "127.0.0.1:80", nest(30)), std::string("{}"),
        std::string("7"), nest(40), nest(100), nest(500'000),
        Entry("x", "127.0.0.1:80", nest(100)),
        Entry("x", "127.0.0.1:80", nest(100'000, "{\"a\":", "}")),
        Entry("x", "127.0.0.1:80", R"(8,"new":)" + nest(500'000))}) {
    CAPTURE(Odd.substr(0, 200));
    Body = R"({"instances":[)" + Entry("a", "127.0.0.1:80") + "," + Odd + "," +
           Entry("b", "127.0.0.1:81") + "]}";
    const instance_read Read = test::runTask(
        Context, List.read(instance_kind::Executor, data_centre_id("a")));
    REQUIRE_FALSE(Read.Error);
    REQUIRE(Read.Instances.size() == 2);
    CHECK(Read.Instances[0].Name == "a");
    CHECK(Read.Instances[1].Name == "b");
    REQUIRE(Read.Ignored.size() == 1);
    CHECK_FALSE(Read.Ignored[0].Reason.empty());
    CHECK(Read.Ignored[0].Reason.size() < 300);
  }
}

TEST_CASE("records of the leader: odd values are ignored") {
  for (const std::string &Odd :
       {nest(100), nest(100'000), nest(500'000), std::string("1e999"),
        std::string("1e300"), std::string("99999999999999999999"),
        std::string("2147483648"), std::string("0.5")}) {
    CAPTURE(Odd.substr(0, 100));
    CHECK(parseQueueLengths("{\"q\":" + Odd + "}").empty());
    CHECK(parseSpeeds("{\"version\":" + Odd + "}").empty());
    CHECK(parseSpeeds(R"({"version":1,"machines":[{"service":"s","kind":"k",)"
                      R"("capacity":[1,1,)" +
                      Odd + R"(],"speeds":{"i":[0,100]}}]})")
              .empty());
    CHECK(parseSpeeds(R"({"version":1,"machines":[{"service":"s","kind":"k",)"
                      R"("capacity":[1,1,1],"speeds":{"i":[)" +
                      Odd + ",100]}}]}")
              .empty());
    CHECK_FALSE(parseBacklog("{\"version\":" + Odd + "}").Record);
    CHECK_FALSE(parseBacklog(R"({"version":1,"term":1,"number":1,"services":[)"
                             R"({"service":"s","capacity":1,"accelerators":)" +
                             Odd + R"(,"rate":1,"entries":[],"others":[]}]})")
                    .Record);
  }
  CHECK(parseQueueLengths(R"({"q":3})").size() == 1);
  CHECK_FALSE(parseCandidate("n-1 9223372036854775807"));
  CHECK_FALSE(parseCandidate("n-1 4900000000000000000"));
}
