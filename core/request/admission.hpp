#pragma once

// Waiting requests: weighted fair queueing among organisations and classes,
// bounded queues, and the wait estimate for early refusals. Plain values.
//
// Index of this file
// [1] Waiting requests
// [2] Flows
// [3] Service times
// [4] Queueing

#include "core/request/upstreams.hpp"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace galenastage {

// [1] Waiting requests

/// Identifies a request within one process.
using request_number = std::uint64_t;

/// The attributes of a request by which it is queued and placed.
struct request_attributes {
  organisation_id Organisation;
  work_class Class = work_class::Ordinary;
  executor_query Query;
  instant Deadline;
};

struct waiting_request {
  request_number Number = 0;
  request_attributes Ask;
  double Start = 0; // virtual start time, which orders flows
};

// [2] Flows

/// Identifies a flow: the requests of one organisation, class and service.
struct flow_key {
  service_id Service;
  organisation_id Organisation;
  work_class Class = work_class::Ordinary;

  friend auto operator<=>(const flow_key &, const flow_key &) = default;
};

struct request_flow {
  std::deque<waiting_request> Waiting;
  double LastFinish = 0; // virtual finish time of the last request queued
};

/// The relative weight of a flow of this class among the waiting flows.
double weightOf(work_class Class);

// Limits of the waiting requests in one entry instance.
constexpr std::size_t MaxWaitingInFlow = 256;
constexpr std::size_t MaxWaiting = 4'096;

// [3] Service times

constexpr std::size_t ClassCount = 3;

/// Exponentially weighted means of the durations of tries at one service.
struct service_times {
  static constexpr double SampleWeight = 0.1; // weight of the newest sample

  double MeanMs = 0;                            // 0: no sample yet
  std::array<double, ClassCount> ClassMeanMs{}; // of each class
};

void noteServiceTime(service_times &Times, work_class Class, milliseconds Took);

/// The expected duration of a request of this class once it has a slot.
milliseconds expectedServiceTime(const service_times &Times, work_class Class);

// [4] Queueing

struct request_queue {
  std::map<flow_key, request_flow> Flows;
  std::map<service_id, double> VirtualTime;
  std::map<service_id, service_times> Times;
  std::size_t Waiting = 0;
};

/// The expected wait of a request in its flow if it were queued now, with
/// Capacity requests running concurrently.
milliseconds expectedWait(const request_queue &Queue,
                          const request_attributes &Ask, int Capacity);

/// Queues a request; false when its queue is full.
bool enqueue(request_queue &Queue, request_number Number,
             request_attributes Ask);

/// Removes and returns the next request in fair order for which CanStart holds.
/// Only the first request of each flow is tested.
std::optional<waiting_request>
dequeue(request_queue &Queue,
        const std::function<bool(const request_attributes &)> &CanStart);

/// Removes and returns every request for which Drops holds.
std::vector<waiting_request>
removeIf(request_queue &Queue,
         const std::function<bool(const request_attributes &)> &Drops);

} // namespace galenastage
