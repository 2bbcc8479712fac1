#include "core/config/tables.hpp"
#include "core/job/job.hpp"
#include "core/request/dispatch_record.hpp"
#include "tests/support/nested_text.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;

TEST_CASE("text that isn't valid tables gives a problem, never an exception") {
  struct bad_case {
    const char *Text;
    const char *Rule;
  };
  const std::vector<bad_case> Cases = {
      {"", "line 1"},
      {"{\n\"version\": }", "line 2"},
      {"{\"version\": 1e999}", "number"}, // found by the fuzz target
      {"[]", "must be an object"},
      {"{\"version\": \"x\"}", "wrong type"},
  };
  for (const bad_case &Case : Cases) {
    INFO(Case.Text);
    const parsed_tables Parsed = parseTables(Case.Text);
    CHECK_FALSE(Parsed.Tables);
    REQUIRE_FALSE(Parsed.Problems.empty());
    CHECK(Parsed.Problems.front().Rule.find(Case.Rule) != std::string::npos);
  }
}

TEST_CASE("deeply nested tables, jobs and records give a problem") {
  for (const int Depth : {100, 100'000, 500'000}) {
    const std::string Deep = test::nest(Depth);
    for (const std::string &Text : {Deep, R"({"version":)" + Deep + "}",
                                    R"({"routes":[{"name":)" + Deep + "}]}"}) {
      const parsed_tables Tables = parseTables(Text);
      CHECK_FALSE(Tables.Tables);
      REQUIRE_FALSE(Tables.Problems.empty());
      CHECK(Tables.Problems.front().Rule.find("nested") != std::string::npos);
    }
    const std::string Job = R"({"tasks":)" + Deep + "}";
    CHECK_FALSE(parseJobSpec(Job).Job);
    CHECK_FALSE(parseJobSpec(Job).Problems.empty());
    CHECK_FALSE(parseJobRecord(Job).Job);
    CHECK_FALSE(parseDispatchRecord(R"({"request_id":)" + Deep + "}"));
    CHECK_FALSE(parseDispatchRecord(
        R"({"request_id":"r","content_hash":"h","state":"answered","answer":)"
        R"({"status":)" +
        Deep + R"(,"content_type":"","body":""}})"));
  }
}
