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

// Guards against sums of capacity and of times that overflow.
TEST_CASE("worker protocol: a report with an amount out of range is rejected") {
  const auto Parse = [](const std::string &Accelerators,
                        const std::string &Progress) {
    return parseWorkerMessage<worker_report>(
        R"({"worker":"w","data_centre":"a","rack":"r","highest_epoch":1,)"
        R"("accelerators":)" +
        Accelerators +
        R"(,"tasks":[{"job":"j","attempt":1,"state":"running","tasks":1,)"
        R"("accelerators":8,"progress_ms":)" +
        Progress + "}]}");
  };
  REQUIRE(Parse("8", "1000"));
  for (const std::string Number :
       {"-1", "1025", "2147483647", "2147483648", "1e999"})
    CHECK_FALSE(Parse(Number, "1000"));
  for (const std::string Number :
       {"4900000000000000000", "-4900000000000000000", "1e999", "0.5"})
    CHECK_FALSE(Parse("8", Number));
}
