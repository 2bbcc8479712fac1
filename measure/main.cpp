#include "measure/capacity.hpp"

int main(int Argc, char **Argv) {
  CLI::App App("Measures the decisions of galenastage.");
  App.name("galenastage-measure");
  App.set_version_flag("--version", "galenastage-measure " GALENASTAGE_VERSION);
  App.require_subcommand(1);
  galenastage::measure::addCapacityCommands(App);
  CLI11_PARSE(App, Argc, Argv);
  return 0;
}
