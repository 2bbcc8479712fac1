#include "core/recovery/reachability.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;

TEST_CASE("a service that rejects calls is unreachable until one succeeds") {
  reachability Store(milliseconds(500));
  instant Now{milliseconds(10'000)};
  CHECK(Store.isReachable(Now));
  // Rejected every 200 ms, like a retried watch.
  Store.noteFailure(Now);
  CHECK(Store.isReachable(Now + milliseconds(499)));
  Store.noteFailure(Now + milliseconds(200));
  CHECK_FALSE(Store.isReachable(Now + milliseconds(500)));
  Store.noteSuccess();
  CHECK(Store.isReachable(Now + milliseconds(500)));
}

TEST_CASE("a call that hung counts as failing from when it was sent") {
  reachability Store(milliseconds(500));
  const instant Sent{milliseconds(10'000)};
  Store.noteFailure(Sent);
  CHECK_FALSE(Store.isReachable(Sent + milliseconds(1'500)));
}

TEST_CASE("single rejections among successes don't count") {
  reachability Store(milliseconds(500));
  instant Now{milliseconds(10'000)};
  for (int I = 0; I < 20; ++I) {
    Store.noteFailure(Now);
    Now += milliseconds(100);
    Store.noteSuccess();
    CHECK(Store.isReachable(Now));
  }
}
