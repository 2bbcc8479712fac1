#include "core/job/scheduler_internal.hpp"

#include <algorithm>

namespace galenastage::detail {
namespace {

/// Racks that are searched for the cheapest plan once one is found.
constexpr int MaxPlansCompared = 8;

/// Weight of an accelerator whose work is lost by a stop, against one whose
/// work is checkpointed.
constexpr int LostWorkCost = 8;

/// Why a job may evict others, and so whom.
enum class claim_ground {
  Guarantee, // its pool's cell is lent to others
  Urgency,   // the job is urgent and others borrow
  Move,      // checkpointable small gangs stand in the way of a larger one
};

int heldBy(const scheduled_job &Job) {
  int Sum = 0;
  for (const gang_member &Member : Job.Members)
    Sum += Member.Place.Accelerators;
  return Sum;
}

int guaranteedOn(const known_worker &Worker, const pool_id &Pool) {
  for (const pool_use &Cell : Worker.Cells)
    if (Cell.Pool == Pool)
      return Cell.Guaranteed;
  return 0;
}

/// A set of gangs to stop, so that one job fits on the workers named.
struct eviction_plan {
  std::vector<placed_member> Members;
  std::vector<scheduled_job *> Victims;
  int Cost = 0;
};

/// Looks for the cheapest gangs to stop on some workers.
class eviction_planner {
public:
  eviction_planner(scheduler_state &State, const guaranteed_sharing &Policy,
                   const scheduled_job &Job, claim_ground Ground, instant Now)
      : State(State), Policy(Policy), Job(Job), Ground(Ground), Now(Now) {
    for (const auto &[Id, Other] : State.Jobs)
      for (const placed_member &Member : Other.Claim)
        Claimed[Member.Worker] += Member.Accelerators;
  }

  /// Fills the workers one by one, the cheapest first.
  std::optional<eviction_plan> plan(std::vector<worker_id> Names) {
    Gains.clear();
    eviction_plan Plan;
    std::vector<std::pair<int, worker_id>> ByCost;
    ByCost.reserve(Names.size());
    for (worker_id &Name : Names)
      ByCost.emplace_back(-slots(Name), std::move(Name));
    std::ranges::sort(ByCost);
    int Left = Job.Record.Spec.Tasks;
    for (const auto &[FreeSlots, Name] : ByCost) {
      if (Left == 0)
        break;
      const int Slots = std::min(Left, openSlots(Name, Left, Plan));
      if (Slots == 0)
        continue;
      Plan.Members.push_back(
          {Name, Slots, Slots * Job.Record.Spec.AcceleratorsPerTask});
      Left -= Slots;
    }
    if (Left > 0 || Plan.Victims.empty())
      return std::nullopt;
    return Plan;
  }

private:
  /// Slots of the worker, counting what the victims so far give back.
  int slots(const worker_id &Name) {
    worker_capacity Row = State.Workers.at(Name).capacity(Name);
    Row.Free += Gains[Name] - Claimed[Name];
    int Slots = slotsOn(Row, placementRequest(Job.Record.Spec));
    if (Ground == claim_ground::Guarantee)
      Slots = std::min(Slots, ownCellSlots(Name));
    return Slots;
  }

  /// Tasks that fit into what the pool hasn't used of its own cell.
  int ownCellSlots(const worker_id &Name) {
    const known_worker &Worker = State.Workers.at(Name);
    const pool_id &Pool = Job.Record.Spec.Pool;
    const int Left = guaranteedOn(Worker, Pool) - usedBy(Worker, Pool);
    return std::max(0, Left) / Job.Record.Spec.AcceleratorsPerTask;
  }

  int usedBy(const known_worker &Worker, const pool_id &Pool) {
    int Used = 0;
    for (const auto &[Attempt, Count] : Worker.Held) {
      const auto Other = State.Jobs.find(Attempt.Job);
      const bool IsOfPool = Other != State.Jobs.end() &&
                            Other->second.Record.Spec.Pool == Pool &&
                            !Evicted.contains(&Other->second);
      Used += IsOfPool ? Count : 0;
    }
    return Used;
  }

