#include "core/error.hpp"
#include "net/http.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <map>

namespace galenastage {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t DefaultIdlePerEndpoint = 64;
constexpr std::size_t MaxAnswerBytes = 64 * 1024 * 1024;
constexpr std::size_t StreamBufferBytes = 16 * 1024;
// Of what the parser must see at once: a header, trailers, a chunk's header.
constexpr std::size_t MaxAnswerHeadBytes = 64 * 1024;

http::request<http::string_body> toBeast(const endpoint &To,
                                         http_request &&Request) {
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(Request.Method);
  Message.target(Request.Target);
  for (const http_header &Field : Request.Headers.Fields)
    Message.insert(Field.Name, Field.Value);
  if (Message.find(http::field::host) == Message.end())
    Message.set(http::field::host, printEndpoint(To));
  Message.body() = std::move(Request.Body);
  Message.prepare_payload();
  return Message;
}

http_response fromBeast(http::response<http::string_body> &&Message) {
  http_response Response;
  Response.Status = Message.result_int();
  for (const auto &Field : Message)
    Response.Headers.Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Response.Body = std::move(Message.body());
  return Response;
}

/// Whether an idle connection can carry another request. If it is readable, the
/// server has closed it or sent bytes that belong to no request.
bool isStillUsable(tcp::socket &Socket) {
  if (!Socket.is_open())
    return false;
  boost::system::error_code Error;
  Socket.non_blocking(true, Error);
  char Byte = 0;
  Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Error);
  return Error == asio::error::would_block;
}

std::error_code mapTimeout(const boost::system::error_code &Error) {
  if (Error == beast::error::timeout)
    return errc::DeadlineExceeded;
  return Error;
}

/// Bounds the wait for each piece of an answer and for all of it.
class time_limit {
public:
  explicit time_limit(const http_timeout &Timeout)
      : Until(std::chrono::steady_clock::now() + Timeout.Total),
        Stall(Timeout.Stall) {}

  /// Gives the next operation on the stream the time that is left for it.
  void restart(beast::tcp_stream &Stream) const {
    Stream.expires_at(
        std::min(Until, std::chrono::steady_clock::now() + Stall));
  }

private:
  std::chrono::steady_clock::time_point Until;
  milliseconds Stall;
};

void setStage(http_result &Result, exchange_stage Stage) {
  Result.Stage = Stage;
  Result.Verdict = verdictAt(Stage);
}

/// Reads one message, interim (1xx) or final, into the result. Returns whether
/// the connection can be reused.
task<bool> readMessage(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
                       bool IsHead, time_limit Limit, http_result &Result) {
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(MaxAnswerBytes);
  if (IsHead)
    Parser.skip(true);
  boost::system::error_code Error;
  std::size_t Bytes = 0;
  while (!Error && !Parser.is_done()) {
    Limit.restart(Stream);
    auto [PieceError, PieceBytes] =
        co_await http::async_read_some(Stream, Buffer, Parser, AsTuple);
    Error = PieceError;
    Bytes += PieceBytes;
  }
  if (Error) {
    const bool HasBegun = Bytes > 0 || Buffer.size() > 0;
    setStage(Result,
             HasBegun ? exchange_stage::AnswerBegun : exchange_stage::Sent);
    Result.Error = mapTimeout(Error);
    co_return false;
  }
  // A body that ends with the connection can't be told from one truncated by a
  // crash of the server.
  if (Parser.need_eof()) {
    setStage(Result, exchange_stage::AnswerBegun);
    Result.Error = make_error_code(errc::MalformedAnswer);
    co_return false;
  }
  setStage(Result, exchange_stage::Answered);
  const bool KeepAlive = Parser.keep_alive();
  Result.ClosesConnection = !KeepAlive;
  Result.Response = fromBeast(Parser.release());
  co_return KeepAlive;
}

constexpr unsigned FirstFinalStatus = 200;
constexpr int MaxInterimAnswers = 8;

/// Reads the final response, skipping interim ones. Returns whether the
/// connection can be reused.
task<bool> readAnswer(beast::tcp_stream &Stream, bool IsHead, time_limit Limit,
                      http_result &Result) {
  beast::flat_buffer Buffer(MaxAnswerHeadBytes);
  bool KeepAlive = false;
  for (int I = 0; I < MaxInterimAnswers; ++I) {
    KeepAlive = co_await readMessage(Stream, Buffer, IsHead, Limit, Result);
    const bool IsInterim =
        !Result.Error && Result.Response.Status < FirstFinalStatus;
    if (!IsInterim)
      co_return KeepAlive &&Buffer.size() == 0;
  }
  setStage(Result, exchange_stage::AnswerBegun);
  Result.Error = make_error_code(errc::MalformedAnswer);
  co_return false;
}

} // namespace

struct http_client::state {
  state(asio::io_context &Context, std::string LocalAddress)
      : Context(Context), LocalAddress(std::move(LocalAddress)) {}

  /// Returns an idle connection, or null.
  std::unique_ptr<beast::tcp_stream> takeIdle(const endpoint &To) {
    auto &Connections = Idle[To];
    while (!Connections.empty()) {
      std::unique_ptr<beast::tcp_stream> Stream = std::move(Connections.back());
      Connections.pop_back();
      if (isStillUsable(Stream->socket()))
        return Stream;
    }
    return nullptr;
  }

  /// Closes one idle connection, so that a new one doesn't raise the total.
  void dropIdle(const endpoint &To) {
    auto &Connections = Idle[To];
    if (!Connections.empty())
      Connections.pop_back();
  }

