// Tests how the leader's writes reach a simulated metadata store that refuses
// them, loses answers or acts late.

#include "apps/instance/front.hpp"
#include "apps/instance/keys.hpp"
#include "apps/instance/orders.hpp"
#include "apps/instance/queue_lengths.hpp"
#include "apps/runtime/process.hpp"
#include "core/job/batch/records.hpp"
#include "standin/metadata_service.hpp"
#include "tests/support/run_task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

constexpr std::size_t MaxValueBytes = 2'000;

struct orders_fixture {
  asio::io_context Context{1};
  standin::metadata_service Service{Context, {"127.0.0.1", 0}};
  platform::metadata_store Store{Context, Service.localEndpoint(), ""};
  platform::executor_client Executors{Context, ""};
  instance_metrics Metrics;
  std::vector<decltype(event::What)> Posted;
  leadership::post_event Post = [this](std::uint64_t,
                                       decltype(event::What) What) {
    Posted.push_back(std::move(What));
  };
  leadership Leadership{Context,
                        Store,
                        "one",
                        {"127.0.0.1", 7},
                        milliseconds(60'000),
                        milliseconds(0),
                        Metrics,
                        Post,
                        {},
                        feedSettings()};
  orders Orders{Context, Store, Executors,    Leadership,
                Metrics, Post,  MaxValueBytes};

  orders_fixture() {
    for (const char *Id : {"a", "b", "large"})
      Service.put(keys::specKey(job_id(Id)), specOf(Id));
    asio::co_spawn(Context, Leadership.run(), asio::detached);
    next<recovery_finished>();
  }
  /// The leader's knowledge is soon too old once its watch is silent.
  static job_feed_settings feedSettings() {
    job_feed_settings Settings;
    Settings.MaxAge = milliseconds(400);
    Settings.WatchWait = milliseconds(50);
    Settings.MaxOutdated = milliseconds(1'500);
    return Settings;
  }
  /// The stored job, without which the leader takes its records for forgotten.
  static std::string specOf(const std::string &Id) {
    job_spec Job;
    Job.Id = job_id(Id);
    Job.Queue.Name = route_id("q");
    step_spec Step;
    Step.Count = 1;
    Job.Steps = {Step};
    return printSpec(Job);
  }
  /// Runs the context until an event of this kind is posted, and takes it.
  template <typename Kind> Kind next() {
    for (;;) {
      for (auto It = Posted.begin(); It != Posted.end(); ++It)
        if (const auto *Found = std::get_if<Kind>(&*It)) {
          Kind Taken = *Found;
          Posted.erase(It);
          return Taken;
        }
      Context.run_one();
    }
  }
  write_outcome publish(int Waiting) {
    Orders.execute(
        publish_queue_lengths{Leadership.token(), {{route_id("q"), Waiting}}});
    return next<record_published>().Outcome;
  }
  [[nodiscard]] int published() const {
    const std::string Text = Service.value(keys::QueueLengths);
    return Text.empty() ? -1 : parseQueueLengths(Text)[route_id("q")];
  }
  /// Progress whose record has about so many bytes.
  static job_progress progress(std::size_t Bytes) {
    job_progress Progress;
    Progress.Organisation = organisation_id(std::string(Bytes, 'o'));
    return Progress;
  }
  progress_saved save(std::vector<saved_job> Jobs) {
    Orders.execute(save_progress{Leadership.token(), std::move(Jobs)});
    return next<progress_saved>();
  }
  [[nodiscard]] std::string stored(const std::string &Job) const {
    return Service.value(keys::progressKey(job_id(Job)));
  }
};

} // namespace

// Guards against a queue length that is taken for stored although the store has
// refused it.
TEST_CASE_METHOD(orders_fixture,
                 "orders: the outcome of each publication is reported") {
  CHECK(publish(1) == write_outcome::Stored);
  CHECK(published() == 1);
  Service.Faults.IsBusy = true;
  CHECK(publish(2) == write_outcome::Failed);
  Service.Faults.IsBusy = false;
  CHECK(published() == 1);
  CHECK(publish(2) == write_outcome::Stored);
  CHECK(published() == 2);
  Service.Faults.MaxValueBytes = 3;
  CHECK(publish(3) == write_outcome::Refused);
}

TEST_CASE_METHOD(orders_fixture,
                 "orders: a publication whose answer was lost is made again") {
  CHECK(publish(1) == write_outcome::Stored);
  Service.Faults.LosesAnswers = true;
  CHECK(publish(2) == write_outcome::Failed);
  Service.Faults.LosesAnswers = false;
  CHECK(published() == 2);
  CHECK(publish(1) == write_outcome::Stored);
  CHECK(published() == 1);
}

// Guards against an old value that a late write puts over a newer one.
TEST_CASE_METHOD(orders_fixture,
                 "orders: a late publication doesn't replace a newer one") {
  const bool IsFirst = GENERATE(true, false);
  if (!IsFirst)
    CHECK(publish(1) == write_outcome::Stored);
  Service.Faults.DefersWrites = true;
  CHECK(publish(2) == write_outcome::Failed);
  Service.Faults.DefersWrites = false;
  CHECK(publish(3) == write_outcome::Stored);
  Service.carryOutDeferred();
  CHECK(published() == 3);
}

// Guards against a former leader that goes on writing.
TEST_CASE_METHOD(orders_fixture,
                 "orders: a publication ends the term when another instance "
                 "leads") {
  CHECK(publish(1) == write_outcome::Stored);
  const std::uint64_t Term = Leadership.token();
  Service.put(keys::Leader, "two 0 0 127.0.0.1:8");
  Orders.execute(publish_queue_lengths{Term, {{route_id("q"), 2}}});
  next<leadership_lost>();
  CHECK_FALSE(Leadership.isLeading());
  CHECK(published() == 1);
}

// Guards against one job that holds up the saves of all others: its record is
// above the store's value_bytes, or the store refuses it for another reason.
TEST_CASE_METHOD(orders_fixture,
                 "orders: a record that the store never takes is reported, and "
                 "the others are saved") {
  const std::size_t Bytes = GENERATE(MaxValueBytes + 1, MaxValueBytes / 2);
  Service.Faults.MaxValueBytes = MaxValueBytes / 4;
  const progress_saved Answer = save({{job_id("a"), progress(1)},
                                      {job_id("large"), progress(Bytes)},
                                      {job_id("b"), progress(1)}});
  CHECK(Answer.IsSaved);
  REQUIRE(Answer.Refused.size() == 1);
  CHECK(Answer.Refused[0].Job == job_id("large"));
  CHECK_FALSE(Answer.Refused[0].Reason.empty());
  CHECK(stored("a") == printProgress(progress(1)));
  CHECK(stored("b") == printProgress(progress(1)));
  CHECK(stored("large").empty());
}

TEST_CASE_METHOD(orders_fixture,
                 "orders: a refusal that passes refuses no record") {
  for (const bool IsOverRate : {false, true}) {
    Service.Faults.IsBusy = !IsOverRate;
    Service.Faults.IsOverRate = IsOverRate;
    const progress_saved Answer = save({{job_id("a"), progress(1)}});
    CHECK_FALSE(Answer.IsSaved);
    CHECK(Answer.Refused.empty());
  }
}

// Guards against a progress record that comes into being again after its job
// was forgotten: the condition of the next try was that there is none.
TEST_CASE_METHOD(orders_fixture,
                 "orders: a save doesn't create the record of a job that was "
                 "forgotten") {
  REQUIRE(save({{job_id("a"), progress(1)}}).IsSaved);
  Service.remove(keys::progressKey(job_id("a")));
  CHECK(save({{job_id("a"), progress(2)}, {job_id("b"), progress(2)}}).IsSaved);
  CHECK(stored("a").empty());
  CHECK(stored("b") == printProgress(progress(2)));
}

// Guards against the removal of a new job that has the id of an old one.
TEST_CASE_METHOD(orders_fixture,
                 "orders: a late removal doesn't remove a new job") {
  REQUIRE(save({{job_id("a"), progress(1)}}).IsSaved);
  const forget_job Forget{Leadership.token(), job_id("a")};
  Service.Faults.DefersWrites = true;
  Orders.execute(Forget);
  CHECK_FALSE(next<job_forgotten>().IsForgotten);
  Service.Faults.DefersWrites = false;
  Orders.execute(Forget);
  CHECK(next<job_forgotten>().IsForgotten);
  CHECK(stored("a").empty());
  Service.put(keys::progressKey(job_id("a")), "new");
  Service.carryOutDeferred();
  CHECK(stored("a") == "new");
}

// Guards against a start that was decided in time and waited to be sent until
// its job may have been cancelled.
TEST_CASE_METHOD(orders_fixture,
                 "orders: a start isn't sent once cancellations may be "
                 "unknown") {
  const std::uint64_t Term = Leadership.token();
  Service.Faults.IgnoresWatches = true;
  while (Leadership.mayOrder(Term))
    Context.run_one();
  REQUIRE(Leadership.token() == Term);
  const std::uint64_t Calls = Executors.calls();
  start_run Start;
  Start.To = {executor_id("x"), {"127.0.0.1", 9}, 1, Term};
  Start.Run = {{job_id("a"), 0, 0, 0}, 1};
  Orders.execute(Start);
  const auto Answer = next<start_answered>();
  CHECK(Answer.Outcome == order_outcome::Refused);
  CHECK(Answer.Run == Start.Run);
  CHECK(Executors.calls() == Calls);
}

// Guards against a leader that keeps its lease and starts nothing for good.
TEST_CASE_METHOD(orders_fixture,
                 "leadership: a leader that hears of no change for long "
                 "resigns") {
  Service.Faults.IgnoresWatches = true;
  next<leadership_lost>();
  CHECK(Leadership.token() == 0);
}
