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
          {{}, {2, 1}, {}},
          {{}, {1, {3, 5}}, {}},
          {0, {2}}};
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

// Records as the version before wrote them, which stored no attempts with its
// counts.
TEST_CASE("records: progress that the version before wrote is read, with its "
          "counts") {
  const job_spec Job = makeJob();
  const std::string Uncounted =
      R"({"ended_ms":0,"occurrences":[{"done":false,"number":0,"steps":[[[0,1,)"
      R"(0,0,"",["i-1","i-2","i-3"],[5,6,7],[]]],[[0,0,0,0,"",[],[],[]],[1,2,0)"
      R"(,0,"",["i-4"],[5],[]]]]}],"organisation":"o","phase":"running",)"
      R"("version":1})";
  const auto Plain = parseProgress(Uncounted, Job);
  REQUIRE_FALSE(Plain.Error);
  const auto &Untouched = Plain.Record.Occurrences.at(0).Steps[0].Units[0];
  CHECK(Untouched.Placed.size() == 3);
  CHECK(Untouched.Crashed.empty());
  CHECK(Untouched.Failed.isEmpty());
  CHECK(printProgress(Plain.Record) ==
        Uncounted); // the same form without counts

  const std::string Counted =
      R"({"ended_ms":0,"occurrences":[{"done":false,"number":0,"steps":[[[0,3,)"
      R"(1,2,"checkpoint",["i-1","i-2","i-3"],[5,6,7],[[0,0],[2,1],[0,0]]]],[[)"
      R"(0,4,3,3,"c",["i-4"],[5],[[1,0]]],[0,2,2,1,"",["i-5"],[6],[]]]]}],)"
      R"("organisation":"o","phase":"running","version":1})";
  const auto Parsed = parseProgress(Counted, Job);
  REQUIRE_FALSE(Parsed.Error);
  const auto &Steps = Parsed.Record.Occurrences.at(0).Steps;
  const unit_progress &Gang = Steps[0].Units[0];
  CHECK(Gang.Failures == 1);
  CHECK(Gang.Failed == counted_attempts{0, {2}}); // the only one is known
  CHECK(Gang.crashesOf(1) == crash_record{2, 1});
  // The crash under the last attempt may be in the count: it is taken to be.
  CHECK(Gang.Crashed ==
        std::vector<counted_attempts>{{0, {}}, {3, {}}, {0, {}}});
  const unit_progress &Single = Steps[1].Units[0];
  CHECK(Single.Failures == 3);
  CHECK(Single.Failed == counted_attempts{3, {}}); // attempt 4 can still fail
  CHECK(Single.Crashed == std::vector<counted_attempts>{{4, {}}});
  CHECK(Steps[1].Units[1].Failed == counted_attempts{1, {}});
  const auto Again = parseProgress(printProgress(Parsed.Record), Job);
  REQUIRE_FALSE(Again.Error);
  CHECK(Again.Record == Parsed.Record);
}

// The version before reads the first eight elements of a unit and leaves out
// the others when it writes. Guards against a leader after it that counts
// again.
TEST_CASE("records: attempts are kept at the end, and what the version before "
          "makes of them counts nothing twice") {
  const job_spec Job = makeJob();
  job_progress Progress;
  Progress.Phase = job_phase::Running;
  Progress.Occurrences[0] = beginOccurrence(Job);
  unit_progress &Unit = Progress.Occurrences[0].Steps[1].Units[0];
  Unit.Attempts = 5;
  Unit.Failures = 2;
  Unit.FailedAttempt = 2; // reported after the failure of attempt 4
  Unit.Crashes = {{2, 1}};
  Unit.Crashed = {{1, {5}}};
  Unit.Failed = {0, {2, 4}};
  std::string Text = printProgress(Progress);
  const std::string Added = R"(,[[1,5]],[0,2,4]])";
  const std::size_t At = Text.find(Added);
  REQUIRE(At != std::string::npos);
  const std::string Kept = R"([0,5,2,2,"",[],[],[[2,1]])";
  CHECK(Text.substr(At - Kept.size(), Kept.size()) == Kept);
  Text.replace(At, Added.size(), "]");
  const auto Parsed = parseProgress(Text, Job);
  REQUIRE_FALSE(Parsed.Error);
  const unit_progress &Read = Parsed.Record.Occurrences.at(0).Steps[1].Units[0];
  CHECK(Read.Failures == Unit.Failures);
  CHECK(Read.Crashes == Unit.Crashes);
  for (const int Attempt : {2, 4})
    CHECK(Read.Failed.contains(Attempt));
  for (const int Attempt : {1, 5})
    CHECK(Read.Crashed[0].contains(Attempt));
  CHECK_FALSE(Read.Failed.contains(5));
}

TEST_CASE("records: attempts that can't be read are an error") {
  const job_spec Job = makeJob();
  job_progress Progress;
  Progress.Occurrences[0] = beginOccurrence(Job);
  unit_progress &Unit = Progress.Occurrences[0].Steps[1].Units[0];
  Unit.Failures = 1;
  Unit.Failed = {0, {3}};
  const std::string Text = printProgress(Progress);
  const std::string Good = ",[],[0,3]]";
  REQUIRE(Text.find(Good) != std::string::npos);
  for (const char *Bad :
       {",[]]", ",[],[]]", ",[[]],[0]]", R"(,[],["x"]])", ",[],[0,0.5]]"}) {
    CAPTURE(Bad);
    std::string Changed = Text;
    Changed.replace(Text.find(Good), Good.size(), Bad);
    CHECK(parseProgress(Changed, Job).Error);
  }
}
