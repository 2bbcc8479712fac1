#pragma once

// The records of jobs in the platform's store, in JSON with a version. A record
// of a later version than this program knows is an error, never a guess.

#include "core/error.hpp"
#include "core/job/batch/progress.hpp"

namespace galenastage::batch {

/// What a record holds, or why it can't be read.
template <typename Value> struct parsed_record {
  std::error_code Error; // clear: the record was read whole
  Value Record;
  std::string Reason; // for people; empty when read
};

std::string printSpec(const job_spec &Job);
parsed_record<job_spec> parseSpec(std::string_view Text);

std::string printProgress(const job_progress &Progress);
/// Progress of a job whose steps are known: a record that doesn't fit them is
/// an error.
parsed_record<job_progress> parseProgress(std::string_view Text,
                                          const job_spec &Job);

/// What clients ask for, without the steps.
struct job_summary {
  organisation_id Organisation; // empty: of a public queue
  job_phase Phase = job_phase::Queued;
};
parsed_record<job_summary> parseSummary(std::string_view Text);

} // namespace galenastage::batch
