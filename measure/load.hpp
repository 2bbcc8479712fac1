#pragma once

namespace CLI {
class App;
}

namespace galenastage::measure {

/// Adds "load": open-loop load on a running system, with faults switched on at
/// set moments, and a check of what callers were told against the executors'
/// own ledger. ExitCode is set when the subcommand ran: 1 when a count of the
/// check isn't 0.
void addLoadCommand(CLI::App &App, int &ExitCode);

} // namespace galenastage::measure
