// Guaranteed work takes back capacity that work of lower priority uses.

#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>

namespace galenastage::batch {
namespace detail {
namespace {

constexpr double RestoreSeconds = 0.1; // time to resume from a checkpoint

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

/// Lists the runs on the executor that may be stopped for guaranteed work.
void event_handler::addPreemptible(candidate &Candidate,
                                   std::map<unit_name, int> &Groups) const {
  const executor_state &Executor = State.Executors.at(Candidate.Executor);
  for (const auto &[Name, Run] : Executor.Runs) {
    if (!isPreemptible(Run))
      continue;
    const unit_name Victim{Name.Task.Job, Name.Task.Occurrence, Name.Task.Step,
                           Run.IsOfGang ? 0 : Name.Task.Index};
    const auto [Item, IsNew] =
        Groups.try_emplace(Victim, static_cast<int>(Groups.size()));
    const double Elapsed =
        std::chrono::duration<double>(Now - Run.Ordered).count();
    // A stop saves a checkpoint, so only the time to restore is lost.
    const double Unsaved =
        Run.IsCheckpointing ? std::min(Elapsed, RestoreSeconds) : Elapsed;
    Candidate.Preemptible.push_back(
        {Item->second, Run.Needs,
         Unsaved * weightedCores(Run.Needs) * Run.GangSize +
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

/// Stops the chosen groups and reserves their capacity for the unit.
void event_handler::planReclaim(const placement_query &Query,
                                const placement_request &Request,
                                const placement_choice &Choice,
                                const std::map<unit_name, int> &Groups) {
  const unit_name Unit = Query.Unit;
  for (const auto &[Victim, Number] : Groups)
    if (std::ranges::count(Choice.PreemptedGroups, Number) > 0)
      stopUnit(State.Jobs.at(Victim.Job), Victim);
  for (const executor_id &Id : Choice.Executors) {
    executor_state &Executor = State.Executors.at(Id);
    Executor.Reserved += Request.Needs;
    touch(Executor);
  }
  job_state &Job = State.Jobs.at(Unit.Job);
  const int Accelerators = Request.Needs.Accelerators * Request.Count;
  log(events::RoomReclaimed,
      {{"job", Unit.Job.Value},
       {"organisation", Job.Spec.Organisation.Value},
       {"stopped", std::to_string(Choice.PreemptedGroups.size())},
       {"accelerators", std::to_string(Accelerators)}});
  noteUrgentVictims(Unit, Choice, Groups);
  addUsage(Job.Spec.Organisation, Request.Needs, Request.Count);
  State.Plans[Unit] = {Choice.Executors, Now};
  unitState(Job, Unit).Planned = Now;
  changeUrgentUse(Job, Unit, Request.Count);
  touch(Job);
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
  const auto Choice = chooseFastReclaim(Query, Request, Groups);
  if (!Choice) {
    noteVain(search::Reclaim, Query, Request);
    Known.ReclaimAfter = Now + State.Settings.ReclaimRetry;
    return false;
  }
  if (Choice->PreemptedGroups.empty())
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
    changeUrgentUse(Job->second, Unit, -Tasks);
    touch(Job->second);
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

} // namespace detail
} // namespace galenastage::batch
