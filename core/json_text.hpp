#pragma once

// Parses JSON text that another program has written. The library parses nested
// text without recursion, but it copies and prints the result recursively, and
// it allocates up to 160 bytes for a level of 5 bytes.

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <exception>
#include <string>
#include <string_view>

namespace galenastage {

inline constexpr int MaxJsonDepth = 64; // arrays and objects within another
inline constexpr std::size_t MaxJsonBytes = 2 * 1'024 * 1'024; // of one text
inline constexpr std::size_t MaxReasonBytes = 256; // of an error in a log line

/// Names the limit that the text exceeds; empty: it can be parsed safely. The
/// text needn't be valid JSON.
std::string explainTooComplex(std::string_view Text,
                              std::size_t MaxBytes = MaxJsonBytes);

/// Throws std::length_error for a text over a limit, without parsing it, and
/// nlohmann::json::exception for one that isn't valid.
nlohmann::json parseJson(std::string_view Text,
                         std::size_t MaxBytes = MaxJsonBytes);

/// The value for an error message, shortened. An array or an object is named by
/// its type only.
std::string describe(const nlohmann::json &Value);

/// The message of an error, shortened: the library quotes the text that it
/// can't read.
std::string reasonOf(const std::exception &Error);

} // namespace galenastage
