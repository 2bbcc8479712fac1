#include "tests/support/fault_matrix.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace galenastage;
using namespace galenastage::test;

namespace {

void expectPass(const std::vector<matrix_cell> &Cells) {
  for (const matrix_cell &Cell : Cells)
    for (const cell_run &Run : Cell.Runs)
      for (const auto &[Promise, What] : Run.Broken) {
        UNSCOPED_INFO(Cell.Step->Name << " x " << Cell.Faults.front()->Name
                                      << " + " << Cell.Faults.back()->Name
                                      << ", seed " << Run.Seed << ": "
                                      << name(Promise) << ": " << What);
        CHECK(false);
      }
}

} // namespace

TEST_CASE("each fault at each step keeps every promise") {
  expectPass(runSingles());
}

TEST_CASE("two faults at once at each step keep every promise") {
  expectPass(runPairs());
}

TEST_CASE("without a fault every step happens and every job ends as planned") {
  for (const step_row &Step : steps()) {
    const fault *None = &faults().front();
    const cell_run Run = runCell(Step, std::span(&None, 1), 1);
    INFO(Step.Name);
    CHECK(Run.HasStruck);
    CHECK(Run.Phases.at(job_id("job-01")) == job_phase::Finished);
    CHECK(Run.Phases.at(job_id("job-02")) == job_phase::Finished);
    CHECK(Run.Phases.at(job_id("job-03")) == job_phase::Cancelled);
    CHECK(Run.Phases.at(job_id("job-09")) == job_phase::Cancelled);
    CHECK(Run.Starts.at(job_id("job-02")) > 0);
    CHECK(Run.Phases.size() == 9);
  }
}
