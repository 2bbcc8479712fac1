#pragma once

#include <system_error>

namespace galenastage {

/// What can go wrong between this project's own parts. Operating system errors
/// keep their own category.
enum class errc {
  InvalidTables = 1,  // a table breaks a rule; the text names field and rule
  InvalidJob,         // a job that can never run or is malformed
  VersionConflict,    // the stored tables have another version than expected
  NotFound,           // no such key, job or row
  StoreUnavailable,   // the key-value service didn't answer in time
  StoreAnswerLost,    // a write left and its outcome is not known yet
  MalformedAnswer,    // a peer or the platform answered something unreadable
  DeadlineExceeded,   // the caller's deadline passed
  UpstreamOverloaded, // no executor slot became free in time
  NotLeading,         // this process doesn't own what it was asked to change
};

std::error_code make_error_code(errc Error);

} // namespace galenastage

template <>
struct std::is_error_code_enum<galenastage::errc> : std::true_type {};
