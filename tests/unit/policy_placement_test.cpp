#include "core/job/placement.hpp"
#include "core/job/policy/guarantee.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;

namespace {

const pool_id Mine("mine");
const pool_id Other("other");
const data_centre_id Here("here");

std::string workerName(int Rack, int Number) {
  return "r" + std::to_string(Rack) + "-w" + std::to_string(Number);
}

std::vector<worker_capacity> makeFleet(int Racks, int WorkersPerRack) {
  std::vector<worker_capacity> Fleet;
  for (int R = 0; R < Racks; ++R)
    for (int W = 0; W < WorkersPerRack; ++W)
      Fleet.push_back({worker_id(workerName(R, W)),
                       rack_id("r" + std::to_string(R)),
                       8,
                       8,
                       {}});
  return Fleet;
}

capacity_index indexOf(const std::vector<worker_capacity> &Fleet) {
  capacity_index Index;
  for (const worker_capacity &Worker : Fleet)
    Index.add(Worker);
  return Index;
}

placement_request shape(int Tasks, int AcceleratorsPerTask) {
  return {Tasks, AcceleratorsPerTask, {}, true};
}

tables makeTables(std::vector<std::pair<pool_id, guaranteed_shape>> Pools) {
  tables Tables;
  Tables.DataCentres = {{Here, "region", true}};
  for (const auto &[Name, Shape] : Pools)
    Tables.Pools.push_back({Name, organisation_id(Name.Value), Shape, {}});
  return Tables;
}

} // namespace

TEST_CASE("a gang is placed on the fullest rack that can hold it") {
  std::vector<worker_capacity> Fleet = makeFleet(3, 4);
  Fleet[4].Free = 0; // leaves three free workers in r1
  const auto Members = indexOf(Fleet).choose(shape(3, 8));
  REQUIRE(Members.size() == 3);
  for (const placed_member &Member : Members)
    CHECK(Member.Worker.Value.starts_with("r1-"));
}

TEST_CASE("a gang that doesn't fit completely isn't placed") {
  CHECK(indexOf(makeFleet(2, 2)).choose(shape(5, 8)).empty());
  CHECK(indexOf(makeFleet(2, 2)).choose(shape(1, 9)).empty());
}

TEST_CASE("accelerators taken by one placement are not available to the next") {
  capacity_index Index = indexOf(makeFleet(1, 2));
  const placement_request Request = shape(1, 8);
  Index.take(Index.choose(Request), Request);
  Index.take(Index.choose(Request), Request);
  CHECK(Index.choose(Request).empty());
  CHECK(Index.freeAccelerators() == 0);
}

TEST_CASE("unstoppable work stays off the cells of other pools") {
  std::vector<worker_capacity> Fleet = makeFleet(1, 2);
  Fleet[0].Pools = {{Mine, 8, 0}};
  const placement_request Foreign{2, 8, Other, false};
  CHECK(indexOf(Fleet).choose(Foreign).empty());
  const placement_request Own{2, 8, Mine, false};
  CHECK(indexOf(Fleet).choose(Own).size() == 2);
  const placement_request Borrower{2, 8, Other, true};
  CHECK(indexOf(Fleet).choose(Borrower).size() == 2);
}

TEST_CASE("a pool's unstoppable work fills its own cell before shared room") {
  worker_capacity Worker{worker_id("w"), rack_id("r"), 8, 8, {{Mine, 4, 0}}};
  CHECK(unguaranteedRoom(Worker) == 4);
  CHECK(unstoppableRoom(Worker, Mine) == 8);
  CHECK(unstoppableRoom(Worker, Other) == 4);
  addUnstoppable(Worker, Mine, 6);
  CHECK(unguaranteedRoom(Worker) == 2);
  CHECK(unstoppableRoom(Worker, Mine) == 2);
  CHECK(unstoppableRoom(Worker, Other) == 2);
}

TEST_CASE("each guaranteed shape is bound to its own workers in one rack") {
  const tables Tables = makeTables({{Mine, {3, 8}}, {Other, {2, 8}}});
  const guarantee_plan Plan = bindGuarantees(Tables, Here, makeFleet(2, 4), {});
  CHECK(Plan.Unmet.empty());
  CHECK(Plan.Bindings.at(Mine).Workers.size() == 3);
  CHECK(Plan.Bindings.at(Other).Workers.size() == 2);
  CHECK(Plan.Bindings.at(Mine).Rack != Plan.Bindings.at(Other).Rack);
}

TEST_CASE("a binding is kept until one of its workers is lost") {
  const tables Tables = makeTables({{Mine, {2, 8}}});
  std::vector<worker_capacity> Fleet = makeFleet(2, 3);
  const guarantee_plan First = bindGuarantees(Tables, Here, Fleet, {});
  CHECK(bindGuarantees(Tables, Here, Fleet, First) == First);

  const worker_id Lost = First.Bindings.at(Mine).Workers.front();
  std::erase_if(Fleet, [&](const worker_capacity &Worker) {
    return Worker.Worker == Lost;
  });
  const guarantee_plan Second = bindGuarantees(Tables, Here, Fleet, First);
  CHECK(Second.Unmet.empty());
  CHECK(Second != First);
}

TEST_CASE("a shape that fits on no rack is reported and the others are bound") {
  const tables Tables = makeTables({{Mine, {5, 8}}, {Other, {2, 8}}});
  const guarantee_plan Plan = bindGuarantees(Tables, Here, makeFleet(2, 4), {});
  CHECK(Plan.Unmet == std::vector{Mine});
  CHECK(Plan.Bindings.contains(Other));
}

TEST_CASE("a shape isn't bound where unstoppable work of another pool runs") {
  const tables Tables = makeTables({{Mine, {2, 8}}});
  std::vector<worker_capacity> Fleet = makeFleet(2, 2);
  addUnstoppable(Fleet[0], Other, 1);
  const guarantee_plan Plan = bindGuarantees(Tables, Here, Fleet, {});
  CHECK(Plan.Bindings.at(Mine).Rack == rack_id("r1"));
}

TEST_CASE("all shapes are rebound if that satisfies more pools") {
  // If Other's binding were kept, no rack would have three free workers.
  const tables Tables = makeTables({{Mine, {3, 8}}, {Other, {1, 8}}});
  std::vector<worker_capacity> Fleet = makeFleet(1, 3);
  Fleet.push_back({worker_id("r1-w0"), rack_id("r1"), 8, 8, {}});
  guarantee_plan Old;
  Old.Bindings[Other] = {{1, 8}, rack_id("r0"), {worker_id("r0-w0")}};
  const guarantee_plan Plan = bindGuarantees(Tables, Here, Fleet, Old);
  CHECK(Plan.Unmet.empty());
  CHECK(Plan.Bindings.at(Other).Rack == rack_id("r1"));
}