  void keepIdle(const endpoint &To, std::unique_ptr<beast::tcp_stream> Stream) {
    auto &Connections = Idle[To];
    Stream->expires_never();
    if (Connections.size() < IdleLimit)
      Connections.push_back(std::move(Stream));
  }

  std::error_code bindLocal(tcp::socket &Socket) {
    if (LocalAddress.empty())
      return {};
    boost::system::error_code Error;
    const tcp::endpoint Local(asio::ip::make_address(LocalAddress, Error), 0);
    if (!Error)
      Socket.open(Local.protocol(), Error);
    if (!Error)
      Socket.bind(Local, Error);
    return Error;
  }

  task<std::error_code> connect(beast::tcp_stream &Stream, const endpoint &To) {
    boost::system::error_code AddressError;
    const auto Address = asio::ip::make_address(To.Address, AddressError);
    if (AddressError)
      co_return AddressError;
    if (std::error_code Error = bindLocal(Stream.socket()))
      co_return Error;
    auto [Error] =
        co_await Stream.async_connect(tcp::endpoint(Address, To.Port), AsTuple);
    if (Error)
      co_return mapTimeout(Error);
    Stream.socket().set_option(tcp::no_delay(true));
    co_return std::error_code{};
  }

  asio::io_context &Context;
  std::string LocalAddress;
  std::size_t IdleLimit = DefaultIdlePerEndpoint;
  std::map<endpoint, std::vector<std::unique_ptr<beast::tcp_stream>>> Idle;
};

http_client::http_client(asio::io_context &Context, std::string LocalAddress)
    : State(std::make_shared<state>(Context, std::move(LocalAddress))) {}

http_client::~http_client() = default;

void http_client::closeIdle() { State->Idle.clear(); }

void http_client::limitIdle(std::size_t PerEndpoint) {
  State->IdleLimit = PerEndpoint;
  for (auto &[To, Connections] : State->Idle)
    if (Connections.size() > PerEndpoint)
      Connections.resize(PerEndpoint);
}

task<http_result> http_client::send(endpoint To, http_request Request,
                                    http_timeout Timeout, connection_use Use) {
  auto Self = State;
  http_result Result = co_await sendOnce(To, std::move(Request), Timeout, Use);
  if (Result.Error == errc::DeadlineExceeded)
    Self->Idle.erase(To);
  co_return Result;
}

task<http_result> http_client::sendOnce(endpoint To, http_request Request,
                                        http_timeout Timeout,
                                        connection_use Use) {
  auto Self = State;
  http_result Result;
  std::unique_ptr<beast::tcp_stream> Stream;
  if (Use == connection_use::Reuse)
    Stream = Self->takeIdle(To);
  else
    Self->dropIdle(To); // the new connection takes its place
  if (!Stream) {
    Stream = std::make_unique<beast::tcp_stream>(Self->Context);
    Stream->expires_after(Timeout.Stall);
    Result.Error = co_await Self->connect(*Stream, To);
    if (Result.Error)
      co_return Result;
  }
  const time_limit Limit(Timeout);
  Limit.restart(*Stream);
  const auto Message = toBeast(To, std::move(Request));
  auto [WriteError, Written] =
      co_await http::async_write(*Stream, Message, AsTuple);
  if (WriteError) {
    setStage(Result, Written == 0 ? exchange_stage::NothingSent
                                  : exchange_stage::PartlySent);
    Result.Error = mapTimeout(WriteError);
    co_return Result;
  }
  setStage(Result, exchange_stage::Sent);
  const bool IsHead = Message.method() == http::verb::head;
  const bool KeepAlive = co_await readAnswer(*Stream, IsHead, Limit, Result);
  if (KeepAlive)
    Self->keepIdle(To, std::move(Stream));
  co_return Result;
}

task<std::error_code>
http_client::streamLines(endpoint To, http_request Request,
                         milliseconds IdleTimeout,
                         std::function<bool(std::string_view)> OnLine) {
  auto Self = State;
  beast::tcp_stream Stream(Self->Context);
  Stream.expires_after(IdleTimeout);
  const std::error_code ConnectError = co_await Self->connect(Stream, To);
  if (ConnectError)
    co_return ConnectError;
  const auto Message = toBeast(To, std::move(Request));
  auto [WriteError, Written] =
      co_await http::async_write(Stream, Message, AsTuple);
  if (WriteError)
    co_return mapTimeout(WriteError);

  beast::flat_buffer Buffer(MaxAnswerHeadBytes);
  http::response_parser<http::buffer_body> Parser;
  Parser.body_limit(boost::none);
  auto [HeadError, HeadBytes] =
      co_await http::async_read_header(Stream, Buffer, Parser, AsTuple);
  if (HeadError)
    co_return mapTimeout(HeadError);
  if (Parser.get().result_int() != 200)
    co_return errc::MalformedAnswer;

  std::string Pending;
  std::vector<char> Storage(StreamBufferBytes);
  while (!Parser.is_done()) {
    Parser.get().body().data = Storage.data();
    Parser.get().body().size = Storage.size();
    Stream.expires_after(IdleTimeout);
    auto [Error, Bytes] =
        co_await http::async_read_some(Stream, Buffer, Parser, AsTuple);
    if (Error && Error != http::error::need_buffer)
      co_return mapTimeout(Error);
    Pending.append(Storage.data(), Storage.size() - Parser.get().body().size);
    if (Pending.size() > MaxAnswerBytes)
      co_return errc::MalformedAnswer;
    std::size_t End = 0;
    while ((End = Pending.find('\n')) != std::string::npos) {
      const std::string Line = Pending.substr(0, End);
      Pending.erase(0, End + 1);
      if (!OnLine(Line))
        co_return std::error_code{};
    }
  }
  co_return std::error_code{};
}

} // namespace galenastage
