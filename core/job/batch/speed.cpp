#include "core/job/batch/speed.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace galenastage::batch {
namespace {

constexpr int WholePercent = 100;

double square(double Value) { return Value * Value; }

/// Density of a normal distribution with mean 0.
double density(double Value, double Variance) {
  return std::exp(-square(Value) / (2 * Variance)) /
         std::sqrt(2 * std::numbers::pi * Variance);
}

/// The pace that an executor contributes: its speed and the size of its task.
struct member_pace {
  double Mean = 0;
  double Deviation = 0;
  // Sums over the possible paces of the gang, by their probability.
  double First = 0;  // of the pace
  double Second = 0; // of its square
};

/// Hazard rate of a normal distribution: density over the share above.
double hazard(double Value) {
  return density(Value, 1) / (0.5 * std::erfc(Value / std::numbers::sqrt2));
}

/// Adds the moments of each member's pace, given that the slowest has pace
/// Slowest, with the weight Likelihood. Returns the weight that was added.
double addSlowest(std::span<member_pace> Members, double Slowest,
                  double Likelihood) {
  double Above = 1;
  double Hazards = 0;
  for (const member_pace &Member : Members) {
    const double Scaled = (Slowest - Member.Mean) / Member.Deviation;
    Above *= 0.5 * std::erfc(Scaled / std::numbers::sqrt2);
    Hazards += hazard(Scaled) / Member.Deviation;
  }
  const double Weight = Above * Hazards * Likelihood;
  for (member_pace &Member : Members) {
    const double Scaled = (Slowest - Member.Mean) / Member.Deviation;
    const double Rate = hazard(Scaled);
    const double IsSlowest = Rate / Member.Deviation / Hazards;
    const double Truncated = Member.Mean + Member.Deviation * Rate;
    const double Variance = square(Member.Deviation) *
                            std::max(0.0, 1 + Scaled * Rate - Rate * Rate);
    Member.First +=
        Weight * (IsSlowest * Slowest + (1 - IsSlowest) * Truncated);
    Member.Second +=
        Weight * (IsSlowest * square(Slowest) +
                  (1 - IsSlowest) * (Variance + square(Truncated)));
  }
  return Weight;
}

} // namespace

void learnPace(const speed_settings &Settings, log_estimate &Step,
               std::span<log_estimate> Members, double Pace) {
  std::vector<member_pace> Paces;
  double Low = 1e9;
  double High = 1e9;
  constexpr double Range = 3.5; // deviations that are considered
  for (const log_estimate &Member : Members) {
    const double Deviation =
        std::sqrt(Member.Variance + square(Settings.TaskDeviation));
    Paces.push_back({Member.Mean, Deviation});
    Low = std::min(Low, Member.Mean - Range * Deviation);
    High = std::min(High, Member.Mean + Range * Deviation);
  }
  // Integrates over the pace of the slowest member. Most tasks have a usual
  // size; outliers say little about the step and the executors.
  const double Usual = Step.Variance + square(Settings.MeasureDeviation);
  const double Outlier = Usual + square(Settings.OutlierDeviation);
  constexpr int Points = 32;
  double Total = 0;
  log_estimate Sums; // of the step: of its logarithm, and of the square
  for (int I = 0; I < Points; ++I) {
    const double Slowest = Low + (High - Low) * I / (Points - 1);
    const double Rest = Pace - Slowest - Step.Mean;
    const double AsUsual = (1 - Settings.OutlierShare) * density(Rest, Usual);
    const double AsOutlier = Settings.OutlierShare * density(Rest, Outlier);
    const double Weight = addSlowest(Paces, Slowest, AsUsual + AsOutlier);
    Total += Weight;
    for (const auto &[Part, Variance] :
         {std::pair(AsUsual, Usual), std::pair(AsOutlier, Outlier)}) {
      const double Share = Weight * Part / (AsUsual + AsOutlier);
      const double Gain = Step.Variance / Variance;
      const double Mean = Step.Mean + Gain * Rest;
      Sums.Mean += Share * Mean;
      Sums.Variance += Share * (square(Mean) + Step.Variance * (1 - Gain));
    }
  }
  if (!(Total > 0) || !std::isfinite(Total))
    return; // impossible by what is known
  const double Least = square(Settings.LeastDeviation);
  Step.Mean = Sums.Mean / Total;
  Step.Variance = std::max(Least, Sums.Variance / Total - square(Step.Mean));
  for (std::size_t I = 0; I < Members.size(); ++I) {
    log_estimate &Member = Members[I];
    const double Prior = square(Paces[I].Deviation);
    const double Mean = Paces[I].First / Total;
    const double Variance = Paces[I].Second / Total - square(Mean);
    const double Gain = Member.Variance / Prior; // the rest is the task's
    Member.Variance =
        std::max(Least, Member.Variance - square(Gain) * (Prior - Variance));
    Member.Mean += Gain * (Mean - Paces[I].Mean);
  }
}

log_estimate age(const speed_settings &Settings, log_estimate Estimate,
                 milliseconds Time) {
  const double Seconds = std::chrono::duration<double>(Time).count();
  const double Most =
      std::max(Estimate.Variance, square(Settings.SpeedDeviation));
  Estimate.Variance =
      std::min(Most, Estimate.Variance +
                         std::max(0.0, Seconds) * Settings.DriftPerSecond);
  return Estimate;
}

