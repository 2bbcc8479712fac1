#include "net/byte_account.hpp"
#include "net/http.hpp"
#include "net/server_message.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>

#include <algorithm>
#include <set>

namespace galenastage {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace intrusive = boost::intrusive;
using tcp = asio::ip::tcp;
using reuse_port =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
using request_parser = http::request_parser<http::buffer_body>;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

constexpr std::size_t FirstReadBytes = 2 * 1024; // of a request
constexpr std::size_t MaxReadBytes = 16 * 1024;
// What framing may add to the header's limit: the last chunk's size and line
// ends before trailers.
constexpr std::size_t FramingBytes = 1024;
// A connection without a request: its coroutine, stream and first buffer.
constexpr std::size_t ConnectionBytes = 4 * 1024 + FirstReadBytes;
// A client that is still sending reads its refusal only if the connection isn't
// reset, so that much of what it sends is read and thrown away.
constexpr std::size_t MaxDrainedBytes = 1024 * 1024;
constexpr int MaxAcceptsPerTurn = 64; // of the event loop
constexpr milliseconds MaxDrainTime{1'000};

/// Why a request wasn't read whole.
struct read_failure {
  unsigned Status = 0; // of the refusal; 0: close without one
  std::string Reason;
};

/// A request while it is read. The parser hands the body out in pieces, so that
/// it grows under the account.
struct incoming_request {
  explicit incoming_request(const http_limits &Limits) : Limits(Limits) {
    Parser.header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
    Parser.body_limit(Limits.BodyBytes);
  }

  http_limits Limits; // when it began
  request_parser Parser;
  http_request Request;
  std::size_t HeadBytes = 0; // of memory
  std::size_t BodyBytes = 0; // read so far; Request.Body has room for more
  bool KeepAlive = false;
};

/// One accepted connection.
struct connection
    : intrusive::list_base_hook<intrusive::link_mode<intrusive::auto_unlink>> {
  connection(tcp::socket Socket, byte_account &Account)
      : Stream(std::move(Socket)), Claim(Account) {}

  beast::tcp_stream Stream;
  std::string Peer; // remote address
  beast::flat_buffer Buffer;
  byte_claim Claim;
  std::size_t Leaving = 0; // bytes of the claim when it was closed for room
  bool IsIdle = false;     // waits for a request
  bool IsClosed = false;   // closed to make room for others
};
using connection_list =
    intrusive::list<connection, intrusive::constant_time_size<false>>;

} // namespace

struct http_server::state : std::enable_shared_from_this<state> {
  state(asio::io_context &Context, http_handler Handler, http_limits Limits)
      : Context(Context), Acceptor(Context), Handler(std::move(Handler)),
        Limits(Limits), Account(Limits.HeldBytes) {}

  // [1] Connections

  void listen(const endpoint &Endpoint) {
    const tcp::endpoint Local(asio::ip::make_address(Endpoint.Address),
                              Endpoint.Port);
    Acceptor.open(Local.protocol());
    Acceptor.set_option(asio::socket_base::reuse_address(true));
    // Each traffic thread listens on its own socket with the same address.
    Acceptor.set_option(reuse_port(true));
    // Accepted sockets inherit it.
    Acceptor.set_option(asio::socket_base::receive_buffer_size(
        static_cast<int>(Limits.ReceiveBufferBytes)));
    Acceptor.bind(Local);
    Acceptor.listen(asio::socket_base::max_listen_connections);
    Acceptor.non_blocking(true);
  }

  task<void> acceptLoop() {
    auto Self = shared_from_this();
    while (!IsStopping) {
      auto [Error, Socket] = co_await Acceptor.async_accept(AsTuple);
      if (Error == asio::error::operation_aborted)
        co_return;
      if (Error) {
        // Out of file descriptors: make room, or back off instead of spinning.
        const bool HasRoom =
            Error == asio::error::no_descriptors && closeSlowest(nullptr);
        asio::steady_timer Timer(Context, milliseconds(HasRoom ? 0 : 50));
        co_await Timer.async_wait(AsTuple);
        continue;
      }
      admit(std::move(Socket));
      acceptMore();
    }
  }

  /// While there are many connections, a turn of the event loop is long: new
  /// ones must not wait a turn for each that came before them.
  void acceptMore() {
    if (2 * openConnections() < Limits.Connections)
      return;
    boost::system::error_code Error;
    for (int I = 1; I < MaxAcceptsPerTurn && !IsStopping; ++I) {
      tcp::socket Socket(Context);
      Acceptor.accept(Socket, Error);
      if (Error)
        return;
      admit(std::move(Socket));
    }
  }

