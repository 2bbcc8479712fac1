// Records that the leader publishes: queue lengths, backlog, speeds of
// executors, and the removal of old jobs.

#include "tests/support/scheduler_fixture.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

struct publication_fixture : test::scheduler_fixture {
  publication_fixture() { ConfirmsWrites = false; }

  void answerWrite(published_record Record, write_outcome Outcome) {
    post(record_published{Record, Outcome});
  }
  /// The lengths written by the last event; nullopt: none were.
  [[nodiscard]] std::optional<std::vector<queue_length>> lengths() const {
    const auto Found = all<publish_queue_lengths>();
    return Found.empty() ? std::nullopt : std::optional(Found.front().Queues);
  }
  /// Waits until lengths are written, at most a second.
  std::optional<std::vector<queue_length>> nextLengths() {
    for (int I = 0; I < 10; ++I) {
      pass(milliseconds(100));
      if (lengths())
        return lengths();
    }
    return std::nullopt;
  }
  /// Jobs that no executor can run.
  void submitWaiting(int Jobs) {
    for (int I = 0; I < Jobs; ++I)
      submit(job("w" + std::to_string(I), 1, 1, 100));
  }
  static std::vector<queue_length> waiting(int Jobs) {
    return {{route_id("q1"), Jobs}};
  }
};

constexpr auto Lengths = published_record::QueueLengths;

} // namespace

// Guards against queue lengths that stay wrong until one of them changes.
TEST_CASE_METHOD(publication_fixture,
                 "publication: queue lengths whose write failed are written "
                 "again within a second") {
  settle({"x"});
  submitWaiting(12);
  CHECK(nextLengths() == waiting(12));
  answerWrite(Lengths, write_outcome::Failed);
  CHECK(nextLengths() == waiting(12));
  answerWrite(Lengths, write_outcome::Stored);
  CHECK_FALSE(nextLengths());
}

// Guards against a value that is taken for stored because it was before: a
// write without an answer may have replaced it.
TEST_CASE_METHOD(publication_fixture,
                 "publication: lengths that return to the last stored ones "
                 "after a failed write are written again") {
  settle({"x"});
  submitWaiting(2);
  CHECK(nextLengths() == waiting(2));
  answerWrite(Lengths, write_outcome::Stored);
  submit(job("w2", 1, 1, 100));
  CHECK(nextLengths() == waiting(3));
  answerWrite(Lengths, write_outcome::Failed);
  post(cancel_requested{job_id("w2")});
  CHECK(nextLengths() == waiting(2));
}

// Guards against lengths of the leader before that stay when nothing waits.
TEST_CASE_METHOD(publication_fixture,
                 "publication: each leader writes the lengths once, also when "
                 "nothing waits") {
  settle({"x"});
  CHECK(nextLengths() == std::vector<queue_length>{});
  answerWrite(Lengths, write_outcome::Stored);
  CHECK_FALSE(nextLengths());
  post(leadership_gained{Token + 1, Now + milliseconds(1'000'000)});
  post(recovery_finished{});
  CHECK(nextLengths() == std::vector<queue_length>{});
}

// Guards against ever more writes while the store doesn't answer or refuses.
TEST_CASE_METHOD(publication_fixture,
                 "publication: tries are bounded while the store is away") {
  settle({"x"});
  run(job("a", 1, 4, 1));
  submitWaiting(12);
  State.AreSpeedsUnsaved = true;
  const bool IsAnswered = GENERATE(false, true);
  std::map<published_record, int> Writes;
  const auto Count = [&](published_record Record, std::size_t Found) {
    Writes[Record] += static_cast<int>(Found);
    return Found > 0;
  };
  constexpr int Seconds = 20;
  for (int I = 0; I < Seconds * 10; ++I) {
    pass(milliseconds(100));
    std::vector<published_record> Written;
    if (Count(Lengths, all<publish_queue_lengths>().size()))
      Written.push_back(Lengths);
    if (Count(published_record::Backlog, all<publish_backlog>().size()))
      Written.push_back(published_record::Backlog);
    if (Count(published_record::Speeds, all<save_speeds>().size()))
      Written.push_back(published_record::Speeds);
    for (const published_record Record : Written)
      if (IsAnswered)
        answerWrite(Record, write_outcome::Failed);
  }
  for (const auto &[Record, Tries] : Writes) {
    CAPTURE(static_cast<int>(Record), IsAnswered);
    CHECK(Tries >= (IsAnswered ? Seconds : 1));
    CHECK(Tries <= (IsAnswered ? 2 * Seconds : 1));
  }
  CHECK(Writes.size() == 3);
}

