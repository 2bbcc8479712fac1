#include "core/job/batch/pace.hpp"

#include <algorithm>

namespace galenastage::batch {

bool recordProgress(run_pace &Pace, int Percent, instant Now) {
  const bool IsFirst = Pace.AdvancedAt == instant{};
  const bool HasAdvanced = IsFirst || Percent > Pace.Percent;
  Pace.Percent = Percent;
  Pace.SeenAt = Now;
  if (HasAdvanced)
    Pace.AdvancedAt = Now;
  return HasAdvanced;
}

bool isStalled(const run_pace &Pace, const pace_settings &Settings) {
  return Pace.SeenAt - Pace.AdvancedAt >= Settings.StallAfter;
}

bool isWorthMoving(const run_pace &Pace, const pace_settings &Settings,
                   milliseconds Unsaved) {
  return Pace.SeenAt - Pace.AdvancedAt >= std::max(Settings.MoveAfter, Unsaved);
}

} // namespace galenastage::batch
