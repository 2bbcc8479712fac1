#pragma once

// The durable record that makes a non-idempotent request run at most once. It
// is created, if missing, before the first byte of the request is sent. A
// repeat with the same Idempotency-Key finds it at any entry instance.
//
// Index of this file
// [1] The record
// [2] Repeats

#include "core/types.hpp"

#include <optional>
#include <string>
#include <variant>

namespace galenastage {

// [1] The record

enum class dispatch_state {
  Dispatched, // may have been sent; the owner may have crashed since
  Answered,   // a complete answer was received
  Unknown,    // the owner saw the exchange fail
};

/// An answer that is stored to be replayed to repeats.
struct kept_answer {
  unsigned Status = 200;
  std::string ContentType;
  std::string Body;

  friend bool operator==(const kept_answer &, const kept_answer &) = default;
};

struct dispatch_record {
  std::string RequestId;   // of the request that created the record
  std::string ContentHash; // over its method, target and body
  dispatch_state State = dispatch_state::Dispatched;
  std::optional<kept_answer> Answer;

  friend bool operator==(const dispatch_record &,
                         const dispatch_record &) = default;
};

/// Bodies up to this size are stored. A repeat of a request with a larger
/// answer gets only the verdict.
constexpr std::size_t MaxKeptAnswerBytes = 4 * 1024;
/// Requests with longer keys are refused.
constexpr std::size_t MaxIdempotencyKeyBytes = 200;
/// Minimum lifetime of a record; later repeats count as new requests.
constexpr seconds DispatchRecordLife{24 * 3'600};

/// The store key of the record for this Idempotency-Key.
std::string dispatchRecordKey(const organisation_id &Organisation,
                              const std::string &IdempotencyKey);

/// Distinguishes different requests that reuse a key.
std::string contentHash(std::string_view Method, std::string_view Target,
                        std::string_view Body);

std::string printDispatchRecord(const dispatch_record &Record);

/// Nullopt when the text isn't a record.
std::optional<dispatch_record> parseDispatchRecord(const std::string &Text);

/// The record with an answer. The answer is left out if its body is too large
/// or its text isn't UTF-8.
dispatch_record answeredRecord(dispatch_record Record, kept_answer Answer);

// [2] Repeats

/// The record belongs to this request: its own write took effect.
struct own_record {};
/// Another request already used this key.
struct key_reused {};
/// Replay the first answer unchanged.
struct replay_answer {
  kept_answer Answer;
};
/// It ran, but the answer was not stored.
struct already_ran {};
/// In progress at another instance, or its owner crashed.
struct still_dispatched {};
/// The first request's exchange failed.
struct outcome_unknown {};

using repeat_decision =
    std::variant<own_record, key_reused, replay_answer, already_ran,
                 still_dispatched, outcome_unknown>;

/// What a request does when it finds a record under its key.
repeat_decision decideRepeat(const dispatch_record &Found,
                             const dispatch_record &Own);

} // namespace galenastage
