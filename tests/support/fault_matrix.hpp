#pragma once

// The fault matrix: every fault at every step. Faults and steps are tables of
// cases; a cell runs one scenario for each of a few fixed seeds, with the fault
// injected exactly when the step happens.

#include "tests/support/virtual_system.hpp"

#include <span>

namespace galenastage::test {

/// What goes wrong, and for how long.
struct fault {
  std::string_view Name;    // as in the page
  std::string_view Meaning; // for the page
  /// Injects it and returns what ends it.
  std::function<std::function<void()>(virtual_system &, const step_event &)>
      Inject;
  milliseconds Life{0};     // until it ends
  bool SparesGangs = false; // it must not end a gang that runs
};

/// Every fault; the first one is "none".
std::span<const fault> faults();

struct step_row {
  step Step;
  std::string_view Name;
  std::string_view Meaning;
};

std::span<const step_row> steps();

/// What one run of the scenario gave.
struct cell_run {
  std::uint32_t Seed = 0;
  bool HasStruck = false; // the step happened, so the fault was injected
  std::map<promise, std::string> Broken;
  std::map<job_id, job_phase> Phases; // at the end
  std::map<job_id, int> Starts;       // on all workers, by their own count
};

/// Runs the scenario; the faults strike together when the step happens.
cell_run runCell(const step_row &Step, std::span<const fault *const> Faults,
                 std::uint32_t Seed);

/// One step with one or two faults, and what the runs gave.
struct matrix_cell {
  const step_row *Step;
  std::vector<const fault *> Faults;
  std::vector<cell_run> Runs;

  [[nodiscard]] bool hasPassed() const;
  [[nodiscard]] int strikes() const;
};

/// Runs every single fault with each of the seeds.
std::vector<matrix_cell> runSingles(const std::vector<std::uint32_t> &Seeds);
/// Runs every pair of faults, each cell with a seed of its own, from one on.
std::vector<matrix_cell> runPairs(std::uint32_t FirstSeed);

inline const std::vector<std::uint32_t> SingleSeeds = {1, 2, 3};
inline constexpr std::uint32_t FirstPairSeed = 101;

/// The page docs/FAULT-MATRIX.md.
std::string printMatrix(const std::vector<matrix_cell> &Singles,
                        const std::vector<matrix_cell> &Pairs);

} // namespace galenastage::test
