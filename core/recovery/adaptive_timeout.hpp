#pragma once

#include "core/types.hpp"

namespace galenastage {

/// An adaptive call timeout: the smoothed response time plus four times its
/// deviation, doubled after a timeout until the next answer. This is the
/// retransmission timer of TCP (RFC 6298), except that it doubles only once.
class adaptive_timeout {
public:
  /// The timeout always lies in [Min, Max], and is Max until the first answer.
  adaptive_timeout(milliseconds Min, milliseconds Max) : Min(Min), Max(Max) {}

  void noteAnswer(milliseconds Took);
  void noteTimeout();
  [[nodiscard]] milliseconds timeout() const;

private:
  milliseconds Min;
  milliseconds Max;
  double SmoothedMs = -1; // below 0: no answer yet
  double DeviationMs = 0;
  int Backoff = 1; // factor; 1: no timeout since the last answer
};

} // namespace galenastage
