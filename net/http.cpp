#include "net/http.hpp"

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace galenastage {
namespace {

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::ranges::equal(Left, Right, [](unsigned char A, unsigned char B) {
    return std::tolower(A) == std::tolower(B);
  });
}

/// Adds the items of a list such as "close, X-Token".
void addListed(std::string_view List, std::vector<std::string> &Items) {
  constexpr std::string_view Separators = ", \t";
  while (!List.empty()) {
    const std::size_t End =
        std::min(List.find_first_of(Separators), List.size());
    if (End > 0)
      Items.emplace_back(List.substr(0, End));
    List.remove_prefix(std::min(End + 1, List.size()));
  }
}

} // namespace

std::optional<endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  if (Host.starts_with('[') && Host.ends_with(']'))
    Host = Host.substr(1, Host.size() - 2);
  const std::string_view Port = Text.substr(Colon + 1);

  endpoint Result;
  const auto [End, Error] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Result.Port);
  if (Error != std::errc{} || End != Port.data() + Port.size())
    return std::nullopt;
  boost::system::error_code AddressError;
  asio::ip::make_address(std::string(Host), AddressError);
  if (AddressError)
    return std::nullopt;
  Result.Address = Host;
  return Result;
}

std::string printEndpoint(const endpoint &Endpoint) {
  const bool IsV6 = Endpoint.Address.find(':') != std::string::npos;
  const std::string Host =
      IsV6 ? "[" + Endpoint.Address + "]" : Endpoint.Address;
  return Host + ":" + std::to_string(Endpoint.Port);
}

std::string_view http_headers::find(std::string_view Name) const {
  for (const http_header &Field : Fields)
    if (equalsIgnoringCase(Field.Name, Name))
      return Field.Value;
  return {};
}

void http_headers::set(std::string_view Name, std::string Value) {
  for (http_header &Field : Fields)
    if (equalsIgnoringCase(Field.Name, Name)) {
      Field.Value = std::move(Value);
      return;
    }
  Fields.push_back({std::string(Name), std::move(Value)});
}

void http_headers::remove(std::string_view Name) {
  std::erase_if(Fields, [&](const http_header &Field) {
    return equalsIgnoringCase(Field.Name, Name);
  });
}

void removeConnectionFields(http_headers &Headers) {
  std::vector<std::string> Names = {
      "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
      "Trailer",    "Upgrade",    "Transfer-Encoding", "Expect"};
  for (const http_header &Field : Headers.Fields)
    if (equalsIgnoringCase(Field.Name, "Connection"))
      addListed(Field.Value, Names);
  for (const std::string &Name : Names)
    Headers.remove(Name);
}

std::string_view http_request::path() const {
  return std::string_view(Target).substr(0, Target.find('?'));
}

std::string_view http_request::query(std::string_view Name) const {
  const std::size_t Mark = Target.find('?');
  std::string_view Rest = Mark == std::string::npos
                              ? std::string_view{}
                              : std::string_view(Target).substr(Mark + 1);
  while (!Rest.empty()) {
    const std::string_view Pair = Rest.substr(0, Rest.find('&'));
    const std::size_t Equals = Pair.find('=');
    if (Equals != std::string_view::npos && Pair.substr(0, Equals) == Name)
      return Pair.substr(Equals + 1);
    Rest.remove_prefix(std::min(Rest.size(), Pair.size() + 1));
  }
  return {};
}

http_response jsonResponse(unsigned Status, std::string Text) {
  http_response Response;
  Response.Status = Status;
  Response.Headers.set("Content-Type", "application/json");
  Response.Body = std::move(Text);
  return Response;
}

http_response problemResponse(unsigned Status, std::string_view Title,
                              std::string_view Detail, verdict Verdict) {
  const nlohmann::json Problem = {{"type", "about:blank"},
                                  {"status", Status},
                                  {"title", Title},
                                  {"detail", Detail},
                                  {"verdict", name(Verdict)}};
  http_response Response = jsonResponse(Status, Problem.dump());
  Response.Headers.set("Content-Type", "application/problem+json");
  Response.Headers.set("Galenastage-Verdict", std::string(name(Verdict)));
  return Response;
}

} // namespace galenastage
