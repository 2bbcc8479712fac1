#pragma once

#include <CLI/CLI.hpp>

namespace galenastage::measure {

/// Adds the subcommands "capacity", which measures what one more worker, task,
/// job, route and edit cost, and "fit", which fits a line to points that a
/// script has measured. docs/CAPACITY.md is worked out from them.
void addCapacityCommands(CLI::App &App);

} // namespace galenastage::measure
