#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>
#include <tuple>

namespace galenastage::batch {
namespace detail {

/// Estimated length of the longest chain of steps that isn't done.
milliseconds remainingChain(const job_spec &Job,
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
    Work += weigh(Step.Needs) * Step.Count *
            std::chrono::duration<double>(Step.Estimate).count();
  return Work;
}

namespace {

constexpr int WholePercent = 100;
constexpr double RestoreSeconds = 0.1; // to resume from a checkpoint

wall_instant objective(const job_state &Job, int Occurrence) {
  const double Stretched =
      static_cast<double>(Job.Chain.count()) * Job.Queue.StretchFactor;
  return dueTime(Job.Spec, Occurrence) +
         milliseconds(static_cast<std::int64_t>(Stretched)) +
         Job.Queue.TargetDuration;
}

/// Urgent first; then what can still meet its objective, the tightest first;
/// then what is late, the smallest first.
bool goesBefore(const waiting_step &Left, const waiting_step &Right) {
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

std::vector<waiting_step> event_run::listWaiting() {
  std::vector<waiting_step> Waiting;
  for (auto &[Id, Job] : State.Jobs)
    if (!isFinal(Job.Progress.Phase))
      listWaitingOf(Job, Waiting);
  std::ranges::sort(Waiting, goesBefore);
  return Waiting;
}

void event_run::listWaitingOf(job_state &Job,
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
          objective(Job, Number) - remainingChain(Job.Spec, &Occurrence);
      const unit_name First{Job.Spec.Id, Number, Step, Ready.front()};
      Waiting.push_back({First, std::move(Ready), Job.Queue.Priority,
                         WallNow > LatestStart, LatestStart, Job.Work});
    }
  }
}

resources event_run::mostFree(const service_id &Service) const {
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

void event_run::placeWaiting() {
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
    // Most steps of a full system end here, without a look at each executor.
    const bool HasRoom = Most->second.covers(heldBy(Step));
    if (!HasRoom && Job.Queue.Priority != 0)
      continue;
    const std::size_t Started = Out.size();
    placeStep(Waiting);
    if (Out.size() != Started)
      Most->second = mostFree(Service);
  }
}

/// The units of a step are alike: what doesn't fit once won't fit again.
void event_run::placeStep(const waiting_step &Waiting) {
  std::vector<room> Rooms = listRooms(Waiting.First, false);
  unit_name Unit = Waiting.First;
  for (int Number : Waiting.Units) {
    Unit.Unit = Number;
    if (!place(Unit, Rooms))
      return;
  }
}

bool event_run::isUsable(const executor_state &Executor,
                         const service_id &Service) const {
  return Executor.IsListed && Executor.IsSettled && !Executor.IsUnanswered &&
         !Executor.Report.IsDraining && Executor.Report.Service == Service &&
         !State.Evacuated.contains(Executor.Report.DataCentre);
}

bool event_run::isEligible(const executor_state &Executor, const job_state &Job,
                           const step_spec &Step) const {
  if (!isUsable(Executor, Job.Queue.Service) || Executor.IsStalled)
    return false;
  if (!Step.Requirement.empty() && !Executor.Report.hasLabel(Step.Requirement))
    return false;
  const bool IsProbe = Now >= Executor.Health.ProbeAt && Executor.Runs.empty();
  return !Executor.Health.IsQuarantined || IsProbe;
}

/// Tasks of the unit's step on the executor, those that plans promise included.
int event_run::countRunsOfStep(const executor_state &Executor,
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

/// Room for tasks of the unit's step. IsEmpty: as if nothing ran anywhere.
std::vector<room> event_run::listRooms(const unit_name &Unit,
                                       bool IsEmpty) const {
  const job_state &Job = State.Jobs.at(Unit.Job);
  const step_spec &Step = Job.Spec.Steps[Unit.Step];
  const std::set<executor_id> &Avoided =
      Job.Units.at(Unit.Occurrence)[Unit.Step][Unit.Unit].Avoided;
  // Another failure would fail the job, also if the executor is at fault.
  const int Failures = Job.Progress.Occurrences.at(Unit.Occurrence)
                           .Steps[Unit.Step]
                           .Units[Unit.Unit]
                           .Failures;
  const bool IsLastTry = Failures > 0 && Failures + 1 >= Job.Queue.MaxAttempts;
  std::vector<room> Rooms;
  std::vector<room> AvoidedRooms;
  for (const auto &[Id, Executor] : State.Executors) {
    if (!isEligible(Executor, Job, Step))
      continue;
    room Room{Id,
              Executor.Report.Rack,
              Executor.Report.Capacity,
              std::numeric_limits<int>::max(),
              {}};
    if (!IsEmpty)
      Room.Free = Room.Free - Executor.Used - Executor.Reserved;
    if (Step.MaxPerExecutor > 0)
      Room.MoreAllowed =
          Step.MaxPerExecutor - (IsEmpty ? 0 : countRunsOfStep(Executor, Unit));
    const bool IsSuspect = !Executor.Health.FailedJobs.empty();
    const bool IsAvoided = Avoided.contains(Id) || (IsLastTry && IsSuspect);
    (IsAvoided ? AvoidedRooms : Rooms).push_back(std::move(Room));
  }
  // When nothing better is left, a task may go anywhere again.
  return Rooms.empty() ? AvoidedRooms : Rooms;
}

int event_run::percentInUse(const service_id &Service) const {
  int Used = 0;
  int Capacity = 0;
  for (const auto &[Id, Executor] : State.Executors)
    if (Executor.Report.Service == Service && Executor.IsListed) {
      Used += Executor.Used.Accelerators;
      Capacity += Executor.Report.Capacity.Accelerators;
    }
  return Capacity == 0 ? WholePercent : WholePercent * Used / Capacity;
}

bool event_run::place(const unit_name &Unit, std::vector<room> &Rooms) {
  job_state &Job = State.Jobs.at(Unit.Job);
  const step_spec &Step = Job.Spec.Steps[Unit.Step];
  placement_ask Ask{heldBy(Step), countTasks(Step), Step.IsRackLocal,
                    Step.Affinity};

  // In the rack of its data, or in one rack, it takes a third of the time.
  const bool IsPicky = Step.IsRackLocal || !Step.Affinity.isEmpty();
  const unit_state &Known = unitState(Job, Unit);
  const bool HasWaited = Now - Known.Ready >= State.Settings.SpreadDelay;
  bool MayRelax = HasWaited && percentInUse(Job.Queue.Service) <
                                   State.Settings.SpreadBelowPercent;

  std::optional<placement_choice> Choice;
  const auto TryIn = [&](const std::vector<room> &Where) {
    if (Ask.Count > 1) {
      Choice = placeInFreeRoom(Ask, Where);
    } else if (const room *Room = findTightest(Ask, Where)) {
      Choice = placement_choice{{Room->Executor}, {}};
    }
  };
  const auto InRack = [&](std::vector<room> From) {
    std::erase_if(From, [&](const room &Room) {
      return !Step.Affinity.isEmpty() && Room.Rack != Step.Affinity;
    });
    return From;
  };
  if (IsPicky)
    TryIn(InRack(Rooms));
  if (IsPicky && !Choice && !MayRelax) {
    const std::vector<room> Empty = InRack(listRooms(Unit, true));
    MayRelax = !placeInFreeRoom(Ask, Empty); // it would never fit there
  }
  if (!Choice && placeReclaiming(Unit, Ask)) {
    Rooms = listRooms(Unit, false);
    return true;
  }
  if (!Choice && (!IsPicky || MayRelax)) {
    TryIn(Rooms);
    Ask.NeedsOneRack = false;
    if (!Choice)
      TryIn(Rooms);
  }
  if (!Choice)
    return false;
  startUnit(Unit, Choice->Executors);
  for (const executor_id &Id : Choice->Executors)
    for (room &Room : Rooms)
      if (Room.Executor == Id) {
        Room.Free -= Ask.Needs;
        --Room.MoreAllowed;
      }
  return true;
}

/// Whether the unit is within what its organisation is guaranteed.
bool event_run::mayReclaim(const job_state &Job,
                           const placement_ask &Ask) const {
  if (Job.Queue.Priority != 0)
    return false;
  const organisation_config *Organisation =
      State.Config.findOrganisation(Job.Spec.Organisation);
  return Organisation && countGuaranteedUse(State, Organisation->Name) +
                                 Ask.Needs.Accelerators * Ask.Count <=
                             Organisation->GuaranteedAccelerators;
}

/// Makes room for a guaranteed unit by stopping work of lower priority. True
/// when a plan was made.
bool event_run::placeReclaiming(const unit_name &Unit,
                                const placement_ask &Ask) {
  const job_state &Job = State.Jobs.at(Unit.Job);
  const step_spec &Step = Job.Spec.Steps[Unit.Step];
  if (!mayReclaim(Job, Ask))
    return false;
  std::vector<room> Rooms = listRooms(Unit, false);
  std::map<unit_name, int> Groups;
  std::vector<unit_name> GroupNames;
  for (room &Room : Rooms) {
    const executor_state &Executor = State.Executors.at(Room.Executor);
    for (const auto &[Name, Run] : Executor.Runs) {
      const auto Owner = State.Jobs.find(Name.Task.Job);
      const bool MayStop = Owner != State.Jobs.end() &&
                           Owner->second.Queue.Priority > 0 &&
                           Run.Phase != run_phase::Stopping;
      if (!MayStop)
        continue;
      const step_spec &Other = Owner->second.Spec.Steps[Name.Task.Step];
      if (Other.IsLongRunning)
        continue; // its clients are being served
      const unit_name Victim = unitNameOf(Owner->second, Name.Task);
      const auto [Item, IsNew] =
          Groups.try_emplace(Victim, static_cast<int>(GroupNames.size()));
      if (IsNew)
        GroupNames.push_back(Victim);
      const double Elapsed =
          std::chrono::duration<double>(Now - Run.Ordered).count();
      // A stop saves a checkpoint; only the restore is lost.
      const double Unsaved =
          Other.IsCheckpointing ? std::min(Elapsed, RestoreSeconds) : Elapsed;
      Room.Stoppable.push_back(
          {Item->second, Run.Needs,
           Unsaved * weigh(Run.Needs) * countTasks(Other)});
    }
  }
  std::vector<room> Preferred = Rooms;
  std::erase_if(Preferred, [&](const room &Room) {
    return !Step.Affinity.isEmpty() && Room.Rack != Step.Affinity;
  });
  auto Choice = placeByStopping(Ask, Preferred);
  if (!Choice) {
    placement_ask Relaxed = Ask;
    Relaxed.NeedsOneRack = false;
    Choice = placeByStopping(Relaxed, Rooms);
  }
  if (!Choice)
    return false;
  if (Choice->StoppedGroups.empty()) {
    startUnit(Unit, Choice->Executors);
    return true;
  }
  for (int Group : Choice->StoppedGroups)
    stopUnit(State.Jobs.at(GroupNames[Group].Job), GroupNames[Group]);
  for (const executor_id &Id : Choice->Executors)
    State.Executors.at(Id).Reserved += Ask.Needs;
  log(events::RoomReclaimed,
      {{"job", Unit.Job.Value},
       {"organisation", Job.Spec.Organisation.Value},
       {"stopped", std::to_string(Choice->StoppedGroups.size())},
       {"accelerators", std::to_string(Ask.Needs.Accelerators * Ask.Count)}});
  State.Plans[Unit] = {std::move(Choice->Executors), Now};
  return true;
}

void event_run::dropPlan(const unit_name &Unit) {
  const auto Plan = State.Plans.find(Unit);
  const auto Job = State.Jobs.find(Unit.Job);
  if (Plan == State.Plans.end())
    return;
  if (Job != State.Jobs.end()) {
    const resources Needs = heldBy(Job->second.Spec.Steps[Unit.Step]);
    for (const executor_id &Id : Plan->second.Executors)
      if (const auto Found = State.Executors.find(Id);
          Found != State.Executors.end())
        Found->second.Reserved -= Needs;
  }
  State.Plans.erase(Plan);
}

/// Starts units whose room has become free, and gives up plans that can't.
void event_run::advancePlans() {
  std::vector<unit_name> Units;
  for (const auto &[Unit, Plan] : State.Plans)
    Units.push_back(Unit);
  for (const unit_name &Unit : Units) {
    const reclaim_plan Plan = State.Plans.at(Unit);
    const job_state &Job = State.Jobs.at(Unit.Job);
    const step_spec &Step = Job.Spec.Steps[Unit.Step];
    bool IsPossible = Now - Plan.Made < State.Settings.PlanLife;
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
      IsFree = IsFree && Free.covers(heldBy(Step) * Count);
    }
    if (IsPossible && !IsFree)
      continue;
    dropPlan(Unit);
    if (IsPossible)
      startUnit(Unit, Plan.Executors);
  }
}

void event_run::startUnit(const unit_name &Unit,
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
