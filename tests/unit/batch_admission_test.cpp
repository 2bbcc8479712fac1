// Which new jobs are refused for load, and by which view of it.

#include "apps/instance/backlog_record.hpp"
#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

const admission_settings Settings;

/// 100 accelerators of 8 cores and no other core.
service_backlog makeService(std::vector<backlog_entry> Entries) {
  service_backlog Service;
  Service.Service = service_id("s");
  Service.Capacity = 800;
  Service.Accelerators = 100;
  Service.Entries = std::move(Entries);
  return Service;
}

backlog_entry makeEntry(const std::string &Organisation, int Priority,
                        double Waiting, int Accelerators = 0) {
  return {organisation_id(Organisation), Priority, Waiting, 0, Accelerators};
}

/// 10 tasks of 1 accelerator and 4 s: 320 core-seconds. Its objective is 6 s,
/// three of them 18 s, in which the service does 21,600 core-seconds by the
/// optimistic estimate.
job_spec makeJob(const std::string &Organisation, int Priority = 1) {
  job_spec Job =
      test::scheduler_fixture::job("j", Priority, 10, 1, Organisation);
  Job.Steps[0].Needs = {0, 1'000, 1};
  Job.Queue.Service = service_id("s");
  Job.Queue.Priority = Priority;
  Job.Queue.StretchFactor = 1.5;
  return Job;
}

std::optional<admission_refusal> judge(std::vector<backlog_entry> Entries,
                                       const job_spec &Job, int Guarantee = 0) {
  return findRefusal({{makeService(std::move(Entries))}}, Job, Guarantee,
                     Settings);
}

} // namespace