  /// Serves the connection if there is room, or another can make room.
  void admit(tcp::socket Socket) {
    if (openConnections() >= Limits.Connections && !closeSlowest(nullptr)) {
      ++Refused;
      return; // the socket closes as it goes out of scope
    }
    boost::system::error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    ++Arriving;
    asio::co_spawn(Context, serve(std::move(Socket)), asio::detached);
  }

  [[nodiscard]] int openConnections() const {
    return static_cast<int>(Connections.size()) + Arriving - Leavers;
  }

  task<void> serve(tcp::socket Socket) {
    auto Self = shared_from_this();
    connection Connection(std::move(Socket), Account);
    boost::system::error_code Ignored;
    const auto Remote = Connection.Stream.socket().remote_endpoint(Ignored);
    Connection.Peer = Ignored ? "" : Remote.address().to_string();
    Connections.insert(&Connection);
    --Arriving;
    Peak = std::max(Peak.load(), openConnections());
    bool KeepsOpen = co_await claim(Connection, 0);
    if (!KeepsOpen)
      ++Refused;
    while (!IsStopping && KeepsOpen && !Connection.IsClosed)
      KeepsOpen = co_await serveOne(Connection);
    forget(Connection);
    Connection.Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  }

  void forget(connection &Connection) {
    Connection.unlink();
    Connections.erase(&Connection);
    LeavingBytes -= Connection.Leaving;
    if (Connection.IsClosed)
      --Leavers;
  }

  // [2] Room

  /// Notes that the connection got further, and may be closed for others while
  /// its request isn't whole.
  void noteProgress(connection &Connection) {
    if (Connection.IsClosed)
      return;
    Connection.unlink();
    Closable.push_back(Connection);
  }

  /// Closes the connection that has been without progress for longest, other
  /// than the given one. False when no other may be closed.
  bool closeSlowest(const connection *Except) {
    const auto Found = std::ranges::find_if(
        Closable, [&](const connection &Each) { return &Each != Except; });
    if (Found == Closable.end())
      return false;
    connection &Slowest = *Found;
    Slowest.unlink();
    Slowest.IsClosed = true;
    Slowest.Leaving = Slowest.Claim.size();
    LeavingBytes += Slowest.Leaving;
    ++Leavers;
    ++Displaced;
    Slowest.Stream.close();
    return true;
  }

  /// Sets the connection's claim to what it always holds and Bytes more. Closes
  /// others if there is no room; false when that doesn't help.
  task<bool> claim(connection &Connection, std::size_t Bytes) {
    const std::size_t Wanted = idleBytes() + Bytes;
    while (!Connection.Claim.resize(Wanted)) {
      const bool Suffices = Wanted - Connection.Claim.size() <=
                            Account.limit() - Account.used() + LeavingBytes;
      if (!Suffices && !closeSlowest(&Connection))
        co_return false;
      // Closed connections give their bytes back in their own coroutines.
      co_await asio::post(Context, asio::use_awaitable);
      if (Connection.IsClosed)
        co_return false;
    }
    co_return true;
  }

  /// What a connection without a request holds. The kernel may keep twice the
  /// receive buffer's size.
  [[nodiscard]] std::size_t idleBytes() const {
    return ConnectionBytes + 2 * Limits.ReceiveBufferBytes;
  }

  // [3] Requests

  /// Serves one request; false when the connection should be closed.
  task<bool> serveOne(connection &Connection) {
    if (Connection.Buffer.size() == 0) {
      const bool HasBegun = co_await waitForRequest(Connection);
      if (!HasBegun)
        co_return false;
    }
    incoming_request Incoming(Limits);
    read_failure Failure;
    const bool IsWhole = co_await readRequest(Connection, Incoming, Failure);
    if (Connection.IsClosed)
      co_return false;
    Connection.Stream.expires_never();
    if (!IsWhole)
      co_return co_await refuse(Connection, Failure);
    // A request that was read whole keeps its answer.
    Connection.unlink();
    co_return co_await handle(Connection, Incoming);
  }

  /// Waits for the first bytes of a request. A wait on the socket itself would
  /// not expire.
  task<bool> waitForRequest(connection &Connection) {
    Connection.Buffer.shrink_to_fit();
    Connection.Claim.shrink(idleBytes());
    Connection.IsIdle = true;
    noteProgress(Connection);
    Connection.Stream.expires_after(Limits.IdleTimeout);
    auto [Error, Bytes] = co_await Connection.Stream.async_read_some(
        Connection.Buffer.prepare(FirstReadBytes), AsTuple);
    Connection.Buffer.commit(Bytes);
    Connection.IsIdle = false;
    // What was read is served, also while the server stops.
    co_return !Error && !Connection.IsClosed;
  }