// Guards against a write that is repeated although it can never succeed.
TEST_CASE_METHOD(publication_fixture,
                 "publication: content that the store refuses for good is not "
                 "written again") {
  settle({"x"});
  submitWaiting(12);
  CHECK(nextLengths() == waiting(12));
  answerWrite(Lengths, write_outcome::Refused);
  CHECK_FALSE(nextLengths());
  submit(job("other", 1, 1, 100));
  CHECK(nextLengths() == waiting(13));
}

TEST_CASE_METHOD(publication_fixture,
                 "publication: a backlog whose write failed is written again "
                 "within a second, also when it has become empty") {
  settle({"x"});
  submitWaiting(1);
  pass(milliseconds(500));
  REQUIRE(all<publish_backlog>().size() == 1);
  answerWrite(published_record::Backlog, write_outcome::Failed);
  post(cancel_requested{job_id("w0")});
  pass(milliseconds(500));
  CHECK(all<publish_backlog>().size() == 1);
  answerWrite(published_record::Backlog, write_outcome::Stored);
  pass(milliseconds(500));
  CHECK(all<publish_backlog>().empty());
}

// Guards against speeds that the next leader learns anew.
TEST_CASE_METHOD(publication_fixture,
                 "publication: speeds whose write failed are written again "
                 "within a second") {
  settle({"x"});
  State.AreSpeedsUnsaved = true;
  pass(milliseconds(100));
  REQUIRE(all<save_speeds>().size() == 1);
  answerWrite(published_record::Speeds, write_outcome::Failed);
  pass(milliseconds(900));
  CHECK(all<save_speeds>().size() == 1);
  answerWrite(published_record::Speeds, write_outcome::Stored);
  pass(milliseconds(60'000));
  CHECK(all<save_speeds>().empty());
}

// Old jobs

// Guards against records that stay in the store because one call failed.
TEST_CASE_METHOD(publication_fixture,
                 "publication: the removal of an old job that failed is tried "
                 "again") {
  settle({"x"});
  submit(job("a", 1, 1, 100));
  post(cancel_requested{job_id("a")});
  save();
  pass(State.Settings.Retention + milliseconds(1));
  REQUIRE(all<forget_job>().size() == 1);
  CHECK(State.Jobs.contains(job_id("a")));
  pass(milliseconds(100));
  CHECK(all<forget_job>().empty()); // its answer is awaited
  post(job_forgotten{job_id("a"), false});
  pass(milliseconds(500));
  CHECK(all<forget_job>().empty());
  pass(milliseconds(500));
  REQUIRE(all<forget_job>().size() == 1);
  post(job_forgotten{job_id("a"), true});
  CHECK_FALSE(State.Jobs.contains(job_id("a")));
}

// Guards against a progress record that a save in flight creates anew.
TEST_CASE_METHOD(publication_fixture,
                 "publication: a job is not forgotten while a save of it is in "
                 "flight") {
  settle({"x"});
  submit(job("a", 1, 1, 100));
  post(cancel_requested{job_id("a")});
  REQUIRE(State.Saving.size() == 1);
  pass(State.Settings.Retention + milliseconds(1)); // by a jump of the clock
  CHECK(all<forget_job>().empty());
  save();
  pass(milliseconds(100));
  CHECK(all<forget_job>().size() == 1);
}

// Guards against as many calls at once as there are old jobs.
TEST_CASE_METHOD(publication_fixture,
                 "publication: few old jobs are removed at a time") {
  settle({"x"});
  submitWaiting(50);
  for (int I = 0; I < 50; ++I)
    post(cancel_requested{job_id("w" + std::to_string(I))});
  while (!State.Saving.empty())
    save();
  pass(State.Settings.Retention + milliseconds(1));
  CHECK(std::ssize(all<forget_job>()) == State.Settings.MaxForgetting);
}
