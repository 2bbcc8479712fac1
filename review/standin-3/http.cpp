#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstring>
#include <optional>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

constexpr int Backlog = 512;
constexpr int MsPerSecond = 1'000;
constexpr std::size_t ReadBytes = 16'384;

sockaddr_in toSocketAddress(const std::string &Address, std::uint16_t Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Port);
  if (inet_pton(AF_INET, Address.c_str(), &Result.sin_addr) != 1)
    throw std::runtime_error("not an address: " + Address);
  return Result;
}

std::string decode(std::string_view Text) {
  constexpr int Hex = 16;
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    int Byte = 0;
    const bool IsEscaped =
        Text[I] == '%' && I + 2 < Text.size() &&
        std::from_chars(&Text[I + 1], &Text[I + 1] + 2, Byte, Hex).ec ==
            std::errc();
    Decoded.push_back(IsEscaped ? static_cast<char>(Byte) : Text[I]);
    I += IsEscaped ? 2 : 0;
  }
  return Decoded;
}

std::string toLower(std::string Text) {
  std::ranges::transform(Text, Text.begin(),
                         [](unsigned char Byte) { return std::tolower(Byte); });
  return Text;
}

/// Reads messages from a socket; bytes beyond one belong to the next.
class reader {
public:
  explicit reader(int Socket) : Socket(Socket) {}

  /// The first line and the header of a message, or nothing at its end.
  std::optional<std::string> head() {
    std::size_t End = 0;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!readMore())
        return std::nullopt;
    std::string Head = Buffer.substr(0, End);
    Buffer.erase(0, End + 4);
    return Head;
  }

  std::optional<std::string> body(std::size_t Length) {
    while (Buffer.size() < Length)
      if (!readMore())
        return std::nullopt;
    std::string Body = Buffer.substr(0, Length);
    Buffer.erase(0, Length);
    return Body;
  }

private:
  bool readMore() {
    std::string Piece(ReadBytes, '\0');
    const ssize_t Count = recv(Socket, Piece.data(), Piece.size(), 0);
    if (Count <= 0)
      return false;
    Buffer.append(Piece, 0, static_cast<std::size_t>(Count));
    return true;
  }

  int Socket;
  std::string Buffer;
};

std::map<std::string, std::string> parseFields(const std::string &Head) {
  std::map<std::string, std::string> Fields;
  std::size_t Line = Head.find("\r\n");
  while (Line != std::string::npos) {
    const std::size_t Next = Head.find("\r\n", Line + 2);
    const std::string Text = Head.substr(
        Line + 2, Next == std::string::npos ? Next : Next - Line - 2);
    const std::size_t Colon = Text.find(':');
    if (Colon != std::string::npos) {
      const std::size_t Value = Text.find_first_not_of(' ', Colon + 1);
      Fields[toLower(Text.substr(0, Colon))] =
          Value == std::string::npos ? "" : Text.substr(Value);
    }
    Line = Next;
  }
  return Fields;
}

std::size_t lengthOf(const std::map<std::string, std::string> &Fields) {
  const auto Found = Fields.find("content-length");
  return Found == Fields.end() ? 0 : std::stoul(Found->second);
}

std::optional<request> readRequest(reader &Reader) {
  const auto Head = Reader.head();
  if (!Head)
    return std::nullopt;
  request Request;
  const std::string Line = Head->substr(0, Head->find("\r\n"));
  const std::size_t First = Line.find(' ');
  const std::size_t Last = Line.rfind(' ');
  Request.Method = Line.substr(0, First);
  std::string Target = Line.substr(First + 1, Last - First - 1);
  Request.Path = Target.substr(0, Target.find('?'));
  std::string Query = Target.size() > Request.Path.size()
                          ? Target.substr(Request.Path.size() + 1)
                          : "";
  while (!Query.empty()) {
    const std::string Pair = Query.substr(0, Query.find('&'));
    Query.erase(0, std::min(Query.size(), Pair.size() + 1));
    const std::size_t Equals = Pair.find('=');
    if (Equals != std::string::npos)
      Request.Query[Pair.substr(0, Equals)] = decode(Pair.substr(Equals + 1));
  }
  Request.Headers = parseFields(*Head);
  const auto Body = Reader.body(lengthOf(Request.Headers));
  if (!Body)
    return std::nullopt;
  Request.Body = *Body;
  return Request;
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

void setNoDelay(int Socket) {
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

} // namespace

std::int64_t steadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

server::server(const std::string &Address, handler NewHandle)
    : Handle(std::move(NewHandle)) {
  Listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Local = toSocketAddress(Address, 0);
  if (bind(Listener, reinterpret_cast<sockaddr *>(&Local), sizeof(Local)) !=
          0 ||
      listen(Listener, Backlog) != 0)
    throw std::runtime_error("can't listen on " + Address);
  socklen_t Size = sizeof(Local);
  getsockname(Listener, reinterpret_cast<sockaddr *>(&Local), &Size);
  Port = ntohs(Local.sin_port);
  std::thread([this] { acceptAll(); }).detach();
}

void server::acceptAll() {
  for (;;) {
    const int Socket = accept(Listener, nullptr, nullptr);
    if (Socket >= 0)
      std::thread([this, Socket] { serve(Socket); }).detach();
  }
}

void server::serve(int Socket) {
  setNoDelay(Socket);
  reader Reader(Socket);
  while (const auto Request = readRequest(Reader)) {
    const response Answer = Handle(*Request);
    if (Answer.Status == 0)
      break;
    const std::string Text =
        "HTTP/1.1 " + std::to_string(Answer.Status) +
        " -\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(Answer.Body.size()) + "\r\n\r\n" + Answer.Body;
    if (!sendAll(Socket, Text))
      break;
  }
  close(Socket);
}

response send(const std::string &Address, std::uint16_t Port,
              const std::string &Method, const std::string &Target,
              const std::map<std::string, std::string> &Headers,
              const std::string &Body, int TimeoutMs) {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  timeval Limit{TimeoutMs / MsPerSecond, TimeoutMs % MsPerSecond * MsPerSecond};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  const sockaddr_in Remote = toSocketAddress(Address, Port);
  response Answer;
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Remote),
              sizeof(Remote)) == 0) {
    setNoDelay(Socket);
    std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
    for (const auto &[Name, Value] : Headers)
      Text.append(Name).append(": ").append(Value).append("\r\n");
    Text += "Content-Type: application/json\r\nConnection: close\r\n"
            "Content-Length: " +
            std::to_string(Body.size()) + "\r\n\r\n" + Body;
    reader Reader(Socket);
    if (sendAll(Socket, Text))
      if (const auto Head = Reader.head()) {
        const auto Read = Reader.body(lengthOf(parseFields(*Head)));
        if (Read)
          Answer = {std::stoi(Head->substr(Head->find(' ') + 1)), *Read};
      }
  }
  close(Socket);
  return Answer;
}

} // namespace review
