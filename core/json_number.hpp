#pragma once

// Reads whole numbers from untrusted JSON. The library converts numbers that
// don't fit without an error; for floating-point numbers out of range this is
// undefined behaviour.

#include <nlohmann/json.hpp>

#include <limits>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace galenastage {

/// Throws std::out_of_range naming the field if Value is not a whole number in
/// the range of Number.
template <typename Number>
Number readWhole(const nlohmann::json &Value, const std::string &Field) {
  using limits = std::numeric_limits<Number>;
  const auto Fail = [&]() -> Number {
    throw std::out_of_range(
        Field + " must be a whole number in range, it is " +
        Value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  };
  if (Value.is_number_unsigned()) {
    const auto Read = Value.get<std::uint64_t>();
    return Read <= static_cast<std::uint64_t>(limits::max())
               ? static_cast<Number>(Read)
               : Fail();
  }
  if (Value.is_number_integer()) {
    const auto Read = Value.get<std::int64_t>();
    return std::in_range<Number>(Read) ? static_cast<Number>(Read) : Fail();
  }
  if (!Value.is_number_float())
    return Fail();
  // Some writers print whole numbers as 7.0.
  constexpr double Exact = 9e15; // whole numbers below are exact in a double
  const auto Read = Value.get<double>();
  const bool IsWhole =
      Read >= -Exact && Read <= Exact &&
      Read == static_cast<double>(static_cast<std::int64_t>(Read));
  if (!IsWhole || !std::in_range<Number>(static_cast<std::int64_t>(Read)))
    return Fail();
  return static_cast<Number>(Read);
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
                 Number Default) {
  const auto Found = Object.find(Field);
  return Found == Object.end() ? Default : readWhole<Number>(*Found, Field);
}

} // namespace galenastage
