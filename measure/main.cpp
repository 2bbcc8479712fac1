#include "measure/load.hpp"
#include "measure/policy.hpp"

#include <CLI/CLI.hpp>

int main(int Argc, char **Argv) {
  CLI::App App("Measures the decisions of galenastage.");
  App.name("galenastage-measure");
  App.set_version_flag("--version", "galenastage-measure " GALENASTAGE_VERSION);
  App.require_subcommand(1);
  int ExitCode = 0;
  galenastage::measure::addLoadCommand(App, ExitCode);
  galenastage::measure::addPolicyCommand(App);
  CLI11_PARSE(App, Argc, Argv);
  return ExitCode;
}
