#include "core/job/scheduler_internal.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace galenastage::detail {
namespace {

int acceleratorsOf(const job_spec &Spec) {
  return Spec.Tasks * Spec.AcceleratorsPerTask;
}

int heldAccelerators(const scheduled_job &Job) {
  int Sum = 0;
  for (const gang_member &Member : Job.Members)
    Sum += Member.Place.Accelerators;
  return Sum;
}

auto arrivalOrder(const scheduled_job *Job) {
  return std::tuple(Job->Record.SubmittedAt, Job->Record.Spec.Id);
}

/// The class by which a job is ranked. Patient jobs rank as ordinary ones after
/// a long wait.
work_class rankOf(const scheduled_job &Job, const guaranteed_sharing &Policy,
                  wall_instant WallNow) {
  const work_class Class = Job.Record.Spec.Class;
  const bool IsOld =
      WallNow - Job.Record.SubmittedAt >= Policy.PromotePatientAfter;
  return Class == work_class::Patient && IsOld ? work_class::Ordinary : Class;
}

/// A waiting job and its response ratio.
struct ranked_job {
  double Response = 1; // grows with the wait, faster for small, short jobs
  scheduled_job *Job = nullptr;
};

/// The waiting jobs of one organisation in one class. The next one is at the
/// back.
struct organisation_queue {
  std::vector<ranked_job> Jobs;
  double Share = 0; // dominant share: the part of all accelerators it holds

  /// The queue with the highest rank is served first.
  [[nodiscard]] double rank(const guaranteed_sharing &Policy) const {
    return std::log(Jobs.back().Response) - Policy.FairnessWeight * Share;
  }
};

/// Chooses workers for a job. A job that would lose its progress when stopped
/// avoids cells of other pools if possible, since they may be reclaimed.
std::vector<placed_member> choosePlacement(const capacity_index &Index,
                                           const job_spec &Spec,
                                           const placement_request &Request) {
  std::vector<placed_member> Members;
  if (Request.IsStoppable && !Spec.IsCheckpointable) {
    placement_request Unborrowed = Request;
    Unborrowed.IsStoppable = false;
    Members = Index.choose(Unborrowed);
  }
  return Members.empty() ? Index.choose(Request) : Members;
}

} // namespace

void scheduler_run::refreshGuarantees() {
  const bool IsDue = State.Policy.IsPlanStale && State.Tables && canAct();
  if (!IsDue)
    return;
  State.Policy.IsPlanStale = false;
  std::vector<worker_capacity> Usable;
  for (const auto &[Name, Worker] : State.Workers)
    if (Worker.isUsable())
      Usable.push_back(Worker.capacity(Name));
  const guarantee_plan Old = std::move(State.Policy.Guarantees);
  State.Policy.Guarantees =
      bindGuarantees(*State.Tables, State.Settings.DataCentre, Usable, Old);
  const guarantee_plan &Plan = State.Policy.Guarantees;

  auto Cells = cellsByWorker(Plan);
  for (auto &[Name, Worker] : State.Workers)
    Worker.Cells = std::move(Cells[Name]);
  for (const auto &[Pool, Binding] : Plan.Bindings) {
    const auto Before = Old.Bindings.find(Pool);
    if (Before != Old.Bindings.end() && Before->second == Binding)
      continue;
    log(events::GuaranteeBound, {{"pool", Pool.Value},
                                 {"rack", Binding.Rack.Value},
                                 {"workers", joinNames(Binding.Workers)}});
  }
  for (const pool_id &Pool : Plan.Unmet) {
    if (std::ranges::binary_search(Old.Unmet, Pool))
      continue;
    std::vector<worker_id> Lost;
    if (const auto Before = Old.Bindings.find(Pool);
        Before != Old.Bindings.end())
      for (const worker_id &Worker : Before->second.Workers)
        if (!State.Workers.at(Worker).isUsable())
          Lost.push_back(Worker);
    log(events::GuaranteeUnmet,
        {{"pool", Pool.Value},
         {"data_centre", State.Settings.DataCentre.Value},
         {"lost", joinNames(Lost)}});
  }
}

