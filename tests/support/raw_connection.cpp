#include "tests/support/raw_connection.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>

namespace galenastage::test {
namespace {

using std::chrono::steady_clock;

constexpr seconds HangTime{20}; // detects a hang; no bound of the instance
// Without progress for so long, the instance has stopped reading.
constexpr seconds StallTime{2};
constexpr seconds MaxPressTime{40}; // ends a crowd that is never turned away
constexpr milliseconds StepInterval{20};
constexpr int BufferBytes = 8 * 1'024;
constexpr std::size_t BlockBytes = 64 * 1'024;

sockaddr_in toAddress(const endpoint &To) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(To.Port);
  inet_pton(AF_INET, To.Address.c_str(), &Address.sin_addr);
  return Address;
}

std::string_view trim(std::string_view Text) {
  while (!Text.empty() && Text.front() == ' ')
    Text.remove_prefix(1);
  return Text;
}

/// Value of Content-Length in an answer's head; 0 when there is none.
std::size_t readLength(std::string_view Head) {
  constexpr std::string_view Name = "Content-Length:";
  const std::size_t Found = Head.find(Name);
  if (Found == std::string_view::npos)
    return 0;
  const std::string Value(trim(Head.substr(Found + Name.size())));
  return std::strtoull(Value.c_str(), nullptr, 10);
}

} // namespace

// [1] One connection

raw_connection::raw_connection(const endpoint &To)
    : Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const timeval Limit{HangTime.count(), 0};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  const sockaddr_in Address = toAddress(To);
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) != 0) {
    close(Socket);
    Socket = -1;
  }
}

raw_connection::~raw_connection() {
  if (Socket >= 0)
    close(Socket);
}

bool raw_connection::sendAll(std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Sent = send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

bool raw_connection::receiveUntil(const std::function<bool()> &IsEnough) {
  std::array<char, 4'096> Buffer{};
  while (!IsEnough()) {
    const ssize_t Count = recv(Socket, Buffer.data(), Buffer.size(), 0);
    if (Count <= 0)
      return false;
    Received.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
  return true;
}

int raw_connection::readStatus() {
  constexpr std::string_view End = "\r\n\r\n";
  constexpr std::string_view Version = "HTTP/1.1 ";
  std::size_t HeadBytes = 0;
  const bool HasHead = receiveUntil([&] {
    const std::size_t Found = Received.find(End);
    if (Found == std::string::npos)
      return false;
    HeadBytes = Found + End.size();
    return true;
  });
  if (!HasHead || !Received.starts_with(Version))
    return 0;
  const std::size_t Whole =
      HeadBytes + readLength(std::string_view(Received).substr(0, HeadBytes));
  if (!receiveUntil([&] { return Received.size() >= Whole; }))
    return 0;
  Answer = Received.substr(0, Whole);
  Received.erase(0, Whole);
  return std::atoi(Answer.c_str() + Version.size());
}

// [2] Crowd

crowd::crowd(const endpoint &To, crowd_behaviour NewBehaviour)
    : Behaviour(std::move(NewBehaviour)) {
  while (!Behaviour.Filler.empty() && Block.size() < BlockBytes)
    Block += Behaviour.Filler;
  connectAll(To);
}

crowd::~crowd() {
  for (const member &Member : Members)
    if (Member.Socket >= 0)
      close(Member.Socket);
}

void crowd::connectAll(const endpoint &To) {
  const sockaddr_in Address = toAddress(To);
  for (int I = 0; I < Behaviour.Connections; ++I) {
    const int Socket =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int Result = connect(
        Socket, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
    if (Result == 0 || errno == EINPROGRESS)
      Members.push_back({Socket, 0});
    else
      close(Socket);
  }
}

bool crowd::wantsToSend(const member &Member) const {
  return Member.Socket >= 0 && Member.Sent < Behaviour.Bytes;
}

/// Returns whether the member got any further.
bool crowd::sendSome(member &Member) {
  std::string_view Rest = Block;
  if (Member.Sent < Behaviour.Head.size())
    Rest = std::string_view(Behaviour.Head).substr(Member.Sent);
  else
    Rest.remove_prefix((Member.Sent - Behaviour.Head.size()) % Block.size());
  Rest = Rest.substr(0, Behaviour.Bytes - Member.Sent);
  const ssize_t Sent =
      send(Member.Socket, Rest.data(), Rest.size(), MSG_NOSIGNAL);
  if (Sent > 0) {
    Member.Sent += static_cast<std::size_t>(Sent);
    return true;
  }
  if (errno != EAGAIN && errno != ENOTCONN) {
    close(Member.Socket);
    Member.Socket = -1;
  }
  return false;
}

void crowd::press(const std::function<void()> &OnStep) {
  const auto End = steady_clock::now() + MaxPressTime;
  auto LastProgress = steady_clock::now();
  std::vector<pollfd> Polled;
  while (steady_clock::now() < End &&
         steady_clock::now() - LastProgress < StallTime) {
    Polled.clear();
    for (const member &Member : Members)
      Polled.push_back({wantsToSend(Member) ? Member.Socket : -1, POLLOUT, 0});
    if (std::ranges::all_of(
            Polled, [](int Socket) { return Socket < 0; }, &pollfd::fd))
      return;
    poll(Polled.data(), Polled.size(), static_cast<int>(StepInterval.count()));
    for (std::size_t I = 0; I < Polled.size(); ++I)
      if (Polled[I].revents != 0 && sendSome(Members[I]))
        LastProgress = steady_clock::now();
    OnStep();
  }
}

} // namespace galenastage::test
