#include "core/recovery/adaptive_timeout.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;

namespace {
constexpr milliseconds Min{400};
constexpr milliseconds Max{1'500};
} // namespace

TEST_CASE("adaptive timeout: the maximum first, then by response time") {
  adaptive_timeout Time(Min, Max);
  CHECK(Time.timeout() == Max);
  Time.noteAnswer(milliseconds(4));
  CHECK(Time.timeout() == Min);
}

TEST_CASE("adaptive timeout: grows when responses slow down") {
  adaptive_timeout Time(Min, Max);
  for (int I = 0; I < 50; ++I)
    Time.noteAnswer(milliseconds(4));
  for (int I = 0; I < 20; ++I)
    Time.noteAnswer(milliseconds(500));
  CHECK(Time.timeout() > milliseconds(500));
  for (int I = 0; I < 100; ++I)
    Time.noteAnswer(milliseconds(4));
  CHECK(Time.timeout() == Min);
}

TEST_CASE("adaptive timeout: doubles once after timeouts until an answer") {
  adaptive_timeout Time(Min, Max);
  Time.noteAnswer(milliseconds(4));
  for (int I = 0; I < 100; ++I) {
    Time.noteTimeout();
    CHECK(Time.timeout() == 2 * Min);
  }
  Time.noteAnswer(milliseconds(4));
  CHECK(Time.timeout() == Min);
}
