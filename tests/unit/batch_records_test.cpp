#include "core/job/batch/records.hpp"
#include "core/json_number.hpp"
#include "tests/support/nested_text.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

job_spec makeJob() {
  job_spec Job;
  Job.Id = job_id("0123456789abcdef");
  Job.Queue.Name = route_id("q");
  Job.Queue.Service = service_id("s");
  Job.Queue.Priority = 2;
  Job.Queue.MaxAttempts = 4;
  Job.Queue.StretchFactor = 1.5;
  Job.Organisation = organisation_id("o");
  Job.Payload = "a \"text\" with \n and \xc3\xa9";
  step_spec Gang;
  Gang.Count = 3;
  Gang.IsGang = true;
  Gang.Needs = {500, 256, 2};
  step_spec Single;
  Single.Count = 2;
  Single.After = {0};
  Single.MaxPerExecutor = 1;
  Job.Steps = {Gang, Single};
  Job.Submitted = wall_instant(milliseconds(1'700'000'000'000));
  return Job;
}

} // namespace

TEST_CASE("records: a job can be written and read back") {
  const job_spec Job = makeJob();
  const auto Parsed = parseSpec(printSpec(Job));
  REQUIRE_FALSE(Parsed.Error);
  CHECK(Parsed.Record == Job);
}

TEST_CASE("records: progress can be written and read back with its executors") {
  const job_spec Job = makeJob();
  job_progress Progress;
  Progress.Organisation = Job.Organisation;
  Progress.Phase = job_phase::Running;
  Progress.Occurrences[0] = beginOccurrence(Job);
  unit_progress &Gang = Progress.Occurrences[0].Steps[0].Units[0];
  Gang = {false,
          3,
          1,
          2,
          "checkpoint",
          {{executor_id("i-1"), 5}, {executor_id("i-2"), 6}},
          {{}, {2, 1}, {}}};
  const auto Parsed = parseProgress(printProgress(Progress), Job);
  REQUIRE_FALSE(Parsed.Error);
  CHECK(Parsed.Record == Progress);
  const auto Summary = parseSummary(printProgress(Progress));
  REQUIRE_FALSE(Summary.Error);
  CHECK(Summary.Record.Phase == job_phase::Running);
  CHECK(Summary.Record.Organisation == Job.Organisation);
}

TEST_CASE("records: an unreadable record is an error with a reason") {
  const job_spec Job = makeJob();
  for (const std::string &Text :
       {std::string("no json"), std::string("{}"),
        std::string(R"({"version":2})"), std::string(R"({"version":"1"})")}) {
    CAPTURE(Text);
    CHECK(parseSpec(Text).Error);
    CHECK_FALSE(parseSpec(Text).Reason.empty());
    CHECK(parseProgress(Text, Job).Error);
    CHECK(parseSummary(Text).Error);
  }
}

TEST_CASE("records: progress with other steps than the job is an error") {
  const job_spec Job = makeJob();
  job_progress Progress;
  Progress.Occurrences[0] = beginOccurrence(Job);
  Progress.Occurrences[0].Steps[1].Units.pop_back();
  CHECK(parseProgress(printProgress(Progress), Job).Error);
  Progress.Occurrences[0].Steps.pop_back();
  CHECK(parseProgress(printProgress(Progress), Job).Error);
}

TEST_CASE("records: a deeply nested record is an error with a reason") {
  const job_spec Job = makeJob();
  for (const int Depth : {100, 100'000, 500'000})
    for (const std::string &Text :
         {test::nest(Depth), R"({"version":)" + test::nest(Depth) + "}",
          R"({"version":1,"phase":)" + test::nest(Depth) +
              R"(,"organisation":"o"})"}) {
      CHECK(parseSpec(Text).Error);
      CHECK(parseProgress(Text, Job).Error);
      CHECK(parseSummary(Text).Error);
      CHECK(parseSummary(Text).Reason.find("nested") != std::string::npos);
    }
}

// Guards against sums of times that overflow. The record stays readable: an
// earlier program accepted the job.
TEST_CASE("records: a time out of range is read as the nearest in range") {
  job_spec Job = makeJob();
  Job.Steps[0].Estimate = milliseconds(4'900'000'000'000'000'000);
  Job.Steps[1].Estimate = milliseconds(-4'900'000'000'000'000'000);
  Job.Schedule.Start = wall_instant(milliseconds(4'900'000'000'000'000'000));
  const auto Parsed = parseSpec(printSpec(Job));
  REQUIRE_FALSE(Parsed.Error);
  CHECK(Parsed.Record.Steps[0].Estimate.count() == DurationRange.Max);
  CHECK(Parsed.Record.Steps[1].Estimate.count() == DurationRange.Min);
  CHECK(Parsed.Record.Schedule.Start.time_since_epoch().count() ==
        MomentRange.Max);
}
