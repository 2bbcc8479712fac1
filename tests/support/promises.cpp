#include "tests/support/promises.hpp"

#include <algorithm>

namespace galenastage::test {
namespace {

std::string text(const attempt_id &Attempt) {
  return Attempt.Job.Value + "#" + std::to_string(Attempt.Attempt);
}

constexpr milliseconds ObservationSlack{100};

} // namespace

std::string_view name(promise Promise) {
  switch (Promise) {
  case promise::GangWhole:
    return "gang whole";
  case promise::NoLateStart:
    return "no late start";
  case promise::NotRunIsTrue:
    return "not-run is true";
  case promise::AtMostOnce:
    return "at most once";
  case promise::NeverLost:
    return "never lost";
  case promise::NeverReverts:
    return "never reverts";
  case promise::LeaseHolds:
    return "lease holds";
  case promise::NoOverAllocation:
    return "no over-allocation";
  case promise::StopCutsNothing:
    break;
  }
  return "stop cuts nothing";
}

void promises::note(promise Promise, const std::string &What) {
  const std::string At = std::to_string(Latest.time_since_epoch().count());
  Broken.try_emplace(Promise, "at " + At + " ms: " + What);
}

void promises::seeWorker(instant Now, const worker_report &Report) {
  Latest = Now;
  Workers[Report.Worker] = Report;
  int Used = 0;
  for (const task_report &Task : Report.Tasks) {
    Used += Task.Accelerators;
    if (Task.State >= task_state::Running)
      seeStart(Now, Report, Task);
    if (Task.State != task_state::Running)
      continue;
    const instant Renewal = Renewed[{Report.Worker, Task.Attempt}];
    if (Now > Renewal + Bounds.Lease + ObservationSlack)
      note(promise::LeaseHolds,
           text(Task.Attempt) + " on " + Report.Worker.Value);
  }
  if (Used > Report.Accelerators)
    note(promise::NoOverAllocation, Report.Worker.Value);
}

void promises::seeStart(instant Now, const worker_report &Report,
                        const task_report &Task) {
  auto &Members = Begun[Task.Attempt];
  if (!Members.try_emplace(Report.Worker, Task.Tasks).second)
    return;
  const auto Out = OutSince.find(Report.DataCentre);
  if (Out != OutSince.end() && Now > Out->second + Bounds.LateStart)
    note(promise::NoLateStart, text(Task.Attempt) + " started " +
                                   std::to_string((Now - Out->second).count()) +
                                   " ms after " + Report.DataCentre.Value +
                                   " was taken out");
  const job_id &Job = Task.Attempt.Job;
  checkVerdict(Job);
  if (Specs[Job].IsIdempotent)
    return;
  int Starts = 0;
  for (const auto &[Attempt, Placed] : Begun)
    for (const auto &[Worker, Tasks] : Placed)
      Starts += Attempt.Job == Job ? Tasks : 0;
  if (Starts > Specs[Job].Tasks)
    note(promise::AtMostOnce, text(Task.Attempt) + " on " +
                                  Report.Worker.Value + " makes " +
                                  std::to_string(Starts) + " starts");
}

void promises::seeWorkerGone(const worker_id &Worker) { Workers.erase(Worker); }

void promises::seeRenewal(instant Now, const worker_id &Worker,
                          const attempt_id &Attempt) {
  Renewed[{Worker, Attempt}] = Now;
}

void promises::seeTables(instant Now, const tables &Stored) {
  Latest = Now;
  if (Stored.Version <= StoredVersion)
    note(promise::NeverReverts,
         "stored version fell to " + std::to_string(Stored.Version));
  StoredVersion = std::max(StoredVersion, Stored.Version);
  for (const data_centre_row &Row : Stored.DataCentres) {
    if (Row.IsInService)
      OutSince.erase(Row.Name);
    else
      OutSince.try_emplace(Row.Name, Now);
  }
}

void promises::seeVersionInForce(const std::string &Process,
                                 std::uint64_t Version) {
  std::uint64_t &Known = Versions[Process];
  if (Version < Known)
    note(promise::NeverReverts, Process + " fell from " +
                                    std::to_string(Known) + " to " +
                                    std::to_string(Version));
  Known = Version;
}

void promises::forgetProcess(const std::string &Process) {
  Versions.erase(Process);
}

void promises::seeSubmitted(const job_spec &Spec) { Specs[Spec.Id] = Spec; }

void promises::seeAccepted(const job_id &Job) { Accepted.insert(Job); }

void promises::seeRecord(const job_record &Record) {
  const bool IsTold =
      isFinal(Record.Phase) && Record.Verdict == verdict::NotRun;
  if (IsTold)
    ToldNotRun.insert(Record.Spec.Id);
  checkVerdict(Record.Spec.Id);
}

void promises::checkVerdict(const job_id &Job) {
  if (!ToldNotRun.contains(Job))
    return;
  for (const auto &[Attempt, Members] : Begun)
    if (Attempt.Job == Job)
      note(promise::NotRunIsTrue, text(Attempt) + " ran");
}

void promises::check(instant Now) {
  Latest = Now;
  std::map<attempt_id, int> Running;
  std::map<attempt_id, int> Whole; // running or done
  for (const auto &[Worker, Report] : Workers)
    for (const task_report &Task : Report.Tasks) {
      Running[Task.Attempt] +=
          Task.State == task_state::Running ? Task.Tasks : 0;
      const bool Counts = Task.State == task_state::Running ||
                          Task.State == task_state::Succeeded;
      Whole[Task.Attempt] += Counts ? Task.Tasks : 0;
    }
  std::erase_if(PartialSince,
                [&](const auto &Entry) { return Running[Entry.first] == 0; });
  for (const auto &[Attempt, Tasks] : Running) {
    if (Tasks == 0)
      continue;
    if (Whole[Attempt] >= Specs[Attempt.Job].Tasks) {
      PartialSince.erase(Attempt);
      continue;
    }
    const instant Since = PartialSince.try_emplace(Attempt, Now).first->second;
    if (Now - Since > Bounds.PartialGang)
      note(promise::GangWhole, text(Attempt) + " has " +
                                   std::to_string(Whole[Attempt]) + " members");
  }
}

void promises::checkEnd(const std::vector<job_record> &Records,
                        const std::map<job_id, data_centre_id> &Index) {
  for (const job_id &Id : Accepted) {
    const auto Holds = [&](const job_record &Record) {
      return Record.Spec.Id == Id;
    };
    if (std::ranges::count_if(Records, Holds) != 1) {
      note(promise::NeverLost, Id.Value + " isn't stored exactly once");
      continue;
    }
    const job_record &Record = *std::ranges::find_if(Records, Holds);
    const auto Owner = Index.find(Id);
    if (Owner == Index.end() || Owner->second != Record.DataCentre)
      note(promise::NeverLost, Id.Value + " isn't found by its index");
    // Everything is in service again, so no job has a reason to wait.
    if (!isFinal(Record.Phase))
      note(promise::NeverLost,
           Id.Value + " is still " +
               std::string(galenastage::name(Record.Phase)) + ": " +
               Record.Reason);
  }
  for (const auto &[Process, Version] : Versions)
    if (Version != StoredVersion)
      note(promise::NeverReverts, Process + " is at version " +
                                      std::to_string(Version) + " of " +
                                      std::to_string(StoredVersion));
}

std::set<attempt_id> promises::attemptsBegun() const {
  std::set<attempt_id> Attempts;
  for (const auto &[Attempt, Members] : Begun)
    Attempts.insert(Attempt);
  return Attempts;
}

std::set<attempt_id> promises::attemptsRunning() const {
  std::set<attempt_id> Attempts;
  for (const auto &[Worker, Report] : Workers)
    for (const task_report &Task : Report.Tasks)
      if (Task.State == task_state::Running)
        Attempts.insert(Task.Attempt);
  return Attempts;
}

} // namespace galenastage::test
