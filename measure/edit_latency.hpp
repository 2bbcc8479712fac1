#pragma once

#include <CLI/CLI.hpp>

namespace galenastage {

/// Adds "edits": edits the tables of a running system and prints how long it
/// took until each edit was in force on every entry instance, and the store
/// calls meanwhile.
void addEditLatency(CLI::App &App);

} // namespace galenastage
