#include "core/recovery/membership.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace std::chrono_literals;

namespace {

const data_centre_id A("ma-north-a");

member entry(const std::string &Name, std::uint16_t Port,
             std::uint64_t Incarnation, instant LastHeard = instant::min()) {
  member Member;
  Member.Name = instance_id(Name);
  Member.DataCentre = A;
  Member.Address = {"127.0.0.1", Port};
  Member.Incarnation = Incarnation;
  Member.LastHeard = LastHeard;
  return Member;
}

std::vector<instance_id> ranked(const membership &Membership, instant Now) {
  return rankMembers(Membership, A, process_kind::Entry, instance_id("self"),
                     "test", Now);
}

bool holds(const std::vector<instance_id> &Names, const std::string &Name) {
  return std::ranges::find(Names, instance_id(Name)) != Names.end();
}

} // namespace

TEST_CASE("a listed member is live only while its heartbeats arrive") {
  membership Membership;
  applyInstanceList(Membership, {entry("one", 1, 0)});
  CHECK_FALSE(holds(ranked(Membership, instant(1s)), "one"));
  CHECK(applyHeartbeat(Membership, entry("one", 1, 7, instant(1s))));
  CHECK(holds(ranked(Membership, instant(2s)), "one"));
  CHECK_FALSE(holds(ranked(Membership, instant(3s)), "one"));
  CHECK(applyHeartbeat(Membership, entry("one", 1, 7, instant(9s))));
  CHECK(holds(ranked(Membership, instant(9s)), "one"));
}

TEST_CASE("an unlisted member is removed after its heartbeats stop") {
  membership Membership;
  applyHeartbeat(Membership, entry("one", 1, 7, instant(1s)));
  applyInstanceList(Membership, {});
  expireMembers(Membership, instant(31s));
  CHECK(Membership.Members.size() == 1);
  expireMembers(Membership, instant(32s));
  CHECK(Membership.Members.empty());
}

TEST_CASE("heartbeats of an older incarnation are ignored") {
  membership Membership;
  CHECK(applyHeartbeat(Membership, entry("one", 1, 8, instant(1s))));
  CHECK_FALSE(applyHeartbeat(Membership, entry("one", 1, 7, instant(2s))));
  CHECK(Membership.Members.at(instance_id("one")).LastHeard == instant(1s));
}

TEST_CASE("a newer process at the same address replaces the previous one") {
  membership Membership;
  applyHeartbeat(Membership, entry("old", 1, 7, instant(1s)));
  CHECK(applyHeartbeat(Membership, entry("new", 1, 8, instant(2s))));
  CHECK_FALSE(Membership.Members.contains(instance_id("old")));
  // Neither a late heartbeat nor the lagging list brings the old one back.
  CHECK_FALSE(applyHeartbeat(Membership, entry("old", 1, 7, instant(2s))));
  applyInstanceList(Membership, {entry("old", 1, 0)});
  CHECK_FALSE(Membership.Members.contains(instance_id("old")));
}

TEST_CASE("processes that know the same members rank them alike") {
  membership Left;
  membership Right;
  for (int I = 0; I < 6; ++I) {
    const std::string Name = "entry-" + std::to_string(I);
    applyHeartbeat(Left, entry(Name, 10 + I, 1, instant(1s)));
    applyHeartbeat(
        Right, entry("entry-" + std::to_string(5 - I), 15 - I, 1, instant(1s)));
  }
  const auto Of = [](const membership &Membership, const std::string &Self) {
    return rankMembers(Membership, A, process_kind::Entry, instance_id(Self),
                       "test", instant(1s));
  };
  CHECK(Of(Left, "entry-0") == Of(Right, "entry-3"));
  const instance_id First = Of(Left, "entry-0").front();
  Left.Members.erase(First);
  const auto After = Of(Left, Of(Right, "entry-0").at(1).Value);
  CHECK(After.front() == Of(Right, "entry-0").at(1));
}
