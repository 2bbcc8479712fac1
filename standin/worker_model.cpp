#include "standin/worker_model.hpp"

#include <iterator>

namespace galenastage::standin {
namespace {

constexpr int FullSpeed = 100;                 // percent
constexpr std::size_t MaxUsageChanges = 1'000; // kept for delayed reports

} // namespace

worker_model::worker_model(worker_id Worker, data_centre_id DataCentre,
                           rack_id Rack, int Accelerators,
                           std::shared_ptr<checkpoint_map> Checkpoints)
    : Worker(std::move(Worker)), DataCentre(std::move(DataCentre)),
      Rack(std::move(Rack)), Accelerators(Accelerators),
      Checkpoints(std::move(Checkpoints)) {}

worker_answer worker_model::reserve(const reserve_request &Request,
                                    instant Now) {
  advance(Now);
  if (!admit(Request.Epoch))
    return refuse("epoch is too low");
  const auto Held = Tasks.find(Request.Attempt);
  if (Held != Tasks.end()) {
    // Two schedulers may choose the same attempt number.
    if (Held->second.Epoch != Request.Epoch)
      return refuse("held since another epoch");
    return accept(); // a repeated request; the reservation is held already
  }
  if (Request.Accelerators > freeAccelerators())
    return refuse("not enough free accelerators");
  held_task &Task = Tasks[Request.Attempt];
  Task.Epoch = Request.Epoch;
  Task.Tasks = Request.Tasks;
  Task.Accelerators = Request.Accelerators;
  Task.Expires = Now + Request.Lifetime;
  return accept();
}

worker_answer worker_model::start(const start_request &Request, instant Now) {
  advance(Now);
  if (!admit(Request.Epoch))
    return refuse("epoch is too low");
  const auto Found = Tasks.find(Request.Attempt);
  if (Found == Tasks.end())
    return refuse("no live reservation");
  held_task &Task = Found->second;
  if (Task.Epoch != Request.Epoch)
    return refuse("reserved in another epoch");
  if (Task.State != task_state::Reserved)
    return accept();
  Task.State = task_state::Armed;
  Task.RunTime = Request.DeclaredRunTime * Faults.RunTimePercent / 100;
  Task.Expires = Now + Request.Lease;
  return accept();
}

worker_answer worker_model::release(const release_request &Request,
                                    instant Now) {
  advance(Now);
  if (!admit(Request.Epoch))
    return refuse("epoch is too low");
  const auto Found = Tasks.find(Request.Attempt);
  if (Found == Tasks.end())
    return accept();
  if (Request.KeepCheckpoint && Found->second.State == task_state::Running)
    (*Checkpoints)[Request.Attempt.Job] = progressOf(Found->second, Now);
  Tasks.erase(Found);
  rememberUsage(Now);
  return accept();
}

worker_report worker_model::renew(const renew_request &Request, instant Now) {
  advance(Now);
  if (admit(Request.Epoch)) {
    for (const renewed_attempt &Renewed : Request.Attempts) {
      const auto Found = Tasks.find(Renewed.Attempt);
      if (Found == Tasks.end())
        continue;
      held_task &Task = Found->second;
      const bool MayBegin = Task.State == task_state::Armed &&
                            Renewed.IsConfirmed && Task.Epoch == Request.Epoch;
      if (MayBegin)
        beginRun(Renewed.Attempt, Task, Now);
      if (Task.State >= task_state::Running)
        Task.Expires = Now + Request.Lease;
    }
  }
  rememberUsage(Now);
  return report(Now);
}

worker_report worker_model::report(instant Now) const {
  worker_report Report{Worker,       DataCentre,   Rack,
                       Accelerators, HighestEpoch, {}};
  for (const auto &[Attempt, Task] : Tasks)
    Report.Tasks.push_back({Attempt, Task.State, Task.Tasks, Task.Accelerators,
                            progressOf(Task, Now)});
  return Report;
}

void worker_model::advance(instant Now) {
  for (auto It = Tasks.begin(); It != Tasks.end();) {
    held_task &Task = It->second;
    const bool IsRunning = Task.State == task_state::Running;
    // A task whose work ends before its lease counts as ended, however late
    // this check runs.
    const instant Ends = Task.RunningSince + (Task.RunTime - Task.Progress) *
                                                 FullSpeed / Task.SpeedPercent;
    if (IsRunning && Ends <= std::min(Now, Task.Expires)) {
      Task.State =
          Faults.FailsEverything ? task_state::Failed : task_state::Succeeded;
      Task.Progress = Task.RunTime;
      Checkpoints->erase(It->first.Job);
    }
    if (Now >= Task.Expires)
      It = Tasks.erase(It);
    else
      ++It;
  }
  rememberUsage(Now);
}

worker_answer worker_model::throttle(const throttle_request &Request,
                                     instant Now) {
  advance(Now);
  if (!admit(Request.Epoch))
    return refuse("epoch is too low");
  if (Request.SpeedPercent < 1 || Request.SpeedPercent > FullSpeed)
    return refuse("speed_percent must lie in [1, 100]");
  const auto Found = Tasks.find(Request.Attempt);
  if (Found == Tasks.end())
    return refuse("no such attempt");
  held_task &Task = Found->second;
  Task.Progress = progressOf(Task, Now);
  Task.RunningSince = Now;
  Task.SpeedPercent = Request.SpeedPercent;
  return accept();
}

usage_report worker_model::usage(instant Now) {
  advance(Now);
  const milliseconds Lag(Faults.UsageLagMilliseconds);
  const auto After = BusyAccelerators.upper_bound(Now - Lag);
  const int Busy =
      After == BusyAccelerators.begin() ? 0 : std::prev(After)->second;
  return {Busy, Lag};
}

void worker_model::rememberUsage(instant Now) {
  int Busy = 0;
  for (const auto &[Attempt, Task] : Tasks)
    Busy += Task.State == task_state::Running ? Task.Accelerators : 0;
  const bool IsNew =
      BusyAccelerators.empty() || BusyAccelerators.rbegin()->second != Busy;
  if (IsNew)
    BusyAccelerators[Now] = Busy;
  while (BusyAccelerators.size() > MaxUsageChanges)
    BusyAccelerators.erase(BusyAccelerators.begin());
}

void worker_model::crash() {
  Tasks.clear();
  HighestEpoch = 0;
}

int worker_model::freeAccelerators() const {
  int Free = Accelerators;
  for (const auto &[Attempt, Task] : Tasks)
    Free -= Task.Accelerators;
  return Free;
}

int worker_model::runsOf(const job_id &Job) const {
  const auto Found = Runs.find(Job);
  return Found == Runs.end() ? 0 : Found->second;
}

worker_answer worker_model::refuse(std::string Reason) const {
  return {false, HighestEpoch, std::move(Reason)};
}

bool worker_model::admit(epoch Epoch) {
  if (Epoch < HighestEpoch)
    return false;
  HighestEpoch = Epoch;
  return true;
}

void worker_model::beginRun(const attempt_id &Attempt, held_task &Task,
                            instant Now) {
  ++Runs[Attempt.Job];
  Task.State = task_state::Running;
  Task.RunningSince = Now;
  const auto Saved = Checkpoints->find(Attempt.Job);
  if (Saved != Checkpoints->end())
    Task.Progress = std::min(Saved->second, Task.RunTime);
  if (Faults.FailsEverything)
    Task.State = task_state::Failed;
}

milliseconds worker_model::progressOf(const held_task &Task,
                                      instant Now) const {
  if (Task.State != task_state::Running)
    return Task.Progress;
  const milliseconds Done =
      (Now - Task.RunningSince) * Task.SpeedPercent / FullSpeed;
  return std::min(Task.RunTime, Task.Progress + Done);
}

} // namespace galenastage::standin
