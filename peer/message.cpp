#include "peer/message.hpp"

#include "core/json_number.hpp"
#include "net/http.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <optional>

namespace galenastage {
namespace {

using nlohmann::json;

json addressJson(const endpoint &Address) { return printEndpoint(Address); }

json memberJson(const member &Member) {
  return json::array({Member.Name.Value, Member.DataCentre.Value,
                      static_cast<int>(Member.Kind),
                      addressJson(Member.Address), Member.Incarnation,
                      Member.Version});
}

process_kind kindOf(const json &Json) {
  return readWhole<int>(Json, "kind") == 0 ? process_kind::Entry
                                           : process_kind::Scheduler;
}

member memberOf(const json &Json) {
  member Member;
  Member.Name = instance_id(Json.at(0).get<std::string>());
  Member.DataCentre = data_centre_id(Json.at(1).get<std::string>());
  Member.Kind = kindOf(Json.at(2));
  const auto Address = parseEndpoint(Json.at(3).get<std::string>());
  if (!Address || Member.Name.isEmpty())
    throw std::invalid_argument("member without name or address");
  Member.Address = *Address;
  Member.Incarnation = readWhole<std::uint64_t>(Json.at(4), "incarnation");
  Member.Version = readWhole<std::uint64_t>(Json.at(5), "version");
  return Member;
}

milliseconds ageAt(const json &Json, std::size_t Index) {
  // An age over a year is read as never (-1), which also avoids overflow.
  constexpr std::int64_t MaxAge = 365LL * 24 * 3'600 * 1'000;
  const auto Age = readWhole<std::int64_t>(Json.at(Index), "age");
  return milliseconds(Age > MaxAge ? -1 : std::max<std::int64_t>(Age, -1));
}

json statementJson(const member_statement &Statement) {
  const member &Member = Statement.Member;
  return json::array({Member.Name.Value, static_cast<int>(Member.Kind),
                      Member.Incarnation, Member.Version,
                      Statement.HeardAge.count()});
}

member_statement statementOf(const json &Json) {
  member_statement Statement;
  member &Member = Statement.Member;
  Member.Name = instance_id(Json.at(0).get<std::string>());
  Member.Kind = kindOf(Json.at(1));
  Member.Incarnation = readWhole<std::uint64_t>(Json.at(2), "incarnation");
  Member.Version = readWhole<std::uint64_t>(Json.at(3), "version");
  Statement.HeardAge = std::max(ageAt(Json, 4), milliseconds(0));
  if (Member.Name.isEmpty())
    throw std::invalid_argument("member without name");
  return Statement;
}

peer_message messageOf(const json &Json) {
  constexpr std::int64_t MaxTimestamp = (1LL << 53) - 1;
  peer_message Message;
  Message.From = memberOf(Json.at("f"));
  const json &Times = Json.at("t");
  Message.SentAt =
      readWhole<std::int64_t>(Times.at(0), "sent", {0, MaxTimestamp});
  Message.EchoOf =
      readWhole<std::int64_t>(Times.at(1), "echo", {-1, MaxTimestamp});
  Message.EchoHeld = std::max(ageAt(Times, 2), milliseconds(0));
  Message.EvidenceAge = ageAt(Times, 3);
  Message.Leader.Epoch = readWhole<std::uint64_t>(Json.at("l").at(0), "epoch");
  Message.Leader.Age = ageAt(Json.at("l"), 1);
  for (const json &Item : Json.at("r"))
    Message.Reach.push_back({data_centre_id(Item.at(0).get<std::string>()),
                             ageAt(Item, 1), ageAt(Item, 2)});
  if (Json.contains("m"))
    for (const json &Item : Json.at("m"))
      Message.Members.push_back(statementOf(Item));
  if (Json.contains("x"))
    Message.TablesText = Json.at("x").get<std::string>();
  return Message;
}

/// The beginning of a CBOR item.
struct cbor_head {
  unsigned Major = 0;         // kind of the item
  std::uint64_t Argument = 0; // its value, length or number of items
};

/// Removes a head from the front of the bytes. Nullopt: they end, or the item
/// is tagged or of unknown length, which printPeerMessage never writes.
std::optional<cbor_head> takeHead(std::string_view &Bytes) {
  constexpr unsigned Tag = 6;
  constexpr unsigned FirstWidth = 24; // the argument follows in 1 byte
  constexpr unsigned LastWidth = 27;  // in 8 bytes
  if (Bytes.empty())
    return std::nullopt;
  const unsigned First = static_cast<unsigned char>(Bytes.front());
  Bytes.remove_prefix(1);
  cbor_head Head{First >> 5U, First & 0x1fU};
  if (Head.Major == Tag || Head.Argument > LastWidth)
    return std::nullopt;
  if (Head.Argument < FirstWidth)
    return Head;
  const std::size_t Width = std::size_t{1} << (Head.Argument - FirstWidth);
  if (Bytes.size() < Width)
    return std::nullopt;
  Head.Argument = 0;
  for (const char Byte : Bytes.substr(0, Width))
    Head.Argument = Head.Argument << 8U | static_cast<unsigned char>(Byte);
  Bytes.remove_prefix(Width);
  return Head;
}

/// Whether the bytes are one CBOR item that nests at most MaxJsonDepth deep.
/// The library parses CBOR recursively.
bool isFlatCbor(std::string_view Bytes) {
  constexpr unsigned ByteString = 2;
  constexpr unsigned TextString = 3;
  constexpr unsigned Array = 4;
  constexpr unsigned Map = 5;
  std::array<std::uint64_t, MaxJsonDepth + 1> Missing{1}; // items, by level
  std::size_t Level = 0;
  while (Level > 0 || Missing.front() > 0) {
    if (Missing[Level] == 0) {
      --Level;
      continue;
    }
    --Missing[Level];
    const std::optional<cbor_head> Head = takeHead(Bytes);
    if (!Head)
      return false;
    const bool IsString =
        Head->Major == ByteString || Head->Major == TextString;
    const bool IsNesting = Head->Major == Array || Head->Major == Map;
    if ((IsString || IsNesting) && Head->Argument > Bytes.size())
      return false;
    if (IsString)
      Bytes.remove_prefix(Head->Argument);
    if (!IsNesting)
      continue;
    if (++Level == Missing.size())
      return false;
    Missing[Level] = Head->Argument * (Head->Major == Map ? 2 : 1);
  }
  return Bytes.empty();
}

} // namespace

std::string printPeerMessage(const peer_message &Message) {
  json Json = {{"v", PeerProtocolVersion},
               {"f", memberJson(Message.From)},
               {"t",
                {Message.SentAt, Message.EchoOf, Message.EchoHeld.count(),
                 Message.EvidenceAge.count()}},
               {"l", {Message.Leader.Epoch, Message.Leader.Age.count()}},
               {"r", json::array()}};
  for (const store_contact_statement &Item : Message.Reach)
    Json["r"].push_back(
        json::array({Item.DataCentre.Value, Item.ReportedAge.count(),
                     Item.ReachedAge.count()}));
  for (const member_statement &Item : Message.Members)
    Json["m"].push_back(statementJson(Item));
  if (!Message.TablesText.empty())
    Json["x"] = Message.TablesText;
  std::string Bytes;
  json::to_cbor(Json, nlohmann::detail::output_adapter<char>(Bytes));
  return Bytes;
}

std::optional<peer_message> parsePeerMessage(std::string_view Bytes) {
  try {
    if (!isFlatCbor(Bytes))
      return std::nullopt;
    const json Json = json::from_cbor(Bytes.begin(), Bytes.end());
    if (readWhole<int>(Json.at("v"), "version") > PeerProtocolVersion)
      return std::nullopt;
    return messageOf(Json);
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace galenastage
