#include "core/job/scheduler_internal.hpp"

#include <algorithm>

namespace galenastage::detail {
namespace {

/// The number of racks with a valid plan that are compared by cost.
constexpr int MaxPlansCompared = 8;

/// Cost of stopping work that isn't checkpointable, per accelerator, relative
/// to checkpointable work.
constexpr int LostWorkCost = 8;

/// Why a job may evict gangs. Determines which ones.
enum class eviction_reason {
  Guarantee, // its pool's cell is borrowed by others
  Urgency,   // for an urgent job: less urgent borrowers or work of its pool
  Move,      // defragmentation: moves small checkpointable gangs
};

int heldAccelerators(const scheduled_job &Job) {
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

/// The gangs to stop so that one job fits, and the job's placement.
struct eviction_plan {
  std::vector<placed_member> Members;
  std::vector<scheduled_job *> Victims;
  int Cost = 0;
};

/// Searches a set of workers for cheap gangs to stop.
class eviction_planner {
public:
  eviction_planner(scheduler_state &State, const guaranteed_sharing &Policy,
                   const scheduled_job &Job, eviction_reason Reason,
                   instant Now)
      : State(State), Policy(Policy), Job(Job), Reason(Reason), Now(Now) {
    for (const auto &[Id, Other] : State.Jobs)
      for (const placed_member &Member : Other.Claim)
        Claimed[Member.Worker] += Member.Accelerators;
  }

  /// Plans the placement of the job on the given workers, those with the most
  /// free slots first. Returns nullopt if it doesn't fit or needs no eviction.
  std::optional<eviction_plan> plan(std::vector<worker_id> Names) {
    FreedByVictims.clear();
    eviction_plan Plan;
    std::vector<std::pair<int, worker_id>> ByFreeSlots;
    ByFreeSlots.reserve(Names.size());
    for (worker_id &Name : Names)
      ByFreeSlots.emplace_back(-availableSlots(Name), std::move(Name));
    std::ranges::sort(ByFreeSlots);
    int Left = Job.Record.Spec.Tasks;
    for (const auto &[FreeSlots, Name] : ByFreeSlots) {
      if (Left == 0)
        break;
      const int Slots = std::min(Left, evictForSlots(Name, Left, Plan));
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
  /// Tasks that fit on the worker after the evictions planned so far.
  int availableSlots(const worker_id &Name) {
    worker_capacity Row = State.Workers.at(Name).capacity(Name);
    Row.Free += FreedByVictims[Name] - Claimed[Name];
    int Slots = slotsOn(Row, placementRequest(Job.Record.Spec));
    if (Reason == eviction_reason::Guarantee)
      Slots = std::min(Slots, ownCellSlots(Name));
    return Slots;
  }

  /// Tasks that fit in the part of the pool's cell that it doesn't use itself.
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

  /// Plans evictions on the worker, cheapest first, until Wanted tasks fit or
  /// no gang may be evicted. Returns the number of tasks that fit then.
  int evictForSlots(const worker_id &Name, int Wanted, eviction_plan &Plan) {
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
    int Slots = availableSlots(Name);
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
        FreedByVictims[Member.Place.Worker] += Member.Place.Accelerators;
      Slots = availableSlots(Name);
    }
    if (Slots > SlotsBefore)
      return Slots;
    // These evictions free no slot here, so drop them from the plan.
    while (Plan.Victims.size() > VictimsBefore) {
      for (const gang_member &Member : Plan.Victims.back()->Members)
        FreedByVictims[Member.Place.Worker] -= Member.Place.Accelerators;
      Evicted.erase(Plan.Victims.back());
      Plan.Victims.pop_back();
    }
    Plan.Cost = CostBefore;
    return SlotsBefore;
  }

  bool mayEvict(const known_worker &Worker, const scheduled_job &Victim) {
    const job_spec &Requested = Job.Record.Spec;
    const job_spec &VictimSpec = Victim.Record.Spec;
    if (Victim.Step != gang_step::Running || !isStoppable(VictimSpec) ||
        Victim.Record.IsCancelRequested || Evicted.contains(&Victim))
      return false;
    const bool IsBorrowed =
        usedBy(Worker, VictimSpec.Pool) > guaranteedOn(Worker, VictimSpec.Pool);
    const bool IsLessUrgent = VictimSpec.Class > Requested.Class;
    switch (Reason) {
    case eviction_reason::Guarantee:
      return VictimSpec.Pool == Requested.Pool ? IsLessUrgent : IsBorrowed;
    case eviction_reason::Urgency:
      return IsLessUrgent && (IsBorrowed || VictimSpec.Pool == Requested.Pool);
    case eviction_reason::Move:
      break;
    }
    return VictimSpec.IsCheckpointable &&
           VictimSpec.Class != work_class::Urgent && IsBorrowed &&
           Now - Victim.RunningSince >= Policy.MinRunBeforeMove &&
           2 * heldAccelerators(Victim) <=
               Requested.Tasks * Requested.AcceleratorsPerTask;
  }

  static int costOf(const scheduled_job &Victim) {
    const job_spec &Spec = Victim.Record.Spec;
    const int Weight = Spec.IsCheckpointable ? 1 : LostWorkCost;
    const int ClassWeight = Spec.Class == work_class::Patient ? 1 : 2;
    return Weight * ClassWeight * heldAccelerators(Victim);
  }

  scheduler_state &State;
  const guaranteed_sharing &Policy;
  const scheduled_job &Job;
  eviction_reason Reason;
  instant Now;
  std::map<worker_id, int> Claimed;
  std::map<worker_id, int> FreedByVictims;
  std::set<const scheduled_job *> Evicted;
};

} // namespace

/// Places the jobs whose claimed accelerators are free. A claim is dropped when
/// one of its workers becomes unusable or it expires.
void scheduler_run::startClaimedJobs() {
  for (auto &[Id, Job] : State.Jobs) {
    if (Job.Claim.empty())
      continue;
    const placement_request Request = placementRequest(Job.Record.Spec);
    if (Job.IsReservation && !isFinal(Job.Record.Phase) && mayBePlaced(Job)) {
      // It may fit on other workers before the reserved ones are free.
      auto Members = indexWithout(&Job).choose(Request);
      if (!Members.empty()) {
        Job.Claim.clear();
        reserveGang(Job, std::move(Members));
        continue;
      }
    }
    bool IsFree = true;
    bool IsLost = isFinal(Job.Record.Phase) || Now >= Job.ClaimExpires ||
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

/// Whether the victims of a more urgent class than the job can be placed
/// elsewhere immediately.
bool scheduler_run::victimsFitElsewhere(std::span<scheduled_job *const> Victims,
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

/// Stops gangs so that this job can start, if one of the eviction reasons
/// applies. The accelerators stay claimed for the job until it starts.
bool scheduler_run::claimByEviction(const guaranteed_sharing &Policy,
                                    scheduled_job &Job) {
  const job_spec &Spec = Job.Record.Spec;
  Job.NextEvictionSearch = Now + (Spec.Class == work_class::Urgent
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
    Best = eviction_planner(State, Policy, Job, eviction_reason::Guarantee, Now)
               .plan(Own);
  const bool IsUrgent = Spec.Class == work_class::Urgent;
  const bool MayMove = Now - Job.WaitingSince >= Policy.MoveAfter;
  if (!Best && (IsUrgent || MayMove)) {
    const eviction_reason Reason =
        IsUrgent ? eviction_reason::Urgency : eviction_reason::Move;
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
      auto Plan = eviction_planner(State, Policy, Job, Reason, Now).plan(Names);
      if (!Plan)
        continue;
      ++Found;
      if (!Best || Plan->Cost < Best->Cost)
        Best = std::move(Plan);
    }
    if (!Best)
      Best = eviction_planner(State, Policy, Job, Reason, Now).plan(All);
    const int Needed = Spec.Tasks * Spec.AcceleratorsPerTask;
    const bool IsMove = Reason == eviction_reason::Move;
    if (Best && IsMove && Best->Cost > 2 * Needed)
      Best.reset(); // moving them costs more than the wait
    if (Best && IsMove &&
        !victimsFitElsewhere(Best->Victims, Best->Members, Spec))
      Best.reset();
  }
  if (!Best)
    return false;
  Job.Claim = std::move(Best->Members);
  Job.IsReservation = false;
  Job.ClaimExpires =
      Now + State.Settings.Lease + 2 * State.Settings.StepTimeout;
  for (scheduled_job *Victim : Best->Victims) {
    log(events::GangEvicted,
        {{"job", Victim->Record.Spec.Id.Value}, {"for", Spec.Id.Value}});
    releaseGang(*Victim, job_phase::Waiting,
                "stopped so that job " + Spec.Id.Value + " can start");
  }
  setReason(Job, "waits for others to be stopped");
  return true;
}

/// Checkpoints gangs after operators have taken the data centre out of service,
/// in order of class, urgent ones first. Once released they are moved like any
/// waiting job. Gangs that can't be checkpointed keep running.
void scheduler_run::checkpointForDrain(const guaranteed_sharing &Policy) {
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
      std::min<std::size_t>(Gangs.size(), Policy.DrainedGangsPerPass);
  for (scheduled_job *Job : std::span(Gangs).first(Count))
    releaseGang(*Job, job_phase::Waiting,
                "checkpointed because the data centre is out of service");
}

} // namespace galenastage::detail
