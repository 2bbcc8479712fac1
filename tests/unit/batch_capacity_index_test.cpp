// The index over the free capacity of executors.

#include "core/job/batch/capacity_index.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

const service_id Service("s");

indexed_executor makeExecutor(const std::string &Rack, int Free) {
  indexed_executor Executor;
  Executor.Service = Service;
  Executor.Rack = rack_id(Rack);
  Executor.Capacity = {32'000, 64'000, 8};
  Executor.Used = {0, 0, 8 - Free};
  Executor.Free = {32'000, 64'000, Free};
  Executor.IsOpen = true;
  return Executor;
}

std::vector<std::string> racksFrom(const capacity_index &Index,
                                   std::int64_t Weight) {
  std::vector<std::string> Racks;
  Index.find(Service)->fromWeight(Weight, [&](const indexed_rack &Rack) {
    Racks.push_back(Rack.Id.Value);
    return true;
  });
  return Racks;
}

} // namespace

TEST_CASE("capacity index: racks are listed from the fullest that suffices") {
  capacity_index Index;
  Index.update(executor_id("a"), makeExecutor("r1", 1));
  Index.update(executor_id("b"), makeExecutor("r2", 8));
  Index.update(executor_id("c"), makeExecutor("r3", 4));
  const std::int64_t Four = capacityWeight({32'000, 64'000, 4});
  CHECK(racksFrom(Index, 0) == std::vector<std::string>{"r1", "r3", "r2"});
  CHECK(racksFrom(Index, Four) == std::vector<std::string>{"r3", "r2"});
}

TEST_CASE("capacity index: an update replaces what was known") {
  capacity_index Index;
  Index.update(executor_id("a"), makeExecutor("r1", 8));
  Index.update(executor_id("b"), makeExecutor("r1", 2));
  Index.update(executor_id("a"), makeExecutor("r1", 1));
  const indexed_rack *Rack = Index.find(Service)->findRack(rack_id("r1"));
  REQUIRE(Rack);
  CHECK(Rack->Free.Accelerators == 3);
  CHECK(Rack->freeOf(executor_filter::all()).Largest.Accelerators == 2);
  CHECK(Index.find(Service)->percentInUse() == 100 * 13 / 16);
}

TEST_CASE("capacity index: a closed executor counts only as in use") {
  capacity_index Index;
  indexed_executor Closed = makeExecutor("r1", 8);
  Closed.IsOpen = false;
  Index.update(executor_id("a"), Closed);
  CHECK(racksFrom(Index, 0).empty());
  CHECK(Index.find(Service)->percentInUse() == 0);
}

TEST_CASE("capacity index: the order of updates doesn't matter") {
  capacity_index Forward;
  capacity_index Backward;
  for (int I = 0; I < 9; ++I) {
    Forward.update(executor_id(std::to_string(I)),
                   makeExecutor("r" + std::to_string(I % 3), I % 8));
    Backward.update(
        executor_id(std::to_string(8 - I)),
        makeExecutor("r" + std::to_string((8 - I) % 3), (8 - I) % 8));
  }
  CHECK(Forward == Backward);
  Backward.remove(executor_id("4"));
  CHECK_FALSE(Forward == Backward);
  Forward.remove(executor_id("4"));
  CHECK(Forward == Backward);
}

TEST_CASE("capacity index: a service without executors is forgotten") {
  capacity_index Index;
  Index.update(executor_id("a"), makeExecutor("r1", 8));
  Index.remove(executor_id("a"));
  CHECK_FALSE(Index.find(Service));
  CHECK(Index == capacity_index{});
}

// A bound below the real number would hide room from placements.
TEST_CASE("capacity index: each set of executors is counted by itself") {
  std::mt19937 Random(1);
  const auto Draw = [&](int Least, int Most) {
    return std::uniform_int_distribution<int>(Least, Most)(Random);
  };
  capacity_index Index;
  std::map<executor_id, indexed_executor> Known;
  for (int Change = 0; Change < 400; ++Change) {
    const executor_id Id(std::to_string(Draw(0, 19)));
    if (Draw(0, 9) == 0) {
      Index.remove(Id);
      Known.erase(Id);
    } else {
      indexed_executor Executor =
          makeExecutor("r" + std::to_string(Draw(0, 2)), Draw(0, 8));
      Executor.Speed = static_cast<speed_class>(Draw(0, 3));
      Executor.IsKept = Draw(0, 1) == 1;
      Index.update(Id, Executor);
      Known[Id] = Executor;
    }
    if (!Index.find(Service))
      continue;
    const auto Speed = static_cast<speed_class>(Draw(0, 3));
    const executor_filter Allowed = executor_filter::ofSpeeds({Speed}) &
                                    executor_filter::kept(Draw(0, 1) == 1);
    const resources Needs{4'000, 8'000, Draw(1, 8)};
    for (int Number = 0; Number < 3; ++Number) {
      const rack_id Id("r" + std::to_string(Number));
      const indexed_rack *Rack = Index.find(Service)->findRack(Id);
      int Fits = 0;
      resources Free;
      for (const auto &[Name, Executor] : Known)
        if (Executor.Rack == Id && Allowed.includes(Executor.group())) {
          Fits += countFits(Executor.Free, Needs, 100);
          Free += Executor.Free;
        }
      const int Bound = Rack ? Rack->boundFits(Needs, 100, Allowed) : 0;
      REQUIRE(Bound >= Fits);
      if (Rack)
        REQUIRE(Rack->freeOf(Allowed).Free == Free);
    }
  }
}
