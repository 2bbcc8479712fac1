#pragma once

// Decides whether a task may start while operators may be taking its data
// centre out of service somewhere that can't be heard.
//
// Index of this file
// [1] What is known
// [2] The rules
// [3] The decision

#include "core/types.hpp"

#include <map>
#include <vector>

namespace galenastage {

// [1] What is known

/// The moment before all others: never.
inline constexpr instant Never = instant::min();

/// What one data centre was last heard to say of the store. Both moments are on
/// the clock of this process and never later than the truth.
struct data_centre_reach {
  instant SaidAt = Never;    // when the data centre said so
  instant ReachedAt = Never; // when it last reached the store

  friend bool operator==(const data_centre_reach &,
                         const data_centre_reach &) = default;
};

using reach_map = std::map<data_centre_id, data_centre_reach>;

/// Keeps the later of two statements, and the later contact with the store.
void mergeReach(reach_map &Reach, const data_centre_id &DataCentre,
                const data_centre_reach &Heard);

/// The moment as of which every one of the data centres is known not to reach
/// the store: the oldest of their statements. Never when one of them is unheard
/// or reached the store within CutOffAfter before it spoke.
instant outageKnownAt(const reach_map &Reach,
                      const std::vector<data_centre_id> &DataCentres,
                      milliseconds CutOffAfter);

// [2] The rules

/// What to do when the evidence for "in service" is too old.
enum class start_rule {
  AlwaysStop,            // wait for evidence
  NeverStop,             // go by the last known tables
  StopUnlessTotalOutage, // wait, unless every other data centre says that it
                         // can't reach the store either: then no edit can have
                         // been accepted
};

std::string_view name(start_rule Rule);

struct start_evidence {
  bool IsInService = false;   // by the newest tables that are known
  instant TablesAsOf = Never; // no newer tables existed then
  instant OutageAsOf = Never; // nobody could accept an edit then
};

// [3] The decision

/// Whether a task may start now. Life bounds the age of evidence.
bool mayStart(const start_evidence &Evidence, start_rule Rule,
              milliseconds Life, instant Now);

} // namespace galenastage
