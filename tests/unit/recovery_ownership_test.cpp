#include "core/recovery/ownership.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace std::chrono_literals;

TEST_CASE("store epochs and local epochs are totally ordered") {
  const instance_id One("scheduler-1");
  const instance_id Two("scheduler-2");
  const epoch Won = storeEpoch(100, 0);
  const epoch Claimed = localEpoch(Won, One);
  CHECK(Claimed > Won);
  CHECK(localEpoch(Claimed, Two) > Claimed);
  CHECK(localEpoch(Won, One) != localEpoch(Won, Two));
  // An epoch of the next store revision is above every local claim before it.
  CHECK(storeEpoch(101, Won) > localEpoch(Claimed, Two));
  // A restored store has lower revisions, but epochs don't decrease.
  CHECK(storeEpoch(7, Claimed) > Claimed);
}

TEST_CASE("epochs grow over many consecutive claims") {
  epoch Highest = storeEpoch(5, 0);
  for (int I = 0; I < 1'000; ++I) {
    const epoch Next =
        localEpoch(Highest, instance_id("scheduler-" + std::to_string(I % 3)));
    REQUIRE(Next > Highest);
    Highest = Next;
  }
}

TEST_CASE("a standby waits, tries the store, or claims locally") {
  const ownership_settings Settings;
  const instant Now(100s);
  struct row {
    const char *Case;
    standby_view View;
    standby_step Expected;
  };
  const instant Long(10s);
  const row Rows[] = {
      {"leader heard", {Long, Now - 1s, true, true, 0}, standby_step::Wait},
      {"leader heard, store down",
       {Long, Now - 1s, false, true, 0},
       standby_step::Wait},
      {"leader silent",
       {Long, Now - 2s, true, true, 0},
       standby_step::TryStore},
      {"leader never heard",
       {Now, Never, true, true, 0},
       standby_step::TryStore},
      {"silent for a moment, store down",
       {Long, Now - 2s, false, true, 0},
       standby_step::TryStore},
      {"silent, store down",
       {Long, Now - 2'600ms, false, true, 0},
       standby_step::ClaimLocally},
      {"silent, store down, second in rank",
       {Long, Now - 2'600ms, false, true, 1},
       standby_step::TryStore},
      {"silent longer, second in rank",
       {Long, Now - 3'600ms, false, true, 1},
       standby_step::ClaimLocally},
      {"silent because this one is isolated",
       {Long, Now - 60s, false, false, 0},
       standby_step::TryStore},
      {"just became a standby, store down",
       {Now - 1s, Now - 60s, false, true, 0},
       standby_step::TryStore},
  };
  for (const row &Row : Rows) {
    INFO(Row.Case);
    CHECK(nextStep(Row.View, Settings, Now) == Row.Expected);
  }
}
