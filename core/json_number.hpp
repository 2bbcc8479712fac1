#pragma once

// Reads whole numbers from untrusted JSON. The library converts numbers that
// don't fit without an error; for floating-point numbers out of range this is
// undefined behaviour.

#include "core/json_text.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace galenastage {

/// Numbers from Min to Max; by default all that the type holds.
template <typename Number> struct number_range {
  Number Min = std::numeric_limits<Number>::min();
  Number Max = std::numeric_limits<Number>::max();
};

// Sums of a thousand durations, and moments in nanoseconds, stay within 64
// bits.
inline constexpr number_range<std::int64_t> DurationRange{
    -315'360'000'000, 315'360'000'000}; // milliseconds; ten years
inline constexpr number_range<std::int64_t> MomentRange{
    -9'000'000'000'000, 9'000'000'000'000}; // milliseconds from 1970; year 2255

namespace detail {

/// The whole number, or nullopt if it isn't one or doesn't fit.
template <typename Number>
std::optional<Number> toWhole(const nlohmann::json &Value) {
  const auto Narrow = [](auto Read) {
    return std::in_range<Number>(Read)
               ? std::optional(static_cast<Number>(Read))
               : std::nullopt;
  };
  if (Value.is_number_unsigned())
    return Narrow(Value.get<std::uint64_t>());
  if (Value.is_number_integer())
    return Narrow(Value.get<std::int64_t>());
  if (!Value.is_number_float())
    return std::nullopt;
  // Some writers print whole numbers as 7.0.
  constexpr double Exact = 9e15; // whole numbers below are exact in a double
  const auto Read = Value.get<double>();
  const bool IsWhole =
      Read >= -Exact && Read <= Exact &&
      Read == static_cast<double>(static_cast<std::int64_t>(Read));
  return IsWhole ? Narrow(static_cast<std::int64_t>(Read)) : std::nullopt;
}

} // namespace detail

/// Throws std::out_of_range naming the field if Value is not a whole number in
/// the range.
template <typename Number>
Number readWhole(const nlohmann::json &Value, const std::string &Field,
                 number_range<Number> Range = {}) {
  const std::optional<Number> Read = detail::toWhole<Number>(Value);
  if (Read && *Read >= Range.Min && *Read <= Range.Max)
    return *Read;
  throw std::out_of_range(
      Field + " must be a whole number from " + std::to_string(Range.Min) +
      " to " + std::to_string(Range.Max) + ", it is " + describe(Value));
}

/// Reads a list of whole numbers; throws like readWhole.
inline std::vector<int> readWholeList(const nlohmann::json &List,
                                      const std::string &Field) {
  std::vector<int> Numbers;
  Numbers.reserve(List.size());
  for (const nlohmann::json &Entry : List)
    Numbers.push_back(readWhole<int>(Entry, Field));
  return Numbers;
}

/// Like readWhole; returns Default if the field is absent.
template <typename Number>
Number readWhole(const nlohmann::json &Object, const char *Field,
                 Number Default, number_range<Number> Range = {}) {
  const auto Found = Object.find(Field);
  return Found == Object.end() ? Default
                               : readWhole<Number>(*Found, Field, Range);
}

} // namespace galenastage
