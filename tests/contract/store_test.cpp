#include "core/error.hpp"
#include "net/store.hpp"
#include "standin/platform.hpp"
#include "tests/support/run_task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>

using namespace galenastage;

namespace {

/// A stand-in platform and a client on an I/O context that the test drives.
struct store_fixture {
  asio::io_context Context{1};
  standin::stand_in_platform Platform{Context, settings()};
  store_client Store{Context, Platform.storeEndpoint()};

  static standin::platform_settings settings() {
    standin::platform_settings Settings;
    Settings.Store = {"127.0.0.1", 0};
    Settings.Platform = {"127.0.0.1", 0};
    return Settings;
  }

  /// Runs a task to completion and returns its result.
  template <typename Result> Result run(task<Result> Task) {
    std::optional<Result> Outcome;
    asio::co_spawn(
        Context, std::move(Task),
        [&](std::exception_ptr, Result Value) { Outcome = std::move(Value); });
    while (!Outcome)
      Context.run_one();
    return *Outcome;
  }

  /// Sets the active faults of the stand-in store; {} clears them.
  void setFaults(const std::string &Body) {
    http_client Http(Context);
    http_request Request;
    Request.Method = "PUT";
    Request.Target = "/faults/store";
    Request.Body = Body;
    const http_result Result = run(Http.send(
        Platform.platformEndpoint(), std::move(Request), milliseconds(5'000)));
    REQUIRE(Result.Response.Status == 200);
  }

  store_write put(const std::string &Key, const std::string &Value,
                  store_condition Condition) {
    store_transaction Transaction;
    Transaction.Conditions.push_back(std::move(Condition));
    Transaction.Changes.push_back(put_key{Key, Value});
    return run(Store.commit(std::move(Transaction)));
  }
};

} // namespace

TEST_CASE_METHOD(store_fixture,
                 "compare-and-swap lets one of two writers win") {
  const store_write First = put("/k", "one", key_missing{"/k"});
  REQUIRE(First.IsApplied);
  const store_write Second = put("/k", "two", key_missing{"/k"});
  CHECK_FALSE(Second.Error);
  CHECK_FALSE(Second.IsApplied);
  const store_write Third =
      put("/k", "three", revision_is{"/k", First.Revision});
  CHECK(Third.IsApplied);
  const store_read Read = run(Store.read("/k"));
  REQUIRE(Read.Entries.size() == 1);
  CHECK(Read.Entries.front().Value == "three");
  CHECK(Read.Entries.front().ModRevision == Third.Revision);
}

TEST_CASE_METHOD(
    store_fixture,
    "each transaction of a group is applied by its own conditions") {
  put("/taken", "x", key_missing{"/taken"});
  std::vector<store_transaction> Group(2);
  Group[0].Conditions.push_back(key_missing{"/taken"});
  Group[0].Changes.push_back(put_key{"/taken", "y"});
  Group[1].Conditions.push_back(key_missing{"/free"});
  Group[1].Changes.push_back(put_key{"/free", "y"});
  const auto Writes = run(Store.commitGroup(std::move(Group)));
  REQUIRE(Writes.size() == 2);
  CHECK_FALSE(Writes[0].IsApplied);
  CHECK(Writes[1].IsApplied);
}

TEST_CASE_METHOD(
    store_fixture,
    "a stale read returns old values, and a write conditional on it "
    "isn't applied") {
  const store_write First = put("/k", "one", key_missing{"/k"});
  setFaults(R"({"reads_stale":true})");
  run(Store.read("/k"));
  put("/k", "two", revision_is{"/k", First.Revision});
  const store_read Stale = run(Store.read("/k"));
  REQUIRE(Stale.Entries.size() == 1);
  CHECK(Stale.Entries.front().Value == "one");
  const store_write FromStale =
      put("/k", "three", revision_is{"/k", Stale.Entries.front().ModRevision});
  CHECK_FALSE(FromStale.IsApplied);
  setFaults("{}");
  CHECK(run(Store.read("/k")).Entries.front().Value == "two");
}

TEST_CASE_METHOD(
    store_fixture,
    "a write conditional on the leader's key fails once another holds "
    "the key") {
  put("/leader", "me 1", key_missing{"/leader"});
  const store_write Job = put("/job", "a", value_is{"/leader", "me 1"});
  CHECK(Job.IsApplied);
  put("/leader", "other 2", value_is{"/leader", "me 1"});
  CHECK_FALSE(put("/job", "b", value_is{"/leader", "me 1"}).IsApplied);
  CHECK(run(Store.read("/job")).Entries.front().Value == "a");
}

// Guards against a range that is taken for empty, and against a read without
// end: a page without items says that there are more.
TEST_CASE("store: a page without items isn't the last") {
  asio::io_context Context{1};
  const int ItemsFirst = GENERATE(0, 1);
  int Calls = 0;
  const http_server Service(
      Context, {"127.0.0.1", 0}, [&](http_request) -> task<http_response> {
        const bool HasItem = Calls++ < ItemsFirst;
        co_return jsonResponse(
            200, std::string(R"({"header":{"revision":"5"},"more":true)") +
                     (HasItem ? R"(,"kvs":[{"key":"YQ==","value":"YQ==",)"
                                R"("mod_revision":"4"}]})"
                              : "}"));
      });
  store_client Store(Context, Service.localEndpoint());
  const store_read Read = test::runTask(Context, Store.readPrefix("a"));
  CHECK(Read.Error == errc::MalformedAnswer);
  CHECK(Calls == ItemsFirst + 1);
}
