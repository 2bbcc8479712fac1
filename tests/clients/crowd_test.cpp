// Clients that don't keep to the protocol, many at once, against an instance
// whose limits are low. Each case checks that the process lives, that it stays
// within the memory and descriptors of its machine, and that an ordinary
// request is answered while the crowd is still connected. No case checks times.

#include "tests/support/instance_process.hpp"
#include "tests/support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <sys/resource.h>

#include <algorithm>

using namespace galenastage;
using namespace galenastage::test;

namespace {

constexpr milliseconds SettleStep{50};
constexpr seconds SettleLimit{10};
constexpr int ForFiles = 200; // descriptors that sockets may not take
constexpr std::size_t Mib = 1'024 * 1'024;

const std::string SubmitHead = "POST /open/00000000000000c1 HTTP/1.1\r\n"
                               "Host: h\r\n";
const std::string ChunkedHead =
    SubmitHead + "Transfer-Encoding: chunked\r\n\r\n";

/// A request with a body of the given size that has yet to send its last byte.
crowd_behaviour unfinishedBody(int Connections, std::size_t BodyBytes) {
  const std::string Head =
      SubmitHead + "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n";
  return {"body but for its last byte", Connections, Head, " ",
          Head.size() + BodyBytes - 1};
}

/// The same in chunks, the last of which doesn't come.
crowd_behaviour unfinishedChunks(int Connections, std::size_t BodyBytes) {
  const std::string Chunk = "1000\r\n" + std::string(4'096, ' ') + "\r\n";
  return {"chunks but for the last", Connections, ChunkedHead, Chunk,
          ChunkedHead.size() + BodyBytes / 4'096 * Chunk.size()};
}

/// A whole submission, blank but for the job, repeated on each connection.
crowd_behaviour wholeSubmissions(int Connections, const std::string &Body) {
  const std::string Request = SubmitHead +
                              "Content-Length: " + std::to_string(Body.size()) +
                              "\r\n\r\n" + Body;
  return {"whole submissions", Connections, Request, " ", Request.size()};
}

struct crowded_instance {
  machine_limits Limits;
  store_thread Store;
  std::optional<instance_process> Instance;
  std::int64_t MostBytes = 0; // resident at the peak, and unread

  void start(const machine_limits &NewLimits) {
    Limits = NewLimits;
    // The crowd needs as many descriptors as it has connections.
    rlimit Own{};
    getrlimit(RLIMIT_NOFILE, &Own);
    Own.rlim_cur = Own.rlim_max;
    setrlimit(RLIMIT_NOFILE, &Own);
    Store.run([](standin::metadata_service &Service) {
      Service.put("op/config", PublicQueueConfig);
    });
    Instance.emplace(Limits, Store.address());
    REQUIRE(ask() == 200);
  }

  int ask() {
    return askOnce(Instance->front(), "GET /open/ HTTP/1.1\r\nHost: h\r\n\r\n");
  }

  void sample() {
    const process_usage Usage = Instance->usage();
    MostBytes = std::max(MostBytes, Usage.PeakBytes + Usage.UnreadBytes);
  }

  /// Samples until the instance has taken what it takes.
  void settle() {
    const auto GiveUp = std::chrono::steady_clock::now() + SettleLimit;
    int Unchanged = 0;
    while (Unchanged < 10 && std::chrono::steady_clock::now() < GiveUp) {
      const std::int64_t Before = MostBytes;
      sample();
      Unchanged = MostBytes == Before ? Unchanged + 1 : 0;
      std::this_thread::sleep_for(SettleStep);
    }
  }

  /// Checks what must hold while the crowd is connected.
  void check() {
    settle();
    REQUIRE(Instance->isAlive());
    CHECK(MostBytes <= Limits.MemoryMb * static_cast<std::int64_t>(Mib));
    CHECK(Instance->usage().Descriptors <= Limits.Descriptors - ForFiles);
    CHECK(ask() == 200);
    CHECK(Instance->isAlive());
  }

  void press(const endpoint &To, const crowd_behaviour &Behaviour) {
    CAPTURE(Behaviour.Name);
    crowd Crowd(To, Behaviour);
    REQUIRE(Crowd.size() == Behaviour.Connections);
    Crowd.press([this] { sample(); });
    check();
  }

  /// Lets the requests wait for the store, and checks once it serves again.
  void pressWaiting(const crowd_behaviour &Behaviour) {
    Store.run([](standin::metadata_service &Service) {
      Service.Faults.HoldsWrites = true;
    });
    crowd Crowd(Instance->front(), Behaviour);
    REQUIRE(Crowd.size() == Behaviour.Connections);
    Crowd.press([this] { sample(); });
    settle();
    Store.run([](standin::metadata_service &Service) { Service.Faults = {}; });
    CHECK(Instance->waitUntilServing("GET /open/ HTTP/1.1\r\nHost: h\r\n\r\n"));
    check();
  }

  void pressFront(const crowd_behaviour &Behaviour) {
    start({});
    press(Instance->front(), Behaviour);
  }
};

constexpr int Few = 8;
constexpr std::size_t Endless = 16 * Mib; // by each of the few

} // namespace

// [1] Messages without an end

TEST_CASE_METHOD(crowded_instance, "crowd: trailers without end: long fields") {
  pressFront({"long trailer fields", Few, ChunkedHead + "5\r\nhello\r\n0\r\n",
              "X-Long: " + std::string(8'000, 'a') + "\r\n", Endless});
}

TEST_CASE_METHOD(crowded_instance,
                 "crowd: trailers without end: short fields") {
  pressFront({"short trailer fields", Few, ChunkedHead + "5\r\nhello\r\n0\r\n",
              "a: b\r\n", Endless});
}

TEST_CASE_METHOD(crowded_instance, "crowd: trailers without end: one field") {
  pressFront({"one trailer field", Few,
              ChunkedHead + "5\r\nhello\r\n0\r\nX-Long: ", "a", Endless});
}

TEST_CASE_METHOD(crowded_instance, "crowd: a chunk extension without end") {
  pressFront({"chunk extension", Few, ChunkedHead + "5;x=", "a", Endless});
}

TEST_CASE_METHOD(crowded_instance, "crowd: a chunk size without end") {
  pressFront({"chunk size", Few, ChunkedHead, "0", Endless});
}

TEST_CASE_METHOD(crowded_instance, "crowd: a header field without end") {
  pressFront({"header field", Few, SubmitHead + "X-Long: ", "a", Endless});
}

TEST_CASE_METHOD(crowded_instance, "crowd: header fields without end") {
  pressFront({"header fields", Few, SubmitHead, "a: b\r\n", Endless});
}

TEST_CASE_METHOD(crowded_instance, "crowd: a start line without end") {
  pressFront({"start line", Few, "GET /", "a", Endless});
}

TEST_CASE_METHOD(crowded_instance, "crowd: blank lines without end") {
  pressFront({"blank lines", Few, "", "\r\n", Endless});
}

TEST_CASE_METHOD(crowded_instance,
                 "crowd: small chunks with extensions without end") {
  pressFront({"small chunks", Few, ChunkedHead, "1;x=y\r\na\r\n", Endless});
}

// [2] Many messages that don't end

TEST_CASE_METHOD(crowded_instance,
                 "crowd: bodies over the limit but for their last byte") {
  pressFront(unfinishedBody(24, 8 * Mib));
}

TEST_CASE_METHOD(crowded_instance,
                 "crowd: chunked bodies over the limit but for their last "
                 "chunk") {
  pressFront(unfinishedChunks(24, 8 * Mib - 4'096));
}

TEST_CASE_METHOD(crowded_instance,
                 "crowd: bodies within the limit but for their last byte") {
  pressFront(unfinishedBody(400, 262'000));
}

TEST_CASE_METHOD(crowded_instance,
                 "crowd: chunked bodies within the limit but for their last "
                 "chunk") {
  pressFront(unfinishedChunks(400, 258'048));
}

TEST_CASE_METHOD(crowded_instance,
                 "crowd: headers within the limit but for their last line") {
  start({24, 2'048});
  press(Instance->front(),
        {"header", 1'800, SubmitHead + "X-Long: ", "a", 15'000});
}

TEST_CASE_METHOD(crowded_instance,
                 "crowd: bodies but for their last byte through the probes") {
  start({});
  press(Instance->ready(), unfinishedBody(24, 8 * Mib));
  CHECK(Instance->waitUntilReady());
}

// [3] Connections that are only held

TEST_CASE_METHOD(crowded_instance,
                 "crowd: more connections than descriptors none of which "
                 "sends") {
  start({});
  press(Instance->front(), {"silent", 800, "", "", 0});
  CHECK(Instance->waitUntilReady());
}

TEST_CASE_METHOD(
    crowded_instance,
    "crowd: more connections than descriptors through the probes") {
  start({});
  press(Instance->ready(), {"silent", 800, "", "", 0});
  CHECK(Instance->waitUntilReady());
}

TEST_CASE_METHOD(crowded_instance,
                 "crowd: idle connections after a request each") {
  start({});
  const std::string Request = "GET /open/ HTTP/1.1\r\nHost: h\r\n\r\n";
  press(Instance->front(), {"idle", 800, Request, " ", Request.size()});
  CHECK(Instance->waitUntilReady());
}

// [4] Answers that aren't read

TEST_CASE_METHOD(crowded_instance,
                 "crowd: requests without end whose answers aren't read") {
  pressFront({"pipelined requests", 200, "",
              "GET /open/ HTTP/1.1\r\nHost: h\r\n\r\n", 4 * Mib});
}

TEST_CASE_METHOD(crowded_instance,
                 "crowd: more connections than the limit that send requests "
                 "without end") {
  start({260, 4'100});
  press(Instance->front(),
        {"pipelined requests", 3'000, "",
         "GET /open/ HTTP/1.1\r\nHost: h\r\n\r\n", 64 * 1'024});
}

// [5] Whole requests that wait

TEST_CASE_METHOD(crowded_instance,
                 "crowd: large submissions while the store takes no writes") {
  const std::string Job = R"({"spec":"x","steps":[{"count":1,"cpu":500}]})";
  start({});
  pressWaiting(wholeSubmissions(400, Job + std::string(250'000, ' ')));
}

TEST_CASE_METHOD(
    crowded_instance,
    "crowd: submissions of many steps while the store takes no writes") {
  std::string Job = R"({"spec":"x","steps":[{"count":1})";
  for (int I = 1; I < 5'000; ++I)
    Job += R"(,{"count":1})";
  start({});
  pressWaiting(wholeSubmissions(300, Job + "]}"));
}
