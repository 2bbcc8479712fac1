// Runs that leave an executor before it goes.

#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>
#include <tuple>

namespace galenastage::batch::detail {
namespace {

/// The runs of a unit, in the order of its tasks.
std::vector<std::pair<run_name, executor_id>> runsOf(const job_state &Job,
                                                     const unit_name &Unit) {
  const bool IsGang = Job.Spec.Steps[Unit.Step].IsGang;
  const task_name First{Unit.Job, Unit.Occurrence, Unit.Step,
                        IsGang ? 0 : Unit.Unit};
  std::vector<std::pair<run_name, executor_id>> Runs;
  for (auto Run = Job.Runs.lower_bound({First, 0});
       Run != Job.Runs.end() && unitNameOf(Job, Run->first.Task) == Unit; ++Run)
    Runs.emplace_back(*Run);
  return Runs;
}

std::string printUnit(const unit_name &Unit) {
  return printTask({Unit.Job, Unit.Occurrence, Unit.Step, Unit.Unit});
}

} // namespace

// Executors that are about to go

void event_handler::noteDeparture(executor_state &Executor,
                                  const executor_report &Report) {
  if (!Report.IsDraining) {
    State.Draining.erase(Report.Id);
    Executor.LeavesAt = {};
    return;
  }
  const bool IsNew = State.Draining.insert(Report.Id).second;
  const bool IsUpdated = Report.Remaining != Executor.Report.Remaining;
  const bool IsKnown = Report.Remaining > milliseconds(0);
  if (IsKnown && (IsNew || IsUpdated))
    Executor.LeavesAt = Now + Report.Remaining;
}

// Units that leave

/// Moves units away from executors that are about to go, the most urgent first.
void event_handler::moveDeparting() {
  const bool MayMove = State.Settings.Departures.IsEnabled && isLeading() &&
                       State.IsRecovered && !State.Draining.empty();
  if (!MayMove)
    return;
  for (const departure &Departure : listDepartures())
    depart(Departure);
}

std::vector<departure> event_handler::listDepartures() const {
  std::set<unit_name> Units;
  for (const executor_id &Id : State.Draining) {
    const executor_state &Executor = State.Executors.at(Id);
    const bool CanAsk = Executor.HasAnsweredHold && !Executor.IsUnresponsive;
    if (!CanAsk || Executor.LeavesAt == instant{})
      continue;
    for (const auto &[Name, Run] : Executor.Runs)
      if (const auto Job = State.Jobs.find(Name.Task.Job);
          Job != State.Jobs.end() && !Run.IsOrphan)
        Units.insert(unitNameOf(Job->second, Name.Task));
  }
  std::vector<departure> Departures;
  for (const unit_name &Unit : Units)
    if (auto Departure = describeDeparture(Unit))
      Departures.push_back(std::move(*Departure));
  std::ranges::sort(Departures, [](const departure &A, const departure &B) {
    return std::tie(A.Priority, A.LatestStart, A.Unit) <
           std::tie(B.Priority, B.LatestStart, B.Unit);
  });
  return Departures;
}

/// Nullopt while the unit isn't running as a whole: it is starting, ending or
/// being stopped.
std::optional<departure>
event_handler::describeDeparture(const unit_name &Unit) const {
  const job_state &Job = State.Jobs.at(Unit.Job);
  const auto Occurrence = Job.Progress.Occurrences.find(Unit.Occurrence);
  const bool IsOpen = !isFinal(Job.Progress.Phase) &&
                      Occurrence != Job.Progress.Occurrences.end() &&
                      !Occurrence->second.IsDone;
  if (!IsOpen)
    return std::nullopt;
  const step_spec &Step = Job.Spec.Steps[Unit.Step];
  departure Departure;
  Departure.Unit = Unit;
  Departure.Priority = Job.Queue.Priority;
  Departure.LatestStart = objectiveOf(Job, Unit.Occurrence) -
                          remainingCriticalPath(Job.Spec, &Occurrence->second);
  Departure.Known.IsLongRunning = Step.IsLongRunning;
  Departure.Known.CanSave = Step.IsCheckpointing;
  Departure.Known.Left = milliseconds::max();
  for (const auto &[Name, Id] : runsOf(Job, Unit)) {
    const executor_state &Executor = State.Executors.at(Id);
    const run_state &Run = Executor.Runs.at(Name);
    if (Run.Phase != run_phase::Active || Executor.IsUnresponsive)
      return std::nullopt;
    Departure.Executors.push_back(Id);
    Departure.Known.Remaining =
        std::max(Departure.Known.Remaining, remainingTime(Job, Name, Run));
    if (Executor.LeavesAt == instant{} || !Executor.IsListed)
      continue;
    const auto Until =
        std::chrono::duration_cast<milliseconds>(Executor.LeavesAt - Now);
    if (Until < Departure.UntilLeaving)
      Departure.From = Id;
    Departure.UntilLeaving = std::min(Departure.UntilLeaving, Until);
  }
  if (static_cast<int>(Departure.Executors.size()) != countTasks(Step))
    return std::nullopt;
  Departure.Known.Left =
      usableTime(Departure.UntilLeaving, State.Settings.Departures);
  // What can't save matters by its own end, which needs no order.
  if (!Departure.Known.CanSave)
    Departure.Known.Left += State.Settings.Departures.MessageMargin;
  return Departure;
}

void event_handler::depart(const departure &Departure) {
  // An earlier unit may have had it stopped to make room.
  if (!describeDeparture(Departure.Unit))
    return;
  job_state &Job = State.Jobs.at(Departure.Unit.Job);
  unit_state &Known = unitState(Job, Departure.Unit);
  const departure_action Action =
      chooseAction(Departure.Known, State.Settings.StopTimeout);
  if (Action == departure_action::Stay) {
    if (Departure.Known.Remaining <= Departure.Known.Left)
      noteStay(Departure, "ends in time");
    else if (!Departure.Known.CanSave)
      noteStay(Departure, "too late");
    return;
  }
  const bool MayMove = Known.Departures < State.Settings.Departures.MaxMoves;
  if (!MayMove && Action != departure_action::Save) {
    noteStay(Departure, "moved too often");
    return;
  }
  if (!mayBeMissing(Job, Departure.Unit)) {
    noteStay(Departure, "too many of its step are missing");
    return;
  }
  const std::vector<executor_id> Room = findRoomElsewhere(Departure);
  if (Room.empty() && Action == departure_action::Move) {
    noteStay(Departure, "no room");
    return;
  }
  ++Known.Departures;
  logDeparture(events::UnitMovedAway, Departure,
               {{"priority", std::to_string(Departure.Priority)},
                {"action", std::string(name(Action))},
                {"to", Room.empty() ? std::string() : Room.front().Value},
                {"moves", std::to_string(Known.Departures)}});
  if (!Room.empty())
    reserveRoom(Departure.Unit, Room);
  stopUnit(Job, Departure.Unit);
}

/// Logs once for each attempt of the unit why it stays.
void event_handler::noteStay(const departure &Departure,
                             std::string_view Cause) {
  job_state &Job = State.Jobs.at(Departure.Unit.Job);
  unit_state &Known = unitState(Job, Departure.Unit);
  const int Attempt = findProgress(Departure.Unit)->Attempts;
  if (std::exchange(Known.StayNoted, Attempt) == Attempt)
    return;
  logDeparture(events::UnitLeftBehind, Departure,
               {{"cause", std::string(Cause)}});
}

void event_handler::logDeparture(const log_event &Event,
                                 const departure &Departure,
                                 std::vector<log_field> Outcome) {
  std::vector<log_field> Fields{
      {"task", printUnit(Departure.Unit)},
      {"executor", Departure.From.Value},
      {"remaining_ms", std::to_string(Departure.Known.Remaining.count())},
      {"left_ms", std::to_string(Departure.Known.Left.count())},
      {"saves", Departure.Known.CanSave ? "yes" : "no"}};
  Fields.insert(Fields.end(), Outcome.begin(), Outcome.end());
  log(Event, std::move(Fields));
}

/// Whether the step may do without the unit's tasks for a moment. Without a
/// limit of its own, a long-running step misses one task at a time.
bool event_handler::mayBeMissing(const job_state &Job,
                                 const unit_name &Unit) const {
  const step_spec &Step = Job.Spec.Steps[Unit.Step];
  // A long-running step without a limit misses one unit at a time.
  const int Limit = Step.IsLongRunning && Step.MaxMissing == 0
                        ? countTasks(Step)
                        : Step.MaxMissing;
  if (Limit == 0)
    return true;
  int Missing = 0;
  const auto &Units =
      Job.Progress.Occurrences.at(Unit.Occurrence).Steps[Unit.Step].Units;
  for (const unit_progress &Progress : Units)
    Missing += Progress.IsDone ? 0 : countTasks(Step);
  const task_name First{Unit.Job, Unit.Occurrence, Unit.Step, 0};
  for (auto Run = Job.Runs.lower_bound({First, 0});
       Run != Job.Runs.end() && Run->first.Task.Occurrence == Unit.Occurrence &&
       Run->first.Task.Step == Unit.Step;
       ++Run) {
    const auto &Runs = State.Executors.at(Run->second).Runs;
    Missing -= Runs.at(Run->first).Phase == run_phase::Active ? 1 : 0;
  }
  return Missing + countTasks(Step) <= Limit;
}

// Room elsewhere

/// The executors of the unit's tasks after the move, where there is room for
/// them now or, for guaranteed work, after a reclaim. Members of a gang whose
/// executors stay keep them if they can. Empty: there is no room.
std::vector<executor_id>
event_handler::findRoomElsewhere(const departure &Departure) {
  refreshIndex();
  const placement_query Query = queryFor(Departure.Unit);
  const step_spec &Step = Query.Step;
  // A unit that may crash its executor runs alone; the usual placement sees to
  // that after a stop.
  if (!Query.Service || findProgress(Departure.Unit)->hasSuspect())
    return {};
  const placement_request Request{reservedResources(Step), countTasks(Step),
                                  Step.IsRackLocal, Step.Affinity};
  std::vector<executor_id> Room = keepMembers(Query, Request, Departure);
  if (!Room.empty())
    return Room;
  auto Choice = placeWherePreferred(Query, Request);
  if (!Choice && !isInPreferredRack(Step, Departure))
    Choice = placeAnywhere(Query, Request);
  if (Choice)
    return Choice->Executors;
  return reclaimRoom(Query, Request);
}

/// Whether the unit would take several times as long in another rack.
bool event_handler::isInPreferredRack(const step_spec &Step,
                                      const departure &Departure) const {
  std::set<rack_id> Racks;
  for (const executor_id &Id : Departure.Executors)
    Racks.insert(State.Executors.at(Id).Report.Rack);
  const rack_id &Rack = *Racks.begin();
  const bool IsOfData = Step.Affinity.isEmpty() || Step.Affinity == Rack;
  return (Step.IsRackLocal || !Step.Affinity.isEmpty()) && Racks.size() == 1 &&
         IsOfData;
}

/// Room for those members of a gang whose executors don't stay, beside the
/// others.
std::vector<executor_id>
event_handler::keepMembers(const placement_query &Query,
                           const placement_request &Request,
                           const departure &Departure) {
  std::vector<executor_id> Members = Departure.Executors;
  std::vector<std::size_t> Leaving;
  for (std::size_t I = 0; I < Members.size(); ++I) {
    const executor_state &Executor = State.Executors.at(Members[I]);
    if (!isEligible(Executor, Query.Job, Query.Step))
      Leaving.push_back(I);
  }
  if (Leaving.empty() || Leaving.size() == Members.size())
    return {};
  placement_request Rest = Request;
  Rest.Count = static_cast<int>(Leaving.size());
  const rack_id Rack = State.Executors.at(Members.front()).Report.Rack;
  const auto Choice = isInPreferredRack(Query.Step, Departure)
                          ? placeInRack(Query, Rest, Rack)
                          : placeAnywhere(Query, Rest);
  if (!Choice)
    return {};
  for (std::size_t I = 0; I < Leaving.size(); ++I)
    Members[Leaving[I]] = Choice->Executors[I];
  return Members;
}

std::optional<placement_choice>
event_handler::placeInRack(placement_query Query,
                           const placement_request &Request,
                           const rack_id &Id) {
  const indexed_rack *Rack = Query.Service->findRack(Id);
  if (!Rack)
    return std::nullopt;
  for (const executor_filter Allowed : preferredExecutors(Query)) {
    Query.Allowed = Allowed;
    if (auto Choice =
            placeInFreeCapacity(Request, listCandidates(Query, *Rack)))
      return Choice;
  }
  return std::nullopt;
}

/// Stops work for a unit of guaranteed work. Its own runs count as used
/// already.
std::vector<executor_id>
event_handler::reclaimRoom(const placement_query &Query,
                           const placement_request &Request) {
  job_state &Job = State.Jobs.at(Query.Unit.Job);
  unit_state &Known = unitState(Job, Query.Unit);
  placement_request NoMore = Request;
  NoMore.Count = 0;
  const bool MayTry = mayReclaim(Job, NoMore) && Now >= Known.ReclaimAfter &&
                      !isVain(search::Reclaim, Query, Request);
  if (!MayTry)
    return {};
  std::map<unit_name, int> Groups;
  const auto Choice = chooseReclaim(Query, Request, Groups);
  if (!Choice) {
    noteVain(search::Reclaim, Query, Request);
    Known.ReclaimAfter = Now + State.Settings.ReclaimRetry;
    return {};
  }
  for (const auto &[Victim, Number] : Groups)
    if (std::ranges::count(Choice->PreemptedGroups, Number) > 0)
      stopVictim(Victim, Query.Unit);
  noteUrgentVictims(Query.Unit, *Choice, Groups);
  log(events::RoomReclaimed,
      {{"job", Query.Unit.Job.Value},
       {"organisation", Job.Spec.Organisation.Value},
       {"stopped", std::to_string(Choice->PreemptedGroups.size())},
       {"accelerators",
        std::to_string(Request.Needs.Accelerators * Request.Count)}});
  return Choice->Executors;
}

// Reserved room

void event_handler::reserveRoom(const unit_name &Unit,
                                const std::vector<executor_id> &Executors) {
  job_state &Job = State.Jobs.at(Unit.Job);
  const resources Needs = reservedResources(Job.Spec.Steps[Unit.Step]);
  for (const executor_id &Id : Executors) {
    executor_state &Executor = State.Executors.at(Id);
    Executor.Reserved += Needs;
    touch(Executor);
  }
  State.DeparturePlans[Unit] = {Executors, Needs, Now};
  // Its place within the guarantee of its organisation stays as it was.
  if (const auto Use = State.UrgentUse.find(Job.Spec.Organisation);
      Use != State.UrgentUse.end())
    if (const auto Urgent = Use->second.Units.find(Unit);
        Urgent != Use->second.Units.end())
      unitState(Job, Unit).Planned = Urgent->second.Since;
  touch(Job);
}

void event_handler::dropDeparturePlan(const unit_name &Unit) {
  const auto Plan = State.DeparturePlans.find(Unit);
  if (Plan == State.DeparturePlans.end())
    return;
  for (const executor_id &Id : Plan->second.Executors)
    if (const auto Found = State.Executors.find(Id);
        Found != State.Executors.end()) {
      Found->second.Reserved -= Plan->second.Needs;
      touch(Found->second);
    }
  State.DeparturePlans.erase(Plan);
  if (const auto Job = State.Jobs.find(Unit.Job); Job != State.Jobs.end())
    touch(Job->second);
}

/// Starts units whose runs have ended where room is reserved for them. Drops
/// plans that are no longer possible or needed; the units then wait as others
/// do.
void event_handler::advanceDepartures() {
  const std::map<unit_name, departure_plan> Plans = State.DeparturePlans;
  for (const auto &[Unit, Plan] : Plans) {
    const unit_progress *Progress = findProgress(Unit);
    const auto Job = State.Jobs.find(Unit.Job);
    const bool IsWanted =
        Progress && !Progress->IsDone && !isFinal(Job->second.Progress.Phase);
    if (!IsWanted) {
      dropDeparturePlan(Unit);
      continue;
    }
    const std::string_view Cause = explainLostRoom(Job->second, Unit, Plan);
    if (!Cause.empty()) {
      dropDeparturePlan(Unit);
      log(events::DepartureRoomLost,
          {{"task", printUnit(Unit)}, {"cause", std::string(Cause)}});
      continue;
    }
    unit_state &Known = unitState(Job->second, Unit);
    const bool MayStart = Known.LiveRuns == 0 && Now >= Known.NotBefore;
    if (!MayStart || !isFree(Plan))
      continue;
    dropDeparturePlan(Unit);
    if (Known.Ready == instant{})
      Known.Ready = Now;
    startUnit(Unit, Plan.Executors);
  }
}

/// Why the unit can't start where its room is reserved; empty when it can.
std::string_view event_handler::explainLostRoom(const job_state &Job,
                                                const unit_name &Unit,
                                                const departure_plan &Plan) {
  if (Now - Plan.CreatedAt >= State.Settings.PlanTimeout)
    return "timed out";
  const unit_progress *Progress = findProgress(Unit);
  if (Progress && Progress->hasSuspect())
    return "it may crash its executor";
  for (const executor_id &Id : Plan.Executors) {
    const auto Found = State.Executors.find(Id);
    if (Found == State.Executors.end() ||
        !isEligible(Found->second, Job, Job.Spec.Steps[Unit.Step]))
      return "its executor takes no work";
  }
  return {};
}

bool event_handler::isFree(const departure_plan &Plan) const {
  std::map<executor_id, int> Tasks;
  for (const executor_id &Id : Plan.Executors)
    ++Tasks[Id];
  return std::ranges::all_of(Tasks, [&](const auto &Item) {
    const executor_state &Executor = State.Executors.at(Item.first);
    return (Executor.Report.Capacity - Executor.Used)
        .covers(Plan.Needs * Item.second);
  });
}

std::string event_handler::explainStaleDepartures() const {
  std::map<executor_id, resources> Reserved;
  for (const auto &[Unit, Plan] : State.Plans) {
    const job_spec &Job = State.Jobs.at(Unit.Job).Spec;
    for (const executor_id &Id : Plan.Executors)
      Reserved[Id] += reservedResources(Job.Steps[Unit.Step]);
  }
  for (const auto &[Unit, Plan] : State.DeparturePlans)
    for (const executor_id &Id : Plan.Executors)
      Reserved[Id] += Plan.Needs;
  for (const auto &[Unit, Reservation] : State.Reservations)
    for (const executor_id &Id : Reservation.Executors)
      Reserved[Id] += Reservation.Needs;
  std::size_t Draining = 0;
  for (const auto &[Id, Executor] : State.Executors) {
    if (Executor.Reserved != Reserved[Id])
      return "the reserved room of " + Id.Value + " is stale";
    const bool IsDraining = Executor.IsListed && Executor.Report.IsDraining;
    if (IsDraining != State.Draining.contains(Id))
      return "whether " + Id.Value + " drains is stale";
    Draining += IsDraining ? 1 : 0;
  }
  if (Draining != State.Draining.size())
    return "an unknown executor drains";
  return {};
}

} // namespace galenastage::batch::detail
