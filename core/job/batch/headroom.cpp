#include "core/job/batch/headroom.hpp"

#include <algorithm>
#include <cmath>

namespace galenastage::batch {
namespace {

constexpr int WholePercent = 100;

} // namespace

double inExecutors(const resources &Use, const resources &Typical) {
  const auto Share = [](int Used, int Whole) {
    return Whole > 0 ? static_cast<double>(Used) / Whole : 0.0;
  };
  return std::max({Share(Use.MilliCpu, Typical.MilliCpu),
                   Share(Use.MemoryMb, Typical.MemoryMb),
                   Share(Use.Accelerators, Typical.Accelerators)});
}

void recordUse(urgent_demand &Demand, double Use, instant Now,
               const headroom_settings &Settings) {
  const double Peak = recentPeak(Demand, Now, Settings);
  Demand.Use = Use;
  if (Use < Peak)
    return;
  Demand.Peak = Use;
  Demand.PeakAt = Now;
}

double recentPeak(const urgent_demand &Demand, instant Now,
                  const headroom_settings &Settings) {
  const std::chrono::duration<double> Age = Now - Demand.PeakAt;
  const double Left = std::max(0.0, 1 - Age / Settings.DecayTime);
  return std::max(Demand.Use, Demand.Peak * Left);
}

int countKept(const urgent_demand &Demand, double Guaranteed, int Open,
              instant Now, const headroom_settings &Settings) {
  const double Wanted = recentPeak(Demand, Now, Settings) *
                        (WholePercent + Settings.MarginPercent) / WholePercent;
  const double Most =
      std::min(std::floor(Guaranteed),
               std::floor(static_cast<double>(Open) * Settings.MaxSharePercent /
                          WholePercent));
  return static_cast<int>(std::min(std::ceil(Wanted), Most));
}

} // namespace galenastage::batch
