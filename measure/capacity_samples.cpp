#include "measure/capacity_samples.hpp"

#include <nlohmann/json.hpp>

namespace galenastage::measure {
namespace {

constexpr epoch SampleEpoch = 48'213;
constexpr milliseconds SampleLease{6'000};
constexpr std::size_t DigestDigits = 16; // of a 64-bit hash
constexpr std::int64_t SampleWallMilliseconds = 1'790'000'000'000;

/// An id as long as a real one.
job_id sampleJob(int Index) {
  constexpr std::size_t IdDigits = 16;
  std::string Id = std::to_string(Index);
  Id.insert(0, IdDigits - Id.size(), '7');
  return job_id(Id);
}

} // namespace

renew_request sampleRenewal(int Attempts, bool IsConfirmed) {
  renew_request Request;
  Request.Epoch = SampleEpoch;
  Request.Lease = SampleLease;
  for (int I = 0; I < Attempts; ++I)
    Request.Attempts.push_back({{sampleJob(I), 1}, IsConfirmed});
  return Request;
}

worker_report sampleReport(int Attempts) {
  constexpr milliseconds SampleProgress{7'200'000};
  worker_report Report;
  Report.Worker = worker_id("ma-north-a-worker-712");
  Report.DataCentre = data_centre_id("ma-north-a");
  Report.Rack = rack_id("ma-north-a-rack-118");
  Report.Accelerators = 8;
  Report.HighestEpoch = SampleEpoch;
  for (int I = 0; I < Attempts; ++I)
    Report.Tasks.push_back(
        {{sampleJob(I), 1}, task_state::Running, 1, 1, SampleProgress});
  return Report;
}

std::string proposedQuietRenewal() {
  return nlohmann::json{{"epoch", SampleEpoch},
                        {"lease_ms", SampleLease.count()},
                        {"held", std::string(DigestDigits, 'c')}}
      .dump();
}

std::string proposedQuietReport() {
  return nlohmann::json{{"highest_epoch", SampleEpoch},
                        {"held", std::string(DigestDigits, 'c')}}
      .dump();
}

job_record sampleRecord(int Members) {
  job_record Record;
  Record.Spec.Id = sampleJob(Members);
  Record.Spec.Organisation = organisation_id("council-of-the-harbour");
  Record.Spec.Pool = pool_id("council-budgets");
  Record.Spec.Tasks = Members;
  Record.Spec.AcceleratorsPerTask = 8;
  Record.Spec.IdempotencyKey = "nightly-2026-12-03";
  Record.Phase = job_phase::Running;
  Record.Attempt = 1;
  Record.Verdict = verdict::Unknown;
  Record.DataCentre = data_centre_id("ma-north-a");
  Record.SubmittedAt = wall_instant(milliseconds(SampleWallMilliseconds));
  for (int I = 0; I < Members; ++I)
    Record.Placement.emplace_back("ma-north-a-worker-" +
                                  std::to_string(100 + I));
  return Record;
}

tables sampleTables(int Teams) {
  tables Tables;
  Tables.Version = 6'300;
  Tables.Author = "operator-07";
  Tables.Reason = "more room for the nightly rebuild";
  Tables.EditToken = std::string(32, 'a');
  for (const char *Name : {"ma-north-a", "ma-north-b", "ma-north-c",
                           "ma-north-d", "uy-sur-a", "uy-sur-b", "es-este-a"})
    Tables.DataCentres.push_back(
        {data_centre_id(Name), std::string(Name).substr(0, 6), true});
  for (int Team = 0; Team < Teams; ++Team) {
    const std::string Name = "team-" + std::to_string(Team);
    pool Pool;
    Pool.Name = pool_id(Name + "-guaranteed");
    Pool.Organisation = organisation_id(Name);
    Pool.Guaranteed.Workers = 4;
    Tables.Pools.push_back(Pool);
    for (const char *Kind : {"-tiles", "-permits"}) {
      route Route;
      Route.Name = route_id(Name + Kind);
      Route.PathPrefix = "/" + Name + Kind;
      Route.Service = service_id("portal-core");
      Route.Pool = Pool.Name;
      Tables.Routes.push_back(Route);
    }
  }
  return Tables;
}

} // namespace galenastage::measure
