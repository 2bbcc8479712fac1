#include "net/http.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <set>

namespace galenastage {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using reuse_port =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

// What framing may add to the header's limit: the last chunk's size and line
// ends before trailers.
constexpr std::size_t FramingBytes = 1024;
constexpr std::size_t FirstReadBytes = 2 * 1024; // of a request

http_request fromBeast(http::request<http::string_body> &&Message,
                       const std::string &Peer) {
  http_request Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Headers.Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.Body = std::move(Message.body());
  Request.Peer = Peer;
  return Request;
}

template <typename Body>
void copyHead(const http_response &From, http::response<Body> &To,
              bool KeepAlive) {
  To.version(11);
  To.result(From.Status);
  for (const http_header &Field : From.Headers.Fields)
    To.insert(Field.Name, Field.Value);
  To.keep_alive(KeepAlive);
}

/// Several Content-Length fields, or Content-Length with Transfer-Encoding,
/// make parsers disagree on where a request ends (request smuggling).
bool hasAmbiguousLength(const http::request<http::string_body> &Message) {
  const auto Lengths = Message.count(http::field::content_length);
  const auto Encodings = Message.count(http::field::transfer_encoding);
  return Lengths > 1 || Encodings > 1 || (Lengths > 0 && Encodings > 0);
}

unsigned statusOf(const boost::system::error_code &Error) {
  if (Error == http::error::body_limit)
    return 413;
  if (Error == http::error::header_limit ||
      Error == http::error::buffer_overflow)
    return 431;
  return 400;
}

} // namespace

struct http_server::state : std::enable_shared_from_this<state> {
  state(asio::io_context &Context, http_handler Handler, http_limits Limits)
      : Context(Context), Acceptor(Context), Handler(std::move(Handler)),
        Limits(Limits) {}

  void listen(const endpoint &Endpoint) {
    const tcp::endpoint Local(asio::ip::make_address(Endpoint.Address),
                              Endpoint.Port);
    Acceptor.open(Local.protocol());
    Acceptor.set_option(asio::socket_base::reuse_address(true));
    // Each traffic thread listens on its own socket with the same address.
    Acceptor.set_option(reuse_port(true));
    Acceptor.bind(Local);
    Acceptor.listen(asio::socket_base::max_listen_connections);
  }

  task<void> acceptLoop() {
    auto Self = shared_from_this();
    while (!IsStopping) {
      auto [Error, Socket] = co_await Acceptor.async_accept(AsTuple);
      if (Error == asio::error::operation_aborted)
        co_return;
      if (Error) {
        // Out of file descriptors: back off instead of spinning.
        asio::steady_timer Timer(Context, milliseconds(50));
        co_await Timer.async_wait(AsTuple);
        continue;
      }
      if (static_cast<int>(Streams.size()) >= Limits.Connections) {
        ++Refused;
        continue; // the socket closes as it goes out of scope
      }
      boost::system::error_code Ignored;
      Socket.set_option(tcp::no_delay(true), Ignored);
      asio::co_spawn(Context, serve(beast::tcp_stream(std::move(Socket))),
                     asio::detached);
    }
  }

  task<void> serve(beast::tcp_stream Stream) {
    auto Self = shared_from_this();
    boost::system::error_code Ignored;
    const auto Remote = Stream.socket().remote_endpoint(Ignored);
    const std::string Peer = Ignored ? "" : Remote.address().to_string();
    beast::flat_buffer Buffer;
    Streams.insert(&Stream);
    Peak = std::max(Peak.load(), static_cast<int>(Streams.size()));
    bool KeepsOpen = true;
    while (!IsStopping && KeepsOpen)
      KeepsOpen = co_await serveOne(Stream, Buffer, Peer);
    Streams.erase(&Stream);
    Idle.erase(&Stream);
    Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  }

