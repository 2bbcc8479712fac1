#pragma once

// Whether the records of a job fit into the platform's store.

#include "core/job/batch/progress.hpp"

#include <cstddef>

namespace galenastage::batch {

/// Largest size of the job's progress record once so many of its occurrences
/// have begun, of which Open aren't done. Holds for executor ids and
/// checkpoints that have 55 bytes together; if they are longer and the store
/// refuses the record, its job fails.
std::size_t maxProgressBytes(const job_spec &Job, int Begun, int Open);

/// Memory that a submission of the job needs at most while it is written to the
/// store: the job, its record and the call with it.
std::size_t submissionBytes(const job_spec &Job);

/// Why the store couldn't hold the job's records, with the limit; empty when it
/// can.
std::string explainUnstorable(const job_spec &Job, std::size_t MaxValueBytes);

} // namespace galenastage::batch
