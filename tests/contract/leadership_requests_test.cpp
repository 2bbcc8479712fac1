// What the leader learns of jobs and cancellations from the metadata store, and
// in which order.

#include "apps/instance/keys.hpp"
#include "apps/instance/leadership.hpp"
#include "core/job/batch/records.hpp"
#include "standin/metadata_service.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace galenastage;
using namespace galenastage::batch;

namespace {

const job_id Early("00000000000000a1");
const job_id InGap("00000000000000b1");

struct leadership_fixture {
  asio::io_context Context{1};
  standin::metadata_service Service{Context, {"127.0.0.1", 0}};
  platform::metadata_store Store{Context, Service.localEndpoint(), ""};
  instance_metrics Metrics;
  std::vector<std::string> Posted; // jobs as ID, their cancellations as -ID
  leadership Leader{
      Context,
      Store,
      "one",
      {"127.0.0.1", 7},
      milliseconds(60'000),
      milliseconds(0),
      Metrics,
      [this](std::uint64_t, decltype(event::What) What) { note(What); }};

  void note(const decltype(event::What) &What) {
    if (const auto *Job = std::get_if<job_found>(&What))
      Posted.push_back(Job->Spec.Id.Value);
    if (const auto *Cancel = std::get_if<cancel_requested>(&What))
      Posted.push_back("-" + Cancel->Job.Value);
  }
  template <typename Condition> void runUntil(Condition Holds) {
    while (!Holds())
      Context.run_one();
  }
  [[nodiscard]] bool hasPosted(const std::string &Entry) const {
    return std::ranges::count(Posted, Entry) > 0;
  }
  void putJob(const job_id &Id) {
    job_spec Job;
    Job.Id = Id;
    Job.Queue.Name = route_id("q");
    step_spec Step;
    Step.Count = 1;
    Job.Steps = {Step};
    Service.put(keys::specKey(Id), printSpec(Job));
    Service.put(keys::progressKey(Id), printProgress({}));
  }
  void putCancellation(const job_id &Id) {
    Service.put(keys::cancelKey(Id), "{}");
  }
  void start() {
    putJob(Early);
    asio::co_spawn(Context, Leader.run(), asio::detached);
    runUntil([&] { return hasPosted(Early.Value); });
  }
};

} // namespace

// Guards against tasks that run on after the cancellation of their job was
// acknowledged: it was read before the job and dropped.
TEST_CASE_METHOD(leadership_fixture,
                 "leadership: a cancellation that is watched while the lost "
                 "history is read follows its job") {
  start();
  Service.Faults.HoldsRanges = true;
  putJob(InGap);
  Service.forgetHistory();
  const std::uint64_t PagesBefore = Service.pagesRead();
  runUntil([&] {
    return Service.watchedAfter(keys::Requests) >= Service.revision() &&
           Service.pagesRead() > PagesBefore;
  });
  putCancellation(InGap);
  // A later job shows that the watch has delivered the cancellation.
  const job_id Later("00000000000000c1");
  putJob(Later);
  runUntil([&] { return hasPosted(Later.Value); });
  Service.Faults.HoldsRanges = false;
  runUntil([&] { return hasPosted(InGap.Value); });
  REQUIRE(hasPosted("-" + InGap.Value));
  CHECK(std::ranges::find(Posted, InGap.Value) <
        std::ranges::find(Posted, "-" + InGap.Value));
}
