// How organisations share what is free: the order of waiting work.

#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

struct shares_fixture : test::scheduler_fixture {
  /// A job of single tasks whose objective leaves this much slack.
  static job_spec jobWithSlack(const std::string &Id, int Count,
                               milliseconds Slack,
                               const std::string &Organisation) {
    job_spec Job = job(Id, 1, Count, 1, Organisation);
    // The objective is 1.5 times the estimate.
    Job.Steps[0].Estimate = 2 * Slack;
    return Job;
  }
  /// Tasks of the organisation that have a run.
  int countRuns(const std::string &Organisation) {
    std::size_t Count = 0;
    for (const auto &[Id, Job] : State.Jobs)
      if (Job.Spec.Organisation.Value == Organisation)
        Count += Job.Runs.size();
    return static_cast<int>(Count);
  }
  /// Ends the first of the runs on x, which makes room for one task.
  void endOne(const std::vector<start_run> &Starts) {
    std::vector<active_run> Active;
    for (const auto &[Name, Run] : State.Executors.at(executor_id("x")).Runs)
      if (Name != Starts.front().Run)
        Active.push_back({Name, "", 10});
    answer("x", Active, {end(Starts.front().Run, run_end::Done)});
  }
};

} // namespace

// Guards against a pass in which the first organisation takes all that is free.
TEST_CASE_METHOD(shares_fixture,
                 "shares: organisations that wait for the same free capacity "
                 "each get half of it") {
  post(recovery_finished{});
  submit(job("a", 1, 20, 1, "small"));
  submit(job("b", 1, 20, 1, "none"));
  list({report("x")});
  answer("x");
  CHECK(countRuns("small") == 4);
  CHECK(countRuns("none") == 4);
  CHECK(explainStaleIndex(State, Now) == "");
}

// Guards against an organisation that sends early and much and is always first.
TEST_CASE_METHOD(shares_fixture,
                 "shares: of two steps with slack the one whose organisation "
                 "uses less goes first") {
  settle({"x"});
  const auto Starts = run(job("a", 1, 5, 1, "small"));
  run(job("b", 1, 3, 1, "none"));
  submit(jobWithSlack("c", 1, milliseconds(10'000), "small"));
  submit(jobWithSlack("d", 1, milliseconds(20'000), "none"));
  endOne(Starts);
  CHECK(countRuns("none") == 4);
  CHECK(countRuns("small") == 4);
}

TEST_CASE_METHOD(shares_fixture,
                 "shares: a step about to miss its objective isn't delayed by "
                 "one with slack whose organisation has had more") {
  settle({"x"});
  const auto Starts = run(job("a", 1, 6, 1, "small"));
  run(job("b", 1, 2, 1, "none"));
  submit(jobWithSlack("c", 1, milliseconds(10'000), "small"));
  submit(jobWithSlack("d", 1, milliseconds(200), "none"));
  endOne(Starts);
  CHECK(countRuns("none") == 3);
}

// Guards against work in a hurry that takes everything.
TEST_CASE_METHOD(shares_fixture,
                 "shares: a step about to miss its objective waits if its "
                 "organisation has more than its even share") {
  settle({"x"});
  const auto Starts = run(job("a", 1, 5, 1, "small"));
  run(job("b", 1, 3, 1, "none"));
  submit(jobWithSlack("c", 1, milliseconds(200), "small"));
  submit(jobWithSlack("d", 1, milliseconds(20'000), "none"));
  endOne(Starts);
  CHECK(countRuns("none") == 4);
}

TEST_CASE_METHOD(shares_fixture,
                 "shares: a step about to miss its objective isn't delayed by "
                 "another organisation while its own is within its even "
                 "share") {
  settle({"x"});
  const auto Starts = run(job("a", 1, 5, 1, "third"));
  run(job("b", 1, 2, 1, "small"));
  run(job("c", 1, 1, 1, "none"));
  submit(jobWithSlack("d", 1, milliseconds(200), "small"));
  submit(jobWithSlack("e", 1, milliseconds(20'000), "none"));
  endOne(Starts);
  CHECK(countRuns("small") == 3);
}

TEST_CASE_METHOD(shares_fixture,
                 "shares: within one organisation the earliest latest start "
                 "goes first, as without shares") {
  settle({"x"});
  const auto Starts = run(job("a", 1, 8, 1, "small"));
  submit(jobWithSlack("c", 1, milliseconds(20'000), "small"));
  submit(jobWithSlack("d", 1, milliseconds(10'000), "small"));
  endOne(Starts);
  CHECK(State.Jobs.at(job_id("d")).Runs.size() == 1);
  CHECK(State.Jobs.at(job_id("c")).Runs.empty());
}

// Guards against a stream of due steps of others that is never interrupted.
TEST_CASE_METHOD(shares_fixture,
                 "shares: after 20 s a late step precedes due steps of another "
                 "organisation within its even share") {
  settle({"x"});
  const auto Starts = run(job("a", 1, 5, 1, "third"));
  run(job("b", 1, 2, 1, "small"));
  run(job("c", 1, 1, 1, "none"));
  submit(jobWithSlack("late", 1, milliseconds(10), "none"));
  Now += State.Settings.Shares.StarvesAfter;
  Wall += State.Settings.Shares.StarvesAfter;
  submit(jobWithSlack("due", 1, milliseconds(200), "small"));
  endOne(Starts);
  CHECK(countRuns("none") == 2);
  CHECK(countRuns("small") == 2);
}

// Guards against a division by the capacity of what a service doesn't have.
TEST_CASE("shares: the dominant share is the largest of the resources that "
          "exist") {
  const capacity_sum Total{100'000, 200'000, 0};
  CHECK(dominantShare({}, Total) == 0);
  CHECK(dominantShare({25'000, 100'000, 0}, Total) == 0.5);
  CHECK(dominantShare({75'000, 100'000, 3}, Total) == 0.75);
  CHECK(dominantShare({1, 1, 1}, {}) == 0);
}

// Guards against sums that overflow at the designed number of executors.
TEST_CASE("shares: the memory of 5,000 executors of 512 GB can be summed") {
  capacity_sum Total;
  for (int I = 0; I < 5'000; ++I)
    Total.add({128'000, 524'288, 8}, 1);
  CHECK(Total.MemoryMb == 2'621'440'000);
  CHECK(dominantShare({0, 1'310'720'000, 0}, Total) == 0.5);
}
