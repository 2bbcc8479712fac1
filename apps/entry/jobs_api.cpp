#include "apps/entry/traffic.hpp"
#include "apps/runtime/logging.hpp"
#include "apps/runtime/process.hpp"
#include "core/job/job.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace galenastage {
namespace {

using nlohmann::json;

constexpr std::size_t JobIdDigits = 16;
constexpr int MaxCancelAttempts = 5;

/// Derives the job id from the idempotency key, so that a repeated submission
/// gets the same id.
job_id jobIdOf(const organisation_id &Organisation, const std::string &Key) {
  const std::string Text = Organisation.Value + '\0' + Key;
  const XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  char Digits[33];
  std::snprintf(Digits, sizeof Digits, "%016llx%016llx",
                static_cast<unsigned long long>(Hash.high64),
                static_cast<unsigned long long>(Hash.low64));
  return job_id(Digits);
}

/// Checks a submission against the tables in force.
std::vector<table_problem> checkJob(const job_spec &Spec,
                                    const tables &Tables) {
  std::vector<table_problem> Problems;
  const pool *Pool = findPool(Tables, Spec.Pool);
  if (!Pool)
    Problems.push_back({"pool", "no pool is called '" + Spec.Pool.Value + "'"});
  else if (Pool->Organisation != Spec.Organisation)
    Problems.push_back({"organisation", "pool '" + Spec.Pool.Value +
                                            "' belongs to '" +
                                            Pool->Organisation.Value + "'"});
  for (const data_centre_id &Name : Spec.DataCentres)
    if (!findDataCentre(Tables, Name))
      Problems.push_back(
          {"data_centres", "no data centre is called '" + Name.Value + "'"});
  return Problems;
}

/// The data centre whose scheduler owns the job: the local one if the job may
/// run there, or else the first permitted one.
data_centre_id chooseOwner(const job_spec &Spec, const tables &Tables,
                           const data_centre_id &LocalDataCentre) {
  const pool *Pool = findPool(Tables, Spec.Pool);
  const auto &Permitted =
      Spec.DataCentres.empty() ? Pool->DataCentres : Spec.DataCentres;
  if (isPermitted(Tables, Permitted, LocalDataCentre))
    return LocalDataCentre;
  for (const data_centre_row &Row : Tables.DataCentres)
    if (isPermitted(Tables, Permitted, Row.Name))
      return Row.Name;
  // No permitted data centre is in service: the job waits at its owner.
  return Permitted.empty() ? LocalDataCentre : Permitted.front();
}

http_response acceptedResponse(const job_record &Record) {
  http_response Response = jsonResponse(202, printJobRecord(Record));
  Response.Headers.set("Location", "/v1/jobs/" + Record.Spec.Id.Value);
  return Response;
}

http_response notFoundResponse(const job_id &Id) {
  return problemResponse(404, "no such job", Id.Value, verdict::NotRun);
}

struct found_job {
  std::error_code Error;
  std::optional<job_record> Record;
  std::int64_t Revision = 0;
};

task<found_job> findJob(traffic_thread &Thread, job_id Id) {
  found_job Found;
  const store_read Index = co_await Thread.Store.read(jobIndexKey(Id));
  Found.Error = Index.Error;
  if (Index.Error || Index.Entries.empty())
    co_return Found;
  const data_centre_id Owner(Index.Entries.front().Value);
  const store_read Read = co_await Thread.Store.read(jobKey(Owner, Id));
  Found.Error = Read.Error;
  if (Read.Error || Read.Entries.empty())
    co_return Found;
  Found.Record = parseJobRecord(Read.Entries.front().Value).Job;
  Found.Revision = Read.Entries.front().ModRevision;
  co_return Found;
}

task<http_response> submitJob(traffic_thread &Thread, http_request Request) {
  if (!Thread.Snapshot)
    co_return storeUnavailableResponse(verdict::NotRun);
  auto Parsed = parseJobSpec(Request.Body);
  if (!Parsed.Job)
    co_return invalidResponse("invalid job", Parsed.Problems);
  job_record Record;
  Record.Spec = std::move(*Parsed.Job);
  const tables &Tables = *Thread.Snapshot->Tables;
  const auto Problems = checkJob(Record.Spec, Tables);
  if (!Problems.empty())
    co_return invalidResponse("invalid job", Problems);

  Record.Spec.IdempotencyKey = Request.Headers.find("Idempotency-Key");
  Record.Spec.Id =
      Record.Spec.IdempotencyKey.empty()
          ? job_id(randomHex(JobIdDigits))
          : jobIdOf(Record.Spec.Organisation, Record.Spec.IdempotencyKey);
  Record.DataCentre =
      chooseOwner(Record.Spec, Tables, Thread.Config.DataCentre);
  Record.Reason = "accepted";
  Record.SubmittedAt = readWallClock();

  store_transaction Transaction;
  Transaction.Conditions.push_back(key_missing{jobIndexKey(Record.Spec.Id)});
  Transaction.Changes.push_back(
      put_key{jobIndexKey(Record.Spec.Id), Record.DataCentre.Value});
  Transaction.Changes.push_back(put_key{
      jobKey(Record.DataCentre, Record.Spec.Id), printJobRecord(Record)});
  const store_write Write =
      co_await Thread.Store.commit(std::move(Transaction));
  if (!Write.Error && Write.IsApplied) {
    writeLog(events::JobAccepted, {{"job", Record.Spec.Id.Value},
                                   {"owner", Record.DataCentre.Value}});
    co_return acceptedResponse(Record);
  }
  if (Write.Error && Write.Verdict == verdict::NotRun)
    co_return storeUnavailableResponse(verdict::NotRun);
  // Either a repeated submission or a lost response: the stored record decides.
  const found_job Found = co_await findJob(Thread, Record.Spec.Id);
  if (Found.Record)
    co_return acceptedResponse(*Found.Record);
  if (!Found.Error)
    co_return storeUnavailableResponse(verdict::NotRun);
  co_return storeUnavailableResponse(verdict::Unknown);
}

task<http_response> showJob(traffic_thread &Thread, job_id Id) {
  const found_job Found = co_await findJob(Thread, Id);
  if (Found.Error)
    co_return storeUnavailableResponse(verdict::NotRun);
  if (!Found.Record)
    co_return notFoundResponse(Id);
  co_return jsonResponse(200, printJobRecord(*Found.Record));
}

task<http_response> listJobs(traffic_thread &Thread, http_request Request) {
  const std::string Organisation(Request.query("organisation"));
  const store_read Read =
      co_await Thread.Store.readPrefix("/galenastage/jobs/");
  if (Read.Error)
    co_return storeUnavailableResponse(verdict::NotRun);
  json Jobs = json::array();
  for (const store_entry &Entry : Read.Entries) {
    const auto Record = parseJobRecord(Entry.Value).Job;
    const bool IsMatch =
        Record && (Organisation.empty() ||
                   Record->Spec.Organisation.Value == Organisation);
    if (IsMatch)
      Jobs.push_back(*Record);
  }
  co_return jsonResponse(200, json{{"jobs", std::move(Jobs)}}.dump());
}

/// Sets the cancel flag of the job; the owner's scheduler acts on it. Setting
/// it is idempotent, so the write is retried after a lost response.
task<http_response> cancelJob(traffic_thread &Thread, job_id Id) {
  for (int Attempt = 0; Attempt < MaxCancelAttempts; ++Attempt) {
    found_job Found = co_await findJob(Thread, Id);
    if (Found.Error)
      continue;
    if (!Found.Record)
      co_return notFoundResponse(Id);
    job_record &Record = *Found.Record;
    if (Record.IsCancelRequested || isFinal(Record.Phase))
      co_return jsonResponse(202, printJobRecord(Record));
    Record.IsCancelRequested = true;
    const std::string Key = jobKey(Record.DataCentre, Id);
    store_transaction Transaction;
    Transaction.Conditions.push_back(revision_is{Key, Found.Revision});
    Transaction.Changes.push_back(put_key{Key, printJobRecord(Record)});
    const store_write Write =
        co_await Thread.Store.commit(std::move(Transaction));
    if (!Write.Error && Write.IsApplied)
      co_return jsonResponse(202, printJobRecord(Record));
  }
  co_return storeUnavailableResponse(verdict::Unknown);
}

} // namespace

task<http_response> handleJobs(traffic_thread &Thread, http_request Request) {
  const std::string Path(Request.path());
  if (Path == "/v1/jobs") {
    if (Request.Method == "POST")
      co_return co_await submitJob(Thread, std::move(Request));
    if (Request.Method == "GET")
      co_return co_await listJobs(Thread, std::move(Request));
  } else {
    const job_id Id(Path.substr(std::string_view("/v1/jobs/").size()));
    if (Request.Method == "GET")
      co_return co_await showJob(Thread, Id);
    if (Request.Method == "DELETE")
      co_return co_await cancelJob(Thread, Id);
  }
  co_return problemResponse(405, "method not allowed", Request.Method,
                            verdict::NotRun);
}

} // namespace galenastage
