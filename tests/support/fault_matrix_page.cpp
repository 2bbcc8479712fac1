#include "tests/support/fault_matrix.hpp"

namespace galenastage::test {
namespace {

constexpr std::string_view Head = R"(# Fault matrix

Printed by `scripts/print-fault-matrix`; a test compares this page with what it
runs, so don't edit it by hand. How it works: docs/design/fault-matrix.md.

Each cell runs one scenario in virtual time: two data centres with two
schedulers each, nine jobs, two cancellations, a data centre that leaves and
returns, a planned stop. The fault strikes when the step happens: on even seeds
just before it is carried out, on odd seeds 1 ms to 6 ms into it; the seed also
chooses which occurrence of the step. Every promise below is checked all the
while.

A cell says `ok` and in how many of its runs the step came about, or the broken
promises with their seeds. A run in which the step didn't come about tells
nothing; `-` stands where none did.

## What must always hold

| line of the brief | checked as |
|---|---|
| no gang with only some members | gang whole: whole or stopped within 14 s |
| no start after a departure | no late start: none later than 5 s after the edit was stored |
| told "not run", it didn't run | not-run is true: by the workers' own count of runs |
| non-idempotent at most once | at most once: by the workers' own count of runs |
| accepted configuration never reverts | never reverts: each process's version only grows, and all have the last one at the end |
| planned stop cuts off nothing | stop cuts nothing: gangs that ran then run to their end; checked where the fault itself must not end a gang |
| a guaranteed shape can be reclaimed | not here: the reducer's property tests under tests/property |
| own whole answer to each caller | not here: requests, tests/faults/request_* |
| no new work to an upstream that is leaving | not here: requests, tests/faults/request_* |

Checked besides: never lost (an accepted job is stored once, found by its index
and ends), lease holds (nothing runs beyond its lease), no over-allocation.

## Steps

)";

std::string cellText(const matrix_cell &Cell) {
  if (Cell.strikes() == 0)
    return "-";
  if (Cell.hasPassed())
    return "ok " + std::to_string(Cell.strikes()) + "/" +
           std::to_string(Cell.Runs.size());
  std::string Text;
  for (const cell_run &Run : Cell.Runs)
    for (const auto &[Promise, What] : Run.Broken)
      Text += std::string(name(Promise)) + " (seed " +
              std::to_string(Run.Seed) + ") ";
  return Text;
}

std::string faultText(const matrix_cell &Cell) {
  std::string Text;
  for (const fault *Fault : Cell.Faults)
    Text += (Text.empty() ? "" : " + ") + std::string(Fault->Name);
  return Text;
}

std::string headRow(const std::string &First) {
  std::string Names = "| " + First + " |";
  std::string Line = "|---|";
  for (const step_row &Step : steps()) {
    Names += " " + std::string(Step.Name) + " |";
    Line += "---|";
  }
  return Names + "\n" + Line + "\n";
}

/// Prints faults as rows and steps as columns. Cells are ordered by step.
std::string printTable(const std::vector<matrix_cell> &Cells) {
  const std::size_t Rows = Cells.size() / steps().size();
  std::string Table = headRow("fault");
  for (std::size_t Row = 0; Row < Rows; ++Row) {
    Table += "| " + faultText(Cells[Row]) + " |";
    for (std::size_t Step = 0; Step < steps().size(); ++Step)
      Table += " " + cellText(Cells[Step * Rows + Row]) + " |";
    Table += "\n";
  }
  return Table;
}

std::string printSums(const std::vector<matrix_cell> &Cells) {
  std::size_t Runs = 0;
  std::size_t Strikes = 0;
  std::size_t Broken = 0;
  for (const matrix_cell &Cell : Cells) {
    Runs += Cell.Runs.size();
    Strikes += static_cast<std::size_t>(Cell.strikes());
    for (const cell_run &Run : Cell.Runs)
      Broken += Run.Broken.empty() ? 0 : 1;
  }
  return std::to_string(Runs) + " runs, the fault struck in " +
         std::to_string(Strikes) + ", a promise was broken in " +
         std::to_string(Broken) + ".\n\n";
}

std::string seedText() {
  std::string Text;
  for (const std::uint32_t Seed : SingleSeeds)
    Text += (Text.empty() ? "" : ", ") + std::to_string(Seed);
  return Text;
}

} // namespace

std::string printMatrix(const std::vector<matrix_cell> &Singles,
                        const std::vector<matrix_cell> &Pairs) {
  std::string Page(Head);
  Page += "| step | the fault strikes when |\n|---|---|\n";
  for (const step_row &Step : steps())
    Page += "| " + std::string(Step.Name) + " | " + std::string(Step.Meaning) +
            " |\n";
  Page += "| reclaim | not run: the scenario has no borrower; a reclaim is a "
          "release, as at finish and cancel |\n";
  Page += "\n## Faults\n\n| fault | meaning | for |\n|---|---|---|\n";
  for (const fault &Fault : faults())
    Page += "| " + std::string(Fault.Name) + " | " +
            std::string(Fault.Meaning) + " | " +
            std::to_string(Fault.Life.count()) + " ms |\n";
  Page += "\nNo message of the job path passes between data centres, so that "
          "\"DC from DC\" meets no\nmessage here; it is run all the same.\n";
  Page += "\n## One fault\n\nSeeds " + seedText() + ". " + printSums(Singles);
  Page += printTable(Singles);
  Page += "\n## Two faults at once\n\nOne run a cell; seeds from " +
          std::to_string(FirstPairSeed) +
          " on, down the first column, then the next. " + printSums(Pairs);
  Page += printTable(Pairs);
  return Page;
}

} // namespace galenastage::test
