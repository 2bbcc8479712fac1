#include "core/config/tables.hpp"

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
