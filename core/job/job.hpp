#pragma once

// Index of this file
// [1] What a caller asks for
// [2] What is kept of a job
// [3] JSON

#include "core/config/tables.hpp"
#include "core/types.hpp"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace galenastage {

// [1] What a caller asks for

/// A job as submitted: a gang of equal tasks that starts whole or not at all.
struct job_spec {
  job_id Id;                               // chosen by the system
  organisation_id Organisation;            // who asks
  pool_id Pool;                            // joins the pools table
  work_class Class = work_class::Ordinary; //
  int Tasks = 1;                           // gang members, 1 to 1,024
  int AcceleratorsPerTask = 1;             // on one worker, 1 to 64
  milliseconds DeclaredRunTime{60'000};    // the caller's guess, not trusted
  bool IsCheckpointable = false;           // may be moved without losing work
  bool IsIdempotent = true;                // false: starts at most once
  std::vector<data_centre_id> DataCentres; // empty: those of the pool
  std::string IdempotencyKey;              // the caller's, may be empty

  friend bool operator==(const job_spec &, const job_spec &) = default;
};

// [2] What is kept of a job

/// Where a job stands. The last four are final.
enum class job_phase {
  Waiting,   // accepted, holds no accelerator
  Starting,  // recorded before the first start leaves, so a start is never lost
  Running,   // every member has confirmed
  Finished,  // every member ended well
  Failed,    // a member failed, or the outcome is unknown and it must not rerun
  Cancelled, // stopped by the caller
  Refused,   // can never run
};

std::string_view name(job_phase Phase);

/// Whether a job in this phase will never change again.
bool isFinal(job_phase Phase);

/// A job as stored in the key-value service, under the data centre that owns
/// it.
struct job_record {
  job_spec Spec;                        //
  job_phase Phase = job_phase::Waiting; //
  std::uint32_t Attempt = 0;            // grows by one with each placement
  verdict Verdict = verdict::NotRun;    // whether any part may have run
  bool IsCancelRequested = false;       // the caller wants it stopped
  data_centre_id DataCentre;            // owner; only its scheduler starts it
  std::string Reason;                   // why it waits, failed or was refused
  std::vector<worker_id> Placement;     // one worker for each task
  wall_instant SubmittedAt{};           //
  wall_instant FinishedAt{};            // epoch while not final

  friend bool operator==(const job_record &, const job_record &) = default;
};

// [3] JSON

/// What reading a job gave: the value, or the problems found.
template <typename Value> struct parsed_job {
  std::optional<Value> Job;
  std::vector<table_problem> Problems;
};

/// Reads a submission. Ids are not part of it.
parsed_job<job_spec> parseJobSpec(std::string_view Text);

/// Reads a record written by printJobRecord of this or an earlier version.
parsed_job<job_record> parseJobRecord(std::string_view Text);

void to_json(nlohmann::json &Json, const job_record &Record);
std::string printJobRecord(const job_record &Record);

/// Key prefix of the records that one data centre owns.
std::string jobPrefix(const data_centre_id &DataCentre);
std::string jobKey(const data_centre_id &DataCentre, const job_id &Id);

/// Key whose value names the data centre that owns a job. It changes in the
/// same transaction as the record moves.
std::string jobIndexKey(const job_id &Id);

} // namespace galenastage
