#include "peer/connection.hpp"
#include "peer/message.hpp"
#include "tests/support/nested_text.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace galenastage;

namespace {

constexpr milliseconds ConnectTimeout{5'000};

/// A server and one client on an I/O context that the test drives.
struct peer_fixture {
  asio::io_context Context{1};
  std::vector<peer_connection_ptr> Accepted;
  std::vector<std::string> AtServer;
  std::vector<std::string> AtClient;
  int Closed = 0;
  peer_server Server{Context, {"127.0.0.1", 0}, [this](auto Connection) {
                       Connection->start(callbacks(AtServer));
                       Accepted.push_back(std::move(Connection));
                     }};
  peer_connection_ptr Client;

  peer_callbacks callbacks(std::vector<std::string> &Messages) {
    peer_callbacks Callbacks;
    Callbacks.OnMessage = [&Messages](std::string Message) {
      Messages.push_back(std::move(Message));
    };
    Callbacks.OnClosed = [this] { ++Closed; };
    return Callbacks;
  }

  template <typename Condition> void runUntil(Condition Holds) {
    while (!Holds())
      Context.run_one();
  }

  void connect() {
    bool IsDone = false;
    asio::co_spawn(Context,
                   connectPeer(Context, Server.localEndpoint(), "127.0.0.1",
                               ConnectTimeout),
                   [&](std::exception_ptr, peer_connection_ptr Connection) {
                     Client = std::move(Connection);
                     IsDone = true;
                   });
    runUntil([&] { return IsDone && !Accepted.empty(); });
    REQUIRE(Client);
    Client->start(callbacks(AtClient));
  }
};

peer_message sample() {
  peer_message Message;
  Message.From.Name = instance_id("ma-north-a-entry-0");
  Message.From.DataCentre = data_centre_id("ma-north-a");
  Message.From.Kind = process_kind::Scheduler;
  Message.From.Address = {"127.0.0.1", 9'080};
  Message.From.Incarnation = 1'700'000'000'000;
  Message.From.Version = 42;
  Message.SentAt = 123'456'789;
  Message.EchoOf = 7;
  Message.EchoHeld = milliseconds(20);
  Message.EvidenceAge = milliseconds(480);
  Message.Leader = {(77ULL << 20) + 1, milliseconds(300)};
  Message.Reach = {
      {data_centre_id("ma-north-a"), milliseconds(0), milliseconds(-1)},
      {data_centre_id("ma-north-b"), milliseconds(15), milliseconds(900)}};
  member_statement Other;
  Other.Member.Name = instance_id("ma-north-a-entry-1");
  Other.Member.Incarnation = 1'700'000'000'001;
  Other.Member.Version = 41;
  Other.HeardAge = milliseconds(3);
  Message.Members = {Other};
  Message.TablesText = R"({"version":42})";
  return Message;
}

} // namespace

TEST_CASE("a peer message survives encoding and decoding") {
  const peer_message Message = sample();
  const auto Read = parsePeerMessage(printPeerMessage(Message));
  REQUIRE(Read);
  CHECK(*Read == Message);
  CHECK(parsePeerMessage(printPeerMessage({})) == std::nullopt); // no name
}

TEST_CASE("truncated peer messages are rejected, and corrupted ones don't "
          "crash the reader") {
  const std::string Bytes = printPeerMessage(sample());
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    CHECK_FALSE(parsePeerMessage(std::string_view(Bytes).substr(0, Length)));
  // A message with a changed byte may still be valid; it must just not crash.
  for (std::size_t I = 0; I < Bytes.size(); ++I)
    for (int Change : {0x01, 0x80, 0xff}) {
      std::string Changed = Bytes;
      Changed[I] = static_cast<char>(Changed[I] ^ Change);
      parsePeerMessage(Changed);
    }
}

// Guards against a message that overflows the stack of its reader: the library
// reads CBOR recursively.
TEST_CASE("peer messages of nested items or unknown length are rejected") {
  const std::vector<std::string> Openings = {
      "\x81",      // array
      "\xa1\x61z", // map
      "\x9f",      // array of unknown length
      "\xbf\x61z", // map of unknown length
      "\x7f",      // text of unknown length
      "\x5f",      // bytes of unknown length
      "\xc0"};     // tag
  // The field "y" of a valid message.
  const auto WithField = [](const std::string &Value) {
    std::string Message = printPeerMessage(sample());
    ++Message[0]; // fields
    return Message + "\x61y" + Value;
  };
  for (const std::string &Opening : Openings)
    for (const int Count : {65, 100'000, 1'000'000}) {
      const std::string Nested = test::nest(Count, Opening, "");
      CHECK_FALSE(parsePeerMessage(Nested));
      CHECK_FALSE(parsePeerMessage(WithField(Nested)));
    }
  const std::string Allowed(50, '\x81');
  CHECK_FALSE(parsePeerMessage(WithField(Allowed))); // ends too early
  CHECK(parsePeerMessage(WithField(Allowed + "\x01")) == sample());
  CHECK_FALSE(parsePeerMessage(WithField(Allowed + "\x01\x01")));
  // Lengths beyond the end of the message.
  for (const unsigned char Major : {0x9b, 0xbb, 0x5b, 0x7b})
    CHECK_FALSE(parsePeerMessage(std::string(1, static_cast<char>(Major)) +
                                 std::string(8, '\xff')));
}

TEST_CASE_METHOD(peer_fixture,
                 "messages arrive complete and in order, both ways") {
  connect();
  const std::string Large(300'000,
                          'x'); // exceeds the HTTP/2 flow control window
  Client->send("one");
  Client->send(Large);
  Client->send("");
  runUntil([&] { return AtServer.size() == 3; });
  CHECK(AtServer == std::vector<std::string>{"one", Large, ""});
  Accepted.front()->send("two");
  Accepted.front()->send(Large);
  runUntil([&] { return AtClient.size() == 2; });
  CHECK(AtClient == std::vector<std::string>{"two", Large});
}

TEST_CASE_METHOD(peer_fixture, "closing one end notifies both") {
  connect();
  Client->send("one");
  runUntil([&] { return AtServer.size() == 1; });
  Accepted.front()->close();
  runUntil([&] { return Closed == 2; });
  Client->send("after"); // ignored on a closed connection
  CHECK(AtServer.size() == 1);
}

TEST_CASE_METHOD(peer_fixture, "a message over the limit ends the connection") {
  connect();
  Client->send(std::string(MaxPeerMessage + 1, 'x'));
  runUntil([&] { return Closed == 2; });
  CHECK(AtServer.empty());
}

TEST_CASE_METHOD(peer_fixture, "bytes that aren't HTTP/2 end the connection") {
  asio::ip::tcp::socket Socket(Context);
  const endpoint To = Server.localEndpoint();
  Socket.connect({asio::ip::make_address(To.Address), To.Port});
  asio::write(Socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n") +
                                   std::string(64, '?')));
  runUntil([&] { return Closed == 1; });
  CHECK(AtServer.empty());
}

TEST_CASE("connecting to a port without a listener gives null") {
  asio::io_context Context{1};
  endpoint Free;
  {
    peer_server Server(Context, {"127.0.0.1", 0}, nullptr);
    Free = Server.localEndpoint();
  }
  bool IsDone = false;
  peer_connection_ptr Connection;
  asio::co_spawn(Context,
                 connectPeer(Context, Free, "127.0.0.1", ConnectTimeout),
                 [&](std::exception_ptr, peer_connection_ptr Made) {
                   Connection = std::move(Made);
                   IsDone = true;
                 });
  while (!IsDone)
    Context.run_one();
  CHECK_FALSE(Connection);
}
