// What an organisation's guarantee covers, and which runs it may take back.

#include "core/job/batch/scheduler_internal.hpp"

#include <algorithm>

namespace galenastage::batch {
namespace detail {

bool isPreemptible(const run_state &Run) {
  // A long-running task is serving requests.
  return (!Run.IsUrgent || Run.IsBeyond) && !Run.IsLongRunning &&
         Run.GangSize > 0 && Run.Phase != run_phase::Stopping;
}

/// An organisation that may reclaim has no unit beyond its guarantee, so it
/// never stops urgent runs of its own.
bool event_handler::mayReclaim(const job_state &Job,
                               const placement_request &Request) const {
  if (Job.Queue.Priority != 0)
    return false;
  const organisation_config *Organisation =
      State.Config.findOrganisation(Job.Spec.Organisation);
  if (!Organisation)
    return false;
  const auto Used = State.GuaranteedUse.find(Organisation->Name);
  const std::int64_t Needed =
      std::int64_t{Request.Needs.Accelerators} * Request.Count;
  return (Used == State.GuaranteedUse.end() ? 0 : Used->second) + Needed <=
         Organisation->GuaranteedAccelerators;
}

int event_handler::guaranteeOf(const organisation_id &Organisation) const {
  const organisation_config *Found =
      State.Config.findOrganisation(Organisation);
  return Found ? Found->GuaranteedAccelerators : 0;
}

// Units beyond the guarantee

void event_handler::changeUrgentUse(job_state &Job, const unit_name &Unit,
                                    int Tasks) {
  const organisation_id &Organisation = Job.Spec.Organisation;
  const int Accelerators = Job.Spec.Steps[Unit.Step].Needs.Accelerators * Tasks;
  const int Guarantee = guaranteeOf(Organisation);
  int &Total = State.GuaranteedUse[Organisation];
  const bool WasWithin = Total <= Guarantee;
  Total += Accelerators;
  urgent_use &Use = State.UrgentUse[Organisation];
  const auto [Found, IsNew] = Use.Units.try_emplace(Unit);
  urgent_unit &Urgent = Found->second;
  if (IsNew) {
    const instant Planned = unitState(Job, Unit).Planned;
    Urgent.Since = Planned == instant{} ? Now : Planned;
    Use.InOrder.emplace(Urgent.Since, Unit);
  }
  const bool IsLast = Use.InOrder.rbegin()->second == Unit;
  const bool WasCovered = !Urgent.IsBeyond;
  Urgent.Tasks += Tasks;
  Urgent.Accelerators += Accelerators;
  if (WasCovered)
    Use.Covered += Accelerators;
  const bool IsOver = Urgent.Tasks == 0;
  if (IsOver) {
    Use.InOrder.erase({Urgent.Since, Unit});
    Use.Units.erase(Found);
  }
  if (Use.Units.empty()) {
    State.UrgentUse.erase(Organisation);
    return;
  }
  const bool IsUnaffected =
      (WasWithin && Total <= Guarantee) || (IsOver && (IsLast || !WasCovered));
  if (!IsUnaffected && IsLast)
    markLastUrgent(Organisation, Unit);
  else if (!IsUnaffected)
    markAllUrgent(Organisation);
  if (!IsOver && Tasks > 0) // the new run as the others
    setBeyond(Unit, Urgent, Urgent.IsBeyond);
}

void event_handler::markLastUrgent(const organisation_id &Organisation,
                                   const unit_name &Unit) {
  urgent_use &Use = State.UrgentUse.at(Organisation);
  urgent_unit &Urgent = Use.Units.at(Unit);
  if (!Urgent.IsBeyond)
    Use.Covered -= Urgent.Accelerators;
  const bool IsBeyond =
      State.Settings.Shares.IsEnabled &&
      Use.Covered + Urgent.Accelerators > guaranteeOf(Organisation);
  if (!IsBeyond)
    Use.Covered += Urgent.Accelerators;
  if (IsBeyond != Urgent.IsBeyond)
    setBeyond(Unit, Urgent, IsBeyond);
}

void event_handler::markAllUrgent(const organisation_id &Organisation) {
  urgent_use &Use = State.UrgentUse.at(Organisation);
  const int Guarantee = guaranteeOf(Organisation);
  Use.Covered = 0;
  for (const auto &[Since, Unit] : Use.InOrder) {
    urgent_unit &Urgent = Use.Units.at(Unit);
    const bool IsBeyond = State.Settings.Shares.IsEnabled &&
                          Use.Covered + Urgent.Accelerators > Guarantee;
    if (!IsBeyond)
      Use.Covered += Urgent.Accelerators;
    if (IsBeyond != Urgent.IsBeyond)
      setBeyond(Unit, Urgent, IsBeyond);
  }
}

void event_handler::setBeyond(const unit_name &Unit, urgent_unit &Urgent,
                              bool IsBeyond) {
  Urgent.IsBeyond = IsBeyond;
  const job_state &Job = State.Jobs.at(Unit.Job);
  const run_name First{{Unit.Job, Unit.Occurrence, Unit.Step, 0}, 0};
  for (auto Item = Job.Runs.lower_bound(First); Item != Job.Runs.end();
       ++Item) {
    const task_name &Task = Item->first.Task;
    if (Task.Occurrence != Unit.Occurrence || Task.Step != Unit.Step)
      return;
    if (unitNameOf(Job, Task) != Unit)
      continue;
    executor_state &Executor = State.Executors.at(Item->second);
    run_state &Run = Executor.Runs.at(Item->first);
    if (Run.IsBeyond == IsBeyond)
      continue;
    Run.IsBeyond = IsBeyond;
    touch(Executor);
  }
}

// Reclaiming from urgent work

double event_handler::priceBeyond(const run_name &Name,
                                  const run_state &Run) const {
  // For each weighted core, more than any run of lower priority loses.
  constexpr double UrgentLoss = 1e7;
  if (!Run.IsBeyond)
    return 0;
  const organisation_id &Organisation =
      State.Jobs.at(Name.Task.Job).Spec.Organisation;
  const int Excess =
      State.GuaranteedUse.at(Organisation) - guaranteeOf(Organisation);
  const double Elapsed =
      std::chrono::duration<double>(Now - Run.Ordered).count();
  const double Loss = UrgentLoss * (1 + 1.0 / (1 + std::max(0, Excess)));
  return (Loss + Elapsed) * weightedCores(Run.Needs) * Run.GangSize;
}

void event_handler::noteUrgentVictims(const unit_name &Unit,
                                      const placement_choice &Choice,
                                      const std::map<unit_name, int> &Groups) {
  std::map<organisation_id, int> Stopped; // units
  for (const auto &[Victim, Number] : Groups) {
    const job_state &Job = State.Jobs.at(Victim.Job);
    if (Job.Queue.Priority == 0 &&
        std::ranges::count(Choice.PreemptedGroups, Number) > 0)
      ++Stopped[Job.Spec.Organisation];
  }
  for (const auto &[Organisation, Count] : Stopped)
    log(events::UrgentReclaimed,
        {{"job", Unit.Job.Value},
         {"organisation", State.Jobs.at(Unit.Job).Spec.Organisation.Value},
         {"from", Organisation.Value},
         {"stopped", std::to_string(Count)},
         {"used", std::to_string(State.GuaranteedUse[Organisation])},
         {"guaranteed", std::to_string(guaranteeOf(Organisation))}});
}

// Changes of the configuration

void event_handler::recountPolicy() {
  for (auto &[Id, Job] : State.Jobs)
    touch(Job);
  for (auto &[Id, Executor] : State.Executors) {
    touch(Executor);
    for (auto &[Name, Run] : Executor.Runs)
      if (const auto Job = State.Jobs.find(Name.Task.Job);
          Job != State.Jobs.end() && !Run.IsOrphan) {
        Run.IsUrgent = Job->second.Queue.Priority == 0;
        Run.IsBeyond = false;
      }
  }
  State.UrgentUse = countUrgentUse();
  State.GuaranteedUse.clear();
  for (const auto &[Organisation, Use] : State.UrgentUse) {
    for (const auto &[Unit, Urgent] : Use.Units)
      State.GuaranteedUse[Organisation] += Urgent.Accelerators;
    markAllUrgent(Organisation);
  }
  std::vector<unit_name> Uncovered;
  for (const auto &[Unit, Plan] : State.Plans) {
    const job_state &Job = State.Jobs.at(Unit.Job);
    if (State.UrgentUse.at(Job.Spec.Organisation).Units.at(Unit).IsBeyond)
      Uncovered.push_back(Unit);
  }
  for (const unit_name &Unit : Uncovered) {
    const organisation_id Organisation =
        State.Jobs.at(Unit.Job).Spec.Organisation;
    log(events::ReclaimDropped,
        {{"job", Unit.Job.Value},
         {"organisation", Organisation.Value},
         {"used", std::to_string(State.GuaranteedUse[Organisation])},
         {"guaranteed", std::to_string(guaranteeOf(Organisation))}});
    dropPlan(Unit);
  }
}

/// The urgent units by the runs and plans, each known one with its time and
/// mark.
std::map<organisation_id, urgent_use> event_handler::countUrgentUse() const {
  std::map<organisation_id, urgent_use> Recount;
  const auto Add = [&](const job_state &Job, const unit_name &Unit,
                       instant Since, int Tasks) {
    urgent_use &Use = Recount[Job.Spec.Organisation];
    const auto [Found, IsNew] = Use.Units.try_emplace(Unit);
    urgent_unit &Urgent = Found->second;
    if (IsNew) {
      const auto Known = State.UrgentUse.find(Job.Spec.Organisation);
      const bool IsKnown =
          Known != State.UrgentUse.end() && Known->second.Units.contains(Unit);
      Urgent.Since = IsKnown ? Known->second.Units.at(Unit).Since : Since;
      Use.InOrder.emplace(Urgent.Since, Unit);
    }
    Urgent.Tasks += Tasks;
    Urgent.Accelerators += Tasks * Job.Spec.Steps[Unit.Step].Needs.Accelerators;
  };
  for (const auto &[Id, Executor] : State.Executors)
    for (const auto &[Name, Run] : Executor.Runs)
      if (Run.IsUrgent && !Run.IsOrphan)
        if (const auto Job = State.Jobs.find(Name.Task.Job);
            Job != State.Jobs.end())
          Add(Job->second, unitNameOf(Job->second, Name.Task), Run.Ordered, 1);
  for (const auto &[Unit, Plan] : State.Plans)
    if (const auto Job = State.Jobs.find(Unit.Job); Job != State.Jobs.end())
      Add(Job->second, Unit, Plan.CreatedAt,
          static_cast<int>(Plan.Executors.size()));
  return Recount;
}

std::string event_handler::explainStaleGuarantees() {
  const std::map<organisation_id, urgent_use> Known = State.UrgentUse;
  State.UrgentUse = countUrgentUse();
  for (const auto &[Organisation, Use] : State.UrgentUse)
    markAllUrgent(Organisation);
  if (State.UrgentUse != Known)
    return "what is beyond a guarantee is stale";
  for (const auto &[Id, Executor] : State.Executors)
    for (const auto &[Name, Run] : Executor.Runs) {
      const auto Job = State.Jobs.find(Name.Task.Job);
      const bool IsCounted =
          Run.IsUrgent && !Run.IsOrphan && Job != State.Jobs.end();
      // A former leader may list one run on two executors: where it chose to
      // start it, and where the next leader did. Its job knows the latter.
      if (IsCounted) {
        const auto Linked = Job->second.Runs.find(Name);
        if (Linked == Job->second.Runs.end() || Linked->second != Id)
          continue;
      }
      const bool IsBeyond =
          IsCounted && Known.at(Job->second.Spec.Organisation)
                           .Units.at(unitNameOf(Job->second, Name.Task))
                           .IsBeyond;
      if (Run.IsBeyond != IsBeyond)
        return "the mark of a run of " + printTask(Name.Task) + " is stale";
    }
  return {};
}

} // namespace detail

int countGuaranteedUse(const scheduler_state &State,
                       const organisation_id &Organisation) {
  int Use = 0;
  for (const auto &[Id, Executor] : State.Executors)
    for (const auto &[Name, Run] : Executor.Runs) {
      const auto Job = State.Jobs.find(Name.Task.Job);
      if (Run.IsUrgent && Job != State.Jobs.end() &&
          Job->second.Spec.Organisation == Organisation)
        Use += Job->second.Spec.Steps[Name.Task.Step].Needs.Accelerators;
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
