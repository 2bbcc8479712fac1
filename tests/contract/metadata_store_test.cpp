// Tests the metadata store client against a simulated store on loopback.

#include "core/error.hpp"
#include "platform/metadata_store.hpp"
#include "standin/metadata_service.hpp"
#include "tests/support/run_task.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::platform;

namespace {

struct metadata_fixture {
  asio::io_context Context{1};
  standin::metadata_service Service{Context, {"127.0.0.1", 0}};
  metadata_store Store{Context, Service.localEndpoint(), ""};

  template <typename Result> Result run(task<Result> Task) {
    return test::runTask(Context, std::move(Task));
  }

  change_result write(const std::string &Key, const std::string &Value,
                      std::int64_t Revision, std::int64_t Lease = 0) {
    store_change Change;
    Change.Conditions.push_back({Key, Revision});
    Change.Writes.push_back({Key, Value, Lease});
    return run(Store.change(std::move(Change)));
  }
};

} // namespace

TEST_CASE_METHOD(
    metadata_fixture,
    "metadata: of two writes with the same condition one is applied") {
  const change_result First = write("a", "one", 0);
  REQUIRE(First.IsApplied);
  const change_result Second = write("a", "two", 0);
  CHECK_FALSE(Second.Error);
  CHECK_FALSE(Second.IsApplied);
  REQUIRE(Second.Current.size() == 1);
  CHECK(Second.Current.front().Value == "one");
  CHECK(Second.Current.front().Revision == First.Revision);
  const item_read Read = run(Store.read("a"));
  REQUIRE(Read.Item);
  CHECK(Read.Item->Value == "one");
  CHECK(Read.Item->CreatedRevision == First.Revision);
}

TEST_CASE_METHOD(metadata_fixture,
                 "metadata: keys and bytes arrive unchanged") {
  const std::string Key = "a b/%&?=\xc3\xa9";
  const std::string Value("\0\xff{}", 4);
  REQUIRE(write(Key, Value, 0).IsApplied);
  const item_read Read = run(Store.read(Key));
  REQUIRE(Read.Item);
  CHECK(Read.Item->Key == Key);
  CHECK(Read.Item->Value == Value);
}

TEST_CASE_METHOD(metadata_fixture,
                 "metadata: a lost answer is an unknown outcome") {
  Service.Faults.LosesAnswers = true;
  const change_result Lost = write("a", "one", 0);
  CHECK(Lost.Error == errc::StoreAnswerLost);
  CHECK(Lost.Verdict == verdict::Unknown);
  Service.Faults.LosesAnswers = false;
  // Repeating the write reveals the outcome of the first.
  const change_result Again = write("a", "one", 0);
  CHECK_FALSE(Again.IsApplied);
  REQUIRE(Again.Current.size() == 1);
  CHECK(Again.Current.front().Value == "one");
}

TEST_CASE_METHOD(metadata_fixture,
                 "metadata: refused calls are reported as not run") {
  for (const bool IsBusy : {true, false}) {
    Service.Faults.IsBusy = IsBusy;
    Service.Faults.IsOverRate = !IsBusy;
    const change_result Refused = write("a", "one", 0);
    CHECK(Refused.Error == errc::StoreUnavailable);
    CHECK(Refused.Verdict == verdict::NotRun);
    CHECK(run(Store.read("a")).Error == errc::StoreUnavailable);
    CHECK(run(Store.readPrefix("a")).Error == errc::StoreUnavailable);
  }
  Service.Faults = {};
  CHECK_FALSE(run(Store.read("a")).Item);
}

TEST_CASE_METHOD(metadata_fixture,
                 "metadata: a call without an answer times out") {
  Service.Faults.IsSilent = true;
  const change_result Silent = write("a", "one", 0);
  CHECK(Silent.Error == errc::StoreAnswerLost);
  CHECK(Silent.Verdict == verdict::Unknown);
  Service.Faults.IsSilent = false;
  CHECK(write("b", "two", 0).IsApplied); // on a new connection
}

