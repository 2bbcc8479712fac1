#pragma once

// Index of this file
// [1] Job specification
// [2] Job record
// [3] JSON

#include "core/config/tables.hpp"
#include "core/types.hpp"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace galenastage {

// [1] Job specification

/// A job as submitted: a gang of identical tasks, started all together or not
/// at all.
struct job_spec {
  job_id Id;                               // chosen by the system
  organisation_id Organisation;            // that submitted it
  pool_id Pool;                            // name of a row in the pools table
  work_class Class = work_class::Ordinary; //
  int Tasks = 1;                           // 1 to 1,024
  int AcceleratorsPerTask = 1;             // all on one worker, 1 to 64
  milliseconds DeclaredRunTime{60'000};    // caller's estimate, often wrong
  bool IsCheckpointable = false;           // can be moved without loss of work
  bool IsIdempotent = true;                // false: starts at most once
  std::vector<data_centre_id> DataCentres; // permitted; empty: the pool's
  std::string IdempotencyKey;              // chosen by the caller, may be empty

  friend bool operator==(const job_spec &, const job_spec &) = default;
};

// [2] Job record

/// The phase of a job. The last four are final.
enum class job_phase {
  Waiting,   // accepted, holds no accelerator
  Starting,  // all reserved; saved before the first start if not idempotent
  Running,   // every member is armed and confirmed
  Finished,  // every member succeeded
  Failed,    // tasks failed, or the outcome is unknown and it must not rerun
  Cancelled, // at the caller's request
  Refused,   // it can never run
};

std::string_view name(job_phase Phase);

/// Whether a job in this phase will never change again.
bool isFinal(job_phase Phase);

/// A job as stored in the key-value service, under the data centre that owns
/// it.
struct job_record {
  job_spec Spec;                        //
  job_phase Phase = job_phase::Waiting; //
  std::uint32_t Attempt = 0;            // incremented at each placement
  verdict Verdict = verdict::NotRun;    // whether any part may have run
  bool IsCancelRequested = false;       // by the caller
  std::uint32_t Losses = 0;             // of workers while it ran, in a row
  data_centre_id DataCentre;            // owner; only its scheduler starts it
  std::string Reason;                   // why it waits, or how it ended
  std::vector<worker_id> Placement;     // the worker of each task
  wall_instant SubmittedAt{};           //
  wall_instant FinishedAt{};            // epoch while not final

  friend bool operator==(const job_record &, const job_record &) = default;
};

// [3] JSON

/// The result of parsing a job: the value, or the problems found.
template <typename Value> struct parsed_job {
  std::optional<Value> Job;
  std::vector<table_problem> Problems;
};

/// Reads a submission, which contains no job id.
parsed_job<job_spec> parseJobSpec(std::string_view Text);

/// Reads a record written by printJobRecord of this or an earlier version.
parsed_job<job_record> parseJobRecord(std::string_view Text);

void to_json(nlohmann::json &Json, const job_record &Record);
std::string printJobRecord(const job_record &Record);

/// Key prefix of the job records owned by one data centre.
std::string jobPrefix(const data_centre_id &DataCentre);
std::string jobKey(const data_centre_id &DataCentre, const job_id &Id);

/// Key whose value names the data centre that owns a job. Updated in the same
/// transaction that moves the record.
std::string jobIndexKey(const job_id &Id);

} // namespace galenastage