  /// Stops gangs on the worker until it holds Wanted tasks or none is left to
  /// stop; returns the tasks it holds then.
  int openSlots(const worker_id &Name, int Wanted, eviction_plan &Plan) {
    std::vector<std::pair<int, scheduled_job *>> Candidates;
    const known_worker &Worker = State.Workers.at(Name);
    for (const auto &[Attempt, Count] : Worker.Held) {
      const auto Other = State.Jobs.find(Attempt.Job);
      if (Other != State.Jobs.end() && mayEvict(Worker, Other->second))
        Candidates.emplace_back(costOf(Other->second), &Other->second);
    }
    std::ranges::sort(Candidates, {}, [](const auto &Candidate) {
      return std::pair(Candidate.first, Candidate.second->Record.Spec.Id);
    });
    int Slots = slots(Name);
    const std::size_t VictimsBefore = Plan.Victims.size();
    const int CostBefore = Plan.Cost;
    const int SlotsBefore = Slots;
    for (const auto &[Cost, Victim] : Candidates) {
      if (Slots >= Wanted)
        break;
      if (Evicted.contains(Victim) || !mayEvict(Worker, *Victim))
        continue;
      Evicted.insert(Victim);
      Plan.Victims.push_back(Victim);
      Plan.Cost += Cost;
      for (const gang_member &Member : Victim->Members)
        Gains[Member.Place.Worker] += Member.Place.Accelerators;
      Slots = slots(Name);
    }
    if (Slots > SlotsBefore)
      return Slots;
    // Stopping them opened nothing here: take it back.
    while (Plan.Victims.size() > VictimsBefore) {
      for (const gang_member &Member : Plan.Victims.back()->Members)
        Gains[Member.Place.Worker] -= Member.Place.Accelerators;
      Evicted.erase(Plan.Victims.back());
      Plan.Victims.pop_back();
    }
    Plan.Cost = CostBefore;
    return SlotsBefore;
  }

  bool mayEvict(const known_worker &Worker, const scheduled_job &Victim) {
    const job_spec &Mine = Job.Record.Spec;
    const job_spec &Other = Victim.Record.Spec;
    if (Victim.Step != gang_step::Running || !isStoppable(Other) ||
        Victim.Record.IsCancelRequested || Evicted.contains(&Victim))
      return false;
    const bool IsBorrowed =
        usedBy(Worker, Other.Pool) > guaranteedOn(Worker, Other.Pool);
    const bool IsLessPressing = Other.Class > Mine.Class;
    switch (Ground) {
    case claim_ground::Guarantee:
      return Other.Pool == Mine.Pool ? IsLessPressing : IsBorrowed;
    case claim_ground::Urgency:
      return IsLessPressing && (IsBorrowed || Other.Pool == Mine.Pool);
    case claim_ground::Move:
      break;
    }
    return Other.IsCheckpointable && Other.Class != work_class::Urgent &&
           IsBorrowed && Now - Victim.RunningSince >= Policy.MinRunBeforeMove &&
           2 * heldBy(Victim) <= Mine.Tasks * Mine.AcceleratorsPerTask;
  }

  static int costOf(const scheduled_job &Victim) {
    const job_spec &Spec = Victim.Record.Spec;
    const int Weight = Spec.IsCheckpointable ? 1 : LostWorkCost;
    const int ClassWeight = Spec.Class == work_class::Patient ? 1 : 2;
    return Weight * ClassWeight * heldBy(Victim);
  }

