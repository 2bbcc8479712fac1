// Messages between schedulers and workers: what a reader rejects.

#include "core/job/worker_protocol.hpp"
#include "tests/support/nested_text.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;

namespace {

std::optional<start_request> parseStart(const std::string &Epoch,
                                        const std::string &Attempt) {
  return parseWorkerMessage<start_request>(
      R"({"job":"j","attempt":)" + Attempt + R"(,"epoch":)" + Epoch +
      R"(,"lease_ms":1000,"declared_ms":1000})");
}

} // namespace

TEST_CASE("worker protocol: a whole number in range is read") {
  const auto Request = parseStart("7", "2");
  REQUIRE(Request);
  CHECK(Request->Epoch == 7);
  CHECK(Request->Attempt.Attempt == 2);
}

TEST_CASE("worker protocol: a number that doesn't fit is rejected") {
  for (const std::string Number :
       {"3.33333e+27", "-1", "1.5", "18446744073709551616", "1e400", "\"7\"",
        "null", "true", "[]"}) {
    INFO(Number);
    CHECK_FALSE(parseStart(Number, "2"));
    CHECK_FALSE(parseStart("7", Number));
  }
  CHECK_FALSE(parseStart("7", "4294967296")); // an attempt has 32 bits
}

// Guards against a message that ends its reader: the error printed the value.
TEST_CASE("worker protocol: a deeply nested message is rejected") {
  for (const int Depth : {100, 100'000, 500'000}) {
    CHECK_FALSE(parseStart(test::nest(Depth), "2"));
    CHECK_FALSE(parseStart("7", test::nest(Depth, "{\"a\":", "}")));
    CHECK_FALSE(parseStart("7", R"(2,"new":)" + test::nest(Depth)));
  }
}
