#include "standin/relay_net.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace std::chrono_literals;

namespace {

constexpr auto Rule = start_rule::StopUnlessTotalOutage;

/// Three data centres with two entry instances and one scheduler each.
struct relay_fixture {
  standin::relay_net Net;

  relay_fixture() {
    for (const char *DataCentre : {"a", "b", "c"}) {
      Net.add(DataCentre, std::string(DataCentre) + "0");
      Net.add(DataCentre, std::string(DataCentre) + "1");
      Net.add(DataCentre, std::string(DataCentre) + "s",
              process_kind::Scheduler);
    }
    Net.store(1);
    Net.run(5s);
  }

  bool isInForceEverywhere(std::uint64_t Version) {
    return std::ranges::all_of(Net.Nodes, [&](const auto &Item) {
      return !Item.second.IsRunning ||
             Item.second.Relay.InForce.version() == Version;
    });
  }

  int watches() {
    return static_cast<int>(std::ranges::count_if(
        Net.Nodes, [](const auto &Item) { return Item.second.IsWatching; }));
  }

  /// Runs until the version is in force everywhere. Returns the time it took.
  milliseconds timeUntilInForce(std::uint64_t Version) {
    const instant Start = Net.Now;
    while (!isInForceEverywhere(Version) && Net.Now < Start + 20s)
      Net.run(Net.Step);
    return Net.Now - Start;
  }

  bool versionsNeverDecreased() {
    return std::ranges::all_of(Net.Nodes, [](const auto &Item) {
      return std::ranges::is_sorted(Item.second.Versions);
    });
  }

  void cutFromPeers(const std::string &Name) {
    for (const char *Other : {"a", "b", "c"})
      if (Other != Name)
        Net.CutBetween.insert({data_centre_id(Name), data_centre_id(Other)});
  }
};

} // namespace

TEST_CASE_METHOD(relay_fixture,
                 "one reader per data centre updates every process") {
  CHECK(isInForceEverywhere(1));
  CHECK(watches() == 3);
  const std::uint64_t Before = Net.Reads;
  Net.run(10s);
  CHECK(Net.Reads - Before <= 3 * 20);
  Net.store(2);
  CHECK(timeUntilInForce(2) <= 200ms);
  for (const char *Name : {"as", "bs", "cs", "a1"}) {
    INFO(Name);
    Net.run(1s, [&] { REQUIRE(Net.mayStartAt(Name, Rule)); });
  }
}

TEST_CASE_METHOD(relay_fixture,
                 "another instance reads when the reader pauses, and task "
                 "starts are never interrupted") {
  const bool IsFirst = Net.at("a0").IsWatching;
  auto &Reader = Net.at(IsFirst ? "a0" : "a1");
  auto &Other = Net.at(IsFirst ? "a1" : "a0");
  Reader.IsRunning = false;
  Net.run(5s, [&] { REQUIRE(Net.mayStartAt("as", Rule)); });
  CHECK(Other.IsWatching);
  Net.store(2);
  CHECK(timeUntilInForce(2) <= 1s);
  Reader.IsRunning = true;
  CHECK(timeUntilInForce(2) <= 1s);
  Net.run(5s);
  CHECK(watches() == 3);
  CHECK(versionsNeverDecreased());
}

TEST_CASE_METHOD(
    relay_fixture,
    "a data centre that can't reach the store gets edits from peers") {
  Net.CutFromStore.insert(data_centre_id("a"));
  Net.run(5s);
  Net.store(2, {"a"});
  CHECK(timeUntilInForce(2) <= 1s);
  CHECK_FALSE(Net.mayStartAt("as", Rule));
  CHECK(Net.mayStartAt("bs", Rule));
  Net.store(3);
  timeUntilInForce(3);
  Net.run(3s);
  Net.run(5s, [&] { REQUIRE(Net.mayStartAt("as", Rule)); });
}