  /// Reads a whole request; on failure, says why.
  task<bool> readRequest(connection &Connection, incoming_request &Incoming,
                         read_failure &Failure) {
    noteProgress(Connection);
    const auto Began = std::chrono::steady_clock::now();
    request_parser &Parser = Incoming.Parser;
    // The parser waits for a whole header, trailer or chunk header, and has no
    // limit of its own for the latter two.
    Connection.Buffer.max_size(Incoming.Limits.HeaderBytes + FramingBytes);
    Connection.Stream.expires_at(Began + Incoming.Limits.HeaderTimeout);
    while (!Parser.is_done()) {
      boost::system::error_code Error;
      const bool HadHeader = Parser.is_header_done();
      if (Connection.Buffer.size() > 0)
        Error = parse(Connection.Buffer, Incoming);
      else
        Error = http::error::need_more;
      if (!HadHeader && Parser.is_header_done()) {
        const bool IsAccepted =
            co_await beginBody(Connection, Incoming, Failure);
        if (!IsAccepted)
          co_return false;
        Connection.Stream.expires_at(Began + Incoming.Limits.ReadTimeout);
      }
      if (Error == http::error::need_buffer) {
        const bool HasRoom = co_await growBody(Connection, Incoming);
        if (!HasRoom) {
          Failure = noMemory();
          co_return false;
        }
      } else if (Error == http::error::need_more) {
        const bool HasMore = co_await readMore(Connection, Incoming, Failure);
        if (!HasMore)
          co_return false;
      } else if (Error) {
        Failure = {detail::statusOf(Error), Error.message()};
        co_return false;
      }
    }
    Incoming.Request.Body.resize(Incoming.BodyBytes);
    co_return true;
  }

  /// Feeds the parser with what has been received.
  static boost::system::error_code parse(beast::flat_buffer &Buffer,
                                         incoming_request &Incoming) {
    auto &Piece = Incoming.Parser.get().body();
    std::string &Body = Incoming.Request.Body;
    Piece.data = Body.data() + Incoming.BodyBytes;
    Piece.size = Body.size() - Incoming.BodyBytes;
    boost::system::error_code Error;
    Buffer.consume(Incoming.Parser.put(Buffer.data(), Error));
    Incoming.BodyBytes = Body.size() - Piece.size;
    return Error;
  }

  /// Checks the header and takes it out of the parser, which then collects the
  /// trailers. They are ignored: they must not add to the header.
  task<bool> beginBody(connection &Connection, incoming_request &Incoming,
                       read_failure &Failure) {
    auto &Message = Incoming.Parser.get();
    if (detail::hasAmbiguousLength(Message)) {
      Failure = {400, "conflicting message lengths"};
      co_return false;
    }
    Incoming.KeepAlive = Incoming.Parser.keep_alive();
    Incoming.Request = detail::takeHead(Message, Connection.Peer);
    Incoming.HeadBytes = detail::headBytes(Incoming.Request);
    const bool ExpectsContinue = detail::expectsContinue(Message);
    Message.clear();
    const bool HasRoom = co_await claimRequest(Connection, Incoming);
    if (!HasRoom) {
      Failure = noMemory();
      co_return false;
    }
    Incoming.Parser.eager(true);
    if (ExpectsContinue && !Incoming.Parser.is_done() &&
        Connection.Buffer.size() == 0)
      co_return co_await sendContinue(Connection);
    co_return true;
  }

  /// Claims what the connection and its request hold now.
  task<bool> claimRequest(connection &Connection,
                          const incoming_request &Incoming) {
    return claim(Connection, Connection.Buffer.capacity() + Incoming.HeadBytes +
                                 Incoming.Request.Body.capacity());
  }

  /// Makes room for more of the body.
  task<bool> growBody(connection &Connection, incoming_request &Incoming) {
    std::string &Body = Incoming.Request.Body;
    std::size_t Size = std::max(2 * Body.size(), FirstReadBytes);
    if (const auto Length = Incoming.Parser.content_length())
      Size = std::min<std::uint64_t>(Size, *Length);
    Size = std::min(Size, Incoming.Limits.BodyBytes);
    // The old text is there until the new one is filled.
    const bool HasRoom =
        co_await claim(Connection, Connection.Buffer.capacity() +
                                       Incoming.HeadBytes + Body.size() + Size);
    if (!HasRoom)
      co_return false;
    Body.resize(Size);
    co_return co_await claimRequest(Connection, Incoming);
  }

