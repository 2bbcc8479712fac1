#include "core/recovery/evidence.hpp"

#include <algorithm>

namespace galenastage {
namespace {

/// Whether Moment is at most Life ago. The sum avoids the overflow of
/// Now - Never.
bool isRecent(instant Moment, milliseconds Life, instant Now) {
  return Moment != Never && Moment + Life >= Now;
}

bool reportsCutOff(const store_contact &Reach, milliseconds CutOffAfter) {
  if (Reach.ReportedAt == Never)
    return false;
  return Reach.ReachedAt == Never ||
         Reach.ReachedAt + CutOffAfter < Reach.ReportedAt;
}

} // namespace

void mergeStoreContact(store_contact_map &Reach,
                       const data_centre_id &DataCentre,
                       const store_contact &Heard) {
  store_contact &Known = Reach[DataCentre];
  Known.ReportedAt = std::max(Known.ReportedAt, Heard.ReportedAt);
  Known.ReachedAt = std::max(Known.ReachedAt, Heard.ReachedAt);
}

instant outageKnownAt(const store_contact_map &Reach,
                      const std::vector<data_centre_id> &DataCentres,
                      milliseconds CutOffAfter) {
  instant KnownAt = instant::max();
  for (const data_centre_id &DataCentre : DataCentres) {
    const auto Found = Reach.find(DataCentre);
    if (Found == Reach.end() || !reportsCutOff(Found->second, CutOffAfter))
      return Never;
    KnownAt = std::min(KnownAt, Found->second.ReportedAt);
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
