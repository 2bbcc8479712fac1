// Where waiting units start.

#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>

namespace galenastage::batch {
namespace detail {
namespace {

/// Whether tasks with these needs may fit into the sum of several executors'
/// capacity. They may still not fit, because each needs one executor.
bool mayFit(const resources &Sum, const placement_request &Request) {
  const auto Covers = [&](int Have, int Need) {
    return Have >= std::int64_t{Need} * Request.Count;
  };
  return Covers(Sum.MilliCpu, Request.Needs.MilliCpu) &&
         Covers(Sum.MemoryMb, Request.Needs.MemoryMb) &&
         Covers(Sum.Accelerators, Request.Needs.Accelerators);
}

std::int64_t totalWeight(const placement_request &Request) {
  return capacityWeight(Request.Needs) * Request.Count;
}

resources atLeastNone(const resources &Amount) {
  return {std::max(0, Amount.MilliCpu), std::max(0, Amount.MemoryMb),
          std::max(0, Amount.Accelerators)};
}

} // namespace

// The index

indexed_executor describe(const executor_state &Executor, bool IsOpen) {
  indexed_executor Known;
  Known.Service = Executor.Report.Service;
  Known.Rack = Executor.Report.Rack;
  Known.Kind = Executor.Report.Kind;
  Known.Capacity = Executor.Report.Capacity;
  Known.Used = Executor.Used;
  // Less than none while plans reserve what stops have yet to free.
  const resources Left =
      Executor.Report.Capacity - Executor.Used - Executor.Reserved;
  Known.Free = atLeastNone(Left);
  resources Stoppable;
  for (const auto &[Name, Run] : Executor.Runs)
    if (isPreemptible(Run) || Run.Phase == run_phase::Stopping)
      Stoppable += Run.Needs;
  Known.Preemptible = atLeastNone(Left + Stoppable) - Known.Free;
  Known.IsOpen = IsOpen;
  Known.IsKept = Executor.IsKept;
  Known.IsSuspect = !Executor.Health.FailedJobs.empty();
  Known.ProvenAt = Executor.ProvenAt;
  Known.Speed = Executor.Speed;
  return Known;
}

void event_handler::touch(executor_state &Executor) {
  if (std::exchange(Executor.IsTouched, true))
    return;
  State.Touched.push_back(Executor.Report.Id);
}

void event_handler::refreshIndex() {
  for (const executor_id &Id : State.Touched) {
    const auto Found = State.Executors.find(Id);
    if (Found == State.Executors.end() || !Found->second.IsListed) {
      State.Capacity.remove(Id);
      for (auto &[Service, Executors] : State.Unprobed)
        Executors.erase(Id);
    } else {
      const indexed_executor Known =
          describe(Found->second, isOpen(Found->second));
      State.Capacity.update(Id, Known);
      State.VainFits.erase({Known.Service, Known.Rack});
      for (auto &[Service, Executors] : State.Unprobed)
        Executors.erase(Id); // it may have belonged to another service
      if (isUnprobed(Known))
        State.Unprobed[Known.Service].insert(Id);
    }
    if (Found != State.Executors.end())
      Found->second.IsTouched = false;
  }
  State.Touched.clear();
}

std::string event_handler::explainStaleIndex() {
  capacity_index Recount;
  std::map<service_id, std::set<executor_id>> Unprobed;
  for (auto &[Id, Executor] : State.Executors) {
    if (Executor.Health.IsQuarantined)
      touch(Executor); // time alone may open it to a probe
    if (!Executor.IsListed)
      continue;
    const indexed_executor Known = describe(Executor, isOpen(Executor));
    Recount.update(Id, Known);
    if (isUnprobed(Known))
      Unprobed[Known.Service].insert(Id);
  }
  refreshIndex();
  if (!(State.Capacity == Recount))
    return "the capacity index differs from a recount";
  if (std::string Difference = explainStaleHeadroom(); !Difference.empty())
    return Difference;
  for (const auto &[Service, Executors] : State.Unprobed)
    if (Executors != Unprobed[Service])
      return "the unprobed executors of " + Service.Value + " are stale";
  for (const auto &[Organisation, Use] : State.GuaranteedUse)
    if (Use != countGuaranteedUse(State, Organisation))
      return "the guaranteed use of " + Organisation.Value + " is stale";
  if (State.Usage != countUsage(State))
    return "the usage of an organisation is stale";
  if (std::string Stale = explainStaleGuarantees(); !Stale.empty())
    return Stale;
  if (std::string Stale = explainStaleSpeeds(); !Stale.empty())
    return Stale;
  if (std::string Difference = explainStaleDepartures(); !Difference.empty())
    return Difference;
  for (auto &[Id, Job] : State.Jobs) {
    const bool IsCurrent = Job.IsWaitingKnown && Now < Job.WaitingUntil &&
                           !isFinal(Job.Progress.Phase);
    const std::vector<waiting_step> Known = Job.Waiting;
    if (!IsCurrent)
      continue;
    updateWaiting(Job);
    const bool IsEqual = std::ranges::equal(
        Known, Job.Waiting, [](const auto &Left, const auto &Right) {
          return Left.First == Right.First && Left.Units == Right.Units &&
                 Left.Priority == Right.Priority &&
                 Left.LatestStart == Right.LatestStart;
        });
    if (!IsEqual)
      return "what waits of job " + Id.Value + " is stale";
  }
  return {};
}

// Eligibility

bool event_handler::isUsable(const executor_state &Executor,
                             const service_id &Service) const {
  return Executor.IsListed && Executor.HasAnsweredHold &&
         !Executor.IsUnresponsive && !Executor.IsEntryOutdated &&
         !Executor.Report.IsDraining && Executor.Report.Service == Service &&
         !State.Evacuated.contains(Executor.Report.DataCentre);
}

const run_state *event_handler::findProbe(const executor_state &Executor) {
  const auto Found = std::ranges::find_if(Executor.Runs, [&](const auto &Item) {
    return Item.second.Ordered >= Executor.Health.ProbeAt;
  });
  return Found == Executor.Runs.end() ? nullptr : &Found->second;
}

void event_handler::updateQuarantine(executor_state &Executor) {
  const run_state *Probe =
      Executor.Health.IsQuarantined ? findProbe(Executor) : nullptr;
  if (Probe && hasOutlived(Executor, *Probe, State.Settings.ProbeTime))
    release(Executor);
}

void event_handler::release(executor_state &Executor) {
  touch(Executor);
  if (!noteSuccess(Executor.Health))
    return;
  State.NeedsPlacement = true;
  log(events::ExecutorReinstated,
      {{"executor", Executor.Report.Id.Value},
       {"runs", std::to_string(Executor.Runs.size())}});
}

bool event_handler::isOpen(const executor_state &Executor) const {
  const bool IsProbe = Now >= Executor.Health.ProbeAt && !findProbe(Executor);
  const bool IsReserved =
      std::ranges::any_of(Executor.Runs, [](const auto &Item) {
        return Item.second.IsOnProbation || Item.second.IsOrphan;
      });
  return isUsable(Executor, Executor.Report.Service) && !Executor.IsStalled &&
         (!Executor.Health.IsQuarantined || IsProbe) && !IsReserved &&
         Executor.Report.Capacity.covers(Executor.Used);
}

bool event_handler::isEligible(const executor_state &Executor,
                               const job_state &Job,
                               const step_spec &Step) const {
  return Executor.Report.Service == Job.Queue.Service && isOpen(Executor) &&
         (Step.Requirement.empty() ||
          Executor.Report.hasLabel(Step.Requirement));
}

bool event_handler::mayStart(const executor_state &Executor,
                             const job_state &Job) const {
  return !findOutdated() && isUsable(Executor, Job.Queue.Service) &&
         Executor.Report.Capacity.covers(Executor.Used);
}

/// Tasks of the unit's step on the executor, including planned ones.
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
  for (const auto &[Name, Plan] : State.DeparturePlans)
    if (IsOfStep(Name))
      Count += std::ranges::count(Plan.Executors, Executor.Report.Id);
  return static_cast<int>(Count);
}

bool event_handler::isAvoided(const placement_query &Query,
                              const executor_id &Id,
                              const indexed_executor &Executor) const {
  const bool IsProven = Executor.ProvenAt != instant{} &&
                        Now - Executor.ProvenAt < State.Settings.ProvenFor;
  return isAvoided(Query.Avoided, Id) ||
         (Query.Caution != caution::None && Executor.IsSuspect) ||
         (Query.Caution == caution::Unproven && !IsProven);
}

void event_handler::avoid(unit_state &Unit, const executor_id &Executor,
                          int Times) const {
  milliseconds Time = State.Settings.AvoidFor;
  for (int I = 1; I < Times && Time < State.Settings.MaxAvoidFor; ++I)
    Time *= 2;
  Unit.Avoided[Executor] = Now + std::min(Time, State.Settings.MaxAvoidFor);
}

bool event_handler::isAvoided(const std::map<executor_id, instant> &Avoided,
                              const executor_id &Executor) const {
  const auto Found = Avoided.find(Executor);
  return Found != Avoided.end() && Now < Found->second;
}

bool event_handler::isInterchangeable(const unit_name &Unit) const {
  const job_state &Job = State.Jobs.at(Unit.Job);
  const unit_progress &Progress = Job.Progress.Occurrences.at(Unit.Occurrence)
                                      .Steps[Unit.Step]
                                      .Units[Unit.Unit];
  const unit_state &Known = Job.Units.at(Unit.Occurrence)[Unit.Step][Unit.Unit];
  return !Progress.hasSuspect() && Known.Avoided.empty() &&
         Now >= Known.LateUntil && cautionFor(Job, Unit) == caution::None;
}

/// Another failure on its last attempt fails the job, even if the executor is
/// the cause. It waits for a better executor for a while: those may be taken
/// for good.
caution event_handler::cautionFor(const job_state &Job,
                                  const unit_name &Unit) const {
  const int Failures = Job.Progress.Occurrences.at(Unit.Occurrence)
                           .Steps[Unit.Step]
                           .Units[Unit.Unit]
                           .Failures;
  const bool IsLastAttempt = Failures > 0 &&
                             Failures + 1 >= Job.Queue.MaxAttempts &&
                             !Job.Spec.Steps[Unit.Step].IsLongRunning;
  if (!IsLastAttempt)
    return caution::None;
  const instant Ready =
      Job.Units.at(Unit.Occurrence)[Unit.Step][Unit.Unit].Ready;
  if (Now - Ready >= State.Settings.SuspectWait)
    return caution::None;
  return Now - Ready < State.Settings.ProvenWait ? caution::Unproven
                                                 : caution::Suspects;
}

placement_query event_handler::queryFor(const unit_name &Unit) const {
  const job_state &Job = State.Jobs.at(Unit.Job);
  placement_query Query{
      Unit,
      Job,
      Job.Spec.Steps[Unit.Step],
      State.Capacity.find(Job.Queue.Service),
      Job.Units.at(Unit.Occurrence)[Unit.Step][Unit.Unit].Avoided,
      cautionFor(Job, Unit),
      false};
  const unit_state &Known = Job.Units.at(Unit.Occurrence)[Unit.Step][Unit.Unit];
  if (Now < Known.LateUntil && !Known.LateAt.Value.empty())
    Query.Only = &Known.LateAt;
  Query.MayUseAvoided = mustUseAvoided(Query);
  // Without any proven executor the wait for one is vain.
  if (Query.MayUseAvoided && Query.Caution == caution::Unproven) {
    Query.Caution = caution::Suspects;
    Query.MayUseAvoided = mustUseAvoided(Query);
  }
  return Query;
}

/// Avoided executors are better than a unit that never fits: one that the
/// others couldn't hold if nothing else ran.
bool event_handler::mustUseAvoided(const placement_query &Query) const {
  const bool HasToAvoid =
      !Query.Avoided.empty() || Query.Caution != caution::None;
  if (!HasToAvoid || !Query.Service)
    return false;
  if (Query.Only)
    return true;
  const step_spec &Step = Query.Step;
  const int Tasks = countTasks(Step);
  const int MostOnOne = Step.MaxPerExecutor > 0 ? Step.MaxPerExecutor : Tasks;
  int Fits = 0;
  Query.Service->fromLargest([&](const indexed_rack &Rack) {
    for (const auto &[Id, Executor] : Rack.Open) {
      const bool IsEligible =
          Step.Requirement.empty() || Executor.hasLabel(Step.Requirement);
      if (IsEligible && !isAvoided(Query, Id, Executor))
        Fits += countFits(Executor.Capacity, reservedResources(Step),
                          std::min(MostOnOne, Tasks));
    }
    return Fits < Tasks;
  });
  return Fits < Tasks;
}

std::vector<candidate>
event_handler::listCandidates(const placement_query &Query,
                              const indexed_rack &Rack, bool IsEmpty) {
  const step_spec &Step = Query.Step;
  std::vector<candidate> Candidates;
  State.Examined += Rack.Open.size();
  for (const auto &[Id, Executor] : Rack.Open) {
    if (!Query.Allowed.includes(Executor.group()))
      continue;
    if (Query.Only && Id != *Query.Only)
      continue;
    if (!Step.Requirement.empty() && !Executor.hasLabel(Step.Requirement))
      continue;
    if (!Query.MayUseAvoided && isAvoided(Query, Id, Executor))
      continue;
    candidate Candidate{Id,
                        Rack.Id,
                        IsEmpty ? Executor.Capacity : Executor.Free,
                        std::numeric_limits<int>::max(),
                        {}};
    if (Step.MaxPerExecutor > 0)
      Candidate.RemainingLimit =
          Step.MaxPerExecutor -
          (IsEmpty ? 0 : countRunsOfStep(State.Executors.at(Id), Query.Unit));
    Candidates.push_back(std::move(Candidate));
  }
  return Candidates;
}

// Placement

bool event_handler::isVain(search Kind, const placement_query &Query,
                           const placement_request &Request) const {
  return std::ranges::any_of(Vain, [&](const vain_search &Known) {
    return Known.Kind == Kind && Known.Count <= Request.Count &&
           Known.Service == Query.Job.Queue.Service &&
           Known.Allowed.covers(Query.Allowed) &&
           Request.Needs.covers(Known.Needs);
  });
}

void event_handler::noteVain(search Kind, const placement_query &Query,
                             const placement_request &Request) {
  if (Query.isUnrestricted())
    Vain.push_back({Kind, Query.Job.Queue.Service, Request.Needs, Request.Count,
                    Query.Allowed});
}

bool event_handler::isVainIn(const indexed_rack &Rack,
                             const placement_query &Query,
                             const placement_request &Request) const {
  const auto Known = State.VainFits.find({Query.Job.Queue.Service, Rack.Id});
  return Known != State.VainFits.end() &&
         std::ranges::any_of(Known->second, [&](const vain_fit &Fit) {
           return Fit.Count <= Request.Count &&
                  Fit.Allowed.covers(Query.Allowed) &&
                  Request.Needs.covers(Fit.Needs);
         });
}

void event_handler::noteVainIn(const indexed_rack &Rack,
                               const placement_query &Query,
                               const placement_request &Request) {
  if (Query.isUnrestricted())
    State.VainFits[{Query.Job.Queue.Service, Rack.Id}].push_back(
        {Request.Needs, Request.Count, Query.Allowed});
}

/// The rack with the least free capacity that suffices.
std::optional<placement_choice>
event_handler::placeInOneRack(const placement_query &Query,
                              const placement_request &Request) {
  std::optional<placement_choice> Choice;
  if (isVain(search::OneRack, Query, Request))
    return Choice;
  Query.Service->fromWeight(
      totalWeight(Request), [&](const indexed_rack &Rack) {
        const bool IsPossible =
            Rack.boundFits(Request.Needs, Request.Count, Query.Allowed) ==
                Request.Count &&
            !isVainIn(Rack, Query, Request);
        if (IsPossible && Request.Count == 1) {
          const std::vector<candidate> Candidates = listCandidates(Query, Rack);
          if (const candidate *Best = findBestFit(Request, Candidates))
            Choice = placement_choice{{Best->Executor}, {}, 0};
        } else if (IsPossible) {
          placement_request InRack = Request;
          InRack.NeedsOneRack = true;
          Choice = placeInFreeCapacity(InRack, listCandidates(Query, Rack));
        }
        if (IsPossible && !Choice)
          noteVainIn(Rack, Query, Request);
        return !Choice;
      });
  if (!Choice)
    noteVain(search::OneRack, Query, Request);
  return Choice;
}

/// Few racks: those with the most free capacity come first.
std::optional<placement_choice>
event_handler::placeAcrossRacks(const placement_query &Query,
                                const placement_request &Request) {
  const bool IsPossible = Request.Count > 1 &&
                          mayFit(Query.Service->free(), Request) &&
                          !isVain(search::AcrossRacks, Query, Request);
  if (!IsPossible)
    return std::nullopt;
  std::vector<candidate> Candidates;
  std::int64_t Fits = 0;
  Query.Service->fromLargest([&](const indexed_rack &Rack) {
    if (Rack.boundFits(Request.Needs, 1, Query.Allowed) == 0)
      return true;
    for (candidate &Candidate : listCandidates(Query, Rack)) {
      const int OnOne =
          countFits(Candidate.Free, Request.Needs, Candidate.RemainingLimit);
      Fits += OnOne;
      if (OnOne > 0)
        Candidates.push_back(std::move(Candidate));
    }
    return Fits < Request.Count;
  });
  if (Fits < Request.Count) {
    noteVain(search::AcrossRacks, Query, Request);
    return std::nullopt;
  }
  return placeInFreeCapacity(Request, Candidates);
}

std::optional<placement_choice>
event_handler::placeAlone(const placement_query &Query,
                          const placement_request &Request) {
  std::vector<candidate> Candidates;
  Query.Service->fromLargest([&](const indexed_rack &Rack) {
    for (candidate &Candidate : listCandidates(Query, Rack))
      if (Candidate.Free == Rack.Open.at(Candidate.Executor).Capacity)
        Candidates.push_back(std::move(Candidate));
    return true;
  });
  placement_request Anywhere = Request;
  Anywhere.NeedsOneRack = false; // one rack is preferred
  return placeInFreeCapacity(Anywhere, Candidates);
}

bool event_handler::couldFitOneRack(const placement_query &Query,
                                    const placement_request &Request) {
  placement_request InRack = Request;
  InRack.NeedsOneRack = true;
  bool Fits = false;
  if (isVain(search::EmptyRack, Query, Request))
    return Fits;
  const auto Consider = [&](const indexed_rack &Rack) {
    Fits = mayFit(Rack.Capacity, Request) &&
           placeInFreeCapacity(InRack, listCandidates(Query, Rack, true));
    return !Fits;
  };
  if (Query.Step.Affinity.isEmpty())
    Query.Service->fromLargest(Consider);
  else if (const indexed_rack *Rack =
               Query.Service->findRack(Query.Step.Affinity))
    Consider(*Rack);
  if (!Fits && Query.Step.Affinity.isEmpty())
    noteVain(search::EmptyRack, Query, Request);
  return Fits;
}

std::vector<executor_filter>
event_handler::preferredExecutors(const placement_query &Query) const {
  std::vector<executor_filter> Sets;
  for (const executor_filter Speeds : preferredSpeeds(Query))
    for (const executor_filter Room : preferredRoom(Query))
      if (const executor_filter Both = Speeds & Room;
          !Both.isEmpty() && std::ranges::count(Sets, Both) == 0)
        Sets.push_back(Both);
  return Sets;
}

/// In the rack of the data, or the whole gang in one rack.
std::optional<placement_choice>
event_handler::placeInPreferredRack(const placement_query &Query,
                                    const placement_request &Request) {
  if (Query.Step.Affinity.isEmpty())
    return Query.Step.IsRackLocal ? placeInOneRack(Query, Request)
                                  : std::nullopt;
  const indexed_rack *Rack = Query.Service->findRack(Query.Step.Affinity);
  return Rack ? placeInFreeCapacity(Request, listCandidates(Query, *Rack))
              : std::nullopt;
}

std::optional<placement_choice>
event_handler::placeWherePreferred(placement_query Query,
                                   const placement_request &Request) {
  for (const executor_filter Allowed : preferredExecutors(Query)) {
    Query.Allowed = Allowed;
    if (auto Choice = placeInPreferredRack(Query, Request))
      return Choice;
  }
  return std::nullopt;
}

std::optional<placement_choice>
event_handler::placeAnywhere(placement_query Query, placement_request Request) {
  // A unit that gains from one rack prefers it to better executors of several.
  const bool PrefersOneRack = std::exchange(Request.NeedsOneRack, false);
  const std::vector<executor_filter> Sets = preferredExecutors(Query);
  for (const executor_filter Allowed : Sets) {
    Query.Allowed = Allowed;
    auto Choice = placeInOneRack(Query, Request);
    if (!Choice && !PrefersOneRack)
      Choice = placeAcrossRacks(Query, Request);
    if (Choice)
      return Choice;
  }
  if (!PrefersOneRack)
    return std::nullopt;
  for (const executor_filter Allowed : Sets) {
    Query.Allowed = Allowed;
    if (auto Choice = placeAcrossRacks(Query, Request))
      return Choice;
  }
  return std::nullopt;
}

bool event_handler::place(const unit_name &Unit) {
  refreshIndex();
  placement_query Query = queryFor(Unit);
  if (!Query.Service)
    return false;
  const step_spec &Step = Query.Step;
  const placement_request Request{reservedResources(Step), countTasks(Step),
                                  Step.IsRackLocal, Step.Affinity};

  // The task takes a third of the time in the rack of its data, or when the
  // whole gang is in one rack.
  const bool HasRackPreference = Step.IsRackLocal || !Step.Affinity.isEmpty();
  const unit_state &Known = unitState(State.Jobs.at(Unit.Job), Unit);

  // A task that may crash its executor runs alone there, unless there has been
  // no such executor for long.
  if (findProgress(Unit)->hasSuspect()) {
    if (!mayStartSuspect(Unit))
      return false;
    if (const auto Alone = placeAlone(Query, Request)) {
      startUnit(Unit, Alone->Executors);
      return true;
    }
    if (Now - Known.Ready < State.Settings.Crashes.AloneWait)
      return false;
  }
  const bool HasWaited = Now - Known.Ready >= State.Settings.SpreadDelay;
  bool MayRelax = HasWaited && Query.Service->percentInUse() <
                                   State.Settings.SpreadBelowPercent;

  // One bad executor fails a whole gang, so it prefers the others.
  std::optional<placement_choice> Choice;
  if (Step.IsGang && Query.Caution == caution::None) {
    placement_query Cautious = Query;
    Cautious.Caution = caution::Suspects;
    Choice = HasRackPreference ? placeWherePreferred(Cautious, Request)
                               : placeAnywhere(Cautious, Request);
  }
  if (!Choice)
    Choice = placeProbing(Query, Request);
  if (!Choice)
    Choice = placeWherePreferred(Query, Request);
  if (HasRackPreference && !Choice && !MayRelax) {
    placement_query Widest = Query;
    Widest.Allowed = preferredRoom(Query).back();
    MayRelax = !couldFitOneRack(Widest, Request);
  }
  if (!Choice && placeReclaiming(Query, Request))
    return true;
  if (!Choice && (!HasRackPreference || MayRelax))
    Choice = placeAnywhere(Query, Request);
  if (!Choice)
    return false;
  startUnit(Unit, Choice->Executors);
  return true;
}

void event_handler::startUnit(const unit_name &Unit,
                              const std::vector<executor_id> &Executors) {
  job_state &Job = State.Jobs.at(Unit.Job);
  const step_spec &Step = Job.Spec.Steps[Unit.Step];
  unit_progress &Progress = *findProgress(Unit);
  unit_state &Known = unitState(Job, Unit);
  dropReservation(Unit);
  ++Progress.Attempts;
  const milliseconds Waited = Now - Known.Ready;
  const bool IsSuspect = Progress.hasSuspect();
  Progress.Placed.clear();
  for (std::size_t I = 0; I < Executors.size(); ++I) {
    const int Index = Step.IsGang ? static_cast<int>(I) : Unit.Unit;
    const run_name Run{{Unit.Job, Unit.Occurrence, Unit.Step, Index},
                       Progress.Attempts};
    executor_state &Executor = State.Executors.at(Executors[I]);
    addRun(Executor, Job, Run, run_phase::Recording);
    Executor.Runs[Run].IsOnProbation = IsSuspect;
    Progress.Placed.push_back({Executors[I], Executor.Incarnation});
  }
  Known.Planned = {};
  if (IsSuspect)
    State.Suspects.insert(Unit);
  if (Job.Progress.Phase == job_phase::Queued)
    Job.Progress.Phase = job_phase::Running;
  queueSave(Job);
  log(events::UnitStarted,
      {{"task", printTask({Unit.Job, Unit.Occurrence, Unit.Step, Unit.Unit})},
       {"attempt", std::to_string(Progress.Attempts)},
       {"executors", std::to_string(Executors.size())},
       {"first", Executors.front().Value},
       {"waited_ms", std::to_string(Waited.count())},
       {"priority", std::to_string(Job.Queue.Priority)},
       {"requests_age_ms",
        std::to_string((Now - State.RequestsAsOf).count())}});
  Out.emplace_back(note_wait{State.Token, Job.Spec.Organisation,
                             Job.Queue.Priority, Waited});
}

} // namespace detail

std::string explainStaleIndex(const scheduler_state &State, instant Now) {
  scheduler_state Copy = State;
  detail::event_handler Handler(Copy, {Now, {}, NoTerm, time_passed{}});
  return Handler.explainStaleIndex();
}

} // namespace galenastage::batch
