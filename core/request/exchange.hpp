#pragma once

// One exchange with an executor: how far its bytes came, and what follows from
// that. Every layer passes the stage on; nothing guesses a verdict.

#include "core/request/upstreams.hpp"

namespace galenastage {

/// Where the bytes were when the exchange ended.
enum class exchange_stage {
  NothingSent, // no byte was handed to the operating system
  PartlySent,  // some bytes of the request, not all
  Sent,        // the whole request, no byte of the answer
  AnswerBegun, // part of the answer, or one whose end can't be recognised
  Answered,    // the whole answer
};

/// What may have run when an exchange ended at this stage.
verdict verdictAt(exchange_stage Stage);

/// What a whole answer says about its executor.
struct answer_facts {
  unsigned Status = 200;
  bool SaysNotRun = false; // Galenastage-Verdict: not-run
  bool Closes = false;     // Connection: close
};

/// Whether the executor refused before it ran anything.
bool isRefusal(const answer_facts &Answer);

/// How the exchange counts for the executor's health. Answer matters only at
/// the stage Answered, HasTimedOut only before.
try_outcome outcomeOf(exchange_stage Stage, bool HasTimedOut,
                      const answer_facts &Answer);

} // namespace galenastage