  /// Receives some bytes into the connection's buffer.
  task<bool> readMore(connection &Connection, const incoming_request &Incoming,
                      read_failure &Failure) {
    beast::flat_buffer &Buffer = Connection.Buffer;
    const std::size_t Limit = Buffer.max_size();
    if (Buffer.size() >= Limit) {
      Failure = {431, "the header, trailers or chunk header are too large"};
      co_return false;
    }
    const std::size_t Step =
        std::clamp(std::max(Buffer.size(), Incoming.BodyBytes), FirstReadBytes,
                   MaxReadBytes);
    const std::size_t Bytes = std::min(Step, Limit - Buffer.size());
    const std::size_t Wanted = Buffer.size() + Bytes;
    if (Wanted > Buffer.capacity()) {
      const bool HasRoom =
          co_await claim(Connection, 2 * Wanted + Incoming.HeadBytes +
                                         Incoming.Request.Body.capacity());
      if (!HasRoom) {
        Failure = noMemory();
        co_return false;
      }
    }
    auto [Error, Received] = co_await Connection.Stream.async_read_some(
        Buffer.prepare(Bytes), AsTuple);
    Buffer.commit(Received);
    if (!Error) {
      noteProgress(Connection);
      co_return true;
    }
    if (Error == asio::error::eof && Incoming.Parser.got_some())
      Failure = {400, "the request ends early"};
    co_return false;
  }

  static read_failure noMemory() {
    return {503, "too many requests are being received"};
  }

  task<bool> handle(connection &Connection, incoming_request &Incoming) {
    const bool KeepAlive = Incoming.KeepAlive;
    const bool IsHead = Incoming.Request.Method == "HEAD";
    const std::size_t Held = Connection.Buffer.capacity() + Incoming.HeadBytes +
                             Incoming.Request.Body.capacity();
    Incoming.Request.Reserve = [this, &Connection, Held](std::size_t Bytes) {
      return claim(Connection, Held + Bytes);
    };
    ++Open;
    http_response Response = co_await answer(std::move(Incoming.Request));
    if (Response.Status == 0) { // the handler asks to close the connection
      --Open;
      Connection.Stream.close();
      co_return false;
    }
    // A client that doesn't read its answer makes room for others.
    noteProgress(Connection);
    bool IsSent = false;
    if (Response.Stream)
      IsSent = co_await writeStream(Connection, Response);
    else
      IsSent = co_await write(Connection, std::move(Response),
                              KeepAlive && !IsStopping, IsHead);
    --Open;
    co_return IsSent &&KeepAlive;
  }

  task<http_response> answer(http_request Request) {
    try {
      co_return co_await Handler(std::move(Request));
    } catch (const std::exception &Error) {
      co_return problemResponse(500, "internal error", Error.what(),
                                verdict::Unknown);
    }
  }

  // [4] Answers

  /// Refuses a request that wasn't read whole. Always false: the connection is
  /// of no further use.
  task<bool> refuse(connection &Connection, const read_failure &Failure) {
    if (Failure.Status == 0)
      co_return false;
    http_response Response = problemResponse(Failure.Status, "request refused",
                                             Failure.Reason, verdict::NotRun);
    if (Failure.Status == 503)
      Response.Headers.set("Retry-After", "1");
    const bool IsHead = false;
    const bool KeepAlive = false;
    co_await write(Connection, std::move(Response), KeepAlive, IsHead);
    co_await drain(Connection);
    co_return false;
  }

  /// Ends the answers and throws away what still arrives.
  task<void> drain(connection &Connection) {
    boost::system::error_code Ignored;
    Connection.Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
    Connection.Stream.expires_after(MaxDrainTime);
    Connection.Buffer.clear();
    std::size_t Drained = 0;
    while (Drained < MaxDrainedBytes && !Connection.IsClosed) {
      auto [Error, Bytes] = co_await Connection.Stream.async_read_some(
          Connection.Buffer.prepare(FirstReadBytes), AsTuple);
      if (Error)
        co_return;
      Drained += Bytes;
    }
  }

  task<bool> sendContinue(connection &Connection) {
    constexpr std::string_view Text = "HTTP/1.1 100 Continue\r\n\r\n";
    auto [Error, Bytes] = co_await asio::async_write(
        Connection.Stream, asio::buffer(Text), AsTuple);
    co_return !Error;
  }