  /// Serves one request; false when the connection should be closed.
  task<bool> serveOne(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
                      const std::string &Peer) {
    // The parser waits for a whole header, trailer or chunk header, and has no
    // limit of its own for the latter two.
    Buffer.max_size(Limits.HeaderBytes + FramingBytes);
    http::request_parser<http::string_body> Parser;
    Parser.header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
    Parser.body_limit(Limits.BodyBytes);

    if (Buffer.size() == 0) {
      Idle.insert(&Stream);
      Stream.expires_after(Limits.IdleTimeout);
      // A wait on the socket itself would not expire.
      auto [Error, Bytes] = co_await Stream.async_read_some(
          Buffer.prepare(FirstReadBytes), AsTuple);
      Buffer.commit(Bytes);
      Idle.erase(&Stream);
      if (Error || IsStopping)
        co_return false;
    }
    const auto Began = std::chrono::steady_clock::now();
    Stream.expires_at(Began + Limits.HeaderTimeout);
    auto [ReadError, ReadBytes] =
        co_await http::async_read_header(Stream, Buffer, Parser, AsTuple);
    if (!ReadError) {
      Stream.expires_at(Began + Limits.ReadTimeout);
      std::tie(ReadError, ReadBytes) =
          co_await http::async_read(Stream, Buffer, Parser, AsTuple);
    }
    if (ReadError == http::error::end_of_stream)
      co_return false;
    if (ReadError &&
        ReadError.category() !=
            http::make_error_code(http::error::bad_method).category())
      co_return false;
    Stream.expires_never();
    if (ReadError)
      co_return co_await refuse(Stream, statusOf(ReadError),
                                ReadError.message());
    if (hasAmbiguousLength(Parser.get()))
      co_return co_await refuse(Stream, 400, "conflicting message lengths");

    const bool KeepAlive = Parser.get().keep_alive();
    const bool IsHead = Parser.get().method() == http::verb::head;
    ++Open;
    http_response Response = co_await answer(fromBeast(Parser.release(), Peer));
    if (Response.Status == 0) { // the handler asks to close the connection
      --Open;
      Stream.close();
      co_return false;
    }
    bool IsSent = false;
    if (Response.Stream)
      IsSent = co_await writeStream(Stream, Response);
    else
      IsSent = co_await write(Stream, std::move(Response),
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

  task<bool> refuse(beast::tcp_stream &Stream, unsigned Status,
                    std::string Reason) {
    co_await write(
        Stream,
        problemResponse(Status, "request refused", Reason, verdict::NotRun),
        false, false);
    co_return false;
  }

  task<bool> write(beast::tcp_stream &Stream, http_response Response,
                   bool KeepAlive, bool IsHead) {
    http::response<http::string_body> Message;
    copyHead(Response, Message, KeepAlive);
    Message.body() = std::move(Response.Body);
    Message.prepare_payload();
    if (IsHead)
      Message.body().clear();
    Stream.expires_after(Limits.ReadTimeout);
    auto [Error, Bytes] = co_await http::async_write(Stream, Message, AsTuple);
    Stream.expires_never();
    co_return !Error && KeepAlive;
  }

  /// Streams the handler's output as HTTP chunks.
  task<bool> writeStream(beast::tcp_stream &Stream,
                         const http_response &Response) {
    http::response<http::empty_body> Message;
    copyHead(Response, Message, true);
    Message.chunked(true);
    http::response_serializer<http::empty_body> Serializer(Message);
    auto [HeadError, HeadBytes] =
        co_await http::async_write_header(Stream, Serializer, AsTuple);
    if (HeadError)
      co_return false;
    const chunk_writer Write = [&](std::string Piece) -> task<bool> {
      auto [Error, Bytes] = co_await asio::async_write(
          Stream, http::make_chunk(asio::buffer(Piece)), AsTuple);
      co_return !Error && !IsStopping;
    };
    try {
      co_await Response.Stream(Write);
    } catch (const std::exception &) {
      co_return false; // the missing last chunk marks the body as cut
    }
    auto [Error, Bytes] =
        co_await asio::async_write(Stream, http::make_chunk_last(), AsTuple);
    co_return !Error;
  }

  void stop() {
    IsStopping = true;
    boost::system::error_code Ignored;
    Acceptor.close(Ignored);
    for (beast::tcp_stream *Stream : Idle)
      Stream->cancel();
  }

  void closeAll() {
    stop();
    for (beast::tcp_stream *Stream : Streams)
      Stream->close();
  }

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  http_handler Handler;
  http_limits Limits;
  std::atomic<bool> IsStopping{false};
  std::atomic<int> Open{0};
  std::atomic<int> Peak{0};    // most connections at once
  std::atomic<int> Refused{0}; // connections closed because of the limit
  std::set<beast::tcp_stream *> Streams; // every open connection
  std::set<beast::tcp_stream *> Idle;    // connections waiting for a request
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

void http_server::stopAccepting() {
  asio::post(State->Context, [State = State] { State->stop(); });
}

void http_server::setRequestLimits(const http_limits &Limits) {
  State->Limits.HeaderBytes = Limits.HeaderBytes;
  State->Limits.BodyBytes = Limits.BodyBytes;
  State->Limits.HeaderTimeout = Limits.HeaderTimeout;
  State->Limits.IdleTimeout = Limits.IdleTimeout;
}

int http_server::openRequests() const { return State->Open; }

int http_server::peakConnections() const { return State->Peak; }

int http_server::refusedConnections() const { return State->Refused; }

} // namespace galenastage
