#pragma once

#include "core/job/scheduler.hpp"
#include "net/store.hpp"

#include <deque>
#include <functional>

namespace galenastage {

/// Writes job records in batches: writes queued during one call are sent
/// together in the next, so that a burst needs few calls. Used on one I/O
/// thread only.
class save_queue {
public:
  /// OnEvent gets a job_saved, with the epoch of the effect, for each save. If
  /// the store holds a different record, a job_seen follows; if it holds none,
  /// OnEvent gets a job_forgotten instead.
  save_queue(asio::io_context &Context, store_client &Store,
             std::function<void(epoch, scheduler_event_body)> OnEvent);

  /// Adds this condition to every write queued from now on.
  void setFence(store_condition Condition);

  void save(save_job Effect);
  void move(move_job Effect);

private:
  /// A queued transaction, and the data for checking its outcome.
  struct queued_write {
    store_transaction Transaction;
    epoch Epoch = 0;
    job_id Job;
    std::int64_t Revision = 0; // that the record is expected to have
    std::string Key;           // of the record
    std::string Value;         // to be written; empty for a move
  };

  void enqueue(queued_write Write);
  task<void> drain();
  task<void> resolveOutcome(queued_write Write, store_write Result);
  void report(const queued_write &Write, job_saved::outcome Outcome,
              std::int64_t Revision);

  asio::io_context &Context;
  store_client &Store;
  std::function<void(epoch, scheduler_event_body)> OnEvent;
  store_condition Fence = value_is{}; // never holds
  std::deque<queued_write> Queue;
  bool IsDraining = false;
};

} // namespace galenastage
