#pragma once

#include <system_error>

namespace galenastage {

/// Error codes of this project. Operating system errors keep their own
/// category.
enum class errc {
  InvalidTables = 1,  // a table breaks a rule; the details name field and rule
  InvalidJob,         // a job is malformed or can never run
  VersionConflict,    // the stored tables have another version than expected
  NotFound,           // no such key, job or row
  StoreUnavailable,   // the key-value service didn't answer in time
  StoreAnswerLost,    // a write was sent and its outcome is not known yet
  MalformedAnswer,    // an answer of a peer or the platform can't be parsed
  DeadlineExceeded,   // the caller's deadline passed
  UpstreamOverloaded, // no executor slot became free in time
  NotLeading,         // this process isn't the active scheduler
  StoreRefused,       // the store will never take this write
};

std::error_code make_error_code(errc Error);

} // namespace galenastage

template <>
struct std::is_error_code_enum<galenastage::errc> : std::true_type {};
