#include "peer/connection.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>

namespace galenastage {
namespace {

constexpr std::string_view RelayPath = "/galenastage.peer.v1/relay";
constexpr std::size_t LengthBytes = 4; // length prefix, big-endian
constexpr std::size_t ReadBytes = 16 * 1024;
constexpr int MaxConnections = 1'024; // further ones are closed at once

nghttp2_nv headerField(std::string_view Name, std::string_view Value) {
  // nghttp2 copies both strings; only its struct lacks the const.
  auto *NameBytes =
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Name.data()));
  auto *ValueBytes =
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Value.data()));
  return {NameBytes, ValueBytes, Name.size(), Value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

std::string lengthPrefix(std::size_t Length) {
  std::string Prefix(LengthBytes, '\0');
  for (std::size_t I = 0; I < LengthBytes; ++I)
    Prefix[I] = static_cast<char>(Length >> (8 * (LengthBytes - 1 - I)));
  return Prefix;
}

std::size_t readLength(std::string_view Bytes) {
  std::size_t Length = 0;
  for (std::size_t I = 0; I < LengthBytes; ++I)
    Length = Length << 8 | static_cast<unsigned char>(Bytes[I]);
  return Length;
}

asio::ip::tcp::endpoint toAsio(const endpoint &Endpoint) {
  return {asio::ip::make_address(Endpoint.Address), Endpoint.Port};
}

} // namespace

// [1] Connection

struct peer_connection::state : std::enable_shared_from_this<state> {
  state(asio::ip::tcp::socket Socket, bool IsServer)
      : Socket(std::move(Socket)), IsServer(IsServer) {}

  ~state() {
    if (Session)
      nghttp2_session_del(Session);
  }

  void start(peer_callbacks NewCallbacks) {
    Callbacks = std::move(NewCallbacks);
    openSession();
    read();
    flush();
  }

  void send(std::string Message) {
    if (IsClosed)
      return;
    if (Outgoing.size() - OutgoingAt + Message.size() > MaxPeerBacklog) {
      close();
      return;
    }
    Outgoing += lengthPrefix(Message.size());
    Outgoing += Message;
    if (StreamId > 0)
      nghttp2_session_resume_data(Session, StreamId);
    flush();
  }

  void close() {
    if (IsClosed)
      return;
    IsClosed = true;
    boost::system::error_code Ignored;
    Socket.close(Ignored);
    if (Callbacks.OnClosed)
      asio::post(Socket.get_executor(),
                 [Self = shared_from_this()] { Self->finish(); });
  }

  void finish() {
    const std::function<void()> OnClosed = std::move(Callbacks.OnClosed);
    Callbacks = {};
    if (OnClosed)
      OnClosed();
  }

  // Session

