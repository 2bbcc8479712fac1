#pragma once

// Invariants that are checked while a virtual system runs. The first violation
// of each is kept with its time.

#include "core/config/tables.hpp"
#include "core/job/job.hpp"
#include "core/job/worker_protocol.hpp"

#include <map>
#include <set>

namespace galenastage::test {

enum class promise {
  GangWhole,    // no gang runs incomplete for longer than the bound
  NoLateStart,  // no start later than the bound after the data centre left
  NotRunIsTrue, // a job reported as not run has not run
  AtMostOnce,   // a non-idempotent job starts at most once
  NeverLost,    // an accepted job ends, or is pending with a reason
  NeverReverts, // the active version never decreases and reaches every process
  LeaseHolds,   // no task runs beyond its lease
  NoOverAllocation, // no worker exceeds its accelerators
  StopCutsNothing,  // a planned stop ends no running gang
};

std::string_view name(promise Promise);

/// Time limits of the invariants that have one.
struct promise_bounds {
  // One lease to detect the loss, one until the lease of a task whose release
  // was lost expires, and two seconds of slack.
  milliseconds PartialGang{14'000};
  // Evidence 2 s old, a reservation of 2 s, and 1 s for calls.
  milliseconds LateStart{5'000};
  milliseconds Lease{6'000};
};

class promises {
public:
  explicit promises(promise_bounds Bounds) : Bounds(Bounds) {}

  /// Call after each call to a worker and periodically, but not while the
  /// worker is paused or down.
  void seeWorker(instant Now, const worker_report &Report);
  void seeWorkerGone(const worker_id &Worker);
  void seeRenewal(instant Now, const worker_id &Worker,
                  const attempt_id &Attempt);
  void seeTables(instant Now, const tables &Stored);
  void seeVersionInForce(const std::string &Process, std::uint64_t Version);
  void forgetProcess(const std::string &Process);
  void seeSubmitted(const job_spec &Spec);
  void seeAccepted(const job_id &Job);
  void seeRecord(const job_record &Record);
  void check(instant Now);
  /// Call at the end, when every fault is over.
  void checkEnd(const std::vector<job_record> &Records,
                const std::map<job_id, data_centre_id> &Index);

  void note(promise Promise, const std::string &What);

  /// Attempts that have started on at least one worker.
  [[nodiscard]] std::set<attempt_id> attemptsBegun() const;
  [[nodiscard]] std::set<attempt_id> attemptsRunning() const;
  [[nodiscard]] const std::map<promise, std::string> &broken() const {
    return Broken;
  }

private:
  void seeStart(instant Now, const worker_report &Report,
                const task_report &Task);
  void checkVerdict(const job_id &Job);

  promise_bounds Bounds;
  instant Latest{};
  std::map<job_id, job_spec> Specs;
  std::set<job_id> Accepted;
  std::map<worker_id, worker_report> Workers;
  std::map<attempt_id, std::map<worker_id, int>>
      Begun; // number of tasks by worker
  std::map<attempt_id, instant> PartialSince;
  std::map<std::pair<worker_id, attempt_id>, instant> Renewed;
  std::map<data_centre_id, instant> OutSince;
  std::map<std::string, std::uint64_t> Versions;
  std::uint64_t StoredVersion = 0;
  std::set<job_id> ToldNotRun;
  std::map<promise, std::string> Broken;
};

} // namespace galenastage::test
