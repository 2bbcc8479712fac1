// Guaranteed work takes back capacity that work of lower priority uses.

#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>

namespace galenastage::batch {
namespace detail {
namespace {

/// Null when nothing is known of the unit.
const unit_state *findUnit(const job_state &Job, const unit_name &Unit) {
  const auto Found = Job.Units.find(Unit.Occurrence);
  return Found == Job.Units.end() || Found->second.empty()
             ? nullptr
             : &Found->second[Unit.Step][Unit.Unit];
}

} // namespace

/// Racks that could hold the unit (or, unless IsOneRack, a part of it) once
/// their preemptible runs are stopped: those with the most free capacity first,
/// where the least has to be stopped.
std::vector<const indexed_rack *>
event_handler::listReclaimRacks(const placement_query &Query,
                                const placement_request &Request,
                                bool IsOneRack) const {
  std::vector<const indexed_rack *> Racks;
  std::int64_t Fits = 0;
  Query.Service->fromLargest([&](const indexed_rack &Rack) {
    const int InRack =
        countFits(Rack.Free + Rack.Preemptible, Request.Needs, Request.Count);
    if (InRack == 0 || (IsOneRack && InRack < Request.Count))
      return true;
    Racks.push_back(&Rack);
    Fits += InRack;
    // Fragments on single executors make the sum of a rack too optimistic.
    constexpr int SpareShare = 3;
    return IsOneRack
               ? static_cast<int>(Racks.size()) < State.Settings.MaxReclaimRacks
               : Fits < std::int64_t{SpareShare} * Request.Count;
  });
  return Racks;
}

bool event_handler::isEnding(const run_name &Name, const run_state &Run) const {
  const auto Job = State.Jobs.find(Name.Task.Job);
  // It isn't known when runs of an earlier leader began.
  return Run.Phase == run_phase::Active && Run.IsAccepted &&
         Job != State.Jobs.end() &&
         remainingTime(Job->second, Name, Run) <= State.Settings.StopTimeout;
}

bool event_handler::isStopDue(const run_state &Run) const {
  return Run.Phase == run_phase::Stopping &&
         Now - Run.StopOrdered <= State.Settings.StopTimeout;
}

double event_handler::reclaimPrice(const run_name &Name,
                                   const run_state &Run) const {
  const victim_settings &Settings = State.Settings.Headroom.Victims;
  victim Victim{Run.Phase != run_phase::Recording, Run.IsCheckpointing,
                Now - Run.Ordered, weightedCores(Run.Needs) * Run.GangSize, 0};
  if (!State.Settings.Headroom.IsEnabled)
    return lossOf(Victim, State.Settings.RestoreTime);
  if (const auto Job = State.Jobs.find(Name.Task.Job); Job != State.Jobs.end())
    if (const unit_state *Unit =
            findUnit(Job->second, unitNameOf(Job->second, Name.Task)))
      Victim.Stops = Unit->Stops;
  return priceOf(Victim, State.Settings.RestoreTime, State.Settings.StopTimeout,
                 Settings);
}

/// Lists the runs on the executor that may be stopped for guaranteed work.
/// Capacity of runs that end soon anyway counts as free, less what plans have
/// reserved of it.
void event_handler::addPreemptible(candidate &Candidate,
                                   std::map<unit_name, int> &Groups) const {
  const executor_state &Executor = State.Executors.at(Candidate.Executor);
  // Other work takes the capacity outside of what is kept again after use.
  constexpr double OutsideFactor = 2;
  const bool IsEnabled = State.Settings.Headroom.IsEnabled;
  if (IsEnabled)
    Candidate.Free =
        Executor.Report.Capacity - Executor.Used - Executor.Reserved;
  for (const auto &[Name, Run] : Executor.Runs) {
    const bool IsPreemptible = isPreemptible(Run);
    const bool EndsSoon =
        IsEnabled && (isStopDue(Run) || (IsPreemptible && isEnding(Name, Run)));
    if (EndsSoon) {
      Candidate.Free += Run.Needs;
      continue;
    }
    if (!IsPreemptible)
      continue;
    const unit_name Victim{Name.Task.Job, Name.Task.Occurrence, Name.Task.Step,
                           Run.IsOfGang ? 0 : Name.Task.Index};
    const auto [Item, IsNew] =
        Groups.try_emplace(Victim, static_cast<int>(Groups.size()));
    Candidate.Preemptible.push_back(
        {Item->second, Run.Needs,
         reclaimPrice(Name, Run) * (Executor.IsKept ? 1 : OutsideFactor) +
             priceBeyond(Name, Run)});
  }
}

/// Searches for room in the preferred rack, then in any one rack, then across
/// racks. Groups gets the units that may be stopped, with their numbers.
std::optional<placement_choice>
event_handler::chooseReclaim(const placement_query &Query,
                             const placement_request &Request,
                             std::map<unit_name, int> &Groups) {
  const auto Try = [&](bool NeedsOneRack,
                       const std::vector<const indexed_rack *> &Racks) {
    std::vector<candidate> Candidates;
    for (const indexed_rack *Rack : Racks)
      for (candidate &Candidate : listCandidates(Query, *Rack)) {
        addPreemptible(Candidate, Groups);
        Candidates.push_back(std::move(Candidate));
      }
    placement_request Wanted = Request;
    Wanted.NeedsOneRack = NeedsOneRack;
    return placeByPreemption(Wanted, Candidates);
  };
  std::optional<placement_choice> Choice;
  if (!Query.Step.Affinity.isEmpty())
    if (const indexed_rack *Rack = Query.Service->findRack(Query.Step.Affinity))
      Choice = Try(true, {Rack});
  if (!Choice)
    Choice = Try(true, listReclaimRacks(Query, Request, true));
  if (!Choice)
    Choice = Try(false, listReclaimRacks(Query, Request, false));
  return Choice;
}

bool event_handler::isFreeNow(const placement_choice &Choice,
                              const resources &Needs) const {
  std::map<executor_id, int> Tasks;
  for (const executor_id &Id : Choice.Executors)
    ++Tasks[Id];
  return std::ranges::all_of(Tasks, [&](const auto &Item) {
    const executor_state &Executor = State.Executors.at(Item.first);
    return (Executor.Report.Capacity - Executor.Used - Executor.Reserved)
        .covers(Needs * Item.second);
  });
}

double event_handler::lossOfVictim(const unit_name &Victim) const {
  const job_state &Job = State.Jobs.at(Victim.Job);
  double Loss = 0;
  for (const auto &[Name, Id] : Job.Runs)
    if (unitNameOf(Job, Name.Task) == Victim) {
      const run_state &Run = State.Executors.at(Id).Runs.at(Name);
      Loss += lossOf({Run.Phase != run_phase::Recording, Run.IsCheckpointing,
                      Now - Run.Ordered, weightedCores(Run.Needs), 0},
                     State.Settings.RestoreTime);
    }
  return Loss;
}

void event_handler::stopVictim(const unit_name &Victim,
                               const unit_name &Urgent) {
  job_state &Job = State.Jobs.at(Victim.Job);
  unit_state &Known = unitState(Job, Victim);
  const headroom_settings &Settings = State.Settings.Headroom;
  const double Loss = lossOfVictim(Victim);
  ++Known.Stops;
  if (Settings.IsEnabled)
    Known.PausedUntil = Now + pauseAfter(Known.Stops, Settings.Victims);
  log(events::UnitStopped,
      {{"task",
        printTask({Victim.Job, Victim.Occurrence, Victim.Step, Victim.Unit})},
       {"loss", std::to_string(static_cast<std::int64_t>(Loss))},
       {"stops", std::to_string(Known.Stops)},
       {"for_job", Urgent.Job.Value}});
  stopUnit(Job, Victim);
}

bool event_handler::isPaused(const unit_name &Unit) {
  const job_state &Job = State.Jobs.at(Unit.Job);
  const unit_state *Known = findUnit(Job, Unit);
  if (!Known || Now >= Known->PausedUntil)
    return false;
  const indexed_service *Service = State.Capacity.find(Job.Queue.Service);
  return Service && Service->percentInUse() >=
                        State.Settings.Headroom.Victims.PauseAbovePercent;
}

/// Stops the chosen groups and reserves their capacity for the unit.
void event_handler::planReclaim(const placement_query &Query,
                                const placement_request &Request,
                                const placement_choice &Choice,
                                const std::map<unit_name, int> &Groups) {
  const unit_name Unit = Query.Unit;
  for (const auto &[Victim, Number] : Groups)
    if (std::ranges::count(Choice.PreemptedGroups, Number) > 0)
      stopVictim(Victim, Unit);
  reclaim_plan Plan{Choice.Executors, Now, {}, {}};
  for (const executor_id &Id :
       std::set(Choice.Executors.begin(), Choice.Executors.end()))
    for (const auto &[Name, Run] : State.Executors.at(Id).Runs)
      if (isPreemptible(Run) && isEnding(Name, Run))
        Plan.Ending.emplace_back(Id, Name);
  const scheduler_settings &Settings = State.Settings;
  const milliseconds Wait =
      Settings.StopTimeout * (Plan.Ending.empty() ? 1 : 2) + Settings.PlanGrace;
  Plan.Until =
      Now + (Settings.Headroom.IsEnabled ? std::min(Wait, Settings.PlanTimeout)
                                         : Settings.PlanTimeout);
  log(events::RoomReclaimed,
      {{"job", Unit.Job.Value},
       {"organisation", Query.Job.Spec.Organisation.Value},
       {"stopped", std::to_string(Choice.PreemptedGroups.size())},
       {"accelerators",
        std::to_string(Request.Needs.Accelerators * Request.Count)}});
  noteUrgentVictims(Unit, Choice, Groups);
  addPlan(Unit, std::move(Plan));
}

void event_handler::addPlan(const unit_name &Unit, reclaim_plan Plan) {
  job_state &Job = State.Jobs.at(Unit.Job);
  const resources Needs = reservedResources(Job.Spec.Steps[Unit.Step]);
  for (const executor_id &Id : Plan.Executors) {
    executor_state &Executor = State.Executors.at(Id);
    Executor.Reserved += Needs;
    touch(Executor);
  }
  const auto Count = static_cast<int>(Plan.Executors.size());
  addUsage(Job.Spec.Organisation, Needs, Count);
  noteUrgentNeeds(Job, Needs, Count);
  unitState(Job, Unit).Planned = Plan.CreatedAt;
  State.Plans[Unit] = std::move(Plan);
  changeUrgentUse(Job, Unit, Count);
  touch(Job);
}

bool event_handler::startElsewhere(const unit_name &Unit) {
  if (!State.Settings.Headroom.IsEnabled)
    return false;
  const reclaim_plan Plan = State.Plans.at(Unit);
  dropPlan(Unit);
  refreshIndex();
  const placement_query Query = queryFor(Unit);
  const step_spec &Step = Query.Step;
  const placement_request Request{reservedResources(Step), countTasks(Step),
                                  Step.IsRackLocal, Step.Affinity};
  std::optional<placement_choice> Choice;
  if (Query.Service)
    Choice = Step.IsRackLocal || !Step.Affinity.isEmpty()
                 ? placeWherePreferred(Query, Request)
                 : placeAnywhere(Query, Request);
  if (Choice)
    startUnit(Unit, Choice->Executors);
  else
    addPlan(Unit, Plan);
  return Choice.has_value();
}

void event_handler::stopLate(const unit_name &Unit) {
  reclaim_plan &Plan = State.Plans.at(Unit);
  const bool IsLate = Now - Plan.CreatedAt >= State.Settings.StopTimeout;
  if (!IsLate || !State.Settings.Headroom.IsEnabled)
    return;
  for (const auto &[Id, Name] : std::exchange(Plan.Ending, {})) {
    const executor_state &Executor = State.Executors.at(Id);
    const auto Run = Executor.Runs.find(Name);
    const auto Job = State.Jobs.find(Name.Task.Job);
    const bool IsNeeded =
        Run != Executor.Runs.end() && isPreemptible(Run->second) &&
        !Executor.Report.Capacity.covers(Executor.Used + Executor.Reserved);
    if (IsNeeded && Job != State.Jobs.end())
      stopVictim(unitNameOf(Job->second, Name.Task), Unit);
  }
}

std::optional<placement_choice>
event_handler::chooseSpread(const placement_query &Query,
                            const placement_request &Request,
                            const placement_choice &Reclaim) {
  const auto RackOf = [&](const executor_id &Id) {
    return State.Executors.at(Id).Report.Rack;
  };
  const bool IsInOneRack =
      std::ranges::all_of(Reclaim.Executors, [&](const executor_id &Id) {
        return RackOf(Id) == RackOf(Reclaim.Executors.front());
      });
  const double Cost =
      IsInOneRack ? spreadCost(weightedCores(Request.Needs) * Request.Count,
                               Query.Step.Estimate)
                  : 0;
  if (!State.Settings.Headroom.IsEnabled || Reclaim.LostWork <= Cost)
    return std::nullopt;
  placement_query Within = Query;
  placement_request Anywhere = Request;
  Anywhere.NeedsOneRack = false;
  for (const executor_filter Allowed : preferredExecutors(Query)) {
    Within.Allowed = Allowed;
    if (auto Choice = placeAcrossRacks(Within, Anywhere))
      return Choice;
  }
  return std::nullopt;
}

bool event_handler::isTooDear(const placement_query &Query,
                              const placement_request &Request,
                              const placement_choice &Choice,
                              const std::map<unit_name, int> &Groups) const {
  const headroom_settings &Settings = State.Settings.Headroom;
  const auto &Units = Query.Job.Units.at(Query.Unit.Occurrence);
  const instant Ready = Units[Query.Unit.Step][Query.Unit.Unit].Ready;
  const std::chrono::duration<double> Estimate = Query.Step.Estimate;
  const double Work =
      weightedCores(Request.Needs) * Request.Count * Estimate.count();
  if (!Settings.IsEnabled || Now - Ready >= Settings.Victims.Patience)
    return false;
  double Loss = 0;
  for (const auto &[Victim, Number] : Groups)
    if (std::ranges::count(Choice.PreemptedGroups, Number) > 0) {
      if (State.Jobs.at(Victim.Job).Queue.Priority == 0)
        return false;
      Loss += lossOfVictim(Victim);
    }
  return Loss > Work * Settings.Victims.DearFactor;
}

/// Preempts lower-priority runs for a guaranteed unit. True when it was started
/// or got a reclaim plan.
bool event_handler::placeReclaiming(const placement_query &Query,
                                    const placement_request &Request) {
  unit_state &Known = unitState(State.Jobs.at(Query.Unit.Job), Query.Unit);
  const bool MayTry = mayReclaim(Query.Job, Request) &&
                      Now >= Known.ReclaimAfter &&
                      !isVain(search::Reclaim, Query, Request);
  if (!MayTry)
    return false;
  std::map<unit_name, int> Groups;
  auto Choice = chooseFastReclaim(Query, Request, Groups);
  if (!Choice) {
    noteVain(search::Reclaim, Query, Request);
    Known.ReclaimAfter = Now + State.Settings.ReclaimRetry;
    return false;
  }
  if (auto Spread = chooseSpread(Query, Request, *Choice))
    Choice = std::move(Spread);
  if (isTooDear(Query, Request, *Choice, Groups)) {
    Known.ReclaimAfter =
        std::min(Now + State.Settings.ReclaimRetry,
                 Known.Ready + State.Settings.Headroom.Victims.Patience);
    return false;
  }
  if (Choice->PreemptedGroups.empty() && isFreeNow(*Choice, Request.Needs))
    startUnit(Query.Unit, Choice->Executors);
  else
    planReclaim(Query, Request, *Choice, Groups);
  return true;
}

void event_handler::dropPlan(const unit_name &Unit) {
  const auto Plan = State.Plans.find(Unit);
  const auto Job = State.Jobs.find(Unit.Job);
  if (Plan == State.Plans.end())
    return;
  if (Job != State.Jobs.end()) {
    const step_spec &Step = Job->second.Spec.Steps[Unit.Step];
    const resources Needs = reservedResources(Step);
    for (const executor_id &Id : Plan->second.Executors)
      if (const auto Found = State.Executors.find(Id);
          Found != State.Executors.end()) {
        Found->second.Reserved -= Needs;
        touch(Found->second);
      }
    const int Tasks = static_cast<int>(Plan->second.Executors.size());
    addUsage(Job->second.Spec.Organisation, Needs, -Tasks);
    noteUrgentNeeds(Job->second, Needs, -Tasks);
    changeUrgentUse(Job->second, Unit, -Tasks);
    touch(Job->second);
  }
  State.Plans.erase(Plan);
}

bool event_handler::isPlanPossible(const unit_name &Unit) {
  const reclaim_plan &Plan = State.Plans.at(Unit);
  job_state &Job = State.Jobs.at(Unit.Job);
  // The end of a run that was taken for lost may have been reported since.
  const unit_progress *Progress = findProgress(Unit);
  const bool IsWaiting =
      Progress && !Progress->IsDone && unitState(Job, Unit).LiveRuns == 0;
  return IsWaiting && Now < Plan.Until &&
         std::ranges::all_of(Plan.Executors, [&](const executor_id &Id) {
           const auto Found = State.Executors.find(Id);
           return Found != State.Executors.end() &&
                  isEligible(Found->second, Job, Job.Spec.Steps[Unit.Step]);
         });
}

/// Starts units whose planned capacity, or other capacity, has become free.
/// Drops plans that timed out or lost an executor; their units are placed again
/// in this pass, and what stops have freed for them counts.
void event_handler::advancePlans() {
  std::vector<unit_name> Units;
  for (const auto &[Unit, Plan] : State.Plans)
    Units.push_back(Unit);
  for (const unit_name &Unit : Units) {
    if (!isPlanPossible(Unit)) {
      dropPlan(Unit);
      continue;
    }
    const reclaim_plan Plan = State.Plans.at(Unit);
    const step_spec &Step = State.Jobs.at(Unit.Job).Spec.Steps[Unit.Step];
    std::map<executor_id, int> Tasks;
    for (const executor_id &Id : Plan.Executors)
      ++Tasks[Id];
    const bool IsFree = std::ranges::all_of(Tasks, [&](const auto &Item) {
      const executor_state &Executor = State.Executors.at(Item.first);
      return (Executor.Report.Capacity - Executor.Used)
          .covers(reservedResources(Step) * Item.second);
    });
    if (IsFree) {
      dropPlan(Unit);
      startUnit(Unit, Plan.Executors);
    } else if (!startElsewhere(Unit)) {
      stopLate(Unit);
    }
  }
}

} // namespace detail
} // namespace galenastage::batch
