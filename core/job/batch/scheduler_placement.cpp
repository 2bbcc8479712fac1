#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>
#include <tuple>

namespace galenastage::batch {
namespace detail {

milliseconds remainingCriticalPath(const job_spec &Job,
                                   const occurrence_progress *Progress) {
  std::vector<milliseconds> Ends(Job.Steps.size());
  milliseconds Longest{0};
  for (std::size_t I = 0; I < Job.Steps.size(); ++I) {
    milliseconds Begin{0};
    for (int Earlier : Job.Steps[I].After)
      Begin = std::max(Begin, Ends[Earlier]);
    const bool IsDone = Progress && Progress->Steps[I].isDone();
    Ends[I] = Begin + (IsDone ? milliseconds(0) : Job.Steps[I].Estimate);
    Longest = std::max(Longest, Ends[I]);
  }
  return Longest;
}

double workOf(const job_spec &Job) {
  double Work = 0;
  for (const step_spec &Step : Job.Steps)
    Work += weightedCores(Step.Needs) * Step.Count *
            std::chrono::duration<double>(Step.Estimate).count();
  return Work;
}

namespace {

constexpr int WholePercent = 100;
constexpr double RestoreSeconds = 0.1; // time to resume from a checkpoint

wall_instant objective(const job_state &Job, int Occurrence) {
  const double Stretched =
      static_cast<double>(Job.CriticalPath.count()) * Job.Queue.StretchFactor;
  return dueTime(Job.Spec, Occurrence) +
         milliseconds(static_cast<std::int64_t>(Stretched)) +
         Job.Queue.TargetDuration;
}

/// Orders by priority, then steps that can still meet their objective by latest
/// start, then late steps by the work of their job, smallest first.
bool ranksBefore(const waiting_step &Left, const waiting_step &Right) {
  if (Left.Priority != Right.Priority)
    return Left.Priority < Right.Priority;
  if (Left.IsMissed != Right.IsMissed)
    return Right.IsMissed;
  if (Left.IsMissed && Left.Work != Right.Work)
    return Left.Work < Right.Work;
  return std::tie(Left.LatestStart, Left.First) <
         std::tie(Right.LatestStart, Right.First);
}

} // namespace

std::vector<waiting_step> event_handler::listWaiting() {
  std::vector<waiting_step> Waiting;
  for (auto &[Id, Job] : State.Jobs)
    if (!isFinal(Job.Progress.Phase))
      listWaitingOf(Job, Waiting);
  std::ranges::sort(Waiting, ranksBefore);
  return Waiting;
}

void event_handler::listWaitingOf(job_state &Job,
                                  std::vector<waiting_step> &Waiting) {
  for (const auto &[Number, Occurrence] : Job.Progress.Occurrences) {
    if (Occurrence.IsDone)
      continue;
    for (int Step = 0; Step < static_cast<int>(Job.Spec.Steps.size()); ++Step) {
      const auto &Units = Occurrence.Steps[Step].Units;
      std::vector<int> Ready;
      const bool MayStart = isUnblocked(Job.Spec, Occurrence, Step);
      for (int Unit = 0; MayStart && Unit < static_cast<int>(Units.size());
           ++Unit) {
        if (Units[Unit].IsDone)
          continue;
        unit_state &Known = unitState(Job, {Job.Spec.Id, Number, Step, Unit});
        if (Known.LiveRuns > 0 || Now < Known.NotBefore) {
          Known.Ready = {};
          continue;
        }
        if (Known.Ready == instant{})
          Known.Ready = Now;
        Ready.push_back(Unit);
      }
      std::erase_if(Ready, [&, Occurrence = Number](int Unit) {
        return State.Plans.contains({Job.Spec.Id, Occurrence, Step, Unit});
      });
      if (Ready.empty())
        continue;
      const wall_instant LatestStart =
          objective(Job, Number) - remainingCriticalPath(Job.Spec, &Occurrence);
      const unit_name First{Job.Spec.Id, Number, Step, Ready.front()};
      Waiting.push_back({First, std::move(Ready), Job.Queue.Priority,
                         WallNow > LatestStart, LatestStart, Job.Work});
    }
  }
}

resources event_handler::mostFree(const service_id &Service) const {
  resources Most;
  for (const auto &[Id, Executor] : State.Executors) {
    if (!isUsable(Executor, Service))
      continue;
    const resources Free =
        Executor.Report.Capacity - Executor.Used - Executor.Reserved;
    Most.MilliCpu = std::max(Most.MilliCpu, Free.MilliCpu);
    Most.MemoryMb = std::max(Most.MemoryMb, Free.MemoryMb);
    Most.Accelerators = std::max(Most.Accelerators, Free.Accelerators);
  }
  return Most;
}

void event_handler::placeWaiting() {
  if (!isLeading() || !State.IsRecovered)
    return;
  advancePlans();
  std::map<service_id, resources> Free;
  for (const waiting_step &Waiting : listWaiting()) {
    const job_state &Job = State.Jobs.at(Waiting.First.Job);
    const service_id &Service = Job.Queue.Service;
    const auto [Most, IsNew] = Free.try_emplace(Service);
    if (IsNew)
      Most->second = mostFree(Service);
    const step_spec &Step = Job.Spec.Steps[Waiting.First.Step];
    // Skips most steps of a full system without a scan of all executors.
    const bool HasCapacity = Most->second.covers(reservedResources(Step));
    if (!HasCapacity && Job.Queue.Priority != 0)
      continue;
    const std::size_t Started = Out.size();
    placeStep(Waiting);
    if (Out.size() != Started)
      Most->second = mostFree(Service);
  }
}

/// The units of a step are identical: when one doesn't fit, none of the others
/// does.
void event_handler::placeStep(const waiting_step &Waiting) {
  std::vector<candidate> Candidates = listCandidates(Waiting.First, false);
  unit_name Unit = Waiting.First;
  for (int Number : Waiting.Units) {
    Unit.Unit = Number;
    if (!place(Unit, Candidates))
      return;
  }
}

bool event_handler::isUsable(const executor_state &Executor,
                             const service_id &Service) const {
  return Executor.IsListed && Executor.HasAnsweredHold &&
         !Executor.IsUnresponsive && !Executor.Report.IsDraining &&
         Executor.Report.Service == Service &&
         !State.Evacuated.contains(Executor.Report.DataCentre);
}

bool event_handler::isEligible(const executor_state &Executor,
                               const job_state &Job,
                               const step_spec &Step) const {
  if (!isUsable(Executor, Job.Queue.Service) || Executor.IsStalled)
    return false;
  if (!Step.Requirement.empty() && !Executor.Report.hasLabel(Step.Requirement))
    return false;
  const bool IsProbe = Now >= Executor.Health.ProbeAt && Executor.Runs.empty();
  return !Executor.Health.IsQuarantined || IsProbe;
}

/// Tasks of the unit's step on the executor, including reclaim plans.
int event_handler::countRunsOfStep(const executor_state &Executor,
                                   const unit_name &Unit) const {
  const auto IsOfStep = [&](const auto &Name) {
    return Name.Job == Unit.Job && Name.Occurrence == Unit.Occurrence &&
           Name.Step == Unit.Step;
  };
  auto Count = std::ranges::count_if(Executor.Runs, [&](const auto &Item) {
    return IsOfStep(Item.first.Task);
  });
  for (const auto &[Name, Plan] : State.Plans)
    if (IsOfStep(Name))
      Count += std::ranges::count(Plan.Executors, Executor.Report.Id);
  return static_cast<int>(Count);
}

/// Executors for tasks of the unit's step. IsEmpty: with their full capacity.
std::vector<candidate> event_handler::listCandidates(const unit_name &Unit,
                                                     bool IsEmpty) const {
  const job_state &Job = State.Jobs.at(Unit.Job);
  const step_spec &Step = Job.Spec.Steps[Unit.Step];
  const std::set<executor_id> &Avoided =
      Job.Units.at(Unit.Occurrence)[Unit.Step][Unit.Unit].Avoided;
  // Another failure fails the job, even if the executor is the cause, so the
  // last attempt avoids executors where tasks failed since the last success.
  const int Failures = Job.Progress.Occurrences.at(Unit.Occurrence)
                           .Steps[Unit.Step]
                           .Units[Unit.Unit]
                           .Failures;
  const bool IsLastAttempt =
      Failures > 0 && Failures + 1 >= Job.Queue.MaxAttempts;
  std::vector<candidate> Candidates;
  std::vector<candidate> AvoidedCandidates;
  for (const auto &[Id, Executor] : State.Executors) {
    if (!isEligible(Executor, Job, Step))
      continue;
    candidate Candidate{Id,
                        Executor.Report.Rack,
                        Executor.Report.Capacity,
                        std::numeric_limits<int>::max(),
                        {}};
    if (!IsEmpty)
      Candidate.Free = Candidate.Free - Executor.Used - Executor.Reserved;
    if (Step.MaxPerExecutor > 0)
      Candidate.RemainingLimit =
          Step.MaxPerExecutor - (IsEmpty ? 0 : countRunsOfStep(Executor, Unit));
    const bool IsSuspect = !Executor.Health.FailedJobs.empty();
    const bool IsAvoided = Avoided.contains(Id) || (IsLastAttempt && IsSuspect);
    (IsAvoided ? AvoidedCandidates : Candidates)
        .push_back(std::move(Candidate));
  }
  // Avoided executors are better than none.
  return Candidates.empty() ? AvoidedCandidates : Candidates;
}

int event_handler::percentInUse(const service_id &Service) const {
  int Used = 0;
  int Capacity = 0;
  for (const auto &[Id, Executor] : State.Executors)
    if (Executor.Report.Service == Service && Executor.IsListed) {
      Used += Executor.Used.Accelerators;
      Capacity += Executor.Report.Capacity.Accelerators;
    }
  return Capacity == 0 ? WholePercent : WholePercent * Used / Capacity;
}

bool event_handler::place(const unit_name &Unit,
                          std::vector<candidate> &Candidates) {
  job_state &Job = State.Jobs.at(Unit.Job);
  const step_spec &Step = Job.Spec.Steps[Unit.Step];
  placement_request Request{reservedResources(Step), countTasks(Step),
                            Step.IsRackLocal, Step.Affinity};

  // The task takes a third of the time in the rack of its data, or when the
  // whole gang is in one rack.
  const bool HasRackPreference = Step.IsRackLocal || !Step.Affinity.isEmpty();
  const unit_state &Known = unitState(Job, Unit);
  const bool HasWaited = Now - Known.Ready >= State.Settings.SpreadDelay;
  bool MayRelax = HasWaited && percentInUse(Job.Queue.Service) <
                                   State.Settings.SpreadBelowPercent;

  std::optional<placement_choice> Choice;
  const auto TryIn = [&](const std::vector<candidate> &Where) {
    if (Request.Count > 1) {
      Choice = placeInFreeCapacity(Request, Where);
    } else if (const candidate *Candidate = findBestFit(Request, Where)) {
      Choice = placement_choice{{Candidate->Executor}, {}};
    }
  };
  const auto InRack = [&](std::vector<candidate> From) {
    std::erase_if(From, [&](const candidate &Candidate) {
      return !Step.Affinity.isEmpty() && Candidate.Rack != Step.Affinity;
    });
    return From;
  };
  if (HasRackPreference)
    TryIn(InRack(Candidates));
  if (HasRackPreference && !Choice && !MayRelax) {
    const std::vector<candidate> Empty = InRack(listCandidates(Unit, true));
    MayRelax = !placeInFreeCapacity(
        Request, Empty); // impossible even on empty executors
  }
  if (!Choice && placeReclaiming(Unit, Request)) {
    Candidates = listCandidates(Unit, false);
    return true;
  }
  if (!Choice && (!HasRackPreference || MayRelax)) {
    TryIn(Candidates);
    Request.NeedsOneRack = false;
    if (!Choice)
      TryIn(Candidates);
  }
  if (!Choice)
    return false;
  startUnit(Unit, Choice->Executors);
  for (const executor_id &Id : Choice->Executors)
    for (candidate &Candidate : Candidates)
      if (Candidate.Executor == Id) {
        Candidate.Free -= Request.Needs;
        --Candidate.RemainingLimit;
      }
  return true;
}

/// Whether the unit fits into the guarantee of the job's organisation.
bool event_handler::mayReclaim(const job_state &Job,
                               const placement_request &Request) const {
  if (Job.Queue.Priority != 0)
    return false;
  const organisation_config *Organisation =
      State.Config.findOrganisation(Job.Spec.Organisation);
  return Organisation && countGuaranteedUse(State, Organisation->Name) +
                                 Request.Needs.Accelerators * Request.Count <=
                             Organisation->GuaranteedAccelerators;
}

/// Preempts lower-priority runs for a guaranteed unit. True when it was started
/// or got a reclaim plan.
bool event_handler::placeReclaiming(const unit_name &Unit,
                                    const placement_request &Request) {
  const job_state &Job = State.Jobs.at(Unit.Job);
  const step_spec &Step = Job.Spec.Steps[Unit.Step];
  if (!mayReclaim(Job, Request))
    return false;
  std::vector<candidate> Candidates = listCandidates(Unit, false);
  std::map<unit_name, int> Groups;
  std::vector<unit_name> GroupNames;
  for (candidate &Candidate : Candidates) {
    const executor_state &Executor = State.Executors.at(Candidate.Executor);
    for (const auto &[Name, Run] : Executor.Runs) {
      const auto Owner = State.Jobs.find(Name.Task.Job);
      const bool MayStop = Owner != State.Jobs.end() &&
                           Owner->second.Queue.Priority > 0 &&
                           Run.Phase != run_phase::Stopping;
      if (!MayStop)
        continue;
      const step_spec &Other = Owner->second.Spec.Steps[Name.Task.Step];
      if (Other.IsLongRunning)
        continue; // it is serving requests
      const unit_name Victim = unitNameOf(Owner->second, Name.Task);
      const auto [Item, IsNew] =
          Groups.try_emplace(Victim, static_cast<int>(GroupNames.size()));
      if (IsNew)
        GroupNames.push_back(Victim);
      const double Elapsed =
          std::chrono::duration<double>(Now - Run.Ordered).count();
      // A stop saves a checkpoint, so only the time to restore is lost.
      const double Unsaved =
          Other.IsCheckpointing ? std::min(Elapsed, RestoreSeconds) : Elapsed;
      Candidate.Preemptible.push_back(
          {Item->second, Run.Needs,
           Unsaved * weightedCores(Run.Needs) * countTasks(Other)});
    }
  }
  std::vector<candidate> Preferred = Candidates;
  std::erase_if(Preferred, [&](const candidate &Candidate) {
    return !Step.Affinity.isEmpty() && Candidate.Rack != Step.Affinity;
  });
  auto Choice = placeByPreemption(Request, Preferred);
  if (!Choice) {
    placement_request Relaxed = Request;
    Relaxed.NeedsOneRack = false;
    Choice = placeByPreemption(Relaxed, Candidates);
  }
  if (!Choice)
    return false;
  if (Choice->PreemptedGroups.empty()) {
    startUnit(Unit, Choice->Executors);
    return true;
  }
  for (int Group : Choice->PreemptedGroups)
    stopUnit(State.Jobs.at(GroupNames[Group].Job), GroupNames[Group]);
  for (const executor_id &Id : Choice->Executors)
    State.Executors.at(Id).Reserved += Request.Needs;
  log(events::RoomReclaimed,
      {{"job", Unit.Job.Value},
       {"organisation", Job.Spec.Organisation.Value},
       {"stopped", std::to_string(Choice->PreemptedGroups.size())},
       {"accelerators",
        std::to_string(Request.Needs.Accelerators * Request.Count)}});
  State.Plans[Unit] = {std::move(Choice->Executors), Now};
  return true;
}

void event_handler::dropPlan(const unit_name &Unit) {
  const auto Plan = State.Plans.find(Unit);
  const auto Job = State.Jobs.find(Unit.Job);
  if (Plan == State.Plans.end())
    return;
  if (Job != State.Jobs.end()) {
    const resources Needs =
        reservedResources(Job->second.Spec.Steps[Unit.Step]);
    for (const executor_id &Id : Plan->second.Executors)
      if (const auto Found = State.Executors.find(Id);
          Found != State.Executors.end())
        Found->second.Reserved -= Needs;
  }
  State.Plans.erase(Plan);
}

/// Starts units whose planned capacity has become free and drops plans that
/// timed out or lost an executor.
void event_handler::advancePlans() {
  std::vector<unit_name> Units;
  for (const auto &[Unit, Plan] : State.Plans)
    Units.push_back(Unit);
  for (const unit_name &Unit : Units) {
    const reclaim_plan Plan = State.Plans.at(Unit);
    const job_state &Job = State.Jobs.at(Unit.Job);
    const step_spec &Step = Job.Spec.Steps[Unit.Step];
    bool IsPossible = Now - Plan.CreatedAt < State.Settings.PlanTimeout;
    bool IsFree = true;
    std::map<executor_id, int> Tasks;
    for (const executor_id &Id : Plan.Executors)
      ++Tasks[Id];
    for (const auto &[Id, Count] : Tasks) {
      const auto Found = State.Executors.find(Id);
      if (Found == State.Executors.end() ||
          !isEligible(Found->second, Job, Step)) {
        IsPossible = false;
        break;
      }
      const resources Free = Found->second.Report.Capacity - Found->second.Used;
      IsFree = IsFree && Free.covers(reservedResources(Step) * Count);
    }
    if (IsPossible && !IsFree)
      continue;
    dropPlan(Unit);
    if (IsPossible)
      startUnit(Unit, Plan.Executors);
  }
}

void event_handler::startUnit(const unit_name &Unit,
                              const std::vector<executor_id> &Executors) {
  job_state &Job = State.Jobs.at(Unit.Job);
  const step_spec &Step = Job.Spec.Steps[Unit.Step];
  unit_progress &Progress = *findProgress(Unit);
  unit_state &Known = unitState(Job, Unit);
  ++Progress.Attempts;
  const milliseconds Waited = Now - Known.Ready;
  for (std::size_t I = 0; I < Executors.size(); ++I) {
    const int Index = Step.IsGang ? static_cast<int>(I) : Unit.Unit;
    const run_name Run{{Unit.Job, Unit.Occurrence, Unit.Step, Index},
                       Progress.Attempts};
    executor_state &Executor = State.Executors.at(Executors[I]);
    addRun(Executor, Job, Run, run_phase::Recording);
  }
  Progress.Placed = Executors;
  if (Job.Progress.Phase == job_phase::Queued)
    Job.Progress.Phase = job_phase::Running;
  queueSave(Job);
  log(events::UnitStarted,
      {{"task", printTask({Unit.Job, Unit.Occurrence, Unit.Step, Unit.Unit})},
       {"attempt", std::to_string(Progress.Attempts)},
       {"executors", std::to_string(Executors.size())},
       {"first", Executors.front().Value},
       {"waited_ms", std::to_string(Waited.count())},
       {"priority", std::to_string(Job.Queue.Priority)}});
}

} // namespace detail

int countGuaranteedUse(const scheduler_state &State,
                       const organisation_id &Organisation) {
  int Use = 0;
  for (const auto &[Id, Job] : State.Jobs) {
    if (Job.Queue.Priority != 0 || Job.Spec.Organisation != Organisation)
      continue;
    for (const auto &[Run, Executor] : Job.Runs)
      Use += Job.Spec.Steps[Run.Task.Step].Needs.Accelerators;
  }
  for (const auto &[Unit, Plan] : State.Plans) {
    const auto Job = State.Jobs.find(Unit.Job);
    if (Job != State.Jobs.end() &&
        Job->second.Spec.Organisation == Organisation)
      Use += Job->second.Spec.Steps[Unit.Step].Needs.Accelerators *
             static_cast<int>(Plan.Executors.size());
  }
  return Use;
}

} // namespace galenastage::batch