namespace {

std::optional<double> finish(speed_probe &Probe, const speed_settings &Settings,
                             int Percent, instant Now) {
  const milliseconds Span =
      std::chrono::duration_cast<milliseconds>(Now - Probe.At);
  const int Advance = Percent - Probe.Percent;
  if (Advance < Settings.LeastPercent || Span < Settings.LeastSpan)
    return std::nullopt;
  Probe.IsOver = true;
  return Advance / double{WholePercent} /
         std::chrono::duration<double>(Span).count();
}

} // namespace

std::optional<double> measure(speed_probe &Probe,
                              const speed_settings &Settings, int Attempt,
                              int Percent, bool MayRestore, instant Now) {
  if (Attempt < Probe.Attempt)
    return std::nullopt;
  const bool IsFirst = Attempt > Probe.Attempt;
  if (IsFirst)
    Probe = {Attempt, MayRestore ? Percent : 0, Now};
  if (Probe.IsOver)
    return std::nullopt;
  // A run that goes back, or beyond its end, reports nothing that counts.
  if (Percent < Probe.Percent || Percent > WholePercent) {
    Probe.IsOver = true;
    return std::nullopt;
  }
  if (Percent == WholePercent)
    return std::nullopt; // it may have waited for others of its gang
  if (!Probe.HasBegun) {
    if (Percent > Probe.Percent) {
      Probe.HasBegun = true;
      Probe.Percent = Percent;
      Probe.At = Now;
    }
    return std::nullopt;
  }
  return finish(Probe, Settings, Percent, Now);
}

std::optional<double> measureEnd(speed_probe &Probe,
                                 const speed_settings &Settings, int Attempt,
                                 instant Now) {
  if (Probe.Attempt != Attempt || !Probe.HasBegun || Probe.IsOver)
    return std::nullopt;
  return finish(Probe, Settings, WholePercent, Now);
}

namespace {

void addTo(speed_sums &Sums, const executor_speed &Speed, int Sign) {
  constexpr double MostVariance = 0.0729; // deviation of 0.27
  const log_estimate &Estimate = Speed.Estimate;
  Sums.Logs += Sign * Estimate.Mean;
  Sums.Observed += Sign;
  Sums.Classes[static_cast<std::size_t>(Speed.Class)] += Sign;
  if (Estimate.Variance > MostVariance)
    return;
  // An estimate lies between the assumed mean and what was observed.
  constexpr double Unobserved = 0.16; // variance, as by SpeedDeviation
  constexpr double LeastWeight = 0.2;
  const double Weight =
      std::max(LeastWeight, 1 - Estimate.Variance / Unobserved);
  const double Observed = Estimate.Mean / Weight;
  Sums.CertainLogs += Sign * Observed;
  Sums.Squares += Sign * square(Observed);
  Sums.Variances += Sign * Estimate.Variance / Weight;
  Sums.Certain += Sign;
}

} // namespace

void speed_sums::add(const executor_speed &Speed) { addTo(*this, Speed, 1); }

void speed_sums::remove(const executor_speed &Speed) {
  addTo(*this, Speed, -1);
}

int speed_sums::known() const { return Observed - of(speed_class::Unknown); }

bool speed_sums::updateUneven(const speed_settings &Settings) {
  const bool Before = IsUneven;
  const double Least = Before ? Settings.UnevenUntil : Settings.UnevenFrom;
  const double True = Certain == 0
                          ? 0
                          : Squares / Certain - square(CertainLogs / Certain) -
                                Variances / Certain;
  IsUneven = Certain >= Settings.LeastCertain && True >= square(Least);
  return IsUneven != Before;
}

double speed_sums::mean() const {
  constexpr int Assumed = 5; // executors of speed 1 that count with the others
  return Logs / (Observed + Assumed);
}

speed_class classify(const speed_settings &Settings,
                     const log_estimate &Estimate, double Mean,
                     speed_class Before) {
  const double Log = Estimate.Mean - Mean;
  const double Deviation = std::sqrt(Estimate.Variance);
  const auto Shift = [&](speed_class Class) {
    return Before == Class ? Settings.Hysteresis : 0.0;
  };
  const double Slow = std::log(Settings.SlowBelow) + Shift(speed_class::Slow);
  const double Fast = std::log(Settings.FastAbove) - Shift(speed_class::Fast);
  // Deviations from a bound at which the other side of it is unlikely enough.
  constexpr double LikelySlow = 0.5;
  constexpr double UnlikelySlow = 1.1;
  constexpr double Precise = 0.2; // deviation at which the mean decides
  const bool IsCertain =
      Deviation <= Settings.MostUncertain || Before != speed_class::Unknown;
  if (Log < Slow - LikelySlow * Deviation)
    return speed_class::Slow;
  if (IsCertain && Log > Fast)
    return speed_class::Fast;
  const bool IsPrecise =
      Deviation < Precise + (Before == speed_class::Unknown ? 0.0 : 0.05);
  if (IsPrecise && Log < Slow)
    return speed_class::Slow;
  if (IsPrecise ||
      Log > Slow + UnlikelySlow * Deviation - Shift(speed_class::Normal))
    return speed_class::Normal;
  return speed_class::Unknown;
}

} // namespace galenastage::batch
