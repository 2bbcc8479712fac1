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

TEST_CASE("counted attempts: one that is taken out can be added again") {
  counted_attempts Attempts;
  for (const int Attempt : {1, 2, 3, 6})
    REQUIRE(Attempts.add(Attempt));
  const counted_attempts Before = Attempts;
  for (const int Attempt : {1, 2, 3, 6}) {
    Attempts.remove(Attempt);
    for (const int Other : {1, 2, 3, 6})
      CHECK(Attempts.contains(Other) == (Other != Attempt));
    CHECK(Attempts.add(Attempt));
    CHECK(Attempts == Before);
  }
  for (const int Unknown : {-1, 0, 4, 5, 7}) {
    Attempts.remove(Unknown);
    CHECK(Attempts == Before);
  }
}

TEST_CASE("counted attempts: one stays if too many others would be kept one "
          "by one") {
  constexpr int Last = 100;
  counted_attempts Attempts{Last, {}};
  Attempts.remove(Last - static_cast<int>(MaxLaterAttempts) - 1);
  CHECK(Attempts == counted_attempts{Last, {}});
  Attempts.remove(Last - static_cast<int>(MaxLaterAttempts));
  CHECK(Attempts.Later.size() == MaxLaterAttempts);
  CHECK(Attempts.contains(Last));
  CHECK_FALSE(Attempts.contains(Last - static_cast<int>(MaxLaterAttempts)));
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
