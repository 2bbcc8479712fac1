#include "core/request/exchange.hpp"

namespace galenastage {
namespace {

constexpr unsigned FirstServerError = 500;
constexpr unsigned ServiceUnavailable = 503;

} // namespace

verdict verdictAt(exchange_stage Stage) {
  switch (Stage) {
  case exchange_stage::NothingSent:
    return verdict::NotRun;
  case exchange_stage::Answered:
    return verdict::Ran;
  case exchange_stage::PartlySent:
  case exchange_stage::Sent:
  case exchange_stage::AnswerBegun:
    break;
  }
  return verdict::Unknown;
}

bool isRefusal(const response_summary &Answer) {
  return Answer.Status == ServiceUnavailable && Answer.SaysNotRun;
}

try_outcome outcomeOf(exchange_stage Stage, bool HasTimedOut,
                      const response_summary &Answer) {
  if (Stage == exchange_stage::NothingSent)
    return try_outcome::ConnectFailed;
  if (Stage != exchange_stage::Answered)
    return HasTimedOut ? try_outcome::TimedOut : try_outcome::Failed;
  if (isRefusal(Answer))
    return try_outcome::Refused;
  if (Answer.Status >= FirstServerError)
    return try_outcome::AnsweredError;
  return Answer.Closes ? try_outcome::AnsweredClosing : try_outcome::Answered;
}

} // namespace galenastage
