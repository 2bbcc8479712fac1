#include "measure/capacity.hpp"

#include "measure/capacity_failures.hpp"
#include "measure/capacity_state.hpp"
#include "measure/capacity_wire.hpp"

#include <nlohmann/json.hpp>

#include <iostream>

namespace galenastage::measure {
namespace {

constexpr int DefaultRuns = 5;

struct capacity_options {
  int Runs = DefaultRuns;
  bool IsJson = false;
};

void append(std::vector<measured_slope> &All,
            std::vector<measured_slope> More) {
  for (measured_slope &Slope : More)
    All.push_back(std::move(Slope));
}

void runCapacity(const capacity_options &Options) {
  std::vector<measured_slope> Slopes = measureEncodings();
  append(Slopes, measureRenewals(Options.Runs));
  append(Slopes, measureTables());
  append(Slopes, measureMemory());
  append(Slopes, measureEvents(Options.Runs));
  Slopes.push_back(measureLoss());
  const std::vector<failure_cost> Failures = measureFailures();
  if (Options.IsJson) {
    std::cout
        << nlohmann::json{{"slopes", Slopes}, {"failures", Failures}}.dump(2)
        << "\n";
    return;
  }
  std::cout << printSlopes(Slopes) << "\n" << printFailures(Failures);
}

struct fit_options {
  std::string Name = "samples";
  std::string Unit = "value";
  std::string Per = "size";
  bool IsJson = false;
};

/// Reads "SIZE VALUE" lines and prints the line through them.
void runFit(const fit_options &Options) {
  std::vector<sample> Samples;
  sample Sample;
  while (std::cin >> Sample.Size >> Sample.Value)
    Samples.push_back(Sample);
  const measured_slope Slope =
      makeSlope(Options.Name, Options.Unit, Options.Per, std::move(Samples));
  if (Options.IsJson)
    std::cout << nlohmann::json(Slope).dump() << "\n";
  else
    std::cout << printSlopes({&Slope, 1});
}

} // namespace

void addCapacityCommands(CLI::App &App) {
  auto Options = std::make_shared<capacity_options>();
  CLI::App *Capacity = App.add_subcommand(
      "capacity", "what one more worker, task, job, route and edit cost");
  Capacity->add_option("--runs", Options->Runs, "repetitions of timed points")
      ->check(CLI::Range(1, 100))
      ->capture_default_str();
  Capacity->add_flag("--json", Options->IsJson, "print JSON");
  Capacity->callback([Options] { runCapacity(*Options); });

  auto Fit = std::make_shared<fit_options>();
  CLI::App *FitCommand = App.add_subcommand(
      "fit", "fits a line to lines of SIZE VALUE on standard input");
  FitCommand->add_option("--name", Fit->Name, "what was measured");
  FitCommand->add_option("--unit", Fit->Unit, "unit of the values");
  FitCommand->add_option("--per", Fit->Per, "what was varied");
  FitCommand->add_flag("--json", Fit->IsJson, "print JSON");
  FitCommand->callback([Fit] { runFit(*Fit); });
}

} // namespace galenastage::measure
