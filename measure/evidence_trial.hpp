#pragma once

#include <CLI/CLI.hpp>

namespace galenastage {

/// Adds "evidence": compares the rules for starting tasks without recent
/// evidence, for each fault, in virtual time.
void addEvidenceTrial(CLI::App &App);

} // namespace galenastage
