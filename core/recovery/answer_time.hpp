#pragma once

#include "core/types.hpp"

namespace galenastage {

/// How long to wait for a service's answer before another try is worth more
/// than patience: the smoothed answer time plus four times its deviation, and
/// twice as long after a timeout until an answer comes (the retransmission
/// timer of TCP, RFC 6298, but for its further doubling).
class answer_time {
public:
  /// Timeouts are never below Min nor above Max; Max applies until the first
  /// answer.
  answer_time(milliseconds Min, milliseconds Max) : Min(Min), Max(Max) {}

  void noteAnswer(milliseconds Took);
  void noteTimeout();
  [[nodiscard]] milliseconds timeout() const;

private:
  milliseconds Min;
  milliseconds Max;
  double SmoothedMs = -1; // below 0: no answer yet
  double DeviationMs = 0;
  int Backoff = 1; // factor, for timeouts since the last answer
};

} // namespace galenastage
