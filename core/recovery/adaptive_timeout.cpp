#include "core/recovery/adaptive_timeout.hpp"

#include <algorithm>
#include <cmath>

namespace galenastage {
namespace {

// Gains (alpha and beta) and K of RFC 6298, section 2.
constexpr double MeanGain = 1.0 / 8;
constexpr double DeviationGain = 1.0 / 4;
constexpr double Deviations = 4;
// Low, so that a call sent during an outage doesn't wait long after its end.
constexpr int MaxBackoff = 2;

} // namespace

void adaptive_timeout::noteAnswer(milliseconds Took) {
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

void adaptive_timeout::noteTimeout() {
  Backoff = std::min(Backoff * 2, MaxBackoff);
}

milliseconds adaptive_timeout::timeout() const {
  if (SmoothedMs < 0)
    return Max;
  const double Estimate = SmoothedMs + Deviations * DeviationMs;
  const double Bounded = std::max(Estimate, static_cast<double>(Min.count()));
  const auto WithBackoff = static_cast<std::int64_t>(Bounded * Backoff);
  return std::min(milliseconds(WithBackoff), Max);
}

} // namespace galenastage
