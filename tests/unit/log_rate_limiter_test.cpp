#include "core/log_rate_limiter.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;

TEST_CASE(
    "a flood of one kind of line is limited and doesn't suppress others") {
  log_rate_limiter Budget({40, 200});
  instant Now{};
  int Written = 0;
  constexpr int Seconds = 10;
  constexpr int PerSecond = 5'000;
  for (int I = 0; I < Seconds * PerSecond; ++I) {
    Written += Budget.tryTake(1, Now) ? 1 : 0;
    if (I % 1'000 == 0)
      CHECK(Budget.tryTake(2, Now));
    Now += milliseconds(I % 5 == 0 ? 1 : 0);
  }
  // Burst plus rate, and no more.
  CHECK(Written <= 200 + 40 * Seconds + 1);
  CHECK(Written >= 200 + 40 * (Seconds - 1));
  const auto Dropped = Budget.takeDropped();
  REQUIRE(Dropped.size() == 1);
  CHECK(Dropped.at(1) ==
        static_cast<std::uint64_t>(Seconds * PerSecond - Written));
  CHECK(Budget.takeDropped().empty());
  CHECK(Budget.totalDropped() == Dropped.at(1));
}
