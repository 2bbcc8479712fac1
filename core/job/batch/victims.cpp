#include "core/job/batch/victims.hpp"

#include <algorithm>

namespace galenastage::batch {
namespace {

double seconds(milliseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

double lossOf(const victim &Victim, milliseconds RestoreTime) {
  if (!Victim.HasBegun)
    return 0;
  const milliseconds Lost = Victim.IsCheckpointing
                                ? std::min(Victim.Elapsed, RestoreTime)
                                : Victim.Elapsed;
  return seconds(Lost) * Victim.Weight;
}

double priceOf(const victim &Victim, milliseconds RestoreTime,
               milliseconds StopTimeout, const victim_settings &Settings) {
  if (!Victim.HasBegun)
    return 0;
  const milliseconds Restarts =
      Settings.StartTime + Victim.Stops * (RestoreTime + StopTimeout);
  return lossOf(Victim, RestoreTime) + seconds(Restarts) * Victim.Weight;
}

double spreadCost(double Weight, milliseconds Estimate) {
  constexpr double AddedRuns = 2; // three times as long as in one rack
  constexpr double ObjectiveFactor = 2;
  return Weight * seconds(Estimate) * AddedRuns * ObjectiveFactor;
}

milliseconds pauseAfter(int Stops, const victim_settings &Settings) {
  milliseconds Pause = Settings.FirstPause;
  for (int Stop = 1; Stop < Stops && Pause < Settings.LongestPause; ++Stop)
    Pause *= 2;
  return Stops > 0 ? std::min(Pause, Settings.LongestPause) : milliseconds(0);
}

} // namespace galenastage::batch