TEST_CASE_METHOD(
    relay_fixture,
    "an isolated data centre starts nothing; in a total outage starts "
    "resume soon") {
  SECTION("cut off from everything") {
    Net.CutFromStore.insert(data_centre_id("a"));
    cutFromPeers("a");
    Net.run(3s);
    Net.run(5s, [&] { REQUIRE_FALSE(Net.mayStartAt("as", Rule)); });
    CHECK(Net.mayStartAt("bs", Rule));
  }
  SECTION("total outage") {
    Net.IsStoreDown = true;
    Net.run(5s);
    Net.run(20s, [&] { REQUIRE(Net.mayStartAt("as", Rule)); });
  }
  SECTION("total outage and one data centre silent") {
    Net.IsStoreDown = true;
    cutFromPeers("a");
    Net.run(5s);
    Net.run(5s, [&] { REQUIRE_FALSE(Net.mayStartAt("bs", Rule)); });
  }
}

TEST_CASE_METHOD(relay_fixture,
                 "a restored store never lowers the version in force") {
  for (std::uint64_t Version = 2; Version <= 5; ++Version) {
    Net.store(Version);
    Net.run(1s);
  }
  Net.Stored = standin::relay_net::makeTables(3, {});
  Net.Revision = 7;
  Net.run(10s);
  CHECK(Net.Stored.version() == 5);
  CHECK(isInForceEverywhere(5));
  CHECK(versionsNeverDecreased());
  CHECK(Net.mayStartAt("as", Rule));
  // The same holds for a store that was emptied.
  Net.Stored = {};
  Net.Revision = 1;
  Net.run(10s);
  CHECK(Net.Stored.version() == 5);
  CHECK(versionsNeverDecreased());
}

TEST_CASE_METHOD(relay_fixture, "a stale read changes neither the tables "
                                "nor the evidence") {
  Net.store(2);
  Net.run(1s);
  auto &Node = Net.at("as");
  const instant Before = Node.Relay.AsOf;
  store_answered Stale;
  Stale.SentAt = Net.Now;
  Stale.Stored = standin::relay_net::makeTables(1, {});
  Stale.Revision = 1;
  reduce(Node.Relay, {Net.Now, Stale});
  CHECK(Node.Relay.InForce.version() == 2);
  CHECK(Node.Relay.AsOf == Before);
}

TEST_CASE_METHOD(
    relay_fixture,
    "a new instance gets the tables from peers while the store is down") {
  Net.store(2);
  Net.run(1s);
  Net.IsStoreDown = true;
  Net.run(2s);
  auto &New = Net.add("a", "a2");
  Net.run(2s);
  CHECK(New.Relay.InForce.version() == 2);
}

TEST_CASE_METHOD(relay_fixture, "a delayed message counts as old evidence") {
  auto &Receiver = Net.at("as").Relay;
  const link_id Link = Receiver.Links.begin()->first;
  const peer_link Before = Receiver.Links.begin()->second;
  auto &Sender = Net.at(Before.Name.Value).Relay;
  peer_link Back;
  Back.HeardAt = Net.Now;
  Back.PeerSentAt = Net.Now.time_since_epoch().count();
  const peer_message Message = makeMessage(Sender, Back, Net.Now);
  const instant Made = Net.Now;
  Net.CutFromStore.insert(data_centre_id("a"));
  cutFromPeers("a");
  Net.run(30s);
  reduce(Receiver, {Net.Now, message_received{Link, Message}});
  CHECK(Receiver.AsOf <= Made);
  CHECK_FALSE(Net.mayStartAt("as", Rule));
}

TEST_CASE_METHOD(relay_fixture, "an edit is forwarded by the instance that "
                                "stored it while the store is down") {
  Net.IsStoreDown = true;
  Net.run(3s);
  Net.apply(instance_id("b0"),
            edit_stored{standin::relay_net::makeTables(2, {"a"})});
  CHECK(timeUntilInForce(2) <= 100ms);
  CHECK_FALSE(Net.mayStartAt("as", Rule));
}