void scheduler_run::placeWaitingJobs() {
  std::vector<scheduled_job *> Waiting;
  for (auto &[Id, Job] : State.Jobs)
    if (Job.Step == gang_step::Waiting && !isFinal(Job.Record.Phase))
      Waiting.push_back(&Job);
  std::erase_if(Waiting,
                [this](scheduled_job *Job) { return !mayBePlaced(*Job); });
  // A guarantee that is unmet after a hardware loss may fit again now.
  State.Policy.IsPlanStale |= !State.Policy.Guarantees.Unmet.empty();
  refreshGuarantees();
  std::visit(overloaded{
                 [&](const guaranteed_sharing &Policy) {
                   checkpointForDrain(Policy);
                   placeByPolicy(Policy, std::move(Waiting));
                 },
                 [&](const first_fit &) { placeFirstFit(Waiting); },
                 [&](const best_fit_backfill &) { placeBackfill(Waiting); },
             },
             State.Settings.Strategy);
}

/// Whether the job may be placed here now. Ends or moves it if that is due.
bool scheduler_run::mayBePlaced(scheduled_job &Job) {
  if (Job.Record.IsCancelRequested) {
    cancelJob(Job);
    return false;
  }
  if (Now < Job.RetryAt || !State.Tables)
    return false;
  if (failIfLostTooOften(Job))
    return false;
  if (!Job.MovingTo.isEmpty()) {
    moveJob(Job, Job.MovingTo); // outcome unknown: it may have moved already
    return false;
  }
  if (refuseIfImpossible(Job) || moveIfNotPermitted(Job))
    return false;
  if (!mayStartTasks(State, Now)) {
    setReason(Job, "no recent evidence that the data centre is in service");
    return false;
  }
  return true;
}

void scheduler_run::setWaitReason(scheduled_job &Job) {
  const job_spec &Spec = Job.Record.Spec;
  setReason(Job, "waits for " + std::to_string(Spec.Tasks) + " times " +
                     std::to_string(Spec.AcceleratorsPerTask) +
                     " free accelerators");
}

/// The usable workers, without the capacity claimed for waiting jobs.
capacity_index scheduler_run::indexWorkers() const {
  return indexWithout(nullptr);
}

/// The same, but ignoring the claim of one job.
capacity_index scheduler_run::indexWithout(const scheduled_job *Skipped) const {
  capacity_index Index;
  for (const auto &[Name, Worker] : State.Workers)
    if (Worker.isUsable())
      Index.add(Worker.capacity(Name));
  for (const auto &[Id, Job] : State.Jobs)
    if (!Job.Claim.empty() && &Job != Skipped)
      Index.take(Job.Claim, placementRequest(Job.Record.Spec));
  return Index;
}

std::map<organisation_id, double> scheduler_run::dominantShares() const {
  double Total = 1;
  for (const auto &[Name, Worker] : State.Workers)
    Total += Worker.isUsable() ? Worker.Accelerators : 0;
  std::map<organisation_id, double> Shares;
  for (const auto &[Id, Job] : State.Jobs)
    if (!Job.Members.empty())
      Shares[Job.Record.Spec.Organisation] += heldAccelerators(Job) / Total;
  return Shares;
}

/// The response ratio: 1 + wait / (estimated run time * size). Small and short
/// jobs rise faster, and no job starves.
double scheduler_run::responseRatio(const guaranteed_sharing &Policy,
                                    const scheduled_job &Job) const {
  const job_spec &Spec = Job.Record.Spec;
  const std::chrono::duration<double> Taken =
      State.Policy.RunTimes.estimate(Spec, 0.5);
  const std::chrono::duration<double> Waited =
      State.WallNow - Job.Record.SubmittedAt;
  const double Size = std::pow(acceleratorsOf(Spec), Policy.SizeExponent);
  return 1 + (1 + Waited.count()) / (Taken.count() * Size);
}