  void openSession() {
    nghttp2_session_callbacks *Table = nullptr;
    nghttp2_session_callbacks_new(&Table);
    nghttp2_session_callbacks_set_on_frame_recv_callback(Table, onFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Table, onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(Table,
                                                           onStreamClose);
    if (IsServer)
      nghttp2_session_server_new(&Session, Table, this);
    else
      nghttp2_session_client_new(&Session, Table, this);
    nghttp2_session_callbacks_del(Table);
    const nghttp2_settings_entry Limit{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                                       1};
    nghttp2_submit_settings(Session, NGHTTP2_FLAG_NONE, &Limit, 1);
    if (!IsServer)
      submitRequest();
  }

  void submitRequest() {
    const std::array Fields = {
        headerField(":method", "POST"), headerField(":scheme", "http"),
        headerField(":authority", "peer"), headerField(":path", RelayPath)};
    const nghttp2_data_provider Provider = provider();
    StreamId = nghttp2_submit_request(Session, nullptr, Fields.data(),
                                      Fields.size(), &Provider, nullptr);
  }

  void submitResponse(std::int32_t Stream) {
    StreamId = Stream;
    const std::array Fields = {headerField(":status", "200")};
    const nghttp2_data_provider Provider = provider();
    nghttp2_submit_response(Session, Stream, Fields.data(), Fields.size(),
                            &Provider);
  }

  nghttp2_data_provider provider() {
    nghttp2_data_provider Provider{};
    Provider.source.ptr = this;
    Provider.read_callback = readOutgoing;
    return Provider;
  }

  static ssize_t readOutgoing(nghttp2_session *, std::int32_t,
                              std::uint8_t *Buffer, std::size_t Length,
                              std::uint32_t *, nghttp2_data_source *Source,
                              void *) {
    auto &Self = *static_cast<state *>(Source->ptr);
    const std::size_t Count =
        std::min(Length, Self.Outgoing.size() - Self.OutgoingAt);
    if (Count == 0)
      return NGHTTP2_ERR_DEFERRED;
    std::copy_n(Self.Outgoing.data() + Self.OutgoingAt, Count, Buffer);
    Self.OutgoingAt += Count;
    if (Self.OutgoingAt == Self.Outgoing.size()) {
      Self.Outgoing.clear();
      Self.OutgoingAt = 0;
    }
    return static_cast<ssize_t>(Count);
  }

  static int onFrame(nghttp2_session *, const nghttp2_frame *Frame,
                     void *UserData) {
    auto &Self = *static_cast<state *>(UserData);
    const bool IsRequest = Self.IsServer && Self.StreamId == 0 &&
                           Frame->hd.type == NGHTTP2_HEADERS &&
                           Frame->headers.cat == NGHTTP2_HCAT_REQUEST;
    if (IsRequest)
      Self.submitResponse(Frame->hd.stream_id);
    return 0;
  }

  static int onData(nghttp2_session *, std::uint8_t, std::int32_t,
                    const std::uint8_t *Data, std::size_t Length,
                    void *UserData) {
    auto &Self = *static_cast<state *>(UserData);
    Self.Incoming.append(reinterpret_cast<const char *>(Data), Length);
    return Self.deliverMessages() ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
  }

  static int onStreamClose(nghttp2_session *, std::int32_t Stream,
                           std::uint32_t, void *UserData) {
    auto &Self = *static_cast<state *>(UserData);
    return Stream == Self.StreamId ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
  }

  /// Delivers the complete messages. False when one is too large.
  bool deliverMessages() {
    std::size_t At = 0;
    while (Incoming.size() - At >= LengthBytes) {
      const std::string_view Rest = std::string_view(Incoming).substr(At);
      const std::size_t Length = readLength(Rest);
      if (Length > MaxPeerMessage)
        return false;
      if (Rest.size() < LengthBytes + Length)
        break;
      if (Callbacks.OnMessage)
        Callbacks.OnMessage(std::string(Rest.substr(LengthBytes, Length)));
      At += LengthBytes + Length;
    }
    Incoming.erase(0, At);
    return true;
  }

  // Socket

  void read() {
    Socket.async_read_some(
        asio::buffer(ReadBuffer),
        [Self = shared_from_this()](const boost::system::error_code &Error,
                                    std::size_t Count) {
          Self->onRead(Error, Count);
        });
  }

  void onRead(const boost::system::error_code &Error, std::size_t Count) {
    if (IsClosed)
      return;
    if (Error) {
      close();
      return;
    }
    const ssize_t Used =
        nghttp2_session_mem_recv(Session, ReadBuffer.data(), Count);
    if (Used < 0) {
      close();
      return;
    }
    flush();
    if (!IsClosed)
      read();
  }

  void flush() {
    if (IsClosed || IsWriting)
      return;
    WriteBuffer.clear();
    for (;;) {
      const std::uint8_t *Data = nullptr;
      const ssize_t Count = nghttp2_session_mem_send(Session, &Data);
      if (Count < 0) {
        close();
        return;
      }
      if (Count == 0)
        break;
      WriteBuffer.append(reinterpret_cast<const char *>(Data),
                         static_cast<std::size_t>(Count));
    }
    if (WriteBuffer.empty())
      return;
    IsWriting = true;
    asio::async_write(
        Socket, asio::buffer(WriteBuffer),
        [Self = shared_from_this()](const boost::system::error_code &Error,
                                    std::size_t Count) {
          Self->IsWriting = false;
          Self->BytesSent += Count;
          if (Error)
            Self->close();
          else
            Self->flush();
        });
  }

  asio::ip::tcp::socket Socket;
  bool IsServer;
  peer_callbacks Callbacks;
  nghttp2_session *Session = nullptr;
  std::int32_t StreamId = 0; // 0: none yet
  std::string Outgoing;      // length-prefixed messages
  std::size_t OutgoingAt = 0;
  std::string Incoming;
  std::string WriteBuffer;
  std::array<std::uint8_t, ReadBytes> ReadBuffer{};
  bool IsWriting = false;
  bool IsClosed = false;
  std::uint64_t BytesSent = 0;
};

peer_connection::peer_connection(std::shared_ptr<state> State)
    : State(std::move(State)) {}

peer_connection::~peer_connection() { State->close(); }

void peer_connection::start(peer_callbacks Callbacks) {
  State->start(std::move(Callbacks));
}

void peer_connection::send(std::string Message) {
  State->send(std::move(Message));
}

void peer_connection::close() { State->close(); }

std::uint64_t peer_connection::bytesSent() const { return State->BytesSent; }

// [2] Opening and accepting

task<peer_connection_ptr> connectPeer(asio::io_context &Context, endpoint To,
                                      std::string LocalAddress,
                                      milliseconds Timeout) {
  auto Socket = std::make_shared<asio::ip::tcp::socket>(Context);
  boost::system::error_code Error;
  Socket->open(toAsio(To).protocol(), Error);
  if (!Error && !LocalAddress.empty())
    Socket->bind({asio::ip::make_address(LocalAddress), 0}, Error);
  if (Error)
    co_return nullptr;
  asio::steady_timer Timer(Context, Timeout);
  Timer.async_wait([Socket](const boost::system::error_code &Cancelled) {
    boost::system::error_code Ignored;
    if (!Cancelled)
      Socket->close(Ignored);
  });
  co_await Socket->async_connect(
      toAsio(To), asio::redirect_error(asio::use_awaitable, Error));
  Timer.cancel();
  if (Error || !Socket->is_open())
    co_return nullptr;
  Socket->set_option(asio::ip::tcp::no_delay(true), Error);
  auto State =
      std::make_shared<peer_connection::state>(std::move(*Socket), false);
  co_return std::make_shared<peer_connection>(std::move(State));
}

struct peer_server::state : std::enable_shared_from_this<state> {
  state(asio::io_context &Context, const endpoint &Endpoint,
        std::function<void(peer_connection_ptr)> OnConnection)
      : Acceptor(Context, toAsio(Endpoint)),
        OnConnection(std::move(OnConnection)) {}

