#include "core/recovery/evidence.hpp"

#include <algorithm>

namespace galenastage {
namespace {

/// Whether a moment lies at most Life back. Never is far back without overflow.
bool isRecent(instant Moment, milliseconds Life, instant Now) {
  return Moment != Never && Moment + Life >= Now;
}

bool saysCutOff(const data_centre_reach &Reach, milliseconds CutOffAfter) {
  if (Reach.SaidAt == Never)
    return false;
  return Reach.ReachedAt == Never ||
         Reach.ReachedAt + CutOffAfter < Reach.SaidAt;
}

} // namespace

void mergeReach(reach_map &Reach, const data_centre_id &DataCentre,
                const data_centre_reach &Heard) {
  data_centre_reach &Known = Reach[DataCentre];
  Known.SaidAt = std::max(Known.SaidAt, Heard.SaidAt);
  Known.ReachedAt = std::max(Known.ReachedAt, Heard.ReachedAt);
}

instant outageKnownAt(const reach_map &Reach,
                      const std::vector<data_centre_id> &DataCentres,
                      milliseconds CutOffAfter) {
  instant KnownAt = instant::max();
  for (const data_centre_id &DataCentre : DataCentres) {
    const auto Found = Reach.find(DataCentre);
    if (Found == Reach.end() || !saysCutOff(Found->second, CutOffAfter))
      return Never;
    KnownAt = std::min(KnownAt, Found->second.SaidAt);
  }
  return DataCentres.empty() ? Never : KnownAt;
}

std::string_view name(start_rule Rule) {
  switch (Rule) {
  case start_rule::AlwaysStop:
    return "always-stop";
  case start_rule::NeverStop:
    return "never-stop";
  case start_rule::StopUnlessTotalOutage:
    break;
  }
  return "stop-unless-total-outage";
}

bool mayStart(const start_evidence &Evidence, start_rule Rule,
              milliseconds Life, instant Now) {
  if (!Evidence.IsInService)
    return false;
  if (isRecent(Evidence.TablesAsOf, Life, Now))
    return true;
  switch (Rule) {
  case start_rule::AlwaysStop:
    return false;
  case start_rule::NeverStop:
    return true;
  case start_rule::StopUnlessTotalOutage:
    break;
  }
  return isRecent(Evidence.OutageAsOf, Life, Now);
}

} // namespace galenastage