  task<bool> write(connection &Connection, http_response Response,
                   bool KeepAlive, bool IsHead) {
    http::response<http::string_body> Message;
    detail::copyHead(Response, Message, KeepAlive);
    Message.body() = std::move(Response.Body);
    Message.prepare_payload();
    if (IsHead)
      Message.body().clear();
    Connection.Stream.expires_after(Limits.WriteTimeout);
    auto [Error, Bytes] =
        co_await http::async_write(Connection.Stream, Message, AsTuple);
    Connection.Stream.expires_never();
    co_return !Error && KeepAlive;
  }

  /// Streams the handler's output as HTTP chunks.
  task<bool> writeStream(connection &Connection,
                         const http_response &Response) {
    beast::tcp_stream &Stream = Connection.Stream;
    http::response<http::empty_body> Message;
    detail::copyHead(Response, Message, true);
    Message.chunked(true);
    http::response_serializer<http::empty_body> Serializer(Message);
    Stream.expires_after(Limits.WriteTimeout);
    auto [HeadError, HeadBytes] =
        co_await http::async_write_header(Stream, Serializer, AsTuple);
    if (HeadError)
      co_return false;
    // Between pieces it isn't the client who makes no progress.
    Connection.unlink();
    const chunk_writer Write = [&](std::string Piece) -> task<bool> {
      noteProgress(Connection);
      Stream.expires_after(Limits.WriteTimeout);
      auto [Error, Bytes] = co_await asio::async_write(
          Stream, http::make_chunk(asio::buffer(Piece)), AsTuple);
      Stream.expires_never();
      Connection.unlink();
      co_return !Error && !IsStopping;
    };
    try {
      co_await Response.Stream(Write);
    } catch (const std::exception &) {
      co_return false; // the missing last chunk marks the body as cut
    }
    Stream.expires_after(Limits.WriteTimeout);
    auto [Error, Bytes] =
        co_await asio::async_write(Stream, http::make_chunk_last(), AsTuple);
    co_return !Error;
  }

  // [5] End

  void stop() {
    IsStopping = true;
    boost::system::error_code Ignored;
    Acceptor.close(Ignored);
    for (connection *Connection : Connections)
      if (Connection->IsIdle)
        Connection->Stream.cancel();
  }

  void closeAll() {
    stop();
    for (connection *Connection : Connections)
      Connection->Stream.close();
  }

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  http_handler Handler;
  http_limits Limits;
  byte_account Account;
  std::atomic<bool> IsStopping{false};
  std::atomic<int> Open{0};
  std::atomic<int> Peak{0};      // most connections at once
  std::atomic<int> Refused{0};   // connections closed because of the limit
  std::atomic<int> Displaced{0}; // connections closed to make room for others
  std::set<connection *> Connections; // every one whose coroutine runs
  // Connections that may be closed for others: idle ones, those whose request
  // isn't whole, and those whose client doesn't read; longest without progress
  // first.
  connection_list Closable;
  std::size_t LeavingBytes = 0; // of connections closed for others
  int Arriving = 0;             // accepted connections yet to be served
  int Leavers = 0;              // such connections whose coroutine still runs
};

http_server::http_server(asio::io_context &Context, const endpoint &Endpoint,
                         http_handler Handler, http_limits Limits)
    : State(std::make_shared<state>(Context, std::move(Handler), Limits)) {
  State->listen(Endpoint);
  asio::co_spawn(Context, State->acceptLoop(), asio::detached);
}

http_server::~http_server() {
  if (State->Context.stopped())
    return;
  asio::post(State->Context, [State = State] { State->closeAll(); });
}

endpoint http_server::localEndpoint() const {
  const auto Local = State->Acceptor.local_endpoint();
  return {Local.address().to_string(), Local.port()};
}

void http_server::setRequestLimits(const http_limits &Limits) {
  State->Limits.HeaderBytes = Limits.HeaderBytes;
  State->Limits.BodyBytes = Limits.BodyBytes;
  State->Limits.HeaderTimeout = Limits.HeaderTimeout;
  State->Limits.IdleTimeout = Limits.IdleTimeout;
}

void http_server::stopAccepting() {
  asio::post(State->Context, [State = State] { State->stop(); });
}

int http_server::openRequests() const { return State->Open; }

int http_server::peakConnections() const { return State->Peak; }

int http_server::openConnections() const { return State->openConnections(); }

std::size_t http_server::heldBytes() const { return State->Account.used(); }

int http_server::refusedConnections() const { return State->Refused; }

int http_server::displacedConnections() const { return State->Displaced; }

} // namespace galenastage
