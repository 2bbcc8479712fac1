#pragma once

// Job records in the platform's store: JSON with a version number. A record of
// any other version is an error, because its meaning may differ.

#include "core/error.hpp"
#include "core/job/batch/progress.hpp"

namespace galenastage::batch {

/// What a record holds, or why it can't be read.
template <typename Value> struct parsed_record {
  std::error_code Error; // clear: the record was read completely
  Value Record;
  std::string Reason; // human-readable; empty on success
};

std::string printSpec(const job_spec &Job);
parsed_record<job_spec> parseSpec(std::string_view Text);

std::string printProgress(const job_progress &Progress);
/// Parses the progress of Job. A record that doesn't match the steps of Job is
/// an error.
parsed_record<job_progress> parseProgress(std::string_view Text,
                                          const job_spec &Job);

/// Owner and phase of a job; parsed from its progress without its steps.
struct job_summary {
  organisation_id Organisation; // empty: public queue
  job_phase Phase = job_phase::Queued;
};
parsed_record<job_summary> parseSummary(std::string_view Text);

} // namespace galenastage::batch
