#pragma once

// A small HTTP/1.1 server and client on blocking sockets, for the stand-ins of
// the review. One thread serves each connection.

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

using namespace std::chrono_literals;
using milliseconds = std::chrono::milliseconds;
using moment = std::chrono::steady_clock::time_point;

struct http_request {
  std::string Method;
  std::string Target;
  std::map<std::string, std::string> Headers; // names in lower case
  std::string Body;
  std::string Peer; // address of the client

  [[nodiscard]] std::string path() const;
  /// Decoded value of a query parameter; empty when absent.
  [[nodiscard]] std::string query(const std::string &Name) const;
  /// Empty when absent.
  [[nodiscard]] std::string header(const std::string &Name) const;
};

struct http_reply {
  int Status = 200;
  std::string Body;
};

/// Nullopt closes the connection without an answer.
using http_handler =
    std::function<std::optional<http_reply>(const http_request &)>;

class http_server {
public:
  /// Listens at once. Port 0 takes a free one, which later calls of open use
  /// again.
  http_server(std::string Address, std::uint16_t Port, http_handler Handler);
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  void open();
  /// Stops listening and closes every connection.
  void close();
  [[nodiscard]] std::uint16_t port() const { return Port; }

private:
  void acceptLoop(int Socket);
  void serve(int Connection);

  std::string Address;
  std::uint16_t Port;
  http_handler Handler;
  int Listener = -1;
  std::thread Acceptor;
  std::mutex Mutex;
  std::condition_variable IsServed;
  std::set<int> Connections;
  int Threads = 0;
};

struct http_call {
  std::string Method;
  std::string Target;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// Sends one request on a new connection. Nullopt: no complete answer.
std::optional<http_reply> send(const std::string &Address, std::uint16_t Port,
                               const http_call &Call, milliseconds Timeout);

} // namespace review
