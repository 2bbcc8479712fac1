#include "core/job/job.hpp"

#include "core/config/json_reader.hpp"

namespace galenastage {
namespace {

using nlohmann::json;

constexpr int MaxTasks = 1'024;
constexpr int MaxAcceleratorsPerTask = 64;
constexpr int MaxDeclaredSeconds = 30 * 24 * 3'600;

int readRanged(detail::object_reader &Reader, const std::string &Field,
               int Default, int Max) {
  const int Value = Reader.integer(Field, Default);
  if (Value < 1 || Value > Max)
    Reader.addProblem(Field, "must lie in [1, " + std::to_string(Max) + "]");
  return Value;
}

job_spec readSpec(detail::object_reader &Reader) {
  job_spec Spec;
  Spec.Organisation = Reader.identifier<organisation_id>("organisation");
  Spec.Pool = Reader.identifier<pool_id>("pool");
  Spec.Class = Reader.workClass("class");
  Spec.Tasks = readRanged(Reader, "tasks", 1, MaxTasks);
  Spec.AcceleratorsPerTask =
      readRanged(Reader, "accelerators_per_task", 1, MaxAcceleratorsPerTask);
  Spec.DeclaredRunTime =
      seconds(readRanged(Reader, "declared_seconds", 60, MaxDeclaredSeconds));
  Spec.IsCheckpointable = Reader.optional<bool>("checkpointable", false);
  Spec.IsIdempotent = Reader.optional<bool>("idempotent", true);
  Spec.DataCentres = Reader.identifierList<data_centre_id>("data_centres");
  return Spec;
}

std::optional<job_phase> phaseOf(std::string_view Name) {
  for (job_phase Phase :
       {job_phase::Waiting, job_phase::Starting, job_phase::Running,
        job_phase::Finished, job_phase::Failed, job_phase::Cancelled,
        job_phase::Refused})
    if (Name == name(Phase))
      return Phase;
  return std::nullopt;
}

verdict verdictOf(std::string_view Name) {
  if (Name == name(verdict::NotRun))
    return verdict::NotRun;
  return Name == name(verdict::Ran) ? verdict::Ran : verdict::Unknown;
}

wall_instant wallInstantOf(std::int64_t Milliseconds) {
  return wall_instant(milliseconds(Milliseconds));
}

/// Discarded, with a problem, when the text can't be read.
json parseDocument(std::string_view Text,
                   std::vector<table_problem> &Problems) {
  if (std::string Reason = explainTooComplex(Text); !Reason.empty()) {
    Problems.push_back({"", std::move(Reason)});
    return json::value_t::discarded;
  }
  json Document = json::parse(Text, nullptr, false);
  if (Document.is_discarded())
    Problems.push_back({"", "is not valid JSON"});
  return Document;
}

} // namespace

std::string_view name(job_phase Phase) {
  switch (Phase) {
  case job_phase::Waiting:
    return "waiting";
  case job_phase::Starting:
    return "starting";
  case job_phase::Running:
    return "running";
  case job_phase::Finished:
    return "finished";
  case job_phase::Failed:
    return "failed";
  case job_phase::Cancelled:
    return "cancelled";
  case job_phase::Refused:
    break;
  }
  return "refused";
}

bool isFinal(job_phase Phase) { return Phase >= job_phase::Finished; }

parsed_job<job_spec> parseJobSpec(std::string_view Text) {
  parsed_job<job_spec> Result;
  const json Document = parseDocument(Text, Result.Problems);
  if (Document.is_discarded())
    return Result;
  detail::object_reader Reader(Document, "", Result.Problems);
  job_spec Spec = readSpec(Reader);
  Reader.rejectUnknown();
  if (Result.Problems.empty())
    Result.Job = std::move(Spec);
  return Result;
}

parsed_job<job_record> parseJobRecord(std::string_view Text) {
  parsed_job<job_record> Result;
  const json Document = parseDocument(Text, Result.Problems);
  if (Document.is_discarded())
    return Result;
  detail::object_reader Reader(Document, "", Result.Problems);
  job_record Record;
  Record.Spec = readSpec(Reader);
  Record.Spec.Id = Reader.identifier<job_id>("id");
  Record.Spec.IdempotencyKey =
      Reader.optional<std::string>("idempotency_key", "");
  const auto Phase = phaseOf(Reader.required<std::string>("phase"));
  if (!Phase)
    Reader.addProblem("phase", "is not a known phase");
  Record.Phase = Phase.value_or(job_phase::Waiting);
  Record.Attempt = Reader.optional<std::uint32_t>("attempt", 0);
  Record.Verdict =
      verdictOf(Reader.optional<std::string>("verdict", "unknown"));
  Record.IsCancelRequested = Reader.optional<bool>("cancel_requested", false);
  Record.Losses = Reader.optional<std::uint32_t>("losses", 0);
  Record.DataCentre = Reader.identifier<data_centre_id>("data_centre");
  Record.Reason = Reader.optional<std::string>("reason", "");
  Record.Placement = Reader.identifierList<worker_id>("placement");
  Record.SubmittedAt =
      wallInstantOf(Reader.optional<std::int64_t>("submitted_ms", 0));
  Record.FinishedAt =
      wallInstantOf(Reader.optional<std::int64_t>("finished_ms", 0));
  if (Result.Problems.empty())
    Result.Job = std::move(Record);
  return Result;
}

void to_json(json &Json, const job_record &Record) {
  const job_spec &Spec = Record.Spec;
  Json = {{"id", Spec.Id.Value},
          {"organisation", Spec.Organisation.Value},
          {"pool", Spec.Pool.Value},
          {"class", name(Spec.Class)},
          {"tasks", Spec.Tasks},
          {"accelerators_per_task", Spec.AcceleratorsPerTask},
          {"declared_seconds", Spec.DeclaredRunTime.count() / 1'000},
          {"checkpointable", Spec.IsCheckpointable},
          {"idempotent", Spec.IsIdempotent},
          {"data_centres", detail::namesOf(Spec.DataCentres)},
          {"idempotency_key", Spec.IdempotencyKey},
          {"phase", name(Record.Phase)},
          {"attempt", Record.Attempt},
          {"verdict", name(Record.Verdict)},
          {"cancel_requested", Record.IsCancelRequested},
          {"losses", Record.Losses},
          {"data_centre", Record.DataCentre.Value},
          {"reason", Record.Reason},
          {"placement", detail::namesOf(Record.Placement)},
          {"submitted_ms", Record.SubmittedAt.time_since_epoch().count()},
          {"finished_ms", Record.FinishedAt.time_since_epoch().count()}};
}

std::string printJobRecord(const job_record &Record) {
  return json(Record).dump();
}

std::string jobPrefix(const data_centre_id &DataCentre) {
  return "/galenastage/jobs/" + DataCentre.Value + "/";
}

std::string jobKey(const data_centre_id &DataCentre, const job_id &Id) {
  return jobPrefix(DataCentre) + Id.Value;
}

std::string jobIndexKey(const job_id &Id) {
  return "/galenastage/job-index/" + Id.Value;
}

} // namespace galenastage