TEST_CASE_METHOD(metadata_fixture, "metadata: ranges are read page by page") {
  Service.Faults.PageItems = 3;
  for (int I = 0; I < 8; ++I)
    Service.put("r/" + std::to_string(I), std::to_string(I));
  Service.put("s", "other");
  const range_read Range = run(Store.readPrefix("r/"));
  REQUIRE_FALSE(Range.Error);
  REQUIRE(Range.Items.size() == 8);
  CHECK(Range.Items.back().Key == "r/7");
  CHECK(run(Store.readPrefix("none/")).Items.empty());
}

TEST_CASE_METHOD(metadata_fixture,
                 "metadata: a watch returns changes in order") {
  const std::int64_t Before = run(Store.readPrefix("w/")).Revision;
  Service.put("w/a", "1");
  Service.put("x", "not watched");
  Service.remove("w/a");
  const watch_result Watch = run(Store.watch("w/", Before, milliseconds(50)));
  REQUIRE(Watch.Changes.size() == 2);
  CHECK(Watch.Changes[0].Item.Value == "1");
  CHECK(Watch.Changes[1].IsRemoved);
  const watch_result Next =
      run(Store.watch("w/", Watch.Revision, milliseconds(20)));
  CHECK_FALSE(Next.Error);
  CHECK(Next.Changes.empty());
}

// Guards against a leader that starts tasks of cancelled jobs: it took a part
// of the changes for all of them.
TEST_CASE_METHOD(metadata_fixture,
                 "metadata: an answer to a watch that may be cut isn't whole") {
  const auto Watch = [&](std::int64_t After) {
    return run(Store.watch("w/", After, milliseconds(0)));
  };
  const std::int64_t Before = run(Store.readPrefix("w/")).Revision;
  SECTION("many changes") {
    for (int I = 0; I < 600; ++I)
      Service.put("w/" + std::to_string(I), "");
    const watch_result First = Watch(Before);
    CHECK(First.Changes.size() == 500);
    CHECK_FALSE(First.IsWhole);
    const watch_result Rest = Watch(First.Revision);
    CHECK(Rest.Changes.size() == 100);
    CHECK(Rest.IsWhole);
  }
  SECTION("removals") {
    for (int I = 0; I < 300; ++I)
      Service.put("w/" + std::to_string(I), "");
    const std::int64_t Written = Service.revision();
    for (int I = 0; I < 300; ++I)
      Service.remove("w/" + std::to_string(I));
    CHECK_FALSE(Watch(Written).IsWhole);
  }
  SECTION("large values") {
    Service.Faults.WatchItems = 2; // as many as 1 MB holds
    for (int I = 0; I < 3; ++I)
      Service.put("w/" + std::to_string(I), std::string(250'000, 'x'));
    const watch_result First = Watch(Before);
    REQUIRE(First.Changes.size() == 2);
    CHECK_FALSE(First.IsWhole);
    CHECK(Watch(First.Revision).IsWhole);
  }
  SECTION("few small changes") {
    Service.put("w/a", "1");
    CHECK(Watch(Before).IsWhole);
    CHECK(Watch(Service.revision()).IsWhole);
  }
}

TEST_CASE_METHOD(metadata_fixture,
                 "metadata: a watch from a compacted revision is NotFound") {
  const std::int64_t Before = run(Store.readPrefix("w/")).Revision;
  Service.put("w/a", "1");
  Service.forgetHistory();
  CHECK(run(Store.watch("w/", Before, milliseconds(20))).Error ==
        errc::NotFound);
}

TEST_CASE_METHOD(metadata_fixture,
                 "metadata: keys are removed with their lease") {
  const lease_result Lease = run(Store.grantLease(milliseconds(60'000)));
  REQUIRE_FALSE(Lease.Error);
  REQUIRE(write("leader", "me", 0, Lease.Id).IsApplied);
  CHECK_FALSE(run(Store.keepLease(Lease.Id)).Error);
  Service.endLease(Lease.Id);
  CHECK(run(Store.keepLease(Lease.Id)).Error == errc::NotFound);
  CHECK_FALSE(run(Store.read("leader")).Item);
  const change_result Late = write("leader", "me", 0, Lease.Id);
  CHECK(Late.IsLeaseEnded);
  CHECK_FALSE(Late.IsApplied);
}
