#pragma once

// The durable record that makes a non-idempotent request run at most once. It
// is created, if missing, before the request's bytes leave; whoever repeats the
// Idempotency-Key finds it, at any entry instance.
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
  Dispatched, // the bytes may have left; the owner may have died since
  Answered,   // a whole answer came back
  Unknown,    // the owner saw the exchange fail
};

/// An answer small enough to be kept for repeats.
struct kept_answer {
  unsigned Status = 200;
  std::string ContentType;
  std::string Body;

  friend bool operator==(const kept_answer &, const kept_answer &) = default;
};

struct dispatch_record {
  std::string RequestId;   // of the request that owns the record
  std::string ContentHash; // of its method, target and body
  dispatch_state State = dispatch_state::Dispatched;
  std::optional<kept_answer> Answer;

  friend bool operator==(const dispatch_record &,
                         const dispatch_record &) = default;
};

/// Bodies up to this size are kept; a repeat of a larger one gets the verdict.
constexpr std::size_t MaxKeptAnswerBytes = 4 * 1024;
/// Longer keys are refused.
constexpr std::size_t MaxIdempotencyKeyBytes = 200;
/// A record lives at least this long; later repeats count as new requests.
constexpr seconds DispatchRecordLife{24 * 3'600};

/// Where the record of this key is stored.
std::string dispatchRecordKey(const organisation_id &Organisation,
                              const std::string &IdempotencyKey);

/// Tells requests apart that reuse a key.
std::string contentHash(std::string_view Method, std::string_view Target,
                        std::string_view Body);

std::string printDispatchRecord(const dispatch_record &Record);

/// Nullopt when the text isn't a record.
std::optional<dispatch_record> parseDispatchRecord(const std::string &Text);

/// The record of an answer; without the body when it is too large to keep or
/// isn't UTF-8.
dispatch_record answeredRecord(dispatch_record Record, kept_answer Answer);

// [2] Repeats

/// The record belongs to this very request: its write took effect.
struct own_record {};
/// Another request already used this key.
struct key_reused {};
/// The first answer, word for word.
struct replay_answer {
  kept_answer Answer;
};
/// It ran, but the answer was not kept.
struct already_ran {};
/// In progress elsewhere, or its owner died.
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
