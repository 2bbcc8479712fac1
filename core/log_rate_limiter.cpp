#include "core/log_rate_limiter.hpp"

#include <algorithm>

namespace galenastage {

bool log_rate_limiter::tryTake(int EventNumber, instant Now) {
  const auto [Found, IsNew] =
      Buckets.try_emplace(EventNumber, bucket{Settings.Burst, Now});
  bucket &Bucket = Found->second;
  const double Elapsed =
      std::chrono::duration<double>(Now - Bucket.FilledAt).count();
  Bucket.Lines = std::min(Settings.Burst,
                          Bucket.Lines + Elapsed * Settings.LinesPerSecond);
  Bucket.FilledAt = Now;
  if (Bucket.Lines < 1) {
    noteDropped(EventNumber);
    return false;
  }
  Bucket.Lines -= 1;
  return true;
}

void log_rate_limiter::noteDropped(int EventNumber) {
  ++Dropped[EventNumber];
  ++Total;
}

std::map<int, std::uint64_t> log_rate_limiter::takeDropped() {
  return std::exchange(Dropped, {});
}

} // namespace galenastage
