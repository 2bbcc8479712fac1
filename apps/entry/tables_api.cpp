#include "apps/entry/traffic.hpp"
#include "apps/runtime/logging.hpp"
#include "apps/runtime/process.hpp"
#include "core/config/tables_diff.hpp"
#include "core/json_text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace galenastage {
namespace {

using nlohmann::json;

constexpr std::size_t EditTokenDigits = 32;
constexpr std::uint64_t MaxHistoryVersions = 500;
constexpr std::string_view DefaultAuthor = "unknown";

struct stored_tables {
  std::error_code Error;
  std::optional<tables> Tables; // nullopt: nothing stored yet
  std::int64_t Revision = 0; // ModRevision of the key; 0 when it doesn't exist
};

task<stored_tables> readTables(traffic_thread &Thread) {
  stored_tables Stored;
  const store_read Read = co_await Thread.Store.read(std::string(TablesKey));
  Stored.Error = Read.Error;
  if (Read.Error || Read.Entries.empty())
    co_return Stored;
  Stored.Tables = parseTables(Read.Entries.front().Value).Tables;
  Stored.Revision = Read.Entries.front().ModRevision;
  co_return Stored;
}

std::string etagOf(std::uint64_t Version) {
  return "\"" + std::to_string(Version) + "\"";
}

/// Reads the version out of an If-Match field such as "7".
std::optional<std::uint64_t> versionOf(std::string_view Tag) {
  if (Tag.size() >= 2 && Tag.front() == '"' && Tag.back() == '"')
    Tag = Tag.substr(1, Tag.size() - 2);
  std::uint64_t Version = 0;
  const auto [End, Error] =
      std::from_chars(Tag.data(), Tag.data() + Tag.size(), Version);
  if (Error != std::errc{} || End != Tag.data() + Tag.size())
    return std::nullopt;
  return Version;
}

http_response tablesResponse(unsigned Status, const json &Body,
                             std::uint64_t Version) {
  http_response Response = jsonResponse(Status, Body.dump());
  Response.Headers.set("ETag", etagOf(Version));
  return Response;
}

/// Reads a version from the history; nullopt when it is no longer kept.
task<std::optional<tables>> readVersion(traffic_thread &Thread,
                                        std::uint64_t Version) {
  const store_read Read = co_await Thread.Store.read(tablesHistoryKey(Version));
  if (Read.Error || Read.Entries.empty())
    co_return std::nullopt;
  co_return parseTables(Read.Entries.front().Value).Tables;
}

/// 412 with the rows that changed since the version the edit was based on.
task<http_response> conflictResponse(traffic_thread &Thread,
                                     std::uint64_t Expected) {
  const stored_tables Stored = co_await readTables(Thread);
  const tables Current = Stored.Tables.value_or(tables{});
  const std::optional<tables> Base = co_await readVersion(Thread, Expected);
  json Body = {{"type", "about:blank"},
               {"status", 412},
               {"title", "version conflict"},
               {"detail",
                "the tables are at version " + std::to_string(Current.Version) +
                    ", the edit was made on " + std::to_string(Expected)},
               {"verdict", name(verdict::NotRun)},
               {"version", Current.Version},
               {"author", Current.Author},
               {"reason", Current.Reason}};
  if (Base)
    Body["changes"] = diffTables(*Base, Current);
  http_response Response = tablesResponse(412, Body, Current.Version);
  Response.Headers.set("Content-Type", "application/problem+json");
  Response.Headers.set("Galenastage-Verdict",
                       std::string(name(verdict::NotRun)));
  co_return Response;
}

/// Whether the history holds this edit under the version. Resolves a write
/// whose response was lost, even if later edits have been stored since. Nullopt
/// when the store can't be read.
task<std::optional<bool>>
isEditStored(traffic_thread &Thread, std::uint64_t Version, std::string Token) {
  const store_read Read = co_await Thread.Store.read(tablesHistoryKey(Version));
  if (Read.Error)
    co_return std::nullopt;
  if (Read.Entries.empty())
    co_return false;
  const auto Kept = parseTables(Read.Entries.front().Value).Tables;
  co_return Kept && Kept->EditToken == Token;
}

/// Stores the edited tables as the version after their base, unless the stored
/// tables have changed since.
task<http_response> storeTables(traffic_thread &Thread, stored_tables Base,
                                tables Edited, http_request Request) {
  const std::uint64_t BaseVersion = Base.Tables ? Base.Tables->Version : 0;
  const std::string_view Author = Request.Headers.find("Galenastage-Author");
  Edited.Version = BaseVersion + 1;
  Edited.Author = Author.empty() ? DefaultAuthor : Author;
  Edited.Reason = Request.Headers.find("Galenastage-Reason");
  Edited.EditToken = randomHex(EditTokenDigits);
  const auto Problems = validate(Edited);
  if (!Problems.empty())
    co_return invalidResponse("invalid tables", Problems);

  const std::string Text = printTables(Edited);
  store_transaction Transaction;
  if (Base.Revision == 0)
    Transaction.Conditions.push_back(key_missing{std::string(TablesKey)});
  else
    Transaction.Conditions.push_back(
        revision_is{std::string(TablesKey), Base.Revision});
  Transaction.Changes.push_back(put_key{std::string(TablesKey), Text});
  Transaction.Changes.push_back(
      put_key{tablesHistoryKey(Edited.Version), Text});
  if (Edited.Version > MaxHistoryVersions)
    Transaction.Changes.push_back(
        delete_key{tablesHistoryKey(Edited.Version - MaxHistoryVersions)});
  const store_write Write =
      co_await Thread.Store.commit(std::move(Transaction));
  bool IsStored = !Write.Error && Write.IsApplied;
  if (Write.Error) {
    if (Write.Verdict == verdict::NotRun)
      co_return storeUnavailableResponse(verdict::NotRun);
    const auto Outcome =
        co_await isEditStored(Thread, Edited.Version, Edited.EditToken);
    if (!Outcome)
      co_return storeUnavailableResponse(verdict::Unknown);
    IsStored = *Outcome;
  }
  if (!IsStored)
    co_return co_await conflictResponse(Thread, BaseVersion);
  writeLog(events::EditAccepted, {{"version", std::to_string(Edited.Version)},
                                  {"author", Edited.Author},
                                  {"reason", Edited.Reason}});
  const std::uint64_t Version = Edited.Version;
  Thread.Tables->post(
      edit_stored{{std::make_shared<const tables>(std::move(Edited)), Text}});
  co_return tablesResponse(200, json{{"version", Version}}, Version);
}

/// The table that a path segment names: "routes", "pools" or "data_centres".
std::optional<std::string> tableOf(std::string_view Segment) {
  if (Segment == "routes" || Segment == "pools")
    return std::string(Segment);
  if (Segment == "data-centres")
    return "data_centres";
  return std::nullopt;
}

/// Replaces, adds or removes one row of a document. False when there is no such
/// row to remove.
bool changeRow(json &Document, const std::string &Table,
               const std::string &Name, const std::optional<json> &Row) {
  json &Rows = Document[Table];
  for (auto It = Rows.begin(); It != Rows.end(); ++It) {
    if (It->value("name", "") != Name)
      continue;
    if (Row)
      *It = *Row;
    else
      Rows.erase(It);
    return true;
  }
  if (Row)
    Rows.push_back(*Row);
  return Row.has_value();
}

task<http_response> editRow(traffic_thread &Thread, stored_tables Base,
                            std::string Table, std::string Name,
                            http_request Request) {
  json Document = Base.Tables.value_or(tables{});
  std::optional<json> Row;
  if (Request.Method == "PUT") {
    if (std::string Reason = explainTooComplex(Request.Body); !Reason.empty())
      co_return invalidResponse("invalid row", {{"", std::move(Reason)}});
    Row = json::parse(Request.Body, nullptr, false);
    if (!Row->is_object())
      co_return invalidResponse("invalid row", {{"", "must be a JSON object"}});
    (*Row)["name"] = Name;
  }
  if (!changeRow(Document, Table, Name, Row))
    co_return problemResponse(404, "no such row", Table + "/" + Name,
                              verdict::NotRun);
  parsed_tables Parsed = parseTables(Document.dump());
  if (!Parsed.Tables)
    co_return invalidResponse("invalid row", Parsed.Problems);
  co_return co_await storeTables(Thread, std::move(Base),
                                 std::move(*Parsed.Tables), std::move(Request));
}

http_response showRow(const tables &Tables, const std::string &Table,
                      const std::string &Name) {
  const json Document = Tables;
  for (const json &Row : Document.at(Table))
    if (Row.value("name", "") == Name)
      return tablesResponse(200, Row, Tables.Version);
  return problemResponse(404, "no such row", Table + "/" + Name,
                         verdict::NotRun);
}

/// An age in milliseconds, or null for never.
json ageJson(instant Moment, instant Now) {
  if (Moment == Never)
    return nullptr;
  return (Now - Moment).count();
}

json memberRow(const member &Member, instant Now) {
  return {{"instance", Member.Name.Value},
          {"kind", name(Member.Kind)},
          {"data_centre", Member.DataCentre.Value},
          {"listed", Member.IsListed},
          {"version_in_force", Member.Version},
          {"heard_ms_ago", ageJson(Member.LastHeard, Now)}};
}

http_response showStatus(const traffic_thread &Thread) {
  const std::uint64_t Version =
      Thread.Snapshot ? Thread.Snapshot->Tables->Version : 0;
  const auto Status = Thread.Tables->status();
  const instant Now = readClock();
  json Others = json::array();
  for (const member &Member : Status->Members)
    Others.push_back(memberRow(Member, Now));
  return jsonResponse(200, json{{"instance", Thread.Config.Instance},
                                {"data_centre", Thread.Config.DataCentre.Value},
                                {"version_in_force", Version},
                                {"evidence_ms", ageJson(Status->AsOf, Now)},
                                {"reads_store", Status->IsReader},
                                {"peer_messages", Status->MessagesSent},
                                {"peer_bytes", Status->BytesSent},
                                {"others", std::move(Others)}}
                               .dump());
}

task<http_response> editTables(traffic_thread &Thread, std::string Rest,
                               http_request Request) {
  const std::string_view Match = Request.Headers.find("If-Match");
  if (Match.empty())
    co_return problemResponse(428, "If-Match is missing",
                              "an edit names the version it was made on",
                              verdict::NotRun);
  const auto Expected = versionOf(Match);
  if (!Expected)
    co_return problemResponse(400, "If-Match is malformed", Match,
                              verdict::NotRun);
  stored_tables Base = co_await readTables(Thread);
  if (Base.Error)
    co_return storeUnavailableResponse(verdict::NotRun);
  const std::uint64_t Current = Base.Tables ? Base.Tables->Version : 0;
  const std::uint64_t InForce =
      Thread.Snapshot ? Thread.Snapshot->Tables->Version : 0;
  // The store was restored from an older copy: an edit on top of it would get a
  // version no higher than the one in force.
  if (Current < InForce)
    co_return storeUnavailableResponse(verdict::NotRun);
  if (Current != *Expected)
    co_return co_await conflictResponse(Thread, *Expected);

  if (Rest.empty()) {
    parsed_tables Parsed = parseTables(Request.Body);
    if (!Parsed.Tables)
      co_return invalidResponse("invalid tables", Parsed.Problems);
    co_return co_await storeTables(
        Thread, std::move(Base), std::move(*Parsed.Tables), std::move(Request));
  }
  const std::size_t Slash = Rest.find('/');
  const auto Table = tableOf(std::string_view(Rest).substr(0, Slash));
  if (!Table || Slash == std::string::npos)
    co_return problemResponse(404, "no such table", Rest, verdict::NotRun);
  std::string Name = Rest.substr(Slash + 1);
  co_return co_await editRow(Thread, std::move(Base), *Table, std::move(Name),
                             std::move(Request));
}

/// The kept versions, newest first, without their rows.
task<http_response> showHistory(traffic_thread &Thread) {
  store_read Read = co_await Thread.Store.readPrefix("/galenastage/history/");
  if (Read.Error)
    co_return storeUnavailableResponse(verdict::NotRun);
  std::ranges::reverse(Read.Entries); // keys sort by version, oldest first
  json Versions = json::array();
  for (const store_entry &Entry : Read.Entries)
    if (const auto Kept = parseTables(Entry.Value).Tables)
      Versions.push_back({{"version", Kept->Version},
                          {"author", Kept->Author},
                          {"reason", Kept->Reason}});
  co_return jsonResponse(200, json{{"versions", std::move(Versions)}}.dump());
}

task<http_response> showVersion(traffic_thread &Thread, std::string Text) {
  const auto Version = versionOf(Text);
  std::optional<tables> Kept;
  if (Version)
    Kept = co_await readVersion(Thread, *Version);
  if (!Kept)
    co_return problemResponse(404, "no such version", Text, verdict::NotRun);
  co_return tablesResponse(200, json(*Kept), Kept->Version);
}

task<http_response> readTablesPath(traffic_thread &Thread, std::string Rest) {
  if (Rest == "status")
    co_return showStatus(Thread);
  if (Rest == "history")
    co_return co_await showHistory(Thread);
  if (Rest.starts_with("history/"))
    co_return co_await showVersion(Thread, Rest.substr(8));
  const stored_tables Stored = co_await readTables(Thread);
  if (Stored.Error)
    co_return storeUnavailableResponse(verdict::NotRun);
  const tables Tables = Stored.Tables.value_or(tables{});
  if (Rest.empty())
    co_return tablesResponse(200, json(Tables), Tables.Version);
  const std::size_t Slash = Rest.find('/');
  const auto Table = tableOf(std::string_view(Rest).substr(0, Slash));
  if (!Table || Slash == std::string::npos)
    co_return problemResponse(404, "no such table", Rest, verdict::NotRun);
  co_return showRow(Tables, *Table, Rest.substr(Slash + 1));
}

} // namespace

task<http_response> handleTables(traffic_thread &Thread, http_request Request) {
  std::string Rest(
      Request.path().substr(std::string_view("/v1/tables").size()));
  if (!Rest.empty())
    Rest.erase(0, 1);
  if (Request.Method == "GET")
    co_return co_await readTablesPath(Thread, std::move(Rest));
  if (Request.Method == "PUT" || Request.Method == "DELETE")
    co_return co_await editTables(Thread, std::move(Rest), std::move(Request));
  co_return problemResponse(405, "method not allowed", Request.Method,
                            verdict::NotRun);
}

} // namespace galenastage
