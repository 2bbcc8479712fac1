#include "core/job/batch/records.hpp"

#include "core/json_number.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace galenastage::batch {
namespace {

using json = nlohmann::json;

constexpr int RecordVersion = 1; // increased when readers must change

json printStep(const step_spec &Step) {
  return {{"count", Step.Count},
          {"millicpu", Step.Needs.MilliCpu},
          {"memory_mb", Step.Needs.MemoryMb},
          {"accelerators", Step.Needs.Accelerators},
          {"estimate_ms", Step.Estimate.count()},
          {"after", Step.After},
          {"checkpointing", Step.IsCheckpointing},
          {"gang", Step.IsGang},
          {"rack_local", Step.IsRackLocal},
          {"requirement", Step.Requirement},
          {"affinity", Step.Affinity.Value},
          {"max_per_executor", Step.MaxPerExecutor},
          {"speculative", Step.IsSpeculative},
          {"long_running", Step.IsLongRunning},
          {"image", Step.Image},
          {"latency_target_ms", Step.LatencyTarget.count()},
          {"fills_idle_cpu", Step.FillsIdleCpu},
          {"max_missing", Step.MaxMissing}};
}

/// Earlier programs stored any number; sums must not overflow.
std::int64_t readClamped(const json &Value, const std::string &Field,
                         number_range<std::int64_t> Range) {
  return std::clamp(readWhole<std::int64_t>(Value, Field), Range.Min,
                    Range.Max);
}

milliseconds readDuration(const json &Record, const char *Field) {
  return milliseconds(readClamped(Record.at(Field), Field, DurationRange));
}

step_spec readStep(const json &Record) {
  step_spec Step;
  Step.Count = readWhole<int>(Record.at("count"), "count");
  Step.Needs = {readWhole<int>(Record.at("millicpu"), "millicpu"),
                readWhole<int>(Record.at("memory_mb"), "memory_mb"),
                readWhole<int>(Record.at("accelerators"), "accelerators")};
  Step.Estimate = readDuration(Record, "estimate_ms");
  Step.After = readWholeList(Record.at("after"), "after");
  Step.IsCheckpointing = Record.at("checkpointing").get<bool>();
  Step.IsGang = Record.at("gang").get<bool>();
  Step.IsRackLocal = Record.at("rack_local").get<bool>();
  Step.Requirement = Record.at("requirement").get<std::string>();
  Step.Affinity = rack_id(Record.at("affinity").get<std::string>());
  Step.MaxPerExecutor =
      readWhole<int>(Record.at("max_per_executor"), "max_per_executor");
  Step.IsSpeculative = Record.at("speculative").get<bool>();
  Step.IsLongRunning = Record.at("long_running").get<bool>();
  Step.Image = Record.at("image").get<std::string>();
  Step.LatencyTarget = readDuration(Record, "latency_target_ms");
  Step.FillsIdleCpu = Record.at("fills_idle_cpu").get<bool>();
  Step.MaxMissing = readWhole<int>(Record.at("max_missing"), "max_missing");
  return Step;
}

/// Only the fields that a leader needs after the queue was removed from the
/// configuration.
json printQueue(const queue_config &Queue) {
  return {{"name", Queue.Name.Value},
          {"service", Queue.Service.Value},
          {"priority", Queue.Priority},
          {"max_attempts", Queue.MaxAttempts},
          {"stretch_factor", Queue.StretchFactor},
          {"target_ms", Queue.TargetDuration.count()}};
}

queue_config readQueue(const json &Record) {
  queue_config Queue;
  Queue.Name = route_id(Record.at("name").get<std::string>());
  Queue.Service = service_id(Record.at("service").get<std::string>());
  Queue.Priority = readWhole<int>(Record.at("priority"), "priority");
  Queue.MaxAttempts = readWhole<int>(Record.at("max_attempts"), "max_attempts");
  Queue.StretchFactor = Record.at("stretch_factor").get<double>();
  Queue.TargetDuration = readDuration(Record, "target_ms");
  return Queue;
}

std::int64_t toMilliseconds(wall_instant Moment) {
  return Moment.time_since_epoch().count();
}

wall_instant toWallInstant(const json &Value) {
  return wall_instant(milliseconds(readClamped(Value, "moment", MomentRange)));
}

json readVersioned(std::string_view Text) {
  json Record = parseJson(Text);
  if (readWhole<int>(Record.at("version"), "version") != RecordVersion)
    throw std::out_of_range(
        "the record has version " + describe(Record.at("version")) +
        ", this program reads version " + std::to_string(RecordVersion));
  return Record;
}

/// Calls Read and turns its exceptions into an error with a reason.
template <typename Value, typename Reader>
parsed_record<Value> readRecord(Reader &&Read) {
  parsed_record<Value> Result;
  try {
    Result.Record = Read();
  } catch (const std::exception &Error) {
    Result.Error = make_error_code(errc::InvalidJob);
    Result.Reason = reasonOf(Error);
  }
  return Result;
}

/// [first, others...] in one list.
json printAttempts(const counted_attempts &Attempts) {
  json Record = json::array({Attempts.UpTo});
  for (const int Attempt : Attempts.Later)
    Record.push_back(Attempt);
  return Record;
}

counted_attempts readAttempts(const json &Record) {
  counted_attempts Attempts{readWhole<int>(Record.at(0), "attempts"), {}};
  for (std::size_t I = 1; I < Record.size(); ++I)
    Attempts.add(readWhole<int>(Record[I], "attempts"));
  return Attempts;
}

/// [done, attempts, failures, failed attempt, checkpoint, executors,
/// incarnations, crashes, crashed attempts, failed attempts]. Earlier programs
/// wrote and read the first six or eight. The last two are left out when both
/// are empty.
json printUnit(const unit_progress &Unit) {
  json Executors = json::array();
  json Incarnations = json::array();
  for (const task_placement &Placed : Unit.Placed) {
    Executors.push_back(Placed.Executor.Value);
    Incarnations.push_back(Placed.Incarnation);
  }
  json Crashes = json::array();
  for (const crash_record &Record : Unit.Crashes)
    Crashes.push_back({Record.Crashes, Record.Blamed});
  json Record =
      json::array({Unit.IsDone ? 1 : 0, Unit.Attempts, Unit.Failures,
                   Unit.FailedAttempt, Unit.Checkpoint, std::move(Executors),
                   std::move(Incarnations), std::move(Crashes)});
  if (Unit.Crashed.empty() && Unit.Failed.isEmpty())
    return Record;
  json Crashed = json::array();
  for (const counted_attempts &Attempts : Unit.Crashed)
    Crashed.push_back(printAttempts(Attempts));
  Record.push_back(std::move(Crashed));
  Record.push_back(printAttempts(Unit.Failed));
  return Record;
}

/// Earlier programs stored counts without their attempts. Each attempt that may
/// be in them is taken to be: one more start harms less than a second count.
void assumeCounted(unit_progress &Unit) {
  for (const crash_record &Crash : Unit.Crashes)
    Unit.Crashed.push_back({Crash.Crashes > 0 ? Unit.Attempts : 0, {}});
  if (Unit.Failures == 1)
    Unit.Failed.add(Unit.FailedAttempt);
  else if (Unit.Failures > 1)
    Unit.Failed.UpTo = std::max(Unit.FailedAttempt, Unit.Attempts - 1);
}

unit_progress readUnit(const json &Record) {
  unit_progress Unit{readWhole<int>(Record.at(0), "unit") != 0,
                     readWhole<int>(Record.at(1), "unit"),
                     readWhole<int>(Record.at(2), "unit"),
                     readWhole<int>(Record.at(3), "unit"),
                     Record.at(4).get<std::string>(),
                     {},
                     {},
                     {},
                     {}};
  for (const json &Id : Record.at(5))
    Unit.Placed.push_back({executor_id(Id.get<std::string>()), 0});
  const bool HasCrashes = Record.size() > 6;
  if (!HasCrashes) {
    assumeCounted(Unit);
    return Unit;
  }
  const json &Incarnations = Record.at(6);
  if (Incarnations.size() != Unit.Placed.size())
    throw std::out_of_range("executors and incarnations differ in number");
  for (std::size_t I = 0; I < Unit.Placed.size(); ++I)
    Unit.Placed[I].Incarnation =
        readWhole<std::int64_t>(Incarnations[I], "incarnation");
  for (const json &Crash : Record.at(7))
    Unit.Crashes.push_back({readWhole<int>(Crash.at(0), "crashes"),
                            readWhole<int>(Crash.at(1), "crashes")});
  const bool HasAttempts = Record.size() > 8;
  if (!HasAttempts) {
    assumeCounted(Unit);
    return Unit;
  }
  for (const json &Attempts : Record.at(8))
    Unit.Crashed.push_back(readAttempts(Attempts));
  Unit.Failed = readAttempts(Record.at(9));
  return Unit;
}

json printOccurrence(int Number, const occurrence_progress &Occurrence) {
  json Steps = json::array();
  for (const step_progress &Step : Occurrence.Steps) {
    json Units = json::array();
    for (const unit_progress &Unit : Step.Units)
      Units.push_back(printUnit(Unit));
    Steps.push_back(std::move(Units));
  }
  return {{"number", Number},
          {"done", Occurrence.IsDone},
          {"steps", std::move(Steps)}};
}

occurrence_progress readOccurrence(const json &Record, const job_spec &Job) {
  occurrence_progress Occurrence;
  Occurrence.IsDone = Record.at("done").get<bool>();
  if (Occurrence.IsDone)
    return Occurrence;
  const json &Steps = Record.at("steps");
  if (Steps.size() != Job.Steps.size())
    throw std::out_of_range("the number of steps differs from the job");
  for (std::size_t I = 0; I < Steps.size(); ++I) {
    step_progress Step;
    for (const json &Unit : Steps[I])
      Step.Units.push_back(readUnit(Unit));
    if (static_cast<int>(Step.Units.size()) != countUnits(Job.Steps[I]))
      throw std::out_of_range("step " + std::to_string(I) +
                              " has a different number of units than the job");
    Occurrence.Steps.push_back(std::move(Step));
  }
  return Occurrence;
}

organisation_id readOrganisation(const json &Record) {
  return organisation_id(Record.at("organisation").get<std::string>());
}

job_phase readPhase(const json &Record) {
  const auto Phase = parseJobPhase(Record.at("phase").get<std::string>());
  if (!Phase)
    throw std::out_of_range("unknown phase " + describe(Record.at("phase")));
  return *Phase;
}

} // namespace