/// Places the classes in order. Within a class, the organisation with the
/// highest rank, from response ratio and dominant share, places its next job.
void scheduler_run::placeByPolicy(const guaranteed_sharing &Policy,
                                  std::vector<scheduled_job *> Waiting) {
  startClaimedJobs();
  placeProbes(Waiting);
  std::erase_if(Waiting, [](const scheduled_job *Job) {
    return Job->Step != gang_step::Waiting || !Job->Claim.empty();
  });
  if (Waiting.empty())
    return;
  const auto Shares = dominantShares();
  std::map<work_class, std::map<organisation_id, organisation_queue>> Classes;
  for (scheduled_job *Job : Waiting) {
    const organisation_id &Name = Job->Record.Spec.Organisation;
    organisation_queue &Queue =
        Classes[rankOf(*Job, Policy, State.WallNow)][Name];
    const auto Share = Shares.find(Name);
    Queue.Share = Share == Shares.end() ? 0 : Share->second;
    Queue.Jobs.push_back({responseRatio(Policy, *Job), Job});
  }
  for (auto &[Class, Queues] : Classes)
    for (auto &[Name, Queue] : Queues)
      std::ranges::sort(Queue.Jobs, {}, [](const ranked_job &Ranked) {
        return std::pair(Ranked.Response, Ranked.Job->Record.Spec.Id);
      });
  pass_indexes Indexes{indexWorkers(), indexWithout(findReservation()), {}};
  if (const scheduled_job *Reserved = findReservation())
    Indexes.ReservedStart = Reserved->ReservedStart;
  const double Total = std::max(1, Indexes.WithReserved.freeAccelerators());
  int Searches = Policy.SearchesPerPass;
  for (auto &[Class, Queues] : Classes) {
    while (!Queues.empty()) {
      const auto Next = std::ranges::max_element(
          Queues, {}, [&](auto &Row) { return Row.second.rank(Policy); });
      scheduled_job &Job = *Next->second.Jobs.back().Job;
      Next->second.Jobs.pop_back();
      if (tryPlace(Policy, Indexes, Job))
        Next->second.Share += acceleratorsOf(Job.Record.Spec) / Total;
      else
        handleUnplacedJob(Policy, Indexes, Job, Searches);
      if (Next->second.Jobs.empty())
        Queues.erase(Next);
    }
  }
}

/// Places the job if it fits. It may use workers reserved for a blocked job if
/// similar jobs usually end before that job can start.
bool scheduler_run::tryPlace(const guaranteed_sharing &Policy,
                             pass_indexes &Indexes, scheduled_job &Job) {
  const job_spec &Spec = Job.Record.Spec;
  const placement_request Request = placementRequest(Spec);
  const auto RunTime =
      State.Policy.RunTimes.learnedQuantile(Spec, Policy.BackfillShare);
  const bool MayBackfill = RunTime && Now + *RunTime <= Indexes.ReservedStart;
  std::set<placement_request> &Failed =
      MayBackfill ? Indexes.FailedWithReserved : Indexes.Failed;
  if (Failed.contains(Request))
    return false;
  const capacity_index &Index =
      MayBackfill ? Indexes.WithReserved : Indexes.Unreserved;
  std::vector<placed_member> Members;
  if (!Job.FailedOn.empty()) {
    placement_request WithoutFailed = Request;
    WithoutFailed.Avoid.assign(Job.FailedOn.begin(), Job.FailedOn.end());
    Members = Index.choose(WithoutFailed);
  }
  if (Members.empty())
    Members = choosePlacement(Index, Spec, Request);
  if (Members.empty()) {
    Failed.insert(Request);
    return false;
  }
  Indexes.take(Members, Request);
  reserveGang(Job, std::move(Members));
  return true;
}

/// Handles a job that doesn't fit: evicts other gangs, reserves workers for it,
/// or records why it waits.
void scheduler_run::handleUnplacedJob(const guaranteed_sharing &Policy,
                                      pass_indexes &Indexes, scheduled_job &Job,
                                      int &Searches) {
  const placement_request Request = placementRequest(Job.Record.Spec);
  if (Now >= Job.NextEvictionSearch && Searches-- > 0 &&
      claimByEviction(Policy, Job)) {
    Indexes.take(Job.Claim, Request);
    return;
  }
  const bool IsOld = Now - Job.WaitingSince >= Policy.ReserveAfter;
  if (IsOld && !findReservation() && makeReservation(Policy, Job)) {
    Indexes.Unreserved.take(Job.Claim, Request);
    Indexes.ReservedStart = Job.ReservedStart;
    return;
  }
  setWaitReason(Job);
}

const scheduled_job *scheduler_run::findReservation() const {
  for (const auto &[Id, Job] : State.Jobs)
    if (!Job.Claim.empty() && Job.IsReservation)
      return &Job;
  return nullptr;
}

