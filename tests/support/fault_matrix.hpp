#pragma once

// The fault matrix: every fault at every step. Faults and steps are tables. A
// cell runs one scenario with each of a few fixed seeds and injects the fault
// exactly when the step occurs.

#include "tests/support/virtual_system.hpp"

#include <span>

namespace galenastage::test {

/// A fault to inject, and its duration.
struct fault {
  std::string_view Name;    // as printed on the page
  std::string_view Meaning; // description on the page
  /// Injects the fault and returns the function that ends it.
  std::function<std::function<void()>(virtual_system &, const step_event &)>
      Inject;
  milliseconds Life{0};     // duration
  bool SparesGangs = false; // must not end a running gang
};

/// Every fault; the first one is "none".
std::span<const fault> faults();

struct step_row {
  step Step;
  std::string_view Name;
  std::string_view Meaning;
};

std::span<const step_row> steps();

/// Result of one run of the scenario.
struct cell_run {
  std::uint32_t Seed = 0;
  bool HasStruck = false; // the step occurred and the fault was injected
  std::map<promise, std::string> Broken;
  std::map<job_id, job_phase> Phases; // at the end
  std::map<job_id, int> Starts;       // on all workers, as counted by them
};

/// Runs the scenario and injects all faults together when the step occurs.
cell_run runCell(const step_row &Step, std::span<const fault *const> Faults,
                 std::uint32_t Seed);

/// One step with one or two faults, and the results of its runs.
struct matrix_cell {
  const step_row *Step;
  std::vector<const fault *> Faults;
  std::vector<cell_run> Runs;

  [[nodiscard]] bool hasPassed() const;
  [[nodiscard]] int strikes() const;
};

/// Runs every single fault with each of the seeds.
std::vector<matrix_cell> runSingles(const std::vector<std::uint32_t> &Seeds);
/// Runs every pair of faults. Each cell has its own seed, from FirstSeed on.
std::vector<matrix_cell> runPairs(std::uint32_t FirstSeed);

inline const std::vector<std::uint32_t> SingleSeeds = {1, 2, 3};
inline constexpr std::uint32_t FirstPairSeed = 101;

/// Prints the page docs/FAULT-MATRIX.md.
std::string printMatrix(const std::vector<matrix_cell> &Singles,
                        const std::vector<matrix_cell> &Pairs);

} // namespace galenastage::test
