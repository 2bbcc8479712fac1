#include "core/log_budget.hpp"

#include <algorithm>

namespace galenastage {

bool log_budget::take(int EventNumber, instant Now) {
  const auto [Found, IsNew] =
      Buckets.try_emplace(EventNumber, bucket{Settings.Burst, Now});
  bucket &Bucket = Found->second;
  const double Elapsed =
      std::chrono::duration<double>(Now - Bucket.FilledAt).count();
  Bucket.Lines = std::min(Settings.Burst,
                          Bucket.Lines + Elapsed * Settings.LinesPerSecond);
  Bucket.FilledAt = Now;
  if (Bucket.Lines < 1) {
    noteLost(EventNumber);
    return false;
  }
  Bucket.Lines -= 1;
  return true;
}

void log_budget::noteLost(int EventNumber) {
  ++Dropped[EventNumber];
  ++Total;
}

std::map<int, std::uint64_t> log_budget::takeDropped() {
  return std::exchange(Dropped, {});
}

} // namespace galenastage