/// Reserves the workers on which the job can start earliest, by the estimated
/// ends of the running gangs. Returns false if it wouldn't fit even then.
bool scheduler_run::makeReservation(const guaranteed_sharing &Policy,
                                    scheduled_job &Job) {
  std::vector<std::pair<instant, const scheduled_job *>> Ends;
  for (const auto &[Id, Other] : State.Jobs)
    if (!Other.Members.empty()) {
      const milliseconds Taken =
          State.Policy.RunTimes.estimate(Other.Record.Spec, 0.5);
      // A gang near or past its estimate is assumed to run half as long again.
      const milliseconds Run = Now - Other.RunningSince;
      Ends.emplace_back(Now + std::max(Taken - Run, Run / 2), &Other);
    }
  std::ranges::sort(Ends, {}, [](const auto &End) {
    return std::pair(End.first, End.second->Record.Spec.Id);
  });
  const placement_request Request = placementRequest(Job.Record.Spec);
  const auto ChooseAfter = [&](std::size_t Ended) {
    capacity_index Index = indexWorkers();
    for (const auto &End : std::span(Ends).first(Ended))
      for (const gang_member &Member : End.second->Members)
        Index.release(Member.Place, placementRequest(End.second->Record.Spec));
    return Index.choose(Request);
  };
  if (ChooseAfter(Ends.size()).empty())
    return false;
  std::size_t Low = 0;
  std::size_t High = Ends.size();
  while (Low < High) {
    const std::size_t Middle = (Low + High) / 2;
    if (ChooseAfter(Middle).empty())
      Low = Middle + 1;
    else
      High = Middle;
  }
  Job.Claim = ChooseAfter(Low);
  Job.IsReservation = true;
  Job.ReservedStart = Low == 0 ? Now : Ends[Low - 1].first;
  Job.ClaimExpires = Now + Policy.ReservationLifetime;
  setReason(Job, "waits for workers that are reserved for it");
  return true;
}

void scheduler_run::placeFirstFit(const std::vector<scheduled_job *> &Waiting) {
  std::vector<scheduled_job *> Ordered = Waiting;
  std::ranges::sort(Ordered, {}, arrivalOrder);
  capacity_index Index = indexWorkers();
  bool IsBlocked = false;
  for (scheduled_job *Job : Ordered) {
    placement_request Request = placementRequest(Job->Record.Spec);
    Request.IsStoppable = true; // this strategy ignores guarantees
    auto Members =
        IsBlocked ? std::vector<placed_member>{} : Index.chooseFirst(Request);
    if (Members.empty()) {
      IsBlocked = true;
      setWaitReason(*Job);
      continue;
    }
    Index.take(Members, Request);
    reserveGang(*Job, std::move(Members));
  }
}

void scheduler_run::placeBackfill(const std::vector<scheduled_job *> &Waiting) {
  std::vector<scheduled_job *> Ordered = Waiting;
  std::ranges::sort(Ordered, {}, arrivalOrder);
  capacity_index Index = indexWorkers();
  std::optional<instant> ShadowTime; // earliest start of the first blocked job
  int ExtraAccelerators = 0;         // that stay free at its start
  for (scheduled_job *Job : Ordered) {
    const job_spec &Spec = Job->Record.Spec;
    placement_request Request = placementRequest(Spec);
    Request.IsStoppable = true; // this strategy ignores guarantees
    const int Needed = acceleratorsOf(Spec);
    const bool EndsInTime =
        !ShadowTime || Now + Spec.DeclaredRunTime <= *ShadowTime;
    auto Members = EndsInTime || Needed <= ExtraAccelerators
                       ? Index.choose(Request)
                       : std::vector<placed_member>{};
    if (!Members.empty()) {
      if (!EndsInTime)
        ExtraAccelerators -= Needed;
      Index.take(Members, Request);
      reserveGang(*Job, std::move(Members));
      continue;
    }
    setWaitReason(*Job);
    if (ShadowTime)
      continue;
    std::vector<std::pair<instant, int>> Ends;
    for (const auto &[Id, Other] : State.Jobs)
      if (!Other.Members.empty())
        Ends.emplace_back(Other.RunningSince +
                              Other.Record.Spec.DeclaredRunTime,
                          heldAccelerators(Other));
    std::ranges::sort(Ends);
    int Free = Index.freeAccelerators();
    ShadowTime = instant::max();
    for (const auto &[End, Count] : Ends) {
      Free += Count;
      if (Free >= Needed) {
        ShadowTime = std::max(End, Now);
        break;
      }
    }
    ExtraAccelerators = std::max(0, Free - Needed);
  }
}

} // namespace galenastage::detail
