#include "review/standin/http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {
namespace {

sockaddr_in socketAddress(const std::string &Address, std::uint16_t Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Port);
  inet_pton(AF_INET, Address.c_str(), &Result.sin_addr);
  return Result;
}

std::string peerAddress(int Socket) {
  sockaddr_in Remote{};
  socklen_t Size = sizeof Remote;
  ::getpeername(Socket, reinterpret_cast<sockaddr *>(&Remote), &Size);
  char Text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Remote.sin_addr, Text, sizeof Text);
  return Text;
}

std::string lower(std::string Text) {
  std::ranges::transform(Text, Text.begin(), [](unsigned char Letter) {
    return static_cast<char>(std::tolower(Letter));
  });
  return Text;
}

/// Reads a message from a socket; false when it ends before the message does.
bool receive(int Socket, std::string &Buffer, std::string &Head,
             std::string &Body) {
  const auto ReadMore = [&] {
    char Bytes[16'384];
    const ssize_t Count = ::recv(Socket, Bytes, sizeof Bytes, 0);
    if (Count > 0)
      Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return Count > 0;
  };
  std::size_t End = 0;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!ReadMore())
      return false;
  Head = Buffer.substr(0, End + 2);
  Buffer.erase(0, End + 4);
  const std::string Name = "\r\ncontent-length:";
  const std::size_t Field = lower(Head).find(Name);
  const std::size_t Length = Field == std::string::npos
                                 ? 0
                                 : std::stoul(Head.substr(Field + Name.size()));
  while (Buffer.size() < Length)
    if (!ReadMore())
      return false;
  Body = Buffer.substr(0, Length);
  Buffer.erase(0, Length);
  return true;
}

bool sendAll(int Socket, const std::string &Text) {
  std::size_t Sent = 0;
  while (Sent < Text.size()) {
    const ssize_t Count =
        ::send(Socket, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

std::map<std::string, std::string> parseHeaders(const std::string &Head) {
  std::map<std::string, std::string> Headers;
  std::size_t Begin = Head.find("\r\n") + 2;
  while (Begin < Head.size()) {
    const std::size_t End = Head.find("\r\n", Begin);
    const std::string Line = Head.substr(Begin, End - Begin);
    const std::size_t Colon = Line.find(':');
    if (Colon != std::string::npos) {
      const std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Headers[lower(Line.substr(0, Colon))] =
          Value == std::string::npos ? "" : Line.substr(Value);
    }
    Begin = End + 2;
  }
  return Headers;
}

std::string decode(const std::string &Text) {
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Decoded.push_back(
          static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16)));
      I += 2;
    } else {
      Decoded.push_back(Text[I]);
    }
  }
  return Decoded;
}

} // namespace

std::string http_request::path() const {
  return Target.substr(0, Target.find('?'));
}

std::string http_request::query(const std::string &Name) const {
  const std::size_t Mark = Target.find('?');
  std::string Rest =
      Mark == std::string::npos ? "" : "&" + Target.substr(Mark + 1);
  const std::size_t Found = Rest.find("&" + Name + "=");
  if (Found == std::string::npos)
    return {};
  const std::size_t Begin = Found + Name.size() + 2;
  return decode(Rest.substr(Begin, Rest.find('&', Begin) - Begin));
}

std::string http_request::header(const std::string &Name) const {
  const auto Found = Headers.find(Name);
  return Found == Headers.end() ? "" : Found->second;
}

http_server::http_server(std::string Address, std::uint16_t Port,
                         http_handler Handler)
    : Address(std::move(Address)), Port(Port), Handler(std::move(Handler)) {
  open();
}

http_server::~http_server() {
  close();
  std::unique_lock Lock(Mutex);
  IsServed.wait(Lock, [this] { return Threads == 0; });
}

void http_server::open() {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  sockaddr_in Local = socketAddress(Address, Port);
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Local), sizeof Local) != 0 ||
      ::listen(Socket, 1'024) != 0) {
    ::close(Socket);
    throw std::runtime_error("can't listen at " + Address + ":" +
                             std::to_string(Port));
  }
  socklen_t Size = sizeof Local;
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Local), &Size);
  Port = ntohs(Local.sin_port);
  const std::lock_guard Lock(Mutex);
  Listener = Socket;
  Acceptor = std::thread([this, Socket] { acceptLoop(Socket); });
}

void http_server::close() {
  {
    const std::lock_guard Lock(Mutex);
    if (Listener < 0)
      return;
    ::shutdown(Listener, SHUT_RDWR);
    Listener = -1;
  }
  Acceptor.join();
  const std::lock_guard Lock(Mutex);
  for (const int Connection : Connections)
    ::shutdown(Connection, SHUT_RDWR);
}

void http_server::acceptLoop(int Socket) {
  for (;;) {
    const int Connection = ::accept4(Socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (Connection < 0)
      break;
    const int On = 1;
    ::setsockopt(Connection, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
    const std::lock_guard Lock(Mutex);
    if (Listener != Socket) {
      ::close(Connection);
      break;
    }
    Connections.insert(Connection);
    ++Threads;
    std::thread([this, Connection] { serve(Connection); }).detach();
  }
  ::close(Socket);
}

void http_server::serve(int Connection) {
  std::string Buffer;
  std::string Head;
  http_request Request;
  Request.Peer = peerAddress(Connection);
  while (receive(Connection, Buffer, Head, Request.Body)) {
    const std::size_t First = Head.find(' ');
    const std::size_t Second = Head.find(' ', First + 1);
    Request.Method = Head.substr(0, First);
    Request.Target = Head.substr(First + 1, Second - First - 1);
    Request.Headers = parseHeaders(Head);
    const std::optional<http_reply> Reply = Handler(Request);
    if (!Reply ||
        !sendAll(Connection, "HTTP/1.1 " + std::to_string(Reply->Status) +
                                 " -\r\nContent-Type: application/json\r\n"
                                 "Content-Length: " +
                                 std::to_string(Reply->Body.size()) +
                                 "\r\n\r\n" + Reply->Body))
      break;
  }
  const std::lock_guard Lock(Mutex);
  Connections.erase(Connection);
  ::close(Connection);
  --Threads;
  IsServed.notify_all();
}

std::optional<http_reply> send(const std::string &Address, std::uint16_t Port,
                               const http_call &Call, milliseconds Timeout) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval Limit{Timeout.count() / 1'000, Timeout.count() % 1'000 * 1'000};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
  const sockaddr_in Remote = socketAddress(Address, Port);
  std::string Text = Call.Method + " " + Call.Target + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Call.Headers)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  Text += "Content-Length: " + std::to_string(Call.Body.size()) +
          "\r\nConnection: close\r\n\r\n" + Call.Body;
  std::string Buffer;
  std::string Head;
  http_reply Reply;
  const bool IsAnswered =
      ::connect(Socket, reinterpret_cast<const sockaddr *>(&Remote),
                sizeof Remote) == 0 &&
      sendAll(Socket, Text) && receive(Socket, Buffer, Head, Reply.Body);
  ::close(Socket);
  if (!IsAnswered)
    return std::nullopt;
  Reply.Status = std::stoi(Head.substr(Head.find(' ') + 1));
  return Reply;
}

} // namespace review
