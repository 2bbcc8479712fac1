#pragma once

// Keys of the system's persistent records in the platform's metadata store.

#include "core/types.hpp"

namespace galenastage::keys {

/// Written with a lease by the leading instance; the revision of that write is
/// the leader's fencing token.
inline constexpr const char *Leader = "batch/leader";

/// Written with a lease by a standby that is much larger than the leader.
inline constexpr const char *Candidate = "batch/candidate";

/// Queue lengths, published by the leader.
inline constexpr const char *QueueLengths = "batch/queues";

/// Work that waits and runs, published by the leader.
inline constexpr const char *Backlog = "batch/backlog";

/// Speeds of executors, written by the leader for the next one.
inline constexpr const char *Speeds = "batch/speeds";

/// Submitted jobs and cancellations. Any instance writes them, once each; the
/// leader watches them.
inline constexpr const char *Requests = "batch/asked/";

/// Progress of each job. Created with the job by any instance, then written by
/// the leader only.
inline constexpr const char *Progress = "batch/progress/";

inline std::string specKey(const job_id &Job) { return Requests + Job.Value; }

inline constexpr std::string_view CancelSuffix = "/cancel";

inline std::string cancelKey(const job_id &Job) {
  return specKey(Job) + std::string(CancelSuffix);
}

inline std::string progressKey(const job_id &Job) {
  return Progress + Job.Value;
}

} // namespace galenastage::keys
