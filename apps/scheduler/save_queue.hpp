#pragma once

#include "core/job/scheduler.hpp"
#include "net/store.hpp"

#include <deque>
#include <functional>

namespace galenastage {

/// Writes job records in groups: what is wanted while one call is on its way
/// goes into the next, so that a burst costs few calls. Lives on one I/O
/// thread.
class save_queue {
public:
  /// OnEvent gets a job_saved for each save, and a job_seen or job_forgotten
  /// before it when the store holds something else than expected.
  save_queue(asio::io_context &Context, store_client &Store,
             std::function<void(scheduler_event_body)> OnEvent);

  /// Every write from now on is applied only under this condition as well.
  void setFence(store_condition Condition);

  void save(save_job Wanted);
  void move(move_job Wanted);

private:
  /// A transaction in the queue, and what to do with its outcome.
  struct queued_write {
    store_transaction Transaction;
    job_id Job;
    std::int64_t Revision = 0; // that the record was known to have
    std::string Key;           // of the record
    std::string Value;         // that was written; empty for a move
  };

  void enqueue(queued_write Write);
  task<void> drain();
  task<void> settle(queued_write Write, store_write Result);
  void report(const job_id &Job, job_saved::outcome Outcome,
              std::int64_t Revision);

  asio::io_context &Context;
  store_client &Store;
  std::function<void(scheduler_event_body)> OnEvent;
  store_condition Fence = value_is{}; // holds for nobody
  std::deque<queued_write> Queue;
  bool IsDraining = false;
};

} // namespace galenastage
