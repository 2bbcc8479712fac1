// Placement of tasks: best fit in free capacity, and preemption.

#include "core/job/batch/placement.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

candidate makeCandidate(const std::string &Id, const std::string &Rack,
                        int Free, int RemainingLimit = 100) {
  return {executor_id(Id),
          rack_id(Rack),
          {32'000, 64'000, Free},
          RemainingLimit,
          {}};
}

placement_request makeRequest(int Accelerators, int Count) {
  return {{1'000, 1'000, Accelerators}, Count, false, {}};
}

int countOn(const placement_choice &Choice, const std::string &Id) {
  return static_cast<int>(std::count(Choice.Executors.begin(),
                                     Choice.Executors.end(), executor_id(Id)));
}

} // namespace

TEST_CASE("placement: a small task goes to the fullest executor") {
  const std::vector<candidate> Candidates = {makeCandidate("empty", "r1", 8),
                                             makeCandidate("half", "r1", 4)};
  const candidate *Chosen = findBestFit(makeRequest(1, 1), Candidates);
  REQUIRE(Chosen);
  CHECK(Chosen->Executor == executor_id("half"));
}

TEST_CASE("placement: a gang takes the fullest rack that has enough capacity") {
  const std::vector<candidate> Candidates = {
      makeCandidate("a1", "a", 8), makeCandidate("a2", "a", 8),
      makeCandidate("b1", "b", 4), makeCandidate("b2", "b", 4),
      makeCandidate("c1", "c", 2)};
  const auto Choice = placeInFreeCapacity(makeRequest(2, 4), Candidates);
  REQUIRE(Choice);
  CHECK(countOn(*Choice, "b1") + countOn(*Choice, "b2") == 4);
}

TEST_CASE("placement: a gang that needs one rack isn't spread") {
  const std::vector<candidate> Candidates = {makeCandidate("a1", "a", 4),
                                             makeCandidate("b1", "b", 4)};
  placement_request Request = makeRequest(4, 2);
  CHECK(placeInFreeCapacity(Request, Candidates));
  Request.NeedsOneRack = true;
  CHECK_FALSE(placeInFreeCapacity(Request, Candidates));
}

TEST_CASE("placement: the preferred rack comes before a fuller one") {
  const std::vector<candidate> Candidates = {makeCandidate("a1", "a", 4),
                                             makeCandidate("b1", "b", 8)};
  placement_request Request = makeRequest(4, 1);
  Request.PreferredRack = rack_id("b");
  CHECK(findBestFit(Request, Candidates)->Executor == executor_id("b1"));
  CHECK(placeInFreeCapacity(Request, Candidates)->Executors.front() ==
        executor_id("b1"));
}

TEST_CASE("placement: limits of tasks per executor hold, even if negative") {
  const std::vector<candidate> Candidates = {makeCandidate("a1", "a", 8, 1),
                                             makeCandidate("a2", "a", 8, -2)};
  CHECK_FALSE(placeInFreeCapacity(makeRequest(1, 2), Candidates));
  CHECK(placeInFreeCapacity(makeRequest(1, 1), Candidates)->Executors.front() ==
        executor_id("a1"));
  const std::vector<candidate> Full = {makeCandidate("a2", "a", 8, -2)};
  CHECK_FALSE(findBestFit(makeRequest(1, 1), Full));
}

TEST_CASE("placement: preemption chooses the run that loses the least work") {
  std::vector<candidate> Candidates = {makeCandidate("a1", "a", 0),
                                       makeCandidate("b1", "b", 0)};
  Candidates[0].Preemptible = {{1, {1'000, 1'000, 8}, 500}};
  Candidates[1].Preemptible = {{2, {1'000, 1'000, 8}, 20}};
  const auto Choice = placeByPreemption(makeRequest(8, 1), Candidates);
  REQUIRE(Choice);
  CHECK(Choice->Executors.front() == executor_id("b1"));
  CHECK(Choice->PreemptedGroups == std::vector<int>{2});
}

TEST_CASE("placement: preemption stops no unnecessary runs") {
  // Small runs lose less work per accelerator, but the large run suffices.
  std::vector<candidate> Candidates = {makeCandidate("a1", "a", 0)};
  Candidates[0].Preemptible = {{1, {1'000, 1'000, 1}, 1},
                               {2, {1'000, 1'000, 1}, 1},
                               {3, {1'000, 1'000, 4}, 60}};
  const auto Choice = placeByPreemption(makeRequest(4, 1), Candidates);
  REQUIRE(Choice);
  CHECK(Choice->PreemptedGroups == std::vector<int>{3});
}

TEST_CASE("placement: nothing is preempted for a task that fits nowhere") {
  std::vector<candidate> Candidates = {makeCandidate("a1", "a", 0)};
  Candidates[0].Preemptible = {{1, {1'000, 1'000, 4}, 1}};
  CHECK_FALSE(placeByPreemption(makeRequest(8, 1), Candidates));
}

TEST_CASE("placement: a small task goes to the fullest rack") {
  const std::vector<candidate> Candidates = {
      makeCandidate("a1", "a", 2), makeCandidate("a2", "a", 8),
      makeCandidate("a3", "a", 8), makeCandidate("b1", "b", 3),
      makeCandidate("b2", "b", 3)};
  const candidate *Chosen = findBestFit(makeRequest(1, 1), Candidates);
  REQUIRE(Chosen);
  CHECK(Chosen->Rack == rack_id("b")); // rack a stays free for a large gang
}

// Guards against a gang that is stopped because it frees much at a low cost per
// capacity, where a small run that loses less in all frees enough.
TEST_CASE("placement: the runs that lose the least in all are preempted") {
  std::vector<candidate> Candidates{
      candidate{executor_id("x"), rack_id("r"), {0, 0, 0}, 10, {}},
      candidate{executor_id("y"), rack_id("r"), {0, 0, 0}, 10, {}}};
  Candidates[0].Preemptible = {{1, {8'000, 8'000, 8}, 40}};
  Candidates[1].Preemptible = {{2, {1'000, 1'000, 1}, 10}};
  const auto Choice = placeByPreemption(makeRequest(1, 1), Candidates);
  REQUIRE(Choice);
  CHECK(Choice->PreemptedGroups == std::vector<int>{2});
}
