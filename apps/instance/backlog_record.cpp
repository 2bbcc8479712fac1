#include "apps/instance/backlog_record.hpp"

#include "apps/runtime/logging.hpp"
#include "core/json_number.hpp"

#include <nlohmann/json.hpp>

#include <cmath>

namespace galenastage {
namespace {

using nlohmann::json;

constexpr int Version = 1;

json printEntry(const batch::backlog_entry &Entry) {
  return {Entry.Organisation.Value, Entry.Priority, std::llround(Entry.Waiting),
          std::llround(Entry.Running), Entry.Accelerators};
}

json printEntries(const std::vector<batch::backlog_entry> &Entries) {
  json Printed = json::array();
  for (const batch::backlog_entry &Entry : Entries)
    Printed.push_back(printEntry(Entry));
  return Printed;
}

std::vector<batch::backlog_entry> parseEntries(const json &Printed) {
  std::vector<batch::backlog_entry> Entries;
  for (const json &Entry : Printed)
    Entries.push_back({organisation_id(Entry.at(0).get<std::string>()),
                       readWhole<int>(Entry.at(1), "priority"),
                       Entry.at(2).get<double>(), Entry.at(3).get<double>(),
                       readWhole<int>(Entry.at(4), "accelerators")});
  return Entries;
}

} // namespace

std::string printBacklog(const backlog_record &Record) {
  json Services = json::array();
  for (const batch::service_backlog &Service : Record.Backlog.Services)
    Services.push_back({{"service", Service.Service.Value},
                        {"capacity", std::llround(Service.Capacity)},
                        {"accelerators", Service.Accelerators},
                        {"rate", std::llround(Service.Rate)},
                        {"entries", printEntries(Service.Entries)},
                        {"others", printEntries(Service.Others)}});
  return json{{"version", Version},
              {"term", Record.Term},
              {"number", Record.Number},
              {"services", std::move(Services)}}
      .dump();
}

parsed_backlog parseBacklog(const std::string &Text) {
  try {
    const json Printed = parseJson(Text);
    const int Found = readWhole<int>(Printed.at("version"), "version");
    if (Found != Version)
      return {std::nullopt, "its version is " + std::to_string(Found)};
    backlog_record Record;
    Record.Term = readWhole<std::uint64_t>(Printed.at("term"), "term");
    Record.Number = readWhole<std::uint64_t>(Printed.at("number"), "number");
    for (const json &Service : Printed.at("services"))
      Record.Backlog.Services.push_back(
          {service_id(Service.at("service").get<std::string>()),
           Service.at("capacity").get<double>(),
           readWhole<int>(Service.at("accelerators"), "accelerators"),
           Service.at("rate").get<double>(),
           parseEntries(Service.at("entries")),
           parseEntries(Service.at("others"))});
    return {std::move(Record), {}};
  } catch (const std::exception &Error) {
    return {std::nullopt, reasonOf(Error)};
  }
}

bool backlog_view::beginRead(instant Now) {
  const bool IsFirst = LastBegun == instant{};
  if (!IsFirst && Now - LastBegun < ReadInterval)
    return false;
  LastBegun = Now;
  return true;
}

void backlog_view::note(const std::optional<std::string> &Text, instant Now) {
  parsed_backlog Parsed;
  if (Text)
    Parsed = parseBacklog(*Text);
  if (Text && !Parsed.Record && *Text != Unusable) {
    Unusable = *Text;
    writeLog(events::EntryIgnored,
             {{"entry", "backlog"}, {"reason", Parsed.Reason}});
  }
  const bool IsKnown = Record && Parsed.Record &&
                       Record->Term == Parsed.Record->Term &&
                       Record->Number == Parsed.Record->Number;
  // The first one read may have been there for long: its successor tells that
  // the leader still publishes.
  const bool IsNext = Record && Parsed.Record && !IsKnown &&
                      Record->Term == Parsed.Record->Term &&
                      Now - FirstRead <= MaxAge;
  if (!IsKnown) {
    FirstRead = Now;
    IsLive = IsNext;
  }
  Record = std::move(Parsed.Record);
}

const backlog_record *backlog_view::current(instant Now) const {
  const bool IsUsable = Record && IsLive && Now - FirstRead <= MaxAge;
  return IsUsable ? &*Record : nullptr;
}

} // namespace galenastage