  void accept() {
    Acceptor.async_accept(
        [Self = shared_from_this()](const boost::system::error_code &Error,
                                    asio::ip::tcp::socket Socket) {
          if (Error == asio::error::operation_aborted || !Self->OnConnection)
            return;
          if (!Error)
            Self->take(std::move(Socket));
          Self->accept();
        });
  }

  void take(asio::ip::tcp::socket Socket) {
    std::erase_if(Open, [](const auto &Weak) { return Weak.expired(); });
    if (Open.size() >= MaxConnections)
      return;
    boost::system::error_code Ignored;
    Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
    auto State =
        std::make_shared<peer_connection::state>(std::move(Socket), true);
    auto Connection = std::make_shared<peer_connection>(std::move(State));
    Open.push_back(Connection);
    OnConnection(std::move(Connection));
  }

  asio::ip::tcp::acceptor Acceptor;
  std::function<void(peer_connection_ptr)> OnConnection;
  std::vector<std::weak_ptr<peer_connection>> Open;
};

peer_server::peer_server(asio::io_context &Context, const endpoint &Endpoint,
                         std::function<void(peer_connection_ptr)> OnConnection)
    : State(
          std::make_shared<state>(Context, Endpoint, std::move(OnConnection))) {
  State->accept();
}

peer_server::~peer_server() {
  boost::system::error_code Ignored;
  State->OnConnection = nullptr;
  State->Acceptor.close(Ignored);
}

endpoint peer_server::localEndpoint() const {
  const auto Local = State->Acceptor.local_endpoint();
  return {Local.address().to_string(), Local.port()};
}

} // namespace galenastage
