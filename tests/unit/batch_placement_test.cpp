// Where tasks go: the loads that the placement answers.

#include "core/job/batch/placement.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

room makeRoom(const std::string &Id, const std::string &Rack, int Free,
              int MoreAllowed = 100) {
  return {
      executor_id(Id), rack_id(Rack), {32'000, 64'000, Free}, MoreAllowed, {}};
}

placement_ask makeAsk(int Accelerators, int Count) {
  return {{1'000, 1'000, Accelerators}, Count, false, {}};
}

int countOn(const placement_choice &Choice, const std::string &Id) {
  return static_cast<int>(std::count(Choice.Executors.begin(),
                                     Choice.Executors.end(), executor_id(Id)));
}

} // namespace

TEST_CASE("placement: small work fills what is already in use") {
  const std::vector<room> Rooms = {makeRoom("empty", "r1", 8),
                                   makeRoom("half", "r1", 4)};
  const room *Chosen = findTightest(makeAsk(1, 1), Rooms);
  REQUIRE(Chosen);
  CHECK(Chosen->Executor == executor_id("half"));
}

TEST_CASE(
    "placement: a gang takes the rack with the least room that is enough") {
  const std::vector<room> Rooms = {
      makeRoom("a1", "a", 8), makeRoom("a2", "a", 8), makeRoom("b1", "b", 4),
      makeRoom("b2", "b", 4), makeRoom("c1", "c", 2)};
  const auto Choice = placeInFreeRoom(makeAsk(2, 4), Rooms);
  REQUIRE(Choice);
  CHECK(countOn(*Choice, "b1") + countOn(*Choice, "b2") == 4);
}

TEST_CASE("placement: a gang for one rack waits rather than spread") {
  const std::vector<room> Rooms = {makeRoom("a1", "a", 4),
                                   makeRoom("b1", "b", 4)};
  placement_ask Ask = makeAsk(4, 2);
  CHECK(placeInFreeRoom(Ask, Rooms));
  Ask.NeedsOneRack = true;
  CHECK_FALSE(placeInFreeRoom(Ask, Rooms));
}

TEST_CASE("placement: the preferred rack goes before a tighter one") {
  const std::vector<room> Rooms = {makeRoom("a1", "a", 4),
                                   makeRoom("b1", "b", 8)};
  placement_ask Ask = makeAsk(4, 1);
  Ask.PreferredRack = rack_id("b");
  CHECK(findTightest(Ask, Rooms)->Executor == executor_id("b1"));
  CHECK(placeInFreeRoom(Ask, Rooms)->Executors.front() == executor_id("b1"));
}

TEST_CASE("placement: limits of tasks per executor hold, also below zero") {
  const std::vector<room> Rooms = {makeRoom("a1", "a", 8, 1),
                                   makeRoom("a2", "a", 8, -2)};
  CHECK_FALSE(placeInFreeRoom(makeAsk(1, 2), Rooms));
  CHECK(placeInFreeRoom(makeAsk(1, 1), Rooms)->Executors.front() ==
        executor_id("a1"));
  const std::vector<room> Full = {makeRoom("a2", "a", 8, -2)};
  CHECK_FALSE(findTightest(makeAsk(1, 1), Full));
}

TEST_CASE("placement: guaranteed work stops what loses the least") {
  std::vector<room> Rooms = {makeRoom("a1", "a", 0), makeRoom("b1", "b", 0)};
  Rooms[0].Stoppable = {{1, {1'000, 1'000, 8}, 500}};
  Rooms[1].Stoppable = {{2, {1'000, 1'000, 8}, 20}};
  const auto Choice = placeByStopping(makeAsk(8, 1), Rooms);
  REQUIRE(Choice);
  CHECK(Choice->Executors.front() == executor_id("b1"));
  CHECK(Choice->StoppedGroups == std::vector<int>{2});
}

TEST_CASE("placement: only what is needed for the room is stopped") {
  // Small runs are cheapest for their room, yet the large one alone suffices.
  std::vector<room> Rooms = {makeRoom("a1", "a", 0)};
  Rooms[0].Stoppable = {{1, {1'000, 1'000, 1}, 1},
                        {2, {1'000, 1'000, 1}, 1},
                        {3, {1'000, 1'000, 4}, 60}};
  const auto Choice = placeByStopping(makeAsk(4, 1), Rooms);
  REQUIRE(Choice);
  CHECK(Choice->StoppedGroups == std::vector<int>{3});
}

TEST_CASE("placement: nothing is stopped for work that fits nowhere") {
  std::vector<room> Rooms = {makeRoom("a1", "a", 0)};
  Rooms[0].Stoppable = {{1, {1'000, 1'000, 4}, 1}};
  CHECK_FALSE(placeByStopping(makeAsk(8, 1), Rooms));
}

TEST_CASE("placement: small work gathers in the rack with the least room") {
  const std::vector<room> Rooms = {
      makeRoom("a1", "a", 2), makeRoom("a2", "a", 8), makeRoom("a3", "a", 8),
      makeRoom("b1", "b", 3), makeRoom("b2", "b", 3)};
  const room *Chosen = findTightest(makeAsk(1, 1), Rooms);
  REQUIRE(Chosen);
  CHECK(Chosen->Rack == rack_id("b")); // rack a stays for a wide gang
}
