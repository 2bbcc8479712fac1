#pragma once

// Messages between scheduler and worker. The worker decides what runs on it: it
// rejects requests with an epoch lower than the highest it has seen, and it
// stops tasks whose lease isn't renewed in time.
//
// A gang starts in three steps on each of its workers:
//   reserve  holds accelerators for a short time
//   start    turns the reservation into armed tasks; nothing runs yet
//   renew    with IsConfirmed runs armed tasks; later ones extend the lease
//
// Index of this file
// [1] Requests
// [2] Answers
// [3] JSON

#include "core/types.hpp"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenastage {

// [1] Requests

/// One attempt to run one job.
struct attempt_id {
  job_id Job;
  std::uint32_t Attempt = 0;

  friend auto operator<=>(const attempt_id &, const attempt_id &) = default;
  friend bool operator==(const attempt_id &, const attempt_id &) = default;
};

struct reserve_request {
  epoch Epoch = 0;          //
  attempt_id Attempt;       //
  int Tasks = 0;            // members of the gang on this worker
  int Accelerators = 0;     // for all these members together
  milliseconds Lifetime{0}; // by the worker's clock; then the hold ends

  friend bool operator==(const reserve_request &,
                         const reserve_request &) = default;
};

struct start_request {
  epoch Epoch = 0;                 //
  attempt_id Attempt;              // must have a valid reservation
  milliseconds Lease{0};           // stopped if not renewed within this
  milliseconds DeclaredRunTime{0}; //

  friend bool operator==(const start_request &,
                         const start_request &) = default;
};

/// One gang in a renewal.
struct renewed_attempt {
  attempt_id Attempt;
  bool IsConfirmed = false; // every member is armed; it may run

  friend bool operator==(const renewed_attempt &,
                         const renewed_attempt &) = default;
};

/// Extends the leases of the listed attempts only, and asks for a report of
/// what the worker holds.
struct renew_request {
  epoch Epoch = 0;       //
  milliseconds Lease{0}; //
  std::vector<renewed_attempt> Attempts;

  friend bool operator==(const renew_request &,
                         const renew_request &) = default;
};

struct release_request {
  epoch Epoch = 0;             //
  attempt_id Attempt;          //
  bool KeepCheckpoint = false; // save progress first, if supported

  friend bool operator==(const release_request &,
                         const release_request &) = default;
};

/// Limits the speed of the tasks of an attempt.
struct throttle_request {
  epoch Epoch = 0;        //
  attempt_id Attempt;     //
  int SpeedPercent = 100; // 1 to 100

  friend bool operator==(const throttle_request &,
                         const throttle_request &) = default;
};

// [2] Answers

struct worker_answer {
  bool IsAccepted = false;
  epoch HighestEpoch = 0; // the highest this worker has seen
  std::string Reason;     // set when not accepted

  friend bool operator==(const worker_answer &,
                         const worker_answer &) = default;
};

enum class task_state {
  Reserved,  // holds accelerators, runs nothing
  Armed,     // started, waits for confirmation
  Running,   //
  Succeeded, // kept until released, so that the end is reported
  Failed,    // likewise
};

std::string_view name(task_state State);

/// The tasks of one attempt on a worker.
struct task_report {
  attempt_id Attempt;
  task_state State = task_state::Reserved;
  int Tasks = 0;
  int Accelerators = 0;
  milliseconds Progress{0}; // work done, including that before a checkpoint

  friend bool operator==(const task_report &, const task_report &) = default;
};

/// A worker's properties and the tasks it holds; the answer to a renewal.
struct worker_report {
  worker_id Worker;
  data_centre_id DataCentre;
  rack_id Rack;
  int Accelerators = 0;   // total
  epoch HighestEpoch = 0; //
  std::vector<task_report> Tasks;

  friend bool operator==(const worker_report &,
                         const worker_report &) = default;
};

/// The measured use of a worker's accelerators. AgeAtAnswer is the age of the
/// measurement when the worker answered.
struct usage_report {
  int BusyAccelerators = 0;
  milliseconds AgeAtAnswer{0};

  friend bool operator==(const usage_report &, const usage_report &) = default;
};

// [3] JSON

void to_json(nlohmann::json &Json, const reserve_request &Request);
void to_json(nlohmann::json &Json, const start_request &Request);
void to_json(nlohmann::json &Json, const renew_request &Request);
void to_json(nlohmann::json &Json, const release_request &Request);
void to_json(nlohmann::json &Json, const throttle_request &Request);
void to_json(nlohmann::json &Json, const worker_answer &Answer);
void to_json(nlohmann::json &Json, const worker_report &Report);
void to_json(nlohmann::json &Json, const usage_report &Report);
void from_json(const nlohmann::json &Json, reserve_request &Request);
void from_json(const nlohmann::json &Json, start_request &Request);
void from_json(const nlohmann::json &Json, renew_request &Request);
void from_json(const nlohmann::json &Json, release_request &Request);
void from_json(const nlohmann::json &Json, throttle_request &Request);
void from_json(const nlohmann::json &Json, worker_answer &Answer);
void from_json(const nlohmann::json &Json, worker_report &Report);
void from_json(const nlohmann::json &Json, usage_report &Report);

/// Reads any of these from JSON text; nullopt if it is malformed.
template <typename Message>
std::optional<Message> parseWorkerMessage(std::string_view Text);

} // namespace galenastage
