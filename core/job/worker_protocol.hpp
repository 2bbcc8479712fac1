#pragma once

// What a scheduler and a worker say to each other. A worker is the judge of
// what runs on it: it refuses epochs lower than the highest it has seen, and it
// stops by itself whatever is not renewed in time.
//
// A gang starts in three steps on each of its workers:
//   reserve  holds accelerators for a short life
//   start    turns the reservation into an armed task; nothing runs yet
//   renew    with IsConfirmed lets armed tasks run; later ones extend the lease
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
  epoch Epoch = 0;      //
  attempt_id Attempt;   //
  int Tasks = 0;        // members of the gang on this worker
  int Accelerators = 0; // for all of them together
  milliseconds Life{0}; // on the worker's clock; then the hold is dropped

  friend bool operator==(const reserve_request &,
                         const reserve_request &) = default;
};

struct start_request {
  epoch Epoch = 0;                 //
  attempt_id Attempt;              // must hold a live reservation
  milliseconds Lease{0};           // dropped when not renewed within this
  milliseconds DeclaredRunTime{0}; //

  friend bool operator==(const start_request &,
                         const start_request &) = default;
};

/// One gang in a renewal.
struct renewed_attempt {
  attempt_id Attempt;
  bool IsConfirmed = false; // every member is armed: it may run

  friend bool operator==(const renewed_attempt &,
                         const renewed_attempt &) = default;
};

/// Extends the leases of the named attempts and asks what the worker holds.
/// What isn't named is not extended.
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
  bool KeepCheckpoint = false; // save progress first, if the task can

  friend bool operator==(const release_request &,
                         const release_request &) = default;
};

/// Slows the tasks of an attempt, so that they use less than they could.
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
  std::string Reason;     // why not, when refused

  friend bool operator==(const worker_answer &,
                         const worker_answer &) = default;
};

enum class task_state {
  Reserved,  // holds accelerators, runs nothing
  Armed,     // ready to run once every member is
  Running,   //
  Succeeded, // kept until released, so that its end is heard
  Failed,    // likewise
};

std::string_view name(task_state State);

/// What a worker holds of one attempt.
struct task_report {
  attempt_id Attempt;
  task_state State = task_state::Reserved;
  int Tasks = 0;
  int Accelerators = 0;
  milliseconds Progress{0}; // work done, including that before a checkpoint

  friend bool operator==(const task_report &, const task_report &) = default;
};

/// What a worker is and holds; the answer to a renewal.
struct worker_report {
  worker_id Worker;
  data_centre_id DataCentre;
  rack_id Rack;
  int Accelerators = 0;   // in all
  epoch HighestEpoch = 0; //
  std::vector<task_report> Tasks;

  friend bool operator==(const worker_report &,
                         const worker_report &) = default;
};

/// What the tasks of a worker really use. It lags: AgeAtAnswer says how old
/// the figures were when the worker answered.
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

/// Reads any of these from JSON text; nullopt when it is malformed.
template <typename Message>
std::optional<Message> parseWorkerMessage(std::string_view Text);

} // namespace galenastage
