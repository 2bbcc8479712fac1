#include "core/recovery/answer_time.hpp"

#include <algorithm>
#include <cmath>

namespace galenastage {
namespace {

// The gains of RFC 6298, section 2.
constexpr double MeanGain = 1.0 / 8;
constexpr double DeviationGain = 1.0 / 4;
constexpr double Deviations = 4;
constexpr int MaxBackoff =
    2; // a call made during an outage outlives it by less

} // namespace

void answer_time::noteAnswer(milliseconds Took) {
  Backoff = 1;
  const auto Sample = static_cast<double>(Took.count());
  if (SmoothedMs < 0) {
    SmoothedMs = Sample;
    DeviationMs = Sample / 2;
    return;
  }
  DeviationMs += DeviationGain * (std::abs(SmoothedMs - Sample) - DeviationMs);
  SmoothedMs += MeanGain * (Sample - SmoothedMs);
}

void answer_time::noteTimeout() { Backoff = std::min(Backoff * 2, MaxBackoff); }

milliseconds answer_time::timeout() const {
  if (SmoothedMs < 0)
    return Max;
  const double Wanted = SmoothedMs + Deviations * DeviationMs;
  const double Bounded = std::max(Wanted, static_cast<double>(Min.count()));
  const auto Backed = static_cast<std::int64_t>(Bounded * Backoff);
  return std::min(milliseconds(Backed), Max);
}

} // namespace galenastage
