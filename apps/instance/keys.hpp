#pragma once

// Where the system keeps what must last, in the platform's metadata store.

#include "core/types.hpp"

namespace galenastage::keys {

/// Held with a lease by the instance that leads; its creation revision is the
/// leader's fencing token.
inline constexpr const char *Leader = "batch/leader";

/// Queue lengths that the leader publishes.
inline constexpr const char *QueueLengths = "batch/queues";

/// What clients ask for: jobs and cancellations, written once by any instance
/// and watched by the leader.
inline constexpr const char *Asked = "batch/asked/";

/// Progress of each job; after the submission only the leader writes it.
inline constexpr const char *Progress = "batch/progress/";

inline std::string specOf(const job_id &Job) { return Asked + Job.Value; }

inline constexpr std::string_view CancelSuffix = "/cancel";

inline std::string cancelOf(const job_id &Job) {
  return specOf(Job) + std::string(CancelSuffix);
}

inline std::string progressOf(const job_id &Job) {
  return Progress + Job.Value;
}

} // namespace galenastage::keys
