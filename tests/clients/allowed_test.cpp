// A single client inside the limits is served, on the smallest machine of the
// deployments.

#include "tests/support/instance_process.hpp"
#include "tests/support/raw_connection.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;
using namespace galenastage::test;

namespace {

const std::string Job = R"({"spec":"x","steps":[{"count":1,"cpu":500}]})";
const std::string SubmitHead = "POST /open/00000000000000a1 HTTP/1.1\r\n"
                               "Host: h\r\n";
constexpr std::size_t MaxBodyBytes = 262'144;
constexpr std::size_t MaxHeaderBytes = 16'384;

std::string withLength(const std::string &Body) {
  return SubmitHead + "Content-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

std::string chunk(const std::string &Bytes) {
  std::string Text = "0000\r\n";
  constexpr std::string_view Digits = "0123456789abcdef";
  for (std::size_t I = 0; I < 4; ++I)
    Text[I] = Digits[Bytes.size() >> (4 * (3 - I)) & 15U];
  return Text + Bytes + "\r\n";
}

struct calm_instance {
  store_thread Store;
  std::optional<instance_process> Instance;

  calm_instance() {
    Store.run([](standin::metadata_service &Service) {
      Service.put("op/config", PublicQueueConfig);
    });
    Instance.emplace(machine_limits{120, 3'075}, Store.address());
  }
};

} // namespace

TEST_CASE_METHOD(calm_instance, "allowed: the largest header") {
  std::string Request = SubmitHead +
                        "Content-Length: " + std::to_string(Job.size()) +
                        "\r\nX-Long: ";
  Request += std::string(MaxHeaderBytes - Request.size() - 4, 'a') + "\r\n\r\n";
  REQUIRE(Request.size() == MaxHeaderBytes);
  CHECK(askOnce(Instance->front(), Request + Job) == 200);
}

TEST_CASE_METHOD(calm_instance, "allowed: the largest body") {
  const std::string Body = Job + std::string(MaxBodyBytes - Job.size(), ' ');
  CHECK(askOnce(Instance->front(), withLength(Body)) == 200);
}

TEST_CASE_METHOD(calm_instance, "allowed: the largest body in chunks") {
  std::string Body = Job + std::string(MaxBodyBytes - Job.size(), ' ');
  std::string Request = SubmitHead + "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t At = 0; At < Body.size(); At += 8'192)
    Request += chunk(Body.substr(At, 8'192));
  CHECK(askOnce(Instance->front(), Request + "0\r\n\r\n") == 200);
}

TEST_CASE_METHOD(calm_instance,
                 "allowed: chunks with extensions and trailers") {
  CHECK(askOnce(Instance->front(),
                SubmitHead + "Transfer-Encoding: chunked\r\n\r\n" +
                    "4;a=b\r\n" + Job.substr(0, 4) + "\r\n" +
                    chunk(Job.substr(4)) + "0;c=d\r\nX-Sum: 17\r\n\r\n") ==
        200);
}

TEST_CASE_METHOD(calm_instance, "allowed: a body in many small pieces") {
  raw_connection Client(Instance->front());
  const std::string Request = withLength(Job);
  for (const char Byte : Request) {
    REQUIRE(Client.sendAll(std::string_view(&Byte, 1)));
    std::this_thread::sleep_for(milliseconds(5));
  }
  CHECK(Client.readStatus() == 200);
}

TEST_CASE_METHOD(calm_instance,
                 "allowed: a client that waits for 100 Continue") {
  raw_connection Client(Instance->front());
  REQUIRE(Client.sendAll(SubmitHead +
                         "Expect: 100-continue\r\nContent-Length: " +
                         std::to_string(Job.size()) + "\r\n\r\n"));
  CHECK(Client.readStatus() == 100);
  REQUIRE(Client.sendAll(Job));
  CHECK(Client.readStatus() == 200);
}

TEST_CASE_METHOD(calm_instance, "allowed: requests in a row on a connection") {
  raw_connection Client(Instance->front());
  const std::string Ask = "GET /open/00000000000000a1 HTTP/1.1\r\n"
                          "Host: h\r\n\r\n";
  REQUIRE(Client.sendAll(withLength(Job) + Ask + Ask));
  CHECK(Client.readStatus() == 200);
  CHECK(Client.readStatus() == 200);
  CHECK(Client.readStatus() == 200);
}

TEST_CASE_METHOD(calm_instance,
                 "allowed: what exceeds a limit is refused with its status") {
  const std::string Long(MaxHeaderBytes, 'a');
  CHECK(askOnce(Instance->front(),
                "GET /open/ HTTP/1.1\r\nHost: h\r\nX-Long: " + Long +
                    "\r\n\r\n") == 431);
  CHECK(askOnce(Instance->front(),
                withLength(std::string(MaxBodyBytes + 1, ' '))) == 413);
  for (const std::string &Part : {"5;x=" + Long + "\r\nhello\r\n0\r\n\r\n",
                                  "0\r\nX-Long: " + Long + "\r\n\r\n"}) {
    const int Status =
        askOnce(Instance->front(),
                SubmitHead + "Transfer-Encoding: chunked\r\n\r\n" + Part);
    CHECK(Status >= 400);
    CHECK(Status < 500);
  }
}
