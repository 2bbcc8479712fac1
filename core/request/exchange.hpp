#pragma once

// One exchange with an executor: how far it progressed and what follows from
// that. Every layer passes the stage on, so that no layer guesses a verdict.

#include "core/request/upstreams.hpp"

namespace galenastage {

/// How far the exchange had progressed when it ended.
enum class exchange_stage {
  NothingSent, // no byte was passed to the operating system
  PartlySent,  // some bytes of the request, not all
  Sent,        // the whole request, no byte of the answer
  AnswerBegun, // part of the answer, or one without a recognisable end
  Answered,    // the complete answer
};

/// Whether the work may have run when an exchange ended at this stage.
verdict verdictAt(exchange_stage Stage);

/// What a complete answer tells about its executor.
struct response_summary {
  unsigned Status = 200;
  bool SaysNotRun = false; // Galenastage-Verdict: not-run
  bool Closes = false;     // Connection: close
};

/// Whether the executor refused before it ran anything.
bool isRefusal(const response_summary &Answer);

/// How the exchange counts for the executor's health. Answer is used only at
/// the stage Answered, HasTimedOut only at earlier stages.
try_outcome outcomeOf(exchange_stage Stage, bool HasTimedOut,
                      const response_summary &Answer);

} // namespace galenastage
