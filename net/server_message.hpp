#pragma once

// How the server's requests and responses map to Beast's messages.

#include "net/http.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace galenastage::detail {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// A header field as parsed and as handed to the handler, beside its text.
constexpr std::size_t FieldBytes = sizeof(http_header) + 96;

/// Copies the header of a request that came from Peer.
inline http_request takeHead(const http::request<http::buffer_body> &Message,
                             const std::string &Peer) {
  http_request Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Headers.Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.Peer = Peer;
  return Request;
}

/// Memory of the parsed header: the text twice, and each field.
inline std::size_t headBytes(const http_request &Request) {
  std::size_t Text = Request.Method.size() + Request.Target.size();
  for (const http_header &Field : Request.Headers.Fields)
    Text += Field.Name.size() + Field.Value.size();
  return 2 * Text + Request.Headers.Fields.size() * FieldBytes;
}

/// Copies status and header of a response to send.
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
inline bool hasAmbiguousLength(const http::fields &Fields) {
  const auto Lengths = Fields.count(http::field::content_length);
  const auto Encodings = Fields.count(http::field::transfer_encoding);
  return Lengths > 1 || Encodings > 1 || (Lengths > 0 && Encodings > 0);
}

/// Whether the client waits for 100 Continue before it sends the body.
inline bool expectsContinue(const http::fields &Fields) {
  return beast::iequals(Fields[http::field::expect], "100-continue");
}

/// Status of the refusal of a request that the parser rejects.
inline unsigned statusOf(const boost::system::error_code &Error) {
  if (Error == http::error::body_limit)
    return 413;
  if (Error == http::error::header_limit ||
      Error == http::error::buffer_overflow)
    return 431;
  return 400;
}

} // namespace galenastage::detail
