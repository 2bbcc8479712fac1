// Limits on JSON text from other programs.

#include "core/json_number.hpp"
#include "tests/support/nested_text.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using nlohmann::json;
using test::nest;

TEST_CASE("json text: nesting is limited outside of strings") {
  CHECK(parseJson(nest(MaxJsonDepth)).is_array());
  CHECK_THROWS_AS(parseJson(nest(MaxJsonDepth + 1)), std::length_error);
  CHECK_THROWS_AS(parseJson(nest(500'000)), std::length_error);
  CHECK_THROWS_AS(parseJson(std::string(500'000, '[')), std::length_error);
  CHECK_THROWS_AS(parseJson(nest(MaxJsonDepth + 1, "{\"a\":", "}")),
                  std::length_error);
  const std::string Brackets(1'000, '[');
  CHECK(parseJson("\"" + Brackets + "\"").get<std::string>() == Brackets);
  const json Quoted = parseJson(R"(["\"[[\\", "]", []])");
  REQUIRE(Quoted.size() == 3);
  CHECK(Quoted[0].get<std::string>() == "\"[[\\");
  CHECK(Quoted[1].get<std::string>() == "]");
  // Many short arrays after one another aren't deep.
  std::string Flat = "[[]";
  for (int I = 0; I < 1'000; ++I)
    Flat += ",[]";
  CHECK(parseJson(Flat + "]").size() == 1'001);
}

TEST_CASE("json text: the size is limited") {
  CHECK(parseJson("[1]", 3).size() == 1);
  CHECK_THROWS_AS(parseJson("[1]", 2), std::length_error);
  CHECK_THROWS_AS(parseJson(std::string(MaxJsonBytes + 1, ' ')),
                  std::length_error);
  CHECK_THROWS_AS(parseJson("[1"), json::parse_error);
}

// Guards against an error message that prints a nested value and so overflows
// the stack.
TEST_CASE("json text: a value is described without its contents") {
  const json Deep = json::parse(nest(100'000));
  CHECK(describe(Deep) == "an array");
  CHECK(describe(json::object()) == "an object");
  CHECK(describe(json(1.5)) == "1.5");
  CHECK(describe(json(std::string(1'000'000, 'x'))).size() < 100);
  CHECK_THROWS_AS(readWhole<int>(Deep, "field"), std::out_of_range);
  CHECK(reasonOf(std::runtime_error(std::string(1'000'000, 'x'))).size() <=
        MaxReasonBytes + 3);
}

TEST_CASE("json number: a number outside of its range is refused") {
  constexpr number_range<int> Range{0, 10};
  CHECK(readWhole<int>(json(10), "f", Range) == 10);
  CHECK(readWhole<int>(json::object(), "f", 7, Range) == 7);
  for (const char *Text : {"-1", "11", "1e300", "2147483648", "-2147483649",
                           "99999999999999999999", "0.5", "\"1\"", "null"}) {
    CAPTURE(Text);
    CHECK_THROWS_AS(readWhole<int>(json::parse(Text), "f", Range),
                    std::out_of_range);
  }
}
