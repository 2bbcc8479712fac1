#pragma once

// Index of this file
// [1] Messages
// [2] Server
// [3] Client

#include "core/request/exchange.hpp"
#include "core/types.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace galenastage {

namespace asio = boost::asio;

/// A coroutine that runs on the I/O thread that started it.
template <typename T> using task = asio::awaitable<T>;

// [1] Messages

/// Reads "127.0.0.1:2379"; nullopt when it isn't an address and a port.
std::optional<endpoint> parseEndpoint(std::string_view Text);
std::string printEndpoint(const endpoint &Endpoint);

struct http_header {
  std::string Name;
  std::string Value;

  friend bool operator==(const http_header &, const http_header &) = default;
};

/// Header fields in order of arrival. Names compare without regard to case.
struct http_headers {
  std::vector<http_header> Fields;

  [[nodiscard]] std::string_view find(std::string_view Name) const;
  void set(std::string_view Name, std::string Value);
  void remove(std::string_view Name);

  friend bool operator==(const http_headers &, const http_headers &) = default;
};

/// Removes what holds for one connection only, for a message that is passed on:
/// the fields of RFC 9110, 7.6.1, those that Connection names, and Expect.
void removeConnectionFields(http_headers &Headers);

/// A request with its whole body in memory.
struct http_request {
  std::string Method = "GET";
  std::string Target = "/"; // path and query
  http_headers Headers;
  std::string Body;
  std::string Peer; // remote address; empty in requests to send
  // Reserves memory until the request is answered, for so many bytes beside the
  // request itself; false: there is none. Empty in requests to send.
  std::function<task<bool>(std::size_t Bytes)> Reserve;

  [[nodiscard]] std::string_view path() const;
  /// Value of a query parameter, not decoded; empty when absent.
  [[nodiscard]] std::string_view query(std::string_view Name) const;
};

/// Writes one chunk of a streamed response; false once the client has
/// disconnected or the server is stopping.
using chunk_writer = std::function<task<bool>(std::string)>;

struct http_response {
  unsigned Status = 200; // 0: close the connection without a response
  http_headers Headers;
  std::string Body;
  std::function<task<void>(chunk_writer)> Stream; // set: Body is not used
};

/// A response with the given JSON text as its body.
http_response jsonResponse(unsigned Status, std::string Text);

/// An application/problem+json response (RFC 9457) with a verdict.
http_response problemResponse(unsigned Status, std::string_view Title,
                              std::string_view Detail, verdict Verdict);

// [2] Server

/// Handles one request, on the I/O thread of its connection.
using http_handler = std::function<task<http_response>(http_request)>;

struct http_limits {
  std::size_t HeaderBytes = 16 * 1024;     // larger: 431; also of the trailers
                                           // and of a chunk's header
  std::size_t BodyBytes = 8 * 1024 * 1024; // larger: 413
  milliseconds HeaderTimeout{15'000};      // slower: closed
  milliseconds ReadTimeout{15'000};        // per message; slower: closed
  milliseconds WriteTimeout{15'000};       // per answer or streamed piece
  milliseconds IdleTimeout{60'000};        // between requests
  // All connections together. When one more doesn't fit, the connection that
  // made no progress for longest is closed, unless its request was read whole.
  int Connections = 4'096;
  std::size_t HeldBytes = 256 * 1024 * 1024;  // receive buffers and requests
  std::size_t ReceiveBufferBytes = 16 * 1024; // of each connection's socket

  friend bool operator==(const http_limits &, const http_limits &) = default;
};

/// Accepts HTTP/1.1 connections on one I/O thread.
class http_server {
public:
  http_server(asio::io_context &Context, const endpoint &Endpoint,
              http_handler Handler, http_limits Limits = {});
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// The address in use; the port is the one chosen when 0 was asked for.
  [[nodiscard]] endpoint localEndpoint() const;

  /// Changes the limits of a single request, from the next one of each
  /// connection on: HeaderBytes, BodyBytes, HeaderTimeout and IdleTimeout. To
  /// be called on the I/O thread.
  void setRequestLimits(const http_limits &Limits);

  /// Starts a graceful shutdown: stops accepting, closes idle connections and
  /// each other one after the response in progress.
  void stopAccepting();

  /// Requests that have been read but not yet fully answered.
  [[nodiscard]] int openRequests() const;

  /// Peak number of concurrent connections.
  [[nodiscard]] int peakConnections() const;
  [[nodiscard]] int openConnections() const;
  /// Bytes that connections hold now, of HeldBytes. On the I/O thread.
  [[nodiscard]] std::size_t heldBytes() const;
  /// Connections closed on arrival because of the limits.
  [[nodiscard]] int refusedConnections() const;
  /// Connections closed later to make room for others.
  [[nodiscard]] int displacedConnections() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

// [3] Client

/// Result of a request that the client sent.
struct http_result {
  std::error_code Error; // clear: Response is complete
  exchange_stage Stage = exchange_stage::NothingSent; // how far it got
  verdict Verdict = verdict::NotRun; // whether the server may have processed it
  bool ClosesConnection = false;     // the server closes the connection
  http_response Response;
};

/// A server may close an idle connection just as a request is written to it.
/// The client can't tell then whether the request was processed, so a request
/// that must not run twice uses a new connection.
enum class connection_use { Reuse, Fresh };

/// How long a request may take.
struct http_timeout {
  /// Stall: longest wait for the connection, and then for further bytes of the
  /// answer; Total when left out.
  http_timeout(milliseconds Total, milliseconds Stall = milliseconds::max())
      : Total(Total), Stall(std::min(Total, Stall)) {}

  milliseconds Total; // from the connection to the whole answer
  milliseconds Stall;
};

/// Sends requests from one I/O thread and keeps idle connections for reuse.
/// Connections can fall silent without being closed. After a timeout, all idle
/// connections to that endpoint are closed, so that the next request doesn't
/// wait for another silent one.
class http_client {
public:
  /// Connects from LocalAddress, or from any address when it is empty.
  explicit http_client(asio::io_context &Context,
                       std::string LocalAddress = "");
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  /// Sends one request and waits for the complete response. Never retries.
  task<http_result> send(endpoint To, http_request Request,
                         http_timeout Timeout,
                         connection_use Use = connection_use::Reuse);

  /// Sends one request and calls OnLine for each line of the response body,
  /// until the body ends, OnLine returns false, or nothing arrives for
  /// IdleTimeout.
  task<std::error_code>
  streamLines(endpoint To, http_request Request, milliseconds IdleTimeout,
              std::function<bool(std::string_view)> OnLine);

  /// Closes the idle connections.
  void closeIdle();

  /// Limits the idle connections to each endpoint and closes the excess.
  void limitIdle(std::size_t PerEndpoint);

private:
  task<http_result> sendOnce(endpoint To, http_request Request,
                             http_timeout Timeout, connection_use Use);

  struct state;
  std::shared_ptr<state> State;
};

} // namespace galenastage
