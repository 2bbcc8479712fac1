#pragma once

// A small blocking HTTP/1.1 server and client on loopback, one thread for each
// connection.

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace review {

struct request {
  std::string Method;
  std::string Path;                           // without the query
  std::map<std::string, std::string> Query;   // decoded
  std::map<std::string, std::string> Headers; // names in lower case
  std::string Body;
};

struct response {
  int Status = 0; // 0: the connection is closed without an answer
  std::string Body;
};

/// Listens on a free port of the address until the process ends.
class server {
public:
  using handler = std::function<response(const request &)>;

  server(const std::string &Address, handler Handle);
  [[nodiscard]] std::uint16_t port() const { return Port; }

private:
  void acceptAll();
  void serve(int Socket);

  int Listener = -1;
  std::uint16_t Port = 0;
  handler Handle;
};

/// Sends one request on a connection of its own. Status 0: no answer in time.
response send(const std::string &Address, std::uint16_t Port,
              const std::string &Method, const std::string &Target,
              const std::map<std::string, std::string> &Headers,
              const std::string &Body, int TimeoutMs);

/// Milliseconds on the steady clock.
std::int64_t steadyMs();

} // namespace review
