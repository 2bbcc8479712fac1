#pragma once

// One scheduler process of the virtual network: the reducer, driven as in
// apps/scheduler. Effects become calls, responses become events.

#include "core/job/scheduler.hpp"
#include "standin/worker_model.hpp"
#include "tests/support/virtual_store.hpp"

#include <deque>

namespace galenastage::test {

/// A row of the instance list.
struct listed_worker {
  worker_id Worker;
  rack_id Rack;
  int Accelerators = 0;
};

/// Environment of a scheduler process, and observers of its effects.
struct scheduler_surroundings {
  virtual_network &Network;
  virtual_store &Store;
  std::function<standin::worker_model *(const worker_id &)> FindWorker;
  std::function<std::vector<listed_worker>(const data_centre_id &)> ReadList;
  /// Called before an event is applied and before an effect is performed.
  std::function<void(const std::string &, const scheduler_event_body &)>
      OnEvent;
  std::function<void(const std::string &, const scheduler_effect &)> OnEffect;
  /// Called when a worker has accepted a renewal.
  std::function<void(const worker_id &, const renew_request &)> OnRenewed;
};

class virtual_scheduler {
public:
  virtual_scheduler(scheduler_surroundings &Around, data_centre_id DataCentre,
                    std::string Name);

  /// Starts its loops. Call again after each restart; no state is kept.
  void boot();
  /// Hands over leadership, then ends the process.
  void stopGracefully();

  [[nodiscard]] const std::string &name() const { return Name; }
  [[nodiscard]] const scheduler_state &state() const { return State; }

private:
  struct queued_write {
    store_transaction Transaction;
    epoch Epoch = 0;
    job_id Job;
    std::int64_t Revision = 0;
    std::string Key;
    std::string Value;
  };

  void after(milliseconds Delay, std::function<void()> Work);
  void post(scheduler_event_body Body, epoch OfOrder = 0);
  void tick();
  void confirmTables();
  void watchTables();
  void takeTables(const std::string &Text, instant AsOf);
  void readList();

  // Election
  void campaign();
  void win(std::int64_t NewLease);
  void hold();
  void lose(bool MustRevoke);
  void lead(epoch NewEpoch);

  // Jobs of one term
  void followJobs(int MyTerm, bool IsLoaded);
  void takeJob(const store_entry &Entry);
  void takeJobEvent(const store_event &Event);

  // Effects
  void perform(const send_reserve &Effect);
  void perform(const send_start &Effect);
  void perform(const send_release &Effect);
  void perform(const send_renew &Effect);
  void perform(const save_job &Effect);
  void perform(const move_job &Effect);
  void perform(const step_down &Effect);
  void perform(const write_log &) {}
  template <typename Request, typename Act>
  void sendStep(step_answered::step_kind Kind, const worker_id &Worker,
                const Request &Body, Act ActOn);
  void enqueue(queued_write Write);
  void drain();
  void settle(const queued_write &Write, const store_write &Result);
  void report(const queued_write &Write, job_saved::outcome Outcome,
              std::int64_t Revision);

  scheduler_surroundings &Around;
  data_centre_id DataCentre;
  std::string Name;
  std::string LeaderKey;
  std::string LeaderToken; // value of the leader key while this process leads
  scheduler_state State{{}};
  std::string LastTables;
  std::shared_ptr<const tables> Tables;
  std::set<worker_id> Listed;
  std::int64_t Lease = 0;
  epoch Epoch = 0;
  epoch HighestSeen = 0;
  bool IsResigning = false;
  int Term = 0;
  int Boots = 0;
  std::deque<queued_write> Queue;
  bool IsDraining = false;
};

} // namespace galenastage::test
