#include "core/request/retry.hpp"

#include <algorithm>

namespace galenastage {

verdict combineVerdicts(verdict Earlier, verdict Later) {
  if (Earlier == verdict::Ran || Later == verdict::Ran)
    return verdict::Ran;
  if (Earlier == verdict::Unknown || Later == verdict::Unknown)
    return verdict::Unknown;
  return verdict::NotRun;
}

bool isRetrySafe(verdict Verdict, bool IsIdempotent) {
  if (Verdict == verdict::Ran)
    return false;
  return IsIdempotent || Verdict == verdict::NotRun;
}

void addRetryTokens(retry_budget &Budget) {
  Budget.Tokens =
      std::min(Budget.Tokens + retry_budget::Share, retry_budget::Burst);
}

bool takeRetryToken(retry_budget &Budget) {
  if (Budget.Tokens < 1)
    return false;
  Budget.Tokens -= 1;
  return true;
}

milliseconds retryDelay(milliseconds Previous, std::uint64_t Random) {
  const milliseconds Upper = std::clamp(std::max(Previous, MinRetryDelay) * 3,
                                        MinRetryDelay, MaxRetryDelay);
  const auto Span =
      static_cast<std::uint64_t>((Upper - MinRetryDelay).count()) + 1;
  return MinRetryDelay + milliseconds(Random % Span);
}

} // namespace galenastage
