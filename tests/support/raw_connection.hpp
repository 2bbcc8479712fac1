#pragma once

// Clients that send bytes of the test's choice: one connection for requests in
// pieces, and a crowd that presses until it makes no more progress.

#include "core/types.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace galenastage::test {

/// One blocking connection. An operation that gets no further for 20 s fails,
/// so that an instance that hangs is noticed.
class raw_connection {
public:
  explicit raw_connection(const endpoint &To);
  ~raw_connection();
  raw_connection(const raw_connection &) = delete;
  raw_connection &operator=(const raw_connection &) = delete;

  /// False when the connection ended first.
  bool sendAll(std::string_view Bytes);
  /// Status of the next answer, whose body is read too; 0 when there is none.
  int readStatus();
  /// Head and body of the answer that was read last.
  [[nodiscard]] const std::string &lastAnswer() const { return Answer; }

private:
  bool receiveUntil(const std::function<bool()> &IsEnough);

  int Socket = -1;
  std::string Received;
  std::string Answer;
};

/// What each connection of a crowd sends: the head once, then the filler over
/// and over, Bytes in all. It reads no answer.
struct crowd_behaviour {
  std::string Name;
  int Connections = 1;
  std::string Head;
  std::string Filler;
  std::size_t Bytes = 0;

  friend bool operator==(const crowd_behaviour &,
                         const crowd_behaviour &) = default;
};

/// Connections that stay open until the crowd is destroyed.
class crowd {
public:
  crowd(const endpoint &To, crowd_behaviour Behaviour);
  ~crowd();
  crowd(const crowd &) = delete;
  crowd &operator=(const crowd &) = delete;

  /// Connections that could be opened, or are being opened.
  [[nodiscard]] int size() const { return static_cast<int>(Members.size()); }

  /// Sends until each connection has sent everything or was closed, or until
  /// none gets any further. Calls OnStep now and then.
  void press(const std::function<void()> &OnStep);

private:
  struct member {
    int Socket = -1; // -1: closed
    std::size_t Sent = 0;
  };

  void connectAll(const endpoint &To);
  [[nodiscard]] bool wantsToSend(const member &Member) const;
  bool sendSome(member &Member);

  crowd_behaviour Behaviour;
  std::string Block; // the filler, repeated
  std::vector<member> Members;
};

} // namespace galenastage::test
