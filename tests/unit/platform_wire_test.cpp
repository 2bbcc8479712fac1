#include "core/json_text.hpp"
#include "platform/settings.hpp"
#include "platform/wire.hpp"
#include "tests/support/nested_text.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;
using namespace galenastage::platform;
using test::nest;

namespace {

/// The text with its first From replaced.
std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  return Text.replace(Text.find(From), From.size(), To);
}

const std::string GoodExecutor =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"a","state":"draining",)"
    R"("remaining_ms":3500,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":8},)"
    R"("labels":["k","r1-3"],"born":5,"cold_left_ms":0})";

void checkRefused(const std::string &Text) {
  CAPTURE(Text.substr(0, 400));
  const auto Parsed = parseExecutor("i-1", Text);
  CHECK_FALSE(Parsed.Result);
  CHECK_FALSE(Parsed.Reason.empty());
  CHECK(Parsed.Reason.size() < 300); // it is logged
}

const char *const Settings = R"({
  "node_name": "edge-1", "zone": "a", "ip": "10.1.0.19",
  "listen_addrs": {"frontend": "10.1.0.19:8521", "ready": "10.1.0.19:8523"},
  "internal_ports": [7000, 7015], "a_new_field": {"x": 1},
  "limits": {"cpu_quota": 0.25, "cpu_cores": 2, "link_mbps": 20,
             "memory_mb": 120, "max_fds": 3075},
  "bounds": {"grace_s": 6, "hold_max_ms": 9000, "stop_timeout_ms": 400,
             "restore_ms": 250, "checkpoint_interval_s": 0.5},
  "advisor": "10.200.1.9:8524", "heartbeat_ms": 1500,
  "platform": {"address": "10.200.1.7:8524", "ttl_min_ms": 900}})";

} // namespace

