#pragma once

// A scheduler's reducer with the stand-in's worker models around it, in virtual
// time. It counts what the reducer asks for and how long each event takes.
//
// Index of this file
// [1] Settings
// [2] Counts
// [3] The fleet

#include "core/job/scheduler.hpp"
#include "standin/worker_model.hpp"

#include <deque>
#include <string>

namespace galenastage::measure {

// [1] Settings

/// One data centre's workers.
struct fleet_settings {
  int Workers = 50;
  int WorkersPerRack = 6;
  int Accelerators = 32;     // of each worker
  milliseconds LinkDelay{1}; // one way, to a worker or the store
  milliseconds TickInterval{100};
};

// [2] Counts

/// Number of events of one kind and their processor time.
struct event_cost {
  std::int64_t Count = 0;
  std::int64_t Nanoseconds = 0; // total in the reducer

  [[nodiscard]] double meanMicroseconds() const {
    constexpr double PerMicrosecond = 1'000;
    return Count == 0 ? 0
                      : static_cast<double>(Nanoseconds) / PerMicrosecond /
                            static_cast<double>(Count);
  }
};

struct fleet_counts {
  std::map<std::string, event_cost> Events; // by kind of event
  std::int64_t WorkerMessages = 0;          // requests sent to workers
  std::int64_t Renewals = 0;                // those of them that renew leases
  std::int64_t StoreWrites = 0;             // records written, before grouping
  std::int64_t LongestEvent = 0;            // nanoseconds in the reducer
};

// [3] The fleet

class fleet {
public:
  explicit fleet(fleet_settings Settings);

  /// Submits a job and delivers it to the scheduler without delay.
  void submit(const job_spec &Spec);

  /// Advances virtual time.
  void advance(milliseconds Duration);

  /// Crashes a worker, which loses its tasks and answers again after Duration.
  void crashWorker(int Index, milliseconds Duration);

  /// Another process becomes the active scheduler and rebuilds its state.
  void takeOver();

  /// Whether the tables can be confirmed as current.
  void setStoreReachable(bool IsReachable) { IsStoreReachable = IsReachable; }

  [[nodiscard]] int countJobs(job_phase Phase) const;
  [[nodiscard]] int runningTasks() const;
  [[nodiscard]] const scheduler_state &state() const { return State; }
  [[nodiscard]] const fleet_counts &counts() const { return Counts; }
  [[nodiscard]] instant now() const { return Now; }
  [[nodiscard]] std::int64_t longestEvent() const {
    return Counts.LongestEvent;
  }
  void resetCounts() { Counts = {}; }

  /// The report with which a worker would answer a renewal now.
  worker_report reportOf(int Index);

private:
  struct fleet_worker {
    standin::worker_model Model;
    instant DownUntil{};
  };
  struct delayed_event {
    instant Due;
    scheduler_event_body Body;
  };

  void apply(scheduler_event_body Body);
  void answer(scheduler_event_body Body);
  void deliverDue();
  void confirmTables();
  fleet_worker *findUp(const worker_id &Worker);
  template <typename Request, typename Act>
  void takeStep(step_answered::step_kind Kind, const worker_id &Worker,
                const Request &Sent, Act ActOn);

  void perform(const send_reserve &Effect);
  void perform(const send_start &Effect);
  void perform(const send_renew &Effect);
  void perform(const send_release &Effect);
  void perform(const save_job &Effect);
  void perform(const move_job &) {}
  void perform(const step_down &) {}
  void perform(const write_log &) {}
  /// Ignores the kinds of effect that this measurement doesn't count.
  template <typename Effect> void perform(const Effect &) {}

  fleet_settings Settings;
  scheduler_state State;
  std::shared_ptr<const tables> Tables;
  std::map<worker_id, fleet_worker> Workers;
  std::map<job_id, std::pair<job_record, std::int64_t>> Stored;
  std::deque<delayed_event> Delayed; // in order of Due
  instant Now{milliseconds(1'000'000)};
  epoch Epoch = 1;
  std::int64_t Revision = 1;
  bool IsStoreReachable = true;
  fleet_counts Counts;
};

/// A job of the fleet's only pool.
job_spec makeFleetJob(int Index, int Tasks, milliseconds RunTime);

} // namespace galenastage::measure
