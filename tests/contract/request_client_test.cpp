#include "tests/support/request_system.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::test;

TEST_CASE("requests that run at most once reuse connections") {
  request_system System;
  System.publish();
  for (int I = 0; I < 80; ++I) {
    const std::string Body = "permit " + std::to_string(I);
    CHECK(System.send("/once/1", Body, "key-" + std::to_string(I)).Verdict ==
          "ran");
  }
  CHECK(System.Executor.Connections <= 2);
}
