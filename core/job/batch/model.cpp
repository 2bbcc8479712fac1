#include "core/job/batch/model.hpp"

#include <algorithm>

namespace galenastage::batch {
namespace {

constexpr double CoresPerAccelerator = 8; // weight in the users' objective
constexpr int MilliPerCore = 1'000;
constexpr int MaxTasksPerStep = 100'000;

std::string explainInvalidStep(const step_spec &Step, int Number) {
  const std::string Path = "steps[" + std::to_string(Number) + "]";
  if (Step.Count < 1 || Step.Count > MaxTasksPerStep)
    return Path + ".count must be from 1 to " + std::to_string(MaxTasksPerStep);
  if (Step.Needs.MilliCpu < 0 || Step.Needs.MemoryMb < 0 ||
      Step.Needs.Accelerators < 0)
    return Path + " needs a negative amount";
  for (int Earlier : Step.After)
    if (Earlier < 0 || Earlier >= Number)
      return Path + ".after must name earlier steps";
  return {};
}

} // namespace

resources &resources::operator+=(const resources &Other) {
  MilliCpu += Other.MilliCpu;
  MemoryMb += Other.MemoryMb;
  Accelerators += Other.Accelerators;
  return *this;
}

resources &resources::operator-=(const resources &Other) {
  MilliCpu -= Other.MilliCpu;
  MemoryMb -= Other.MemoryMb;
  Accelerators -= Other.Accelerators;
  return *this;
}

bool resources::covers(const resources &Needs) const {
  return MilliCpu >= Needs.MilliCpu && MemoryMb >= Needs.MemoryMb &&
         Accelerators >= Needs.Accelerators;
}

resources operator+(resources Left, const resources &Right) {
  return Left += Right;
}

resources operator-(resources Left, const resources &Right) {
  return Left -= Right;
}

resources operator*(resources Each, int Count) {
  return {Each.MilliCpu * Count, Each.MemoryMb * Count,
          Each.Accelerators * Count};
}

double weightedCores(const resources &Amount) {
  return static_cast<double>(Amount.MilliCpu) / MilliPerCore +
         CoresPerAccelerator * Amount.Accelerators;
}

resources reservedResources(const step_spec &Step) {
  resources Held = Step.Needs;
  if (Step.FillsIdleCpu)
    Held.MilliCpu = 0;
  return Held;
}

std::string explainInvalid(const job_spec &Job) {
  if (Job.Steps.empty())
    return "steps is empty";
  for (std::size_t I = 0; I < Job.Steps.size(); ++I)
    if (auto Reason = explainInvalidStep(Job.Steps[I], static_cast<int>(I));
        !Reason.empty())
      return Reason;
  if (Job.Schedule.Repetitions < 0)
    return "repetitions is negative";
  return {};
}

std::string explainOversized(const job_spec &Job) {
  std::int64_t Tasks = 0;
  for (const step_spec &Step : Job.Steps)
    Tasks += Step.Count;
  if (Tasks > MaxTasksPerJob)
    return "steps have " + std::to_string(Tasks) + " tasks in all, more than " +
           std::to_string(MaxTasksPerJob);
  if (Job.Schedule.Repetitions > MaxRepetitions)
    return "repetitions is " + std::to_string(Job.Schedule.Repetitions) +
           ", more than " + std::to_string(MaxRepetitions);
  const milliseconds Interval = Job.Schedule.Interval;
  if (Interval < milliseconds(0) || Interval > MaxInterval)
    return "interval must be from 0 ms to " +
           std::to_string(MaxInterval.count()) + " ms, it is " +
           std::to_string(Interval.count()) + " ms";
  return {};
}

bool hasTask(const job_spec &Job, const task_name &Task) {
  return Task.Step >= 0 && Task.Step < static_cast<int>(Job.Steps.size()) &&
         Task.Index >= 0 && Task.Index < Job.Steps[Task.Step].Count;
}

const queue_config *deployment_config::findQueue(const route_id &Name) const {
  const auto Found = std::ranges::find(Queues, Name, &queue_config::Name);
  return Found == Queues.end() ? nullptr : &*Found;
}

const organisation_config *
deployment_config::findOrganisation(const organisation_id &Name) const {
  const auto Found =
      std::ranges::find(Organisations, Name, &organisation_config::Name);
  return Found == Organisations.end() ? nullptr : &*Found;
}

const organisation_config *
deployment_config::findKey(std::string_view Key) const {
  if (Key.empty())
    return nullptr;
  for (const organisation_config &Organisation : Organisations)
    if (std::ranges::find(Organisation.Keys, Key) != Organisation.Keys.end())
      return &Organisation;
  return nullptr;
}

const queue_config *deployment_config::match(std::string_view Host,
                                             std::string_view Path) const {
  const queue_config *Best = nullptr;
  for (const queue_config &Queue : Queues)
    if (Queue.Host == Host && Path.starts_with(Queue.Prefix) &&
        (!Best || Queue.Prefix.size() > Best->Prefix.size()))
      Best = &Queue;
  return Best;
}

bool executor_report::hasLabel(std::string_view Label) const {
  return Kind == Label || Rack.Value == Label;
}

std::string_view name(run_end End) {
  switch (End) {
  case run_end::Done:
    return "done";
  case run_end::Failed:
    return "failed";
  case run_end::Stopped:
    return "stopped";
  case run_end::Lapsed:
    return "lapsed";
  case run_end::Broken:
    return "broken";
  case run_end::GangIncomplete:
    return "alone";
  case run_end::Lost:
    break;
  }
  return "vanished";
}

} // namespace galenastage::batch
