#include "core/job/batch/counted_attempts.hpp"

#include <catch2/catch.hpp>

using namespace galenastage::batch;

TEST_CASE("counted attempts: each is added once, in any order") {
  counted_attempts Attempts;
  for (const int Attempt : {4, 2, 7, 1, 5}) {
    CHECK_FALSE(Attempts.contains(Attempt));
    CHECK(Attempts.add(Attempt));
    CHECK(Attempts.contains(Attempt));
    CHECK_FALSE(Attempts.add(Attempt));
  }
  CHECK(Attempts == counted_attempts{2, {4, 5, 7}});
  CHECK_FALSE(Attempts.contains(3));
  CHECK_FALSE(Attempts.contains(6));
  CHECK(Attempts.add(3));
  CHECK(Attempts == counted_attempts{5, {7}});
}

// Guards against records that grow with each failure of a task that lasts.
TEST_CASE(
    "counted attempts: consecutive ones take no room, others are bounded, "
    "and none is counted twice") {
  constexpr int Last = 10'000;
  counted_attempts Consecutive;
  for (int Attempt = 1; Attempt <= Last; ++Attempt)
    REQUIRE(Consecutive.add(Attempt));
  CHECK(Consecutive == counted_attempts{Last, {}});
  counted_attempts Sparse;
  for (int Attempt = 2; Attempt <= Last; Attempt += 2) {
    REQUIRE(Sparse.add(Attempt));
    REQUIRE(Sparse.Later.size() <= MaxLaterAttempts);
  }
  for (int Attempt = 2; Attempt <= Last; Attempt += 2)
    REQUIRE_FALSE(Sparse.add(Attempt));
  // At the bound, older attempts in between are taken for counted.
  CHECK_FALSE(Sparse.add(1));
  CHECK(Sparse.add(Last - 1));
}