  scheduler_state &State;
  const guaranteed_sharing &Policy;
  const scheduled_job &Job;
  claim_ground Ground;
  instant Now;
  std::map<worker_id, int> Claimed;
  std::map<worker_id, int> Gains;
  std::set<const scheduled_job *> Evicted;
};

} // namespace

/// Starts the jobs whose claimed accelerators have become free. A claim ends
/// when a worker of it is lost or its time is over.
void scheduler_run::serveClaims() {
  for (auto &[Id, Job] : State.Jobs) {
    if (Job.Claim.empty())
      continue;
    const placement_request Request = placementRequest(Job.Record.Spec);
    if (Job.IsReservation && !isFinal(Job.Record.Phase) && mayBePlaced(Job)) {
      // It may fit elsewhere by now.
      auto Members = indexWithout(&Job).choose(Request);
      if (!Members.empty()) {
        Job.Claim.clear();
        reserveGang(Job, std::move(Members));
        continue;
      }
    }
    bool IsFree = true;
    bool IsLost = isFinal(Job.Record.Phase) || Now >= Job.ClaimEnds ||
                  Job.Step != gang_step::Waiting || !mayBePlaced(Job);
    for (const placed_member &Member : Job.Claim) {
      const known_worker &Worker = State.Workers.at(Member.Worker);
      const worker_capacity Row = Worker.capacity(Member.Worker);
      IsLost |= !Worker.isUsable();
      IsLost |= !Request.IsStoppable &&
                unstoppableRoom(Row, Request.Pool) < Member.Accelerators;
      IsFree &= Row.Free >= Member.Accelerators;
    }
    if (IsLost)
      Job.Claim.clear();
    else if (IsFree)
      reserveGang(Job, std::exchange(Job.Claim, {}));
  }
}

/// Whether the gangs that a move would stop and that are more pressing than the
/// job fit elsewhere at once.
bool scheduler_run::findRoomFor(std::span<scheduled_job *const> Victims,
                                std::span<const placed_member> Claim,
                                const job_spec &Spec) const {
  capacity_index Index = indexWorkers();
  Index.take(Claim, placementRequest(Spec));
  for (const scheduled_job *Victim : Victims) {
    if (Victim->Record.Spec.Class >= Spec.Class)
      continue;
    const placement_request Request = placementRequest(Victim->Record.Spec);
    const auto Members = Index.choose(Request);
    if (Members.empty())
      return false;
    Index.take(Members, Request);
  }
  return true;
}

/// Stops gangs so that this job can start, if it has a ground for that. The
/// accelerators are kept for it from now on.
bool scheduler_run::claimByEviction(const guaranteed_sharing &Policy,
                                    scheduled_job &Job) {
  const job_spec &Spec = Job.Record.Spec;
  Job.NextClaim = Now + (Spec.Class == work_class::Urgent
                             ? State.Settings.RetryDelay
                             : milliseconds(Policy.MoveInterval));
  std::map<rack_id, std::vector<worker_id>> Racks;
  std::vector<worker_id> All;
  std::vector<worker_id> Own;
  if (const auto Bound = State.Policy.Guarantees.Bindings.find(Spec.Pool);
      Bound != State.Policy.Guarantees.Bindings.end())
    Own = Bound->second.Workers;

  std::optional<eviction_plan> Best;
  if (!Own.empty())
    Best = eviction_planner(State, Policy, Job, claim_ground::Guarantee, Now)
               .plan(Own);
  const bool IsUrgent = Spec.Class == work_class::Urgent;
  const bool MayMove = Now - Job.WaitingSince >= Policy.MoveAfter;
  if (!Best && (IsUrgent || MayMove)) {
    const claim_ground Ground =
        IsUrgent ? claim_ground::Urgency : claim_ground::Move;
    for (const auto &[Name, Worker] : State.Workers) {
      if (!Worker.isUsable())
        continue;
      Racks[Worker.Rack].push_back(Name);
      All.push_back(Name);
    }
    int Found = 0;
    for (const auto &[Rack, Names] : Racks) {
      if (Found == MaxPlansCompared)
        break;
      auto Plan = eviction_planner(State, Policy, Job, Ground, Now).plan(Names);
      if (!Plan)
        continue;
      ++Found;
      if (!Best || Plan->Cost < Best->Cost)
        Best = std::move(Plan);
    }
    if (!Best)
      Best = eviction_planner(State, Policy, Job, Ground, Now).plan(All);
    const int Needed = Spec.Tasks * Spec.AcceleratorsPerTask;
    const bool IsMove = Ground == claim_ground::Move;
    if (Best && IsMove && Best->Cost > 2 * Needed)
      Best.reset(); // the moves cost more than the wait
    if (Best && IsMove && !findRoomFor(Best->Victims, Best->Members, Spec))
      Best.reset();
  }
  if (!Best)
    return false;
  Job.Claim = std::move(Best->Members);
  Job.IsReservation = false;
  Job.ClaimEnds = Now + State.Settings.Lease + 2 * State.Settings.StepTimeout;
  for (scheduled_job *Victim : Best->Victims) {
    log(events::GangEvicted,
        {{"job", Victim->Record.Spec.Id.Value}, {"for", Spec.Id.Value}});
    releaseGang(*Victim, job_phase::Waiting,
                "stopped so that job " + Spec.Id.Value + " can start");
  }
  setReason(Job, "waits for others to be stopped");
  return true;
}

/// Checkpoints gangs when operators have taken the data centre out, the most
/// pressing first. Once released they move like any waiting job. What can't be
/// checkpointed runs on.
void scheduler_run::checkpointForDeparture(const guaranteed_sharing &Policy) {
  if (isInService(*State.Tables, State.Settings.DataCentre))
    return;
  std::vector<scheduled_job *> Gangs;
  for (auto &[Id, Job] : State.Jobs) {
    const job_spec &Spec = Job.Record.Spec;
    const bool MayMove = Job.Step == gang_step::Running &&
                         Spec.IsCheckpointable && isStoppable(Spec);
    if (MayMove && isPermittedElsewhere(Job))
      Gangs.push_back(&Job);
  }
  std::ranges::stable_sort(Gangs, {}, [](const scheduled_job *Job) {
    return Job->Record.Spec.Class;
  });
  const std::size_t Count =
      std::min<std::size_t>(Gangs.size(), Policy.DepartureGangsPerPass);
  for (scheduled_job *Job : std::span(Gangs).first(Count))
    releaseGang(*Job, job_phase::Waiting,
                "checkpointed because the data centre is out of service");
}

} // namespace galenastage::detail