TEST_CASE("admission: an organisation that sends ten times its usual load is "
          "refused, and others aren't") {
  const std::vector<backlog_entry> Flood{makeEntry("flood", 1, 40'000),
                                         makeEntry("modest", 1, 4'000)};
  const auto Refusal = judge(Flood, makeJob("flood"));
  REQUIRE(Refusal);
  // 40,320 of its own and 4,000 beside them, with 1,200 cores.
  CHECK(Refusal->Expected == milliseconds(36'933));
  CHECK(Refusal->Limit == milliseconds(18'000));
  CHECK_FALSE(judge(Flood, makeJob("modest")));
  CHECK_FALSE(judge(Flood, makeJob("new")));
}

// Guards against a refusal by work that goes later.
TEST_CASE("admission: work of lower priority refuses nothing") {
  const std::vector<backlog_entry> Low{makeEntry("a", 2, 1'000'000)};
  CHECK_FALSE(judge(Low, makeJob("a")));
  CHECK_FALSE(judge(Low, makeJob("b")));
  CHECK(judge(Low, makeJob("a", 2)));
}

TEST_CASE("admission: work of higher priority counts for all organisations") {
  const std::vector<backlog_entry> High{makeEntry("a", 0, 25'000)};
  CHECK(judge(High, makeJob("b")));
  CHECK_FALSE(judge({makeEntry("a", 0, 20'000)}, makeJob("b")));
}

TEST_CASE("admission: nothing within a guarantee is refused for load") {
  const std::vector<backlog_entry> Full{makeEntry("flood", 0, 1'000'000, 9'000),
                                        makeEntry("a", 0, 100'000, 20)};
  CHECK_FALSE(judge(Full, makeJob("a", 0), 30)); // 20 and 10 more
  CHECK(judge(Full, makeJob("a", 0), 29));
  CHECK(judge(Full, makeJob("flood", 0), 30));
  // The guarantee is larger than the service.
  CHECK_FALSE(judge(Full, makeJob("a", 0), 1'000'000));
  // Its guarantee has gone with its keys.
  CHECK(judge(Full, makeJob("a", 0), 0));
}

// Guards against refusals of urgent work that its guarantee would start soon.
TEST_CASE("admission: a guarantee is a part of the service that others don't "
          "delay") {
  const std::vector<backlog_entry> Full{makeEntry("flood", 0, 1'000'000, 9'000),
                                        makeEntry("a", 0, 12'000, 90)};
  CHECK_FALSE(judge(Full, makeJob("a", 0), 80));
  CHECK(judge(Full, makeJob("a", 0), 40));
}

TEST_CASE("admission: without work, capacity or a listed service nothing is "
          "refused") {
  CHECK_FALSE(judge({}, makeJob("a")));
  CHECK_FALSE(findRefusal({}, makeJob("a"), 0, Settings));
  service_backlog Off = makeService({makeEntry("a", 1, 1'000'000)});
  CHECK(findRefusal({{Off}}, makeJob("a"), 0, Settings));
  Off.Capacity = 0; // no executor is listed: the reason isn't load
  CHECK_FALSE(findRefusal({{Off}}, makeJob("a"), 0, Settings));
  job_spec Service = makeJob("a");
  Service.Steps[0].IsLongRunning = true;
  CHECK_FALSE(judge({makeEntry("a", 1, 1'000'000)}, Service));
  job_spec Repeating = makeJob("a");
  Repeating.Schedule.Repetitions = 3;
  CHECK_FALSE(judge({makeEntry("a", 1, 1'000'000)}, Repeating));
  job_spec Unknown = makeJob("a");
  Unknown.Steps[0].Estimate = milliseconds(0);
  CHECK_FALSE(judge({makeEntry("a", 1, 1'000'000)}, Unknown));
  admission_settings Disabled;
  Disabled.IsEnabled = false;
  CHECK_FALSE(findRefusal({{makeService({makeEntry("a", 1, 1'000'000)})}},
                          makeJob("a"), 0, Disabled));
}

// Estimates may be too long by a half, and the service faster than its cores.
TEST_CASE("admission: the estimate is optimistic about estimates and rate") {
  CHECK_FALSE(judge({makeEntry("a", 1, 21'000)}, makeJob("a")));
  service_backlog Fast = makeService({makeEntry("a", 1, 40'000)});
  Fast.Rate = 1'600;
  CHECK_FALSE(findRefusal({{Fast}}, makeJob("a"), 0, Settings));
  service_backlog Running = makeService({makeEntry("a", 1, 0)});
  Running.Entries[0].Running = 42'000; // half done on average
  CHECK_FALSE(findRefusal({{Running}}, makeJob("a"), 0, Settings));
}

// Guards against clients that all return in the same second.
TEST_CASE("admission: refused clients return between the expected time and one "
          "and a half times that") {
  std::set<std::int64_t> Delays;
  for (int I = 0; I < 100; ++I) {
    job_spec Job = makeJob("a");
    Job.Id = job_id("job" + std::to_string(I));
    const auto Refusal = judge({makeEntry("a", 1, 40'000)}, Job);
    REQUIRE(Refusal);
    const milliseconds Wait = Refusal->Expected - Refusal->Limit;
    CHECK(Refusal->RetryAfter >= Wait);
    CHECK(Refusal->RetryAfter <= Wait + Wait / 2);
    Delays.insert(Refusal->RetryAfter.count() / 1'000);
  }
  CHECK(Delays.size() >= 6); // of the 8 seconds from 15.6 to 23.4 s
  const auto Long = judge({makeEntry("a", 1, 1e9)}, makeJob("a"));
  REQUIRE(Long);
  CHECK(Long->RetryAfter <= milliseconds(90'000));
}

TEST_CASE("admission: the record has a bounded size, and what it sums doesn't "
          "refuse more") {
  std::vector<backlog_entry> Entries;
  for (int I = 0; I < 1'000; ++I)
    Entries.push_back(makeEntry("o" + std::to_string(I), 1, 1'000 + I));
  backlog Limited{{makeService(Entries)}};
  limitSize(Limited);
  const service_backlog &Service = Limited.Services.front();
  CHECK(Service.Entries.size() == MaxBacklogOrganisations);
  REQUIRE(Service.Others.size() == 1);
  double Sum = Service.Others[0].Waiting;
  for (const backlog_entry &Entry : Service.Entries)
    Sum += Entry.Waiting;
  CHECK(Sum == 1'000 * 1'000 + 999 * 1'000 / 2);
  CHECK(judge(Entries, makeJob("o5")));
  CHECK_FALSE(findRefusal(Limited, makeJob("o5"), 0, Settings));
  CHECK(findRefusal(Limited, makeJob("o999"), 0, Settings));
  CHECK(printBacklog({7, 1, Limited}).size() < 12'000);
}

// The view of the record

namespace {

constexpr std::uint64_t Term = 7;

std::string printed(std::uint64_t Term, std::uint64_t Number,
                    double Waiting = 40'000) {
  return printBacklog(
      {Term, Number, {{makeService({makeEntry("a", 1, Waiting)})}}});
}

} // namespace

TEST_CASE("admission: the record is read back as it was printed") {
  backlog_record Record{Term, 3, {{makeService({makeEntry("a", 0, 12, 4)})}}};
  Record.Backlog.Services[0].Others = {{{}, 2, 5, 6, 0}};
  Record.Backlog.Services[0].Rate = 9;
  CHECK(parseBacklog(printBacklog(Record)).Record == Record);
}

// Guards against refusals by the last record of a leader that is gone.
TEST_CASE("admission: a view older than 3 s refuses nothing, however often it "
          "is read") {
  backlog_view View;
  const instant Start{milliseconds(50'000)};
  View.note(printed(Term, 0), Start - backlog_view::ReadInterval);
  View.note(printed(Term, 1), Start);
  CHECK(View.current(Start + milliseconds(3'000)));
  for (int I = 1; I <= 8; ++I)
    View.note(printed(Term, 1), Start + I * backlog_view::ReadInterval);
  CHECK_FALSE(View.current(Start + milliseconds(4'000)));
  View.note(printed(Term, 2), Start + milliseconds(4'500));
  CHECK_FALSE(View.current(Start + milliseconds(4'500)));
  View.note(printed(Term, 3), Start + milliseconds(5'000));
  CHECK(View.current(Start + milliseconds(5'000)));
}

// Guards against refusals for 3 s after a restart by a record of long ago.
TEST_CASE("admission: the first record that is read refuses nothing") {
  backlog_view View;
  const instant Start{milliseconds(50'000)};
  View.note(printed(Term, 1), Start);
  CHECK_FALSE(View.current(Start));
  View.note(printed(Term, 1), Start + milliseconds(500));
  CHECK_FALSE(View.current(Start + milliseconds(500)));
}

TEST_CASE("admission: the publication of a new leader is a new one") {
  backlog_view View;
  const instant Start{milliseconds(50'000)};
  View.note(printed(Term, 1), Start);
  View.note(printed(Term + 1, 1, 0), Start + milliseconds(2'900));
  CHECK_FALSE(View.current(Start + milliseconds(3'000)));
  View.note(printed(Term + 1, 2, 0), Start + milliseconds(3'400));
  REQUIRE(View.current(Start + milliseconds(5'000)));
  CHECK(View.current(Start + milliseconds(5'000))->Term == Term + 1);
}

TEST_CASE("admission: an unreadable record, one of another version or none "
          "refuses nothing") {
  backlog_view View;
  const instant Start{milliseconds(50'000)};
  const auto Bad = GENERATE(
      std::optional<std::string>(), std::optional<std::string>("{"),
      std::optional<std::string>("[]"), std::optional<std::string>("{}"),
      std::optional<std::string>(R"({"version":2,"term":7,"number":2})"),
      std::optional<std::string>(
          R"({"version":1,"term":7,"number":2,"services":[{"service":"s"}]})"));
  View.note(printed(Term, 0), Start - milliseconds(500));
  View.note(printed(Term, 1), Start);
  REQUIRE(View.current(Start));
  View.note(Bad, Start + milliseconds(500));
  CHECK_FALSE(View.current(Start + milliseconds(500)));
}

TEST_CASE("admission: the record is read at most every 0.5 s") {
  backlog_view View;
  const instant Start{milliseconds(50'000)};
  CHECK(View.beginRead(Start));
  CHECK_FALSE(View.beginRead(Start + milliseconds(499)));
  CHECK(View.beginRead(Start + milliseconds(500)));
}

// What the leader publishes

namespace {

struct backlog_fixture : test::scheduler_fixture {
  /// The backlog of the last event; nullopt: not published.
  [[nodiscard]] std::optional<backlog> published() const {
    const auto Found = all<publish_backlog>();
    return Found.empty() ? std::nullopt : std::optional(Found.front().Backlog);
  }
};

} // namespace

TEST_CASE_METHOD(backlog_fixture,
                 "admission: the leader publishes what waits and runs, and "
                 "again only when that changes") {
  settle({"x"});
  pass(milliseconds(500));
  CHECK_FALSE(published());
  run(job("a", 1, 20, 1)); // 8 of them start
  pass(milliseconds(500));
  const auto Backlog = published();
  REQUIRE(Backlog);
  REQUIRE(Backlog->Services.size() == 1);
  const service_backlog &Service = Backlog->Services.front();
  CHECK(Service.Capacity == 32 + 8 * 8);
  CHECK(Service.Accelerators == 8);
  REQUIRE(Service.Entries.size() == 1);
  CHECK(Service.Entries[0].Organisation == organisation_id("small"));
  CHECK(Service.Entries[0].Waiting == 12 * 9 * 4); // tasks, cores, seconds
  CHECK(Service.Entries[0].Running == 8 * 9 * 4);
  pass(milliseconds(500));
  CHECK_FALSE(published());
  // Readers take an unchanged record for that of a lost leader.
  pass(milliseconds(1'000));
  CHECK(published());
}

// Guards against refusals for work that its client has cancelled.
TEST_CASE_METHOD(backlog_fixture,
                 "admission: an organisation that cancels everything has no "
                 "backlog") {
  settle({"x"});
  for (int I = 0; I < 50; ++I)
    submit(job("a" + std::to_string(I), 1, 100, 1));
  pass(milliseconds(500));
  const auto Before = published();
  REQUIRE(Before);
  job_spec New = makeJob("small");
  CHECK(findRefusal(*Before, New, 4, Settings));
  for (int I = 0; I < 50; ++I)
    post(cancel_requested{job_id("a" + std::to_string(I))});
  pass(milliseconds(500));
  const auto After = published();
  REQUIRE(After);
  CHECK_FALSE(findRefusal(*After, New, 4, Settings));
}

TEST_CASE_METHOD(backlog_fixture,
                 "admission: the publication carries its term and starts anew "
                 "with the next leader") {
  settle({"x"});
  submit(job("a", 1, 20, 1));
  pass(milliseconds(500));
  REQUIRE(all<publish_backlog>().size() == 1);
  CHECK(all<publish_backlog>().front().Token == Token);
  const job_spec Spec = State.Jobs.at(job_id("a")).Spec;
  post(leadership_gained{Token + 1, Now + milliseconds(1'000'000)});
  pass(milliseconds(500));
  CHECK_FALSE(published()); // not before all jobs are known
  post(job_found{Spec, {}});
  post(recovery_finished{});
  answer("x");
  pass(milliseconds(500));
  REQUIRE(all<publish_backlog>().size() == 1);
  CHECK(all<publish_backlog>().front().Token == Token + 1);
  CHECK(all<publish_backlog>().front().Number == 1);
}

TEST_CASE_METHOD(backlog_fixture,
                 "admission: the backlog tells how many accelerators urgent "
                 "work uses and waits for") {
  settle({"x"});
  run(job("a", 0, 10, 1, "small"));
  job_spec Gang = job("b", 0, 4, 1, "small");
  Gang.Steps[0].IsGang = true;
  submit(Gang);
  pass(milliseconds(500));
  REQUIRE(published());
  CHECK(published()->Services[0].Entries[0].Accelerators == 14);
}

TEST_CASE_METHOD(backlog_fixture,
                 "admission: the rate counts units that ended as done") {
  settle({"x"});
  const auto Starts = run(job("a", 1, 20, 1));
  pass(milliseconds(500));
  std::vector<active_run> Active;
  for (std::size_t I = 1; I < Starts.size(); ++I)
    Active.push_back({Starts[I].Run, "", 10});
  answer("x", Active, {end(Starts[0].Run, run_end::Done)});
  pass(milliseconds(2'000));
  REQUIRE(published());
  // 36 core-seconds in a publication's 0.5 s, of which a tenth counts.
  CHECK(published()->Services[0].Rate == Approx(7.2));
}
