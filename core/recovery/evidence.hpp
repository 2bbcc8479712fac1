#pragma once

// Decides whether a task may start. During a network partition operators may
// have taken its data centre out of service by an edit that this process can't
// see yet.
//
// Index of this file
// [1] Contact of data centres with the store
// [2] Start rules
// [3] The decision

#include "core/types.hpp"

#include <map>
#include <vector>

namespace galenastage {

// [1] Contact of data centres with the store

/// Earlier than every other instant; stands for "never".
inline constexpr instant Never = instant::min();

/// The last known report of a data centre on its contact with the store. Both
/// instants are on the clock of this process and never later than the actual
/// events.
struct store_contact {
  instant ReportedAt = Never; // when the data centre reported
  instant ReachedAt = Never;  // when it last reached the store

  friend bool operator==(const store_contact &,
                         const store_contact &) = default;
};

using store_contact_map = std::map<data_centre_id, store_contact>;

/// Keeps the later report and the later contact with the store.
void mergeStoreContact(store_contact_map &Reach,
                       const data_centre_id &DataCentre,
                       const store_contact &Heard);

/// The instant as of which all the data centres are known not to reach the
/// store: the oldest of their reports. Never when one of them has not reported
/// or reached the store within CutOffAfter before its report.
instant outageKnownAt(const store_contact_map &Reach,
                      const std::vector<data_centre_id> &DataCentres,
                      milliseconds CutOffAfter);

// [2] Start rules

/// What to do when the evidence that the data centre is in service is too old.
enum class start_rule {
  AlwaysStop,            // wait for evidence
  NeverStop,             // trust the last known tables
  StopUnlessTotalOutage, // wait, unless every data centre reports that it
                         // can't reach the store: then no edit can have been
                         // accepted
};

std::string_view name(start_rule Rule);

struct start_evidence {
  bool IsInService = false;   // in the newest known tables
  instant TablesAsOf = Never; // no newer tables existed then
  instant OutageAsOf = Never; // no data centre could accept an edit then
};

// [3] The decision

/// Whether a task may start now. Evidence older than Life is ignored.
bool mayStart(const start_evidence &Evidence, start_rule Rule,
              milliseconds Life, instant Now);

} // namespace galenastage
