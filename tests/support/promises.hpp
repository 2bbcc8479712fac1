#pragma once

// Checks, while a virtual system runs, of what must always hold. Each promise
// has a name; the first break of each is kept with its moment.

#include "core/config/tables.hpp"
#include "core/job/job.hpp"
#include "core/job/worker_protocol.hpp"

#include <map>
#include <set>

namespace galenastage::test {

enum class promise {
  GangWhole,        // no gang runs with only some members for long
  NoLateStart,      // no start long after the data centre was taken out
  NotRunIsTrue,     // told "not run", it did not run
  AtMostOnce,       // a non-idempotent job starts at most once
  NeverLost,        // an accepted job ends, or waits with a reason
  NeverReverts,     // the version in force never falls and arrives everywhere
  LeaseHolds,       // nothing runs beyond its lease
  NoOverAllocation, // no worker runs more than it has
  StopCutsNothing,  // a planned stop ends no gang
};

std::string_view name(promise Promise);

/// How long each bounded promise may take.
struct promise_bounds {
  // A lease to notice the loss, a lease until a lost release has lapsed, and
  // two seconds of slack.
  milliseconds PartialGang{14'000};
  // Evidence 2 s old, a reservation of 2 s, and a second for calls.
  milliseconds LateStart{5'000};
  milliseconds Lease{6'000};
};

class promises {
public:
  explicit promises(promise_bounds Bounds) : Bounds(Bounds) {}

  /// A worker after each call and at an interval; nothing while it is paused
  /// or down.
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
  /// At the end, when every fault is over.
  void checkEnd(const std::vector<job_record> &Records,
                const std::map<job_id, data_centre_id> &Index);

  void note(promise Promise, const std::string &What);

  /// Attempts that have begun to run on some worker.
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
  std::map<attempt_id, std::map<worker_id, int>> Begun; // tasks, by worker
  std::map<attempt_id, instant> PartialSince;
  std::map<std::pair<worker_id, attempt_id>, instant> Renewed;
  std::map<data_centre_id, instant> OutSince;
  std::map<std::string, std::uint64_t> Versions;
  std::uint64_t StoredVersion = 0;
  std::set<job_id> ToldNotRun;
  std::map<promise, std::string> Broken;
};

} // namespace galenastage::test