std::string printSpec(const job_spec &Job) {
  json Steps = json::array();
  for (const step_spec &Step : Job.Steps)
    Steps.push_back(printStep(Step));
  const json Record = {{"version", RecordVersion},
                       {"id", Job.Id.Value},
                       {"queue", printQueue(Job.Queue)},
                       {"organisation", Job.Organisation.Value},
                       {"payload", Job.Payload},
                       {"steps", std::move(Steps)},
                       {"repetitions", Job.Schedule.Repetitions},
                       {"start_ms", toMilliseconds(Job.Schedule.Start)},
                       {"interval_ms", Job.Schedule.Interval.count()},
                       {"submitted_ms", toMilliseconds(Job.Submitted)}};
  return Record.dump(-1, ' ', false, json::error_handler_t::replace);
}

parsed_record<job_spec> parseSpec(std::string_view Text) {
  return readRecord<job_spec>([&] {
    const json Record = readVersioned(Text);
    job_spec Job;
    Job.Id = job_id(Record.at("id").get<std::string>());
    Job.Queue = readQueue(Record.at("queue"));
    Job.Organisation = readOrganisation(Record);
    Job.Payload = Record.at("payload").get<std::string>();
    for (const json &Step : Record.at("steps"))
      Job.Steps.push_back(readStep(Step));
    Job.Schedule = {readWhole<int>(Record.at("repetitions"), "repetitions"),
                    toWallInstant(Record.at("start_ms")),
                    readDuration(Record, "interval_ms")};
    Job.Submitted = toWallInstant(Record.at("submitted_ms"));
    if (std::string Reason = explainInvalid(Job); !Reason.empty())
      throw std::out_of_range(Reason);
    return Job;
  });
}

