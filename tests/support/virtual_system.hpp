#pragma once

// Two data centres on a virtual network: in each an entry process, two
// schedulers and some workers; one key-value service for both. Kept
// small: it serves to inject a fault at a step, not to model a cluster.

#include "tests/support/promises.hpp"
#include "tests/support/virtual_scheduler.hpp"

namespace galenastage::test {

/// A step at which a fault can be injected.
enum class step {
  Accept,
  Place,
  Reserve,
  Save,
  Start,
  Confirm,
  Renew,
  Finish,
  Cancel,
  Drain,
  Return,
  Edit,
  Propagate,
  TakeOver,
  Stop,
};

/// An occurrence of a step, with the processes involved.
struct step_event {
  step Step = step::Accept;
  std::string Scheduler; // empty: the active one of the first data centre
  worker_id Worker;      // empty: any
};

class virtual_system {
public:
  explicit virtual_system(std::uint32_t Seed);
  virtual_system(const virtual_system &) = delete;
  virtual_system &operator=(const virtual_system &) = delete;

  /// Called before a step is carried out.
  std::function<void(const step_event &)> OnStep = [](const step_event &) {};

  // Actions of callers and operators, retried until the outcome is known.
  void submit(job_spec Spec, const data_centre_id &Owner);
  void cancel(const job_id &Job);
  void edit(step Step, std::function<void(tables &)> Change);
  void stopActiveScheduler(const data_centre_id &DataCentre);

  // Faults outside the network
  void crashScheduler(const std::string &Name);
  void restartScheduler(const std::string &Name);
  void crashWorker(const worker_id &Worker);
  void restartWorker(const worker_id &Worker);
  void setListFrozen(bool IsFrozen);

  /// Runs for this duration and checks the invariants throughout.
  void run(milliseconds Duration);
  [[nodiscard]] bool areAllJobsFinal();
  /// Checks what must hold once the system is idle.
  void checkEnd();
  /// Checks that every gang that ran at the planned stop ran to its end.
  void checkStop();

  [[nodiscard]] std::string
  activeScheduler(const data_centre_id &DataCentre) const;
  [[nodiscard]] std::vector<std::string>
  processesIn(const data_centre_id &DataCentre) const;
  [[nodiscard]] std::vector<worker_id> workersIn(const rack_id &Rack) const;
  [[nodiscard]] rack_id rackOf(const worker_id &Worker) const;
  std::optional<job_record> record(const job_id &Job);
  /// How often tasks of the job started, as counted by the workers.
  [[nodiscard]] int runsOf(const job_id &Job) const;

  virtual_network Network;
  virtual_store Store;
  promises Promises;

private:
  void addDataCentre(const std::string &Name, int Workers);
  void observe();
  void observeWorker(standin::worker_model &Worker);
  void takeEvent(const std::string &Scheduler,
                 const scheduler_event_body &Event);
  void takeEffect(const std::string &Scheduler, const scheduler_effect &Effect);
  void takeCommit(const store_transaction &Transaction);
  void tryEdit(std::string Token, std::function<void(tables &)> Change);
  std::vector<listed_worker> readList(const data_centre_id &DataCentre);

  struct worker_row {
    listed_worker Listed;
    data_centre_id DataCentre;
    standin::worker_model Model;
  };

  scheduler_surroundings Around;
  std::map<worker_id, worker_row> Workers;
  std::map<std::string, std::unique_ptr<virtual_scheduler>> Schedulers;
  std::optional<std::set<worker_id>>
      FrozenList; // workers listed; unset: not frozen
  std::set<attempt_id> Placed;
  std::set<attempt_id> Confirmed;
  int Edits = 0;
  std::set<attempt_id> RunningAtStop;
};

} // namespace galenastage::test
