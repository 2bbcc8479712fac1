// Tasks that crash the executors that start them.

#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>

namespace galenastage::batch::detail {
namespace {

// With time for an instance that handles the answer late.
constexpr milliseconds MaxAnswerDelay = 2 * OrderTimeout;

/// What is known of the run's beginning.
std::string_view nameBeginning(const run_state &Run) {
  if (Run.IsListed)
    return "listed";
  return Run.IsAccepted ? "accepted" : "unknown";
}

/// The task's place in what is stored for each task of its unit.
std::size_t numberInUnit(const step_spec &Step, const task_name &Task) {
  return Step.IsGang ? static_cast<std::size_t>(Task.Index) : 0;
}

} // namespace

bool event_handler::hasOutlived(const executor_state &Executor,
                                const run_state &Run, milliseconds Life) const {
  const bool HasBegun = Run.IsListed || Run.IsAccepted;
  return HasBegun && Executor.LastAlive - Run.Ordered >= Life;
}

void event_handler::noteSilence(const executor_state &Executor) {
  constexpr milliseconds KeepFor{30'000}; // a crash is known long before
  executor_silence Silence{
      Executor.Report.Id, std::min(Executor.LastAlive, Now), Now, {}};
  for (const auto &[Name, Run] : Executor.Runs)
    Silence.Jobs.insert(Name.Task.Job);
  State.Silences.push_back(std::move(Silence));
  while (Now - State.Silences.front().Until > KeepFor)
    State.Silences.pop_front();
}

bool event_handler::isOutage(const executor_state &Executor,
                             const job_id &Job) const {
  const auto Own =
      std::ranges::find_if(State.Silences.rbegin(), State.Silences.rend(),
                           [&](const executor_silence &Silence) {
                             return Silence.Executor == Executor.Report.Id;
                           });
  if (Own == State.Silences.rend())
    return false;
  const milliseconds Window = State.Settings.Crashes.OutageWindow;
  std::set<executor_id> Others; // one may have fallen silent several times
  for (const executor_silence &Other : State.Silences) {
    const bool IsTogether =
        Other.From <= Own->Until + Window && Own->From <= Other.Until + Window;
    if (Other.Executor != Own->Executor && !Other.Jobs.contains(Job) &&
        IsTogether)
      Others.insert(Other.Executor);
  }
  return std::ssize(Others) >= State.Settings.Crashes.OutageExecutors;
}

std::vector<task_name> event_handler::noteCrash(executor_state &Executor,
                                                run_loss Cause) {
  std::vector<task_name> GivenUp;
  for (auto &[Name, Run] : Executor.Runs) {
    if (Run.Phase == run_phase::Recording)
      continue; // its start was never ordered
    if (Run.IsOrphan)
      continue;
    // Answers may overtake each other: this one may still be a refusal.
    if (isStartAwaited(Run) && Cause != run_loss::LeaseExpired) {
      Run.HasLostLife = Cause == run_loss::Restarted;
      continue;
    }
    if (judgeCrash(Executor, Name, Cause))
      GivenUp.push_back(Name.Task);
  }
  return GivenUp;
}

bool event_handler::isStartAwaited(const run_state &Run) const {
  return Run.IsAwaited && !Run.IsListed && Now - Run.Ordered < MaxAnswerDelay;
}

bool event_handler::judgeCrash(const executor_state &Executor,
                               const run_name &Name, run_loss Cause) {
  const run_state &Run = Executor.Runs.at(Name);
  const bool IsOutlived =
      hasOutlived(Executor, Run, State.Settings.Crashes.Probation);
  const bool IsPartOfOutage = isOutage(Executor, Name.Task.Job);
  const bool HasLeft = Executor.Report.IsDraining; // as announced
  if (HasLeft || (IsOutlived && IsPartOfOutage)) {
    noteCrashOf(Name);
    return false;
  }
  const bool IsBlamed = Cause != run_loss::LeaseExpired && !Run.IsInherited &&
                        !IsOutlived && !IsPartOfOutage;
  return countCrash(Executor, Name, Cause, IsBlamed);
}

bool event_handler::noteCrashOf(const run_name &Run) {
  const auto Found = State.Jobs.find(Run.Task.Job);
  if (Found == State.Jobs.end() || isFinal(Found->second.Progress.Phase))
    return false;
  job_state &Job = Found->second;
  unit_progress *Progress = findProgress(unitNameOf(Job, Run.Task));
  if (!Progress || Progress->IsDone)
    return false;
  const step_spec &Step = Job.Spec.Steps[Run.Task.Step];
  Progress->Crashed.resize(static_cast<std::size_t>(countTasks(Step)));
  if (!Progress->Crashed[numberInUnit(Step, Run.Task)].add(Run.Attempt))
    return false;
  queueSave(Job);
  return true;
}

bool event_handler::countCrash(const executor_state &Executor,
                               const run_name &Run, run_loss Cause,
                               bool IsBlamed) {
  if (!noteCrashOf(Run))
    return false;
  job_state &Job = State.Jobs.at(Run.Task.Job);
  const unit_name Unit = unitNameOf(Job, Run.Task);
  unitState(Job, Unit).Crashes[Run] = IsBlamed;
  unit_progress *Progress = findProgress(Unit);
  const step_spec &Step = Job.Spec.Steps[Run.Task.Step];
  Progress->Crashes.resize(static_cast<std::size_t>(countTasks(Step)));
  crash_record &Record = Progress->Crashes[numberInUnit(Step, Run.Task)];
  ++Record.Crashes;
  Record.Blamed += IsBlamed ? 1 : 0;
  log(events::CrashCounted,
      {{"task", printTask(Run.Task)},
       {"attempt", std::to_string(Run.Attempt)},
       {"executor", Executor.Report.Id.Value},
       {"cause", std::string(name(Cause))},
       {"begun", std::string(nameBeginning(Executor.Runs.at(Run)))},
       {"blamed", IsBlamed ? "yes" : "no"},
       {"crashes", std::to_string(Record.Crashes)},
       {"blamed_for", std::to_string(Record.Blamed)}});
  return isGivenUp(Record, State.Settings.Crashes);
}

void event_handler::withdrawCrash(job_state &Job, const run_name &Run) {
  const unit_name Unit = unitNameOf(Job, Run.Task);
  std::map<run_name, bool> &Counted = unitState(Job, Unit).Crashes;
  const auto Found = Counted.find(Run);
  if (Found == Counted.end())
    return;
  const bool WasBlamed = Found->second;
  Counted.erase(Found);
  unit_progress *Progress = findProgress(Unit);
  if (!Progress || Progress->IsDone)
    return;
  const std::size_t Number =
      numberInUnit(Job.Spec.Steps[Run.Task.Step], Run.Task);
  crash_record &Record = Progress->Crashes[Number];
  --Record.Crashes;
  Record.Blamed -= WasBlamed ? 1 : 0;
  Progress->Crashed[Number].remove(Run.Attempt); // saved with the next start
  log(events::CrashWithdrawn, {{"task", printTask(Run.Task)},
                               {"attempt", std::to_string(Run.Attempt)},
                               {"crashes", std::to_string(Record.Crashes)},
                               {"blamed_for", std::to_string(Record.Blamed)}});
}

void event_handler::giveUp(const std::vector<task_name> &Tasks) {
  for (const task_name &Task : Tasks) {
    const auto Job = State.Jobs.find(Task.Job);
    if (Job == State.Jobs.end() || isFinal(Job->second.Progress.Phase))
      continue;
    const unit_progress &Progress =
        *findProgress(unitNameOf(Job->second, Task));
    const bool IsGang = Job->second.Spec.Steps[Task.Step].IsGang;
    const crash_record Record = Progress.crashesOf(IsGang ? Task.Index : 0);
    endJob(Job->second, job_phase::Failed,
           "executors crashed " + std::to_string(Record.Crashes) +
               " times under " + printTask(Task));
  }
}

/// Ends the probation of a listed run that has lived long enough.
void event_handler::updateProbation(executor_state &Executor,
                                    const run_name &Name) {
  const run_state &Run = Executor.Runs.at(Name);
  const crash_settings &Settings = State.Settings.Crashes;
  const auto Found = State.Jobs.find(Name.Task.Job);
  if (Found == State.Jobs.end() || Run.IsOrphan)
    return;
  job_state &Job = Found->second;
  if (Run.IsOnProbation && hasOutlived(Executor, Run, Settings.Probation))
    endProbation(Executor, Job, Name);
  unit_progress *Progress = findProgress(unitNameOf(Job, Name.Task));
  const bool IsOver = Progress && !Progress->Crashes.empty() &&
                      hasOutlived(Executor, Run, Settings.ForgetAfter);
  if (!IsOver)
    return;
  Progress->Crashes.clear();
  Progress->Crashed.clear();
  unitState(Job, unitNameOf(Job, Name.Task)).Crashes.clear();
  queueSave(Job);
}

void event_handler::endProbation(executor_state &Executor, job_state &Job,
                                 const run_name &Name) {
  Executor.Runs.at(Name).IsOnProbation = false;
  touch(Executor);
  State.NeedsPlacement = true;
  const unit_name Unit = unitNameOf(Job, Name.Task);
  const bool HasOthers = std::ranges::any_of(Job.Runs, [&](const auto &Item) {
    return unitNameOf(Job, Item.first.Task) == Unit &&
           State.Executors.at(Item.second).Runs.at(Item.first).IsOnProbation;
  });
  if (!HasOthers)
    State.Suspects.erase(Unit);
}

/// Limits how many executors suspects may crash at the same time.
bool event_handler::mayStartSuspect(const unit_name &Unit) const {
  constexpr int WholePercent = 100;
  const crash_settings &Settings = State.Settings.Crashes;
  const auto Listed = std::ranges::count_if(
      State.Executors, [](const auto &Item) { return Item.second.IsListed; });
  const auto Most = std::max<std::int64_t>(1, Settings.MaxSuspectShare *
                                                  Listed / WholePercent);
  const auto OfJob =
      std::ranges::count(State.Suspects, Unit.Job, &unit_name::Job);
  return std::ssize(State.Suspects) < Most && OfJob < Settings.MaxSuspectsOfJob;
}

} // namespace galenastage::batch::detail
