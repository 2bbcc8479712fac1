#pragma once

// What the state of a scheduler and of an entry costs: encoded bytes, memory
// and processor time of events.

#include "measure/slopes.hpp"

namespace galenastage::measure {

/// Encoded bytes of renewals, reports, job records and tables.
std::vector<measured_slope> measureEncodings();

/// Memory of a scheduler per worker, attempt, task and job, and of an entry's
/// tables per team.
std::vector<measured_slope> measureMemory();

/// Processor time of the scheduler's reducer per event against the number of
/// workers, one row for each kind of event.
std::vector<measured_slope> measureEvents(int Runs);

} // namespace galenastage::measure
