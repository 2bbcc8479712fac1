// The feed of jobs: what the leader makes of answers of the store.

#include "core/job/batch/job_feed.hpp"
#include "core/job/batch/records.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

struct feed_fixture {
  job_feed Feed;
  instant Now{milliseconds(100'000)};
  std::vector<std::string> Posted; // jobs as ID, their cancellations as -ID
  std::vector<std::string> Lines;  // names of log events
  std::optional<instant> AsOf;     // of the last answer, if it was advanced

  explicit feed_fixture(job_feed_settings Settings = {}) : Feed(Settings) {
    apply(feed_begun{});
  }

  void apply(decltype(feed_event::What) What) {
    AsOf.reset();
    const feed_output Output = reduce(Feed, {Now, std::move(What)});
    for (const auto &Event : Output.Events) {
      if (const auto *Job = std::get_if<job_found>(&Event))
        Posted.push_back(Job->Spec.Id.Value);
      if (const auto *Cancel = std::get_if<cancel_requested>(&Event))
        Posted.push_back("-" + Cancel->Job.Value);
      if (std::holds_alternative<recovery_finished>(Event))
        Posted.emplace_back("recovered");
      if (const auto *Current = std::get_if<requests_current>(&Event))
        AsOf = Current->AsOf;
    }
    for (const log_line &Line : Output.Lines)
      Lines.emplace_back(Line.Event->Name);
  }
  instant pass(milliseconds Time) { return Now += Time; }

  static stored_request job(const std::string &Id, std::int64_t Revision) {
    job_spec Spec;
    Spec.Id = job_id(Id);
    step_spec Step;
    Step.Count = 1;
    Spec.Steps = {Step};
    return {Spec.Id, false, Revision, printSpec(Spec)};
  }
  static stored_request cancellation(const std::string &Id,
                                     std::int64_t Revision) {
    return {job_id(Id), true, Revision, "{}"};
  }
  /// Loads these requests, as of revision 10.
  void load(std::vector<stored_request> Requests = {}) {
    apply(requests_read{Now, 10, std::move(Requests), ""});
    apply(progress_read{});
  }
  void watch(std::int64_t Revision, std::vector<stored_request> Requests) {
    apply(requests_watched{Now, Revision, true, std::move(Requests)});
  }
  [[nodiscard]] bool hasLogged(std::string_view Name) const {
    return std::ranges::count(Lines, Name) > 0;
  }
};

using names = std::vector<std::string>;

} // namespace

TEST_CASE_METHOD(feed_fixture,
                 "job feed: a term begins with all pages of the jobs, then of "
                 "their progress") {
  CHECK(nextPage(Feed) == page_request{false, ""});
  CHECK_FALSE(nextWatch(Feed));
  const instant Begun = Now;
  apply(requests_read{Begun, 10, {job("a", 3)}, "a"});
  CHECK(nextPage(Feed) == page_request{false, "a"});
  apply(requests_read{
      pass(milliseconds(900)), 17, {cancellation("a", 12), job("b", 15)}, ""});
  CHECK(nextPage(Feed) == page_request{true, ""});
  job_progress Running;
  Running.Phase = job_phase::Running;
  apply(progress_read{{{job_id("b"), 16, printProgress(Running)}}, "b"});
  CHECK(nextPage(Feed) == page_request{true, "b"});
  CHECK(Posted.empty());
  apply(progress_read{});
  CHECK(Posted == names{"a", "b", "-a", "recovered"});
  CHECK(Feed.Known.at(job_id("b")) == 16);
  CHECK_FALSE(nextPage(Feed));
  // What changed during the read is watched, without a wait.
  CHECK(AsOf == Begun);
  CHECK(nextWatch(Feed) == watch_request{10, milliseconds(0)});
}

TEST_CASE_METHOD(feed_fixture,
                 "job feed: a job that is read and watched is reported once") {
  load({job("a", 3)});
  watch(12, {job("a", 3), job("b", 11), cancellation("b", 12)});
  CHECK(Posted == names{"a", "recovered", "b", "-b"});
  CHECK(nextWatch(Feed) == watch_request{12, Feed.Settings.WatchWait});
  apply(watch_failed{});
  CHECK(nextWatch(Feed) == watch_request{12, milliseconds(0)});
}

// Guards against tasks that run on after the cancellation of their job.
TEST_CASE_METHOD(feed_fixture,
                 "job feed: a cancellation that is watched before its lost job "
                 "is read follows the job") {
  load();
  apply(history_lost{30});
  CHECK(nextWatch(Feed) == watch_request{30, milliseconds(0)});
  CHECK(nextPage(Feed) == page_request{false, ""});
  watch(32, {cancellation("a", 31)});
  CHECK(Posted == names{"recovered"});
  CHECK(hasLogged("cancellation-kept"));
  apply(requests_read{Now, 30, {job("a", 20)}, ""});
  CHECK(Posted == names{"recovered", "a", "-a"});
  CHECK(hasLogged("cancellation-matched"));
  CHECK(hasLogged("history-read"));
  CHECK_FALSE(nextPage(Feed));
}

// Guards against a job that runs although it was stored together with its
// cancellation: the store lists the changes of one write in any order.
TEST_CASE_METHOD(
    feed_fixture,
    "job feed: a cancellation that is written with its job follows "
    "it") {
  load();
  const bool IsJobFirst = GENERATE(true, false);
  std::vector<stored_request> Written{job("a", 11), cancellation("a", 11)};
  if (!IsJobFirst)
    std::ranges::reverse(Written);
  watch(11, Written);
  CHECK(Posted == names{"recovered", "a", "-a"});
}

// Guards against starts by a leader that doesn't know of cancellations.
TEST_CASE_METHOD(feed_fixture,
                 "job feed: it doesn't claim to be current while discarded "
                 "changes are read") {
  load({job("a", 3)});
  const instant Before = pass(milliseconds(100));
  watch(11, {});
  CHECK(AsOf == Before);
  apply(history_lost{30});
  const instant Read = pass(milliseconds(100));
  apply(requests_read{Read, 31, {job("a", 3)}, "a"});
  const instant Watched = pass(milliseconds(4'000));
  watch(40, {});
  CHECK_FALSE(AsOf);
  SECTION("then it is, as of the last watch") {
    apply(requests_read{
        pass(milliseconds(100)), 41, {cancellation("a", 25)}, ""});
    CHECK(Posted.back() == "-a");
    CHECK(AsOf == Watched);
  }
  SECTION("after another loss it is as of the begin of the read, and all is "
          "read again") {
    apply(history_lost{45});
    apply(requests_read{
        pass(milliseconds(100)), 46, {cancellation("a", 25)}, ""});
    CHECK(AsOf == Read);
    CHECK(nextPage(Feed) == page_request{false, ""});
    const instant Again = pass(milliseconds(100));
    apply(requests_read{Again, 47, {job("a", 3), cancellation("a", 25)}, ""});
    CHECK(AsOf == Again);
    CHECK_FALSE(nextPage(Feed));
  }
}

TEST_CASE_METHOD(feed_fixture,
                 "job feed: an answer that may lack changes isn't taken for "
                 "all of them") {
  load();
  pass(milliseconds(100));
  apply(requests_watched{Now, 11, false, {job("a", 11)}});
  CHECK(Posted == names{"recovered", "a"});
  CHECK_FALSE(AsOf);
  CHECK(nextWatch(Feed) == watch_request{11, milliseconds(0)});
  watch(11, {});
  CHECK(AsOf == Now);
  pass(milliseconds(100)); // one of removals only, which aren't passed on
  apply(requests_watched{Now, 12, false, {}});
  CHECK_FALSE(AsOf);
}

// Guards against a leader that never starts anything, or warns for nothing.
TEST_CASE_METHOD(feed_fixture,
                 "job feed: a loaded term is current before it is recovered, "
                 "and for a limited time") {
  CHECK_FALSE(isCurrent(Feed, Now));
  Posted.clear();
  apply(requests_read{Now, 10, {}, ""});
  const feed_output Output = reduce(Feed, {Now, progress_read{}});
  REQUIRE(Output.Events.size() == 2);
  CHECK(std::holds_alternative<requests_current>(Output.Events[0]));
  CHECK(std::holds_alternative<recovery_finished>(Output.Events[1]));
  CHECK(isCurrent(Feed, Now + Feed.Settings.MaxAge));
  CHECK_FALSE(isCurrent(Feed, Now + Feed.Settings.MaxAge + milliseconds(1)));
}

// Guards against reads of all jobs without end.
TEST_CASE("job feed: cancellations without a job that a read brings aren't "
          "kept") {
  job_feed_settings Settings;
  Settings.MaxKept = 0;
  feed_fixture Fixture(Settings);
  Fixture.load();
  Fixture.apply(history_lost{30});
  Fixture.apply(
      requests_read{Fixture.Now, 30, {Fixture.cancellation("a", 20)}, ""});
  CHECK_FALSE(nextPage(Fixture.Feed));
  CHECK(Fixture.hasLogged("cancellation-dropped"));
}

TEST_CASE_METHOD(feed_fixture,
                 "job feed: cancellations of jobs that don't exist are dropped "
                 "with a line") {
  SECTION("while changes are watched without a gap") {
    load();
    watch(12, {cancellation("a", 12)});
  }
  SECTION("after a read of all jobs") {
    load();
    apply(history_lost{30});
    watch(31, {cancellation("a", 31)});
    CHECK(Feed.Kept.size() == 1);
    apply(requests_read{Now, 32, {cancellation("a", 31)}, ""});
  }
  SECTION("when a term begins") { load({cancellation("a", 9)}); }
  CHECK(hasLogged("cancellation-dropped"));
  CHECK(Feed.Kept.empty());
  CHECK(Posted == names{"recovered"});
}

TEST_CASE("job feed: beyond the limit of kept cancellations all jobs are read "
          "again") {
  job_feed_settings Settings;
  Settings.MaxKept = 1;
  feed_fixture Fixture(Settings);
  Fixture.load();
  Fixture.apply(history_lost{30});
  Fixture.watch(33,
                {Fixture.cancellation("a", 31), Fixture.cancellation("b", 32)});
  CHECK(Fixture.Feed.Kept.size() == 1);
  Fixture.apply(requests_read{
      Fixture.Now, 30, {Fixture.job("a", 20), Fixture.job("b", 21)}, ""});
  CHECK(Fixture.Posted == names{"recovered", "a", "-a", "b"});
  CHECK(nextPage(Fixture.Feed) == page_request{false, ""});
  Fixture.apply(
      requests_read{Fixture.Now,
                    34,
                    {Fixture.job("a", 20), Fixture.cancellation("a", 31),
                     Fixture.job("b", 21), Fixture.cancellation("b", 32)},
                    ""});
  CHECK(Fixture.Posted == names{"recovered", "a", "-a", "b", "-a", "-b"});
  CHECK_FALSE(nextPage(Fixture.Feed));
}

TEST_CASE_METHOD(feed_fixture,
                 "job feed: a record that can't be read hides no other") {
  load({{job_id("a"), false, 3, "{"}, job("b", 4)});
  CHECK(Posted == names{"b", "recovered"});
  CHECK(hasLogged("job-unreadable"));
}

TEST_CASE_METHOD(feed_fixture,
                 "job feed: a new term knows nothing of the one before") {
  load({job("a", 3)});
  apply(history_lost{30});
  watch(32, {cancellation("b", 31)});
  apply(feed_begun{});
  CHECK(Feed.Known.empty());
  CHECK(Feed.Kept.empty());
  CHECK_FALSE(Feed.Gap);
  CHECK(nextPage(Feed) == page_request{false, ""});
  Posted.clear();
  load({job("a", 3)});
  CHECK(Posted == names{"a", "recovered"});
}