std::string printProgress(const job_progress &Progress) {
  json Occurrences = json::array();
  for (const auto &[Number, Occurrence] : Progress.Occurrences)
    Occurrences.push_back(printOccurrence(Number, Occurrence));
  const json Record = {{"version", RecordVersion},
                       {"organisation", Progress.Organisation.Value},
                       {"phase", name(Progress.Phase)},
                       {"ended_ms", toMilliseconds(Progress.Ended)},
                       {"occurrences", std::move(Occurrences)}};
  return Record.dump();
}

parsed_record<job_progress> parseProgress(std::string_view Text,
                                          const job_spec &Job) {
  return readRecord<job_progress>([&] {
    const json Record = readVersioned(Text);
    job_progress Progress;
    Progress.Organisation = readOrganisation(Record);
    Progress.Phase = readPhase(Record);
    Progress.Ended = toWallInstant(Record.at("ended_ms"));
    for (const json &Occurrence : Record.at("occurrences"))
      Progress.Occurrences[readWhole<int>(Occurrence.at("number"), "number")] =
          readOccurrence(Occurrence, Job);
    return Progress;
  });
}

parsed_record<job_summary> parseSummary(std::string_view Text) {
  return readRecord<job_summary>([&] {
    const json Record = readVersioned(Text);
    return job_summary{readOrganisation(Record), readPhase(Record)};
  });
}

} // namespace galenastage::batch
