#pragma once

// Real messages over loopback: what a renewal, an edit and a confirming read
// put on the wire, and what processor time a renewal takes on either side.

#include "measure/slopes.hpp"

namespace galenastage::measure {

/// Bytes on the connection for one renewal and its answer, against the attempts
/// that the worker holds, and processor time of both sides.
std::vector<measured_slope> measureRenewals(int Runs);

/// Bytes that one edit and one confirming read bring to an instance, against
/// the rows of the tables.
std::vector<measured_slope> measureTables();

} // namespace galenastage::measure
