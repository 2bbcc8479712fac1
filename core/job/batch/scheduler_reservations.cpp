// Capacity that is kept for gangs that fit nowhere until enough of it is free.

#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>

namespace galenastage::batch::detail {

// Reservations during a pass

void event_handler::suspend(reservation &Reservation, bool IsSuspended) {
  if (std::exchange(Reservation.IsSuspended, IsSuspended) == IsSuspended)
    return;
  for (const executor_id &Id : Reservation.Executors)
    if (const auto Found = State.Executors.find(Id);
        Found != State.Executors.end()) {
      if (IsSuspended)
        Found->second.Reserved -= Reservation.Needs;
      else
        Found->second.Reserved += Reservation.Needs;
      touch(Found->second);
    }
}

void event_handler::suspendReservations() {
  for (auto &[Unit, Reservation] : State.Reservations)
    suspend(Reservation, true);
}

void event_handler::resumeReservations(const waiting_step *Next,
                                       const share_claim &Claim) {
  std::vector<unit_name> Reached;
  for (const auto &[Unit, Reservation] : State.Reservations) {
    const int Priority = State.Jobs.at(Unit.Job).Queue.Priority;
    const bool IsPreceded =
        Next && (Next->Priority < Priority ||
                 (Next->Priority == Priority && Claim.IsGuaranteed));
    if (Reservation.IsSuspended && !IsPreceded)
      Reached.push_back(Unit);
  }
  for (const unit_name &Unit : Reached) {
    reservation &Reservation = State.Reservations.at(Unit);
    if (!mayWaitFor(Unit, Reservation)) {
      dropReservation(Unit);
    } else if (isFree(Reservation)) {
      const std::vector<executor_id> Executors = Reservation.Executors;
      startUnit(Unit, Executors);
    } else {
      suspend(Reservation, false);
    }
  }
  if (!Reached.empty())
    refreshIndex();
}

/// Whether the unit still waits, and all its executors may still run it.
bool event_handler::mayWaitFor(const unit_name &Unit,
                               const reservation &Reservation) {
  job_state &Job = State.Jobs.at(Unit.Job);
  const unit_progress *Progress = findProgress(Unit);
  if (!Progress || Progress->IsDone || Progress->hasSuspect())
    return false;
  const unit_state &Known = unitState(Job, Unit);
  const bool IsWaiting = Now < Reservation.Until && Now >= Known.NotBefore &&
                         Known.LiveRuns == 0 && !State.Plans.contains(Unit) &&
                         !State.DeparturePlans.contains(Unit);
  return IsWaiting &&
         std::ranges::all_of(Reservation.Executors, [&](const auto &Id) {
           const auto Found = State.Executors.find(Id);
           return Found != State.Executors.end() &&
                  !isAvoided(Known.Avoided, Id) &&
                  isEligible(Found->second, Job, Job.Spec.Steps[Unit.Step]);
         });
}

/// Whether all its capacity is free, except what others have reserved. The
/// reservation itself must be suspended.
bool event_handler::isFree(const reservation &Reservation) const {
  std::map<executor_id, int> Tasks;
  for (const executor_id &Id : Reservation.Executors)
    ++Tasks[Id];
  return std::ranges::all_of(Tasks, [&](const auto &Item) {
    const executor_state &Executor = State.Executors.at(Item.first);
    const resources Free =
        Executor.Report.Capacity - Executor.Used - Executor.Reserved;
    return Free.covers(Reservation.Needs * Item.second);
  });
}

void event_handler::dropReservation(const unit_name &Unit) {
  const auto Found = State.Reservations.find(Unit);
  if (Found == State.Reservations.end())
    return;
  suspend(Found->second, true);
  State.Reservations.erase(Found);
}

void event_handler::dropReservationsOf(const job_id &Job) {
  std::vector<unit_name> Units;
  for (const auto &[Unit, Reservation] : State.Reservations)
    if (Unit.Job == Job)
      Units.push_back(Unit);
  for (const unit_name &Unit : Units)
    dropReservation(Unit);
}

// New reservations

void event_handler::noteUnplaced(const waiting_step &Step,
                                 const unit_name &Unit) {
  const job_state &Job = State.Jobs.at(Unit.Job);
  const bool IsCandidate =
      State.Settings.Shares.IsEnabled && Now >= State.NextReservation &&
      Now - Step.Ready >= State.Settings.Shares.ReserveAfter &&
      countTasks(Job.Spec.Steps[Unit.Step]) > 1 &&
      !State.Reservations.contains(Unit) && !State.Plans.contains(Unit) &&
      !findProgress(Unit)->hasSuspect() &&
      Now >= unitState(State.Jobs.at(Unit.Job), Unit).ReserveAfter;
  // Higher priorities come first in a pass.
  const bool IsPreceded =
      Starved && (State.Jobs.at(Starved->Job).Queue.Priority < Step.Priority ||
                  StarvedSince <= Step.Ready);
  if (!IsCandidate || IsPreceded)
    return;
  Starved = Unit;
  StarvedSince = Step.Ready;
}

void event_handler::reserveForStarved() {
  const share_settings &Settings = State.Settings.Shares;
  const bool MayReserve =
      Starved &&
      static_cast<int>(State.Reservations.size()) < Settings.MaxReservations;
  if (!MayReserve)
    return;
  State.NextReservation = Now + Settings.ReservationInterval;
  // While this unit can't get one, the next pass tries others.
  unitState(State.Jobs.at(Starved->Job), *Starved).ReserveAfter =
      Now + Settings.ReserveAfter;
  refreshIndex();
  const placement_query Query = queryFor(*Starved);
  const bool HasMore = shareOf(Query.Job.Spec.Organisation) > evenShare({});
  if (!Query.Service || HasMore)
    return;
  const placement_request Request{reservedResources(Query.Step),
                                  countTasks(Query.Step),
                                  Query.Step.IsRackLocal, Query.Step.Affinity};
  const std::vector<expected_slot> Slots = chooseSlots(Query, Request);
  if (Slots.empty() || Slots.back().After > Settings.ReservationLimit)
    return;
  reservation Reservation;
  Reservation.Needs = Request.Needs;
  Reservation.Until = Now + Settings.ReservationLimit;
  Reservation.IsSuspended = true;
  for (const expected_slot &Slot : Slots)
    Reservation.Executors.push_back(Slot.Executor);
  suspend(State.Reservations[*Starved] = Reservation, false);
  log(events::GangReserved,
      {{"job", Starved->Job.Value},
       {"organisation", Query.Job.Spec.Organisation.Value},
       {"priority", std::to_string(Query.Job.Queue.Priority)},
       {"waited_ms", std::to_string((Now - StarvedSince).count())},
       {"tasks", std::to_string(Request.Count)},
       {"expected_ms", std::to_string(Slots.back().After.count())}});
}

/// The slots of one rack that are all free first, or of several if no rack can
/// hold the gang or it needn't be in one. Ordered by time; empty: none.
std::vector<expected_slot>
event_handler::chooseSlots(const placement_query &Query,
                           const placement_request &Request) {
  const auto Count = static_cast<std::size_t>(Request.Count);
  std::vector<expected_slot> Best;
  std::vector<expected_slot> All;
  int Racks = 0;
  Query.Service->fromLargest([&](const indexed_rack &Rack) {
    std::vector<expected_slot> Slots = listSlots(Query, Request.Needs, Rack);
    std::ranges::sort(Slots);
    if (Slots.size() > Count)
      Slots.resize(Count);
    const bool IsWhole = Slots.size() == Count;
    if (IsWhole && (Best.empty() || Slots.back().After < Best.back().After))
      Best = Slots;
    All.insert(All.end(), Slots.begin(), Slots.end());
    return ++Racks < State.Settings.MaxReclaimRacks;
  });
  if (Request.NeedsOneRack && !Best.empty())
    return Best;
  std::ranges::sort(All);
  if (All.size() < Count)
    return {};
  All.resize(Count);
  return All;
}

std::vector<expected_slot>
event_handler::listSlots(const placement_query &Query, const resources &Needs,
                         const indexed_rack &Rack) {
  std::vector<expected_slot> Slots;
  for (const candidate &Candidate : listCandidates(Query, Rack)) {
    const executor_state &Executor = State.Executors.at(Candidate.Executor);
    std::vector<std::pair<milliseconds, resources>> Ends;
    for (const auto &[Name, Run] : Executor.Runs) {
      const auto Job = State.Jobs.find(Name.Task.Job);
      if (Run.IsLongRunning || Run.IsOrphan || Job == State.Jobs.end())
        continue;
      const milliseconds Remaining =
          Run.Phase == run_phase::Stopping
              ? State.Settings.StopTimeout
              : remainingTime(Job->second, Name, Run);
      Ends.emplace_back(std::max(Remaining, milliseconds(0)), Run.Needs);
    }
    std::ranges::sort(Ends, {}, &std::pair<milliseconds, resources>::first);
    resources Free =
        Executor.Report.Capacity - Executor.Used - Executor.Reserved;
    int Fits = 0;
    const auto Add = [&](milliseconds After) {
      const int Most = countFits(Free, Needs, Candidate.RemainingLimit);
      for (; Fits < Most; ++Fits)
        Slots.push_back({After, Candidate.Executor});
    };
    Add(milliseconds(0));
    for (const auto &[After, Freed] : Ends) {
      Free += Freed;
      Add(After);
    }
  }
  return Slots;
}

} // namespace galenastage::batch::detail
