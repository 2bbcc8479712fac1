#include "core/json_text.hpp"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace galenastage {
namespace {

using nlohmann::json;

constexpr std::size_t MaxDescribedBytes = 64; // of a value in a message

std::string shorten(std::string Text, std::size_t MaxBytes) {
  if (Text.size() <= MaxBytes)
    return Text;
  Text.resize(MaxBytes);
  return Text + "...";
}

/// Whether the brackets outside of strings nest deeper than MaxJsonDepth.
bool isTooDeep(std::string_view Text) {
  int Depth = 0;
  bool IsInString = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const char Byte = Text[I];
    if (Byte == '"')
      IsInString = !IsInString;
    else if (IsInString && Byte == '\\')
      ++I; // the next byte doesn't end the string
    else if (!IsInString && (Byte == '[' || Byte == '{'))
      ++Depth;
    else if (!IsInString && (Byte == ']' || Byte == '}'))
      --Depth;
    if (Depth > MaxJsonDepth)
      return true;
  }
  return false;
}

} // namespace

std::string explainTooComplex(std::string_view Text, std::size_t MaxBytes) {
  if (Text.size() > MaxBytes)
    return "the text has " + std::to_string(Text.size()) +
           " bytes, more than " + std::to_string(MaxBytes);
  if (isTooDeep(Text))
    return "the text has more than " + std::to_string(MaxJsonDepth) +
           " nested arrays and objects";
  return {};
}

json parseJson(std::string_view Text, std::size_t MaxBytes) {
  if (std::string Reason = explainTooComplex(Text, MaxBytes); !Reason.empty())
    throw std::length_error(Reason);
  return json::parse(Text);
}

std::string describe(const json &Value) {
  if (Value.is_structured())
    return std::string("an ") + Value.type_name();
  return shorten(Value.dump(-1, ' ', false, json::error_handler_t::replace),
                 MaxDescribedBytes);
}

std::string reasonOf(const std::exception &Error) {
  return shorten(Error.what(), MaxReasonBytes);
}

} // namespace galenastage