TEST_CASE("settings: the platform's settings file is parsed") {
  const parsed_settings Parsed = parseSettings(Settings);
  REQUIRE_FALSE(Parsed.Error);
  CHECK(Parsed.Settings.Front == endpoint{"10.1.0.19", 8521});
  CHECK(Parsed.Settings.Store == endpoint{"10.200.1.7", 8524});
  CHECK(Parsed.Settings.FirstInternalPort == 7000);
  CHECK(Parsed.Settings.MaxRunLease == milliseconds(9'000));
  CHECK(Parsed.Settings.StopGrace == milliseconds(6'000));
  CHECK(Parsed.Settings.RunStopTimeout == milliseconds(400));
  CHECK(Parsed.Settings.RestoreTime == milliseconds(250));
  CHECK(Parsed.Settings.CheckpointInterval == milliseconds(500));
  CHECK(Parsed.Settings.Cores == Approx(0.5));
  CHECK(Parsed.Settings.LinkMbps == Approx(20));
  CHECK(Parsed.Settings.MemoryMb == 120);
  CHECK(Parsed.Settings.MaxDescriptors == 3'075);
}

TEST_CASE("settings: an error names the missing or mistyped field") {
  for (const std::string Field : {"node_name", "zone", "ip", "listen_addrs",
                                  "internal_ports", "platform", "address"}) {
    std::string Text = Settings;
    Text.replace(Text.find("\"" + Field + "\""), Field.size() + 2, "\"other\"");
    const parsed_settings Parsed = parseSettings(Text);
    CAPTURE(Field, Parsed.Reason);
    CHECK(Parsed.Error);
    CHECK(Parsed.Reason.find(Field) != std::string::npos);
  }
  std::string Text = Settings;
  Text.replace(Text.find("10.200.1.7:8524"), 15, "10.200.1.7:none");
  CHECK(parseSettings(Text).Reason.find("platform.address") !=
        std::string::npos);
  CHECK(parseSettings("{").Error);
}

TEST_CASE("wire: the time that is left is read of draining executors only") {
  const auto Entry = [](const std::string &State) {
    return R"({"service":"s","address":"10.0.0.9:8080","zone":"a",)"
           R"("capacity":{"cpu":16000},"remaining_ms":3500,"state":")" +
           State + R"("})";
  };
  const auto Draining = parseExecutor("i-1", Entry("draining"));
  REQUIRE(Draining.Result);
  CHECK(Draining.Result->Remaining == milliseconds(3'500));
  const auto Ready = parseExecutor("i-1", Entry("ready"));
  REQUIRE(Ready.Result);
  CHECK(Ready.Result->Remaining == milliseconds(0));
}

TEST_CASE("wire: an invalid executor entry is rejected with a reason") {
  const std::string Good =
      R"({"service":"s","address":"10.0.0.9:8080","zone":"a","state":"ready",)"
      R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":8},)"
      R"("labels":["k","r1-3"],"born":5})";
  const auto Parsed = parseExecutor("i-1", Good);
  REQUIRE(Parsed.Result);
  CHECK(Parsed.Result->Rack == rack_id("r1-3"));
  CHECK(Parsed.Result->Kind == "k");
  CHECK(Parsed.Result->Incarnation == 5);
  CHECK(Parsed.Result->Capacity == resources{16'000, 32'768, 8});
  for (const auto &[From, To] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"ready\"", "\"asleep\""},
           {"\"10.0.0.9:8080\"", "7"},
           {":8080", ":99999"},
           {"\"service\"", "\"other\""},
           {"\"capacity\":{", "\"capacity\":{\"cpu\":\"x\",\"y\":{}},\"z\":{"},
           {"}", ""}}) {
    std::string Text = Good;
    Text.replace(Text.find(From), From.size(), To);
    CAPTURE(Text);
    const auto Foreign = parseExecutor("i-1", Text);
    CHECK_FALSE(Foreign.Result);
    CHECK_FALSE(Foreign.Reason.empty());
  }
}

TEST_CASE("wire: invalid jobs are rejected with a reason") {
  for (const std::string Text :
       {R"({"spec":"x","steps":[]})", R"({"spec":"x","steps":[{"count":0}]})",
        R"({"spec":"x","steps":[{"count":1,"after":[0]}]})",
        R"({"spec":"x","steps":[{"count":1,"cpu":-1}]})",
        R"({"spec":"x","steps":[{"count":1e300}]})",
        R"({"spec":"x","steps":[{"count":1,"gpu":0.5}]})",
        R"({"spec":"x","steps":[{"count":1}],"repetitions":4294967297})",
        R"({"spec":"x","steps":[{"count":1,"estimate_ms":1e50}]})",
        R"({"spec":7,"steps":[{"count":1}]})", R"({"steps":[{"count":1}]})",
        "[]", ""}) {
    CAPTURE(Text);
    CHECK_FALSE(parseJob(Text).Result);
    CHECK_FALSE(parseJob(Text).Reason.empty());
  }
  const auto Parsed = parseJob(
      R"({"spec":"x","steps":[{"count":2,"cpu":500,"gang":true},)"
      R"({"count":1,"after":[0],"fill_ratio":0.5,"max_per_server":3}]})");
  REQUIRE(Parsed.Result);
  CHECK(Parsed.Result->Steps[0].IsGang);
  CHECK(Parsed.Result->Steps[1].FillsIdleCpu);
  CHECK(Parsed.Result->Steps[1].MaxPerExecutor == 3);
}

TEST_CASE("wire: only valid task names and job ids are accepted") {
  const task_name Task{job_id("5c0e7a21d94b36f8"), 3, 1, 17};
  CHECK(printTaskName(Task) == "5c0e7a21d94b36f8.3.1.17");
  CHECK(parseTaskName(printTaskName(Task)) == Task);
  for (const std::string Text : {"", "x", "x.1.2", "x.1.2.3.4", "x.1.2.-3",
                                 "x.1..3", "x.1.2.3 ", "x.1.2.99999999999"})
    CHECK_FALSE(parseTaskName(Text));
  CHECK(isJobId("0123456789abcdef"));
  CHECK_FALSE(isJobId("0123456789abcdeg"));
  CHECK_FALSE(isJobId("0123456789abcde"));
}

TEST_CASE("wire: a configuration is parsed into queues and organisations") {
  const auto Parsed = parseConfig(
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
      R"("service":"s","priority":1,"max_attempts":3,"stretch_factor":1.5},)"
      R"({"name":"l","host":"h","prefix":"/p/long/","service":"s",)"
      R"("public":true}],"services":[{"name":"s"}],"tenants":[{"name":"t",)"
      R"("api_keys":["k"],"guaranteed":{"gpu":72}}]})");
  REQUIRE(Parsed.Result);
  const deployment_config &Config = *Parsed.Result;
  CHECK(Config.match("h", "/p/long/x")->Name == route_id("l"));
  CHECK(Config.match("h", "/p/x")->Name == route_id("r"));
  CHECK_FALSE(Config.match("other", "/p/x"));
  CHECK(Config.findKey("k")->GuaranteedAccelerators == 72);
  CHECK_FALSE(Config.findKey(""));
  CHECK_FALSE(parseConfig(R"({"version":"x"})").Result);
}

// Guards against a job whose progress no leader can keep or store: it would end
// each leader in turn.
TEST_CASE(
    "wire: a job that is too large to schedule is refused with a reason") {
  const std::string Many(R"({"count":4000},{"count":4001})");
  for (const std::string &Text :
       {R"({"spec":"","steps":[)" + Many + "]}",
        std::string(R"({"spec":"","steps":[{"count":1}],"repetitions":9000})"),
        std::string(R"({"spec":"","steps":[{"count":1}],"repetitions":2,)"
                    R"("interval_ms":9000000000000000000})"),
        std::string(R"({"spec":"","steps":[{"count":1}],"repetitions":2,)"
                    R"("interval_ms":-1})")}) {
    CAPTURE(Text);
    CHECK_FALSE(parseJob(Text).Result);
    CHECK_FALSE(parseJob(Text).Reason.empty());
  }
  CHECK(parseJob(R"({"spec":"","steps":[{"count":4000},{"count":4000}]})")
            .Result);
}

// Guards against an entry of another writer that ends each leader in turn: its
// error message printed the nested value, recursively.
TEST_CASE(
    "wire: a deeply nested executor entry is refused, wherever it nests") {
  REQUIRE(parseExecutor("i-1", GoodExecutor).Result);
  // A level of nesting is that of the entry itself.
  const auto Unknown = [](int Depth) {
    return replaced(GoodExecutor, "\"cold_left_ms\":0",
                    "\"new\":" + nest(Depth));
  };
  CHECK(parseExecutor("i-1", Unknown(MaxJsonDepth - 1)).Result);
  for (const int Depth : {MaxJsonDepth, 2'000, 100'000, 500'000})
    checkRefused(Unknown(Depth));
  for (const int Depth : {50, 100'000, 500'000})
    for (const std::string From :
         {"16000", "32768", "3500", "5,", "\"s\"", "\"10.0.0.9:8080\"",
          "\"draining\"", "\"k\"", "{\"cpu\""}) {
      const std::string Rest = From == "5," ? "," : "";
      const std::string Key = From == "{\"cpu\"" ? ",\"x\":{\"cpu\"" : "";
      checkRefused(replaced(GoodExecutor, From, nest(Depth) + Rest + Key));
      // An object of unknown fields is a capacity of nothing.
      if (Depth > MaxJsonDepth || Key.empty())
        checkRefused(replaced(GoodExecutor, From,
                              nest(Depth, "{\"a\":", "}") + Rest + Key));
    }
  for (const int Depth : {100'000, 500'000, 1'000'000}) {
    checkRefused(nest(Depth));
    checkRefused(std::string(static_cast<std::size_t>(Depth), '['));
  }
  checkRefused(replaced(GoodExecutor, "\"k\"",
                        "\"" + std::string(1'000'000, 'k') + "\""));
}

TEST_CASE("wire: an executor entry with a number out of range is refused") {
  for (const std::string Number :
       {"1e999", "-1e999", "99999999999999999999", "-1", "2147483648",
        "2147483647", "-2147483649", "16777217", "0.5", "1e300", "null",
        "\"x\""})
    for (const std::string From : {"16000", "32768", ":8}"}) {
      const std::string To = From == ":8}" ? ":" + Number + "}" : Number;
      checkRefused(replaced(GoodExecutor, From, To));
    }
  for (const std::string Number :
       {"1e999", "99999999999999999999", "4900000000000000000",
        "-4900000000000000000", "9223372036854775807", "0.5"})
    checkRefused(replaced(GoodExecutor, "3500", Number));
  for (const std::string Number :
       {"1e999", "99999999999999999999", "9223372036854775808", "0.5"})
    checkRefused(replaced(GoodExecutor, ":5,", ":" + Number + ","));
  // An unknown field may hold any number that can be read.
  CHECK(parseExecutor("i-1", replaced(GoodExecutor, "cold_left_ms\":0",
                                      "cold_left_ms\":-1e300"))
            .Result);
}

TEST_CASE("wire: an executor entry without a usable address is refused") {
  for (const std::string Address :
       {"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999999999", "10.0.0.9:-1",
        "10.0.0.9:12x", "10.0.0.9: 12", "10.0.0.9:+12", "10.0.0.9:", "10.0.0.9",
        "10.0.0.9:1:2", "10.0.0.256:80", "::1", "[::1]", "[::1:80", "host:80",
        ":80", ""})
    checkRefused(replaced(GoodExecutor, "10.0.0.9:8080", Address));
  checkRefused(replaced(GoodExecutor, "10.0.0.9:8080",
                        std::string(10'000, '1') + ":80"));
  const auto Six =
      parseExecutor("i-1", replaced(GoodExecutor, "10.0.0.9:", "[fd00::1]:"));
  REQUIRE(Six.Result);
  CHECK(Six.Result->Address == endpoint{"fd00::1", 8080});
}

// Guards against a request that ends the instance: the values of some fields
// were copied, recursively.
TEST_CASE("wire: deeply nested jobs, configurations and answers are refused") {
  const std::string Deep = nest(100'000);
  for (const std::string Field :
       {"after", "fill_ratio", "count", "cpu", "image", "estimate_ms", "new"}) {
    CAPTURE(Field);
    const std::string Text =
        R"({"spec":"","steps":[{"count":1,")" + Field + "\":" + Deep + "}]}";
    CHECK_FALSE(parseJob(Text).Result);
    CHECK(parseJob(Text).Reason.find("nested") != std::string::npos);
  }
  const std::string Config = R"({"version":7,"routes":[],"services":[])";
  CHECK(parseConfig(Config + "}").Result);
  for (const std::string Field : {"tenants", "limits", "new"})
    CHECK_FALSE(
        parseConfig(Config + ",\"" + Field + "\":" + Deep + "}").Result);
  CHECK_FALSE(parseConfig(R"({"version":)" + Deep + "}").Result);
  CHECK_FALSE(parseHoldAnswer(R"({"clock_ms":)" + Deep + "}").Result);
  const order_answer Nested =
      parseOrderAnswer(R"({"reason":"fence","new":)" + Deep + "}");
  CHECK(Nested.Reason.empty());
  CHECK_FALSE(Nested.Fault.empty());
}

// Guards against conclusions from an answer of another life of the executor.
TEST_CASE("wire: an answer to an order tells of the life that gave it") {
  CHECK(parseOrderAnswer(R"({"clock_ms":482113})") ==
        order_answer{"", 0, 482'113});
  CHECK(parseOrderAnswer(
            R"({"clock_ms":12,"born":1790000000000,"reason":"old"})") ==
        order_answer{"old", 1'790'000'000'000, 12});
}

// Guards against an answer that is taken for one of the present life, or lost,
// because a field of it can't be read.
TEST_CASE("wire: an answer to an order is read as far as it can be") {
  const std::string Clocks[] = {"", R"(,"clock_ms":"12")",
                                R"(,"clock_ms":null)", R"(,"clock_ms":1e300)",
                                R"(,"clock_ms":9223372036854775807)"};
  for (const std::string &Clock : Clocks) {
    const order_answer Answer =
        parseOrderAnswer(R"({"reason":"room","born":7)" + Clock + "}");
    CAPTURE(Clock, Answer.Fault);
    CHECK(Answer.Reason == "room");
    CHECK(Answer.Born == 7);
    CHECK_FALSE(Answer.ClockMs);
    CHECK(Answer.Fault.find("clock_ms") != std::string::npos);
  }
  const order_answer Negative = parseOrderAnswer(R"({"clock_ms":-5})");
  CHECK(Negative.ClockMs == -5);
  const order_answer Odd =
      parseOrderAnswer(R"({"clock_ms":5,"reason":["x"],"born":"7"})");
  CHECK(Odd.ClockMs == 5);
  CHECK(Odd.Born == 0);
  CHECK(Odd.Fault.find("born") != std::string::npos);
  for (const std::string Text : {"", "[]", "7", "{\"clock_ms\":"})
    CHECK_FALSE(parseOrderAnswer(Text).Fault.empty());
}

// Guards against sums of times and counts of attempts that overflow.
TEST_CASE("wire: numbers that later sums can't hold are refused") {
  for (const std::string Field : {"estimate_ms", "target_ms"})
    CHECK_FALSE(parseJob(R"({"spec":"","steps":[{"count":1,")" + Field +
                         R"(":4900000000000000000}]})")
                    .Result);
  CHECK_FALSE(parseJob(R"({"spec":"","steps":[{"count":1}],)"
                       R"("start_at_ms":9223372036854775807})")
                  .Result);
  const auto Answer = [](const std::string &Clock, const std::string &Attempt) {
    return parseHoldAnswer(R"({"ended":[],"clock_ms":)" + Clock +
                           R"(,"active":[["0123456789abcdef.0.0.1",)" +
                           Attempt + R"(,"",41]]})");
  };
  CHECK(Answer("482113", "2").Result);
  for (const std::string Number :
       {"4900000000000000000", "9223372036854775807", "1e999"})
    CHECK_FALSE(Answer(Number, "2").Result);
  for (const std::string Number : {"2147483647", "-1", "2147483648"})
    CHECK_FALSE(Answer("482113", Number).Result);
}

// Guards against a full report that is taken for a whole one.
TEST_CASE("wire: a report of as many ends as an executor lists isn't whole") {
  const auto Report = [](std::size_t Ends) {
    std::string Rows;
    for (std::size_t I = 1; I <= Ends; ++I)
      Rows += (Rows.empty() ? "" : ",") + ("[" + std::to_string(I)) +
              R"(,"a.0.0.)" + std::to_string(I) + R"(",1,"done",""])";
    return parseHoldAnswer(R"({"clock_ms":1,"born":1,"active":[],"ended":[)" +
                           Rows + "]}");
  };
  REQUIRE(Report(499).Result);
  CHECK(Report(499).Result->IsWhole);
  CHECK_FALSE(Report(500).Result->IsWhole);
  CHECK_FALSE(Report(501).Result->IsWhole);
}

// Guards against second starts of tasks that are done: an end was skipped, and
// its run taken for lost, when the report listed a later end before it.
TEST_CASE("wire: ends are passed on in the order of their numbers") {
  const auto Report =
      parseHoldAnswer(R"({"clock_ms":1,"born":1,"active":[],"ended":[)"
                      R"([7,"a.0.0.1",1,"done",""],[5,"a.0.0.2",1,"done",""],)"
                      R"([6,"a.0.0.3",1,"failed",""]]})");
  REQUIRE(Report.Result);
  std::vector<std::int64_t> Numbers;
  for (const ended_run &End : Report.Result->Ended)
    Numbers.push_back(End.Number);
  CHECK(Numbers == std::vector<std::int64_t>{5, 6, 7});
}

// Guards against an executor that is taken for silent, and its runs for lost,
// because it runs more tasks than the text of other answers may hold.
TEST_CASE("wire: a report of very many runs is read") {
  constexpr std::size_t Runs = 40'000;
  std::string Rows;
  for (std::size_t I = 0; I < Runs; ++I)
    Rows += (Rows.empty() ? "" : ",") +
            (R"(["0123456789abcdef.0.0.)" + std::to_string(I)) +
            R"(",1,"00000bb87a21d94b",41,0])";
  REQUIRE(Rows.size() > MaxJsonBytes);
  const auto Report = parseHoldAnswer(
      R"({"clock_ms":1,"born":1,"ended":[],"active":[)" + Rows + "]}");
  INFO(Report.Reason);
  REQUIRE(Report.Result);
  CHECK(Report.Result->Active.size() == Runs);
}
