#include "peer/message.hpp"

#include "net/http.hpp"

#include <nlohmann/json.hpp>

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
  return Json.get<int>() == 0 ? process_kind::Entry : process_kind::Scheduler;
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
  Member.Incarnation = Json.at(4).get<std::uint64_t>();
  Member.Version = Json.at(5).get<std::uint64_t>();
  return Member;
}

milliseconds ageAt(const json &Json, std::size_t Index) {
  // An age over a year is read as never (-1), which also avoids overflow.
  constexpr std::int64_t MaxAge = 365LL * 24 * 3'600 * 1'000;
  const auto Age = Json.at(Index).get<std::int64_t>();
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
  Member.Incarnation = Json.at(2).get<std::uint64_t>();
  Member.Version = Json.at(3).get<std::uint64_t>();
  Statement.HeardAge = std::max(ageAt(Json, 4), milliseconds(0));
  if (Member.Name.isEmpty())
    throw std::invalid_argument("member without name");
  return Statement;
}

peer_message messageOf(const json &Json) {
  constexpr std::int64_t MaxTimestamp = 1LL << 53;
  peer_message Message;
  Message.From = memberOf(Json.at("f"));
  const json &Times = Json.at("t");
  Message.SentAt = Times.at(0).get<std::int64_t>();
  Message.EchoOf = Times.at(1).get<std::int64_t>();
  const bool IsInRange = Message.SentAt >= 0 && Message.SentAt < MaxTimestamp &&
                         Message.EchoOf >= -1 && Message.EchoOf < MaxTimestamp;
  if (!IsInRange)
    throw std::invalid_argument("moment out of range");
  Message.EchoHeld = std::max(ageAt(Times, 2), milliseconds(0));
  Message.EvidenceAge = ageAt(Times, 3);
  Message.Leader.Epoch = Json.at("l").at(0).get<std::uint64_t>();
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
    const json Json = json::from_cbor(Bytes.begin(), Bytes.end());
    if (Json.at("v").get<int>() > PeerProtocolVersion)
      return std::nullopt;
    return messageOf(Json);
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace galenastage
