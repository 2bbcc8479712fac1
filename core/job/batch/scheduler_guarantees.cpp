// What an organisation's guarantee covers, and which runs it may take back.

#include "core/job/batch/scheduler_internal.hpp"

namespace galenastage::batch {
namespace detail {

bool isPreemptible(const run_state &Run) {
  // A long-running task is serving requests.
  return !Run.IsUrgent && !Run.IsLongRunning && Run.GangSize > 0 &&
         Run.Phase != run_phase::Stopping;
}

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

void event_handler::recountPolicy() {
  for (auto &[Id, Job] : State.Jobs)
    touch(Job);
  for (auto &[Id, Executor] : State.Executors) {
    touch(Executor);
    for (auto &[Name, Run] : Executor.Runs)
      if (const auto Job = State.Jobs.find(Name.Task.Job);
          Job != State.Jobs.end() && !Run.IsOrphan)
        Run.IsUrgent = Job->second.Queue.Priority == 0;
  }
  State.GuaranteedUse.clear();
  for (const organisation_config &Organisation : State.Config.Organisations)
    State.GuaranteedUse[Organisation.Name] =
        countGuaranteedUse(State, Organisation.Name);
  recountUrgentUse();
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
