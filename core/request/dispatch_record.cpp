#include "core/request/dispatch_record.hpp"

#include "core/json_number.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <array>

namespace galenastage {
namespace {

using nlohmann::json;

constexpr std::array StateNames = {
    std::pair(dispatch_state::Dispatched, "dispatched"),
    std::pair(dispatch_state::Answered, "answered"),
    std::pair(dispatch_state::Unknown, "unknown"),
};

const char *name(dispatch_state State) {
  for (const auto &[Known, Name] : StateNames)
    if (Known == State)
      return Name;
  return "unknown";
}

std::optional<dispatch_state> parseState(const std::string &Text) {
  for (const auto &[Known, Name] : StateNames)
    if (Text == Name)
      return Known;
  return std::nullopt;
}

std::string toHex(std::uint64_t Number) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (int Shift = 60; Shift >= 0; Shift -= 4)
    Text.push_back(Digits[(Number >> Shift) & 0xf]);
  return Text;
}

bool isUtf8(const std::string &Text) {
  try {
    return !json(Text).dump().empty();
  } catch (const json::type_error &) {
    return false;
  }
}

} // namespace

std::string dispatchRecordKey(const organisation_id &Organisation,
                              const std::string &IdempotencyKey) {
  return "/galenastage/dispatch/" + Organisation.Value + "/" + IdempotencyKey;
}

std::string contentHash(std::string_view Method, std::string_view Target,
                        std::string_view Body) {
  std::string Head(Method);
  Head += ' ';
  Head += Target;
  Head += '\n';
  const XXH64_hash_t HeadHash = XXH64(Head.data(), Head.size(), 0);
  const XXH128_hash_t Hash =
      XXH3_128bits_withSeed(Body.data(), Body.size(), HeadHash);
  return toHex(Hash.high64) + toHex(Hash.low64);
}

std::string printDispatchRecord(const dispatch_record &Record) {
  json Json = {{"request_id", Record.RequestId},
               {"content_hash", Record.ContentHash},
               {"state", name(Record.State)}};
  if (Record.Answer)
    Json["answer"] = {{"status", Record.Answer->Status},
                      {"content_type", Record.Answer->ContentType},
                      {"body", Record.Answer->Body}};
  return Json.dump();
}

std::optional<dispatch_record> parseDispatchRecord(const std::string &Text) {
  try {
    const json Json = parseJson(Text);
    dispatch_record Record;
    Record.RequestId = Json.at("request_id").get<std::string>();
    Record.ContentHash = Json.at("content_hash").get<std::string>();
    const auto State = parseState(Json.at("state").get<std::string>());
    if (!State)
      return std::nullopt;
    Record.State = *State;
    if (!Json.contains("answer"))
      return Record;
    const json &Answer = Json.at("answer");
    Record.Answer =
        kept_answer{readWhole<unsigned>(Answer.at("status"), "status"),
                    Answer.at("content_type").get<std::string>(),
                    Answer.at("body").get<std::string>()};
    return Record;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

dispatch_record answeredRecord(dispatch_record Record, kept_answer Answer) {
  Record.State = dispatch_state::Answered;
  const bool IsKept = Answer.Body.size() <= MaxKeptAnswerBytes &&
                      isUtf8(Answer.Body) && isUtf8(Answer.ContentType);
  if (IsKept)
    Record.Answer = std::move(Answer);
  return Record;
}

repeat_decision decideRepeat(const dispatch_record &Found,
                             const dispatch_record &Own) {
  if (Found.RequestId == Own.RequestId)
    return own_record{};
  if (Found.ContentHash != Own.ContentHash)
    return key_reused{};
  switch (Found.State) {
  case dispatch_state::Answered:
    if (Found.Answer)
      return replay_answer{*Found.Answer};
    return already_ran{};
  case dispatch_state::Dispatched:
    return still_dispatched{};
  case dispatch_state::Unknown:
    break;
  }
  return outcome_unknown{};
}

} // namespace galenastage
