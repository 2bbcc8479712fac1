#include "core/recovery/evidence.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace std::chrono_literals;

namespace {

const data_centre_id A("ma-north-a");
const data_centre_id B("ma-north-b");
constexpr milliseconds Life{2'000};
constexpr milliseconds CutOffAfter{1'500};

instant at(milliseconds Time) { return instant(Time); }

} // namespace

TEST_CASE("start rules differ only when evidence is old") {
  struct row {
    const char *Case;
    start_evidence Evidence;
    bool AlwaysStop, NeverStop, Unless;
  };
  const instant Now = at(10s);
  const row Rows[] = {
      {"recent", {true, at(8s), Never}, true, true, true},
      {"old", {true, at(7'999ms), Never}, false, true, false},
      {"never", {true, Never, Never}, false, true, false},
      {"old, total outage", {true, at(1s), at(9s)}, false, true, true},
      {"old, outage long ago", {true, at(1s), at(7s)}, false, true, false},
      {"taken out", {false, at(10s), at(10s)}, false, false, false},
  };
  for (const row &Row : Rows) {
    INFO(Row.Case);
    const auto Decide = [&](start_rule Rule) {
      return mayStart(Row.Evidence, Rule, Life, Now);
    };
    CHECK(Decide(start_rule::AlwaysStop) == Row.AlwaysStop);
    CHECK(Decide(start_rule::NeverStop) == Row.NeverStop);
    CHECK(Decide(start_rule::StopUnlessTotalOutage) == Row.Unless);
  }
}

TEST_CASE("an outage is known once every data centre reports it, as of the "
          "oldest report") {
  store_contact_map Reach;
  mergeStoreContact(Reach, A, {at(10s), at(5s)});
  CHECK(outageKnownAt(Reach, {A}, CutOffAfter) == at(10s));
  CHECK(outageKnownAt(Reach, {A, B}, CutOffAfter) == Never);
  mergeStoreContact(Reach, B, {at(9s), Never});
  CHECK(outageKnownAt(Reach, {A, B}, CutOffAfter) == at(9s));
  // Another instance of B reports that it reached the store.
  mergeStoreContact(Reach, B, {at(8s), at(8s)});
  CHECK(outageKnownAt(Reach, {A, B}, CutOffAfter) == Never);
  CHECK(outageKnownAt(Reach, {}, CutOffAfter) == Never);
}
