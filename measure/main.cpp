#include "measure/capacity.hpp"
#include "measure/edit_latency.hpp"
#include "measure/evidence_trial.hpp"
#include "measure/load.hpp"
#include "measure/policy.hpp"

#include <CLI/CLI.hpp>

using namespace galenastage;

int main(int Argc, char **Argv) {
  CLI::App App("Measures the decisions of galenastage.");
  App.name("galenastage-measure");
  App.set_version_flag("--version", "galenastage-measure " GALENASTAGE_VERSION);
  App.require_subcommand(1);
  galenastage::measure::addCapacityCommands(App);
  int ExitCode = 0;
  galenastage::measure::addLoadCommand(App, ExitCode);
  galenastage::measure::addPolicyCommand(App);
  addEditLatency(App);
  addEvidenceTrial(App);
  CLI11_PARSE(App, Argc, Argv);
  return ExitCode;
}
