#include "core/config/json_reader.hpp"
#include "core/config/tables.hpp"

#include <algorithm>

namespace galenastage {
namespace {

using nlohmann::json;

std::string rowPath(const char *Table, std::size_t Index) {
  return std::string(Table) + "[" + std::to_string(Index) + "]";
}

route readRoute(detail::object_reader &Reader) {
  route Row;
  Row.Name = Reader.identifier<route_id>("name");
  Row.PathPrefix = Reader.required<std::string>("path_prefix");
  Row.Service = Reader.identifier<service_id>("service");
  Row.Pool = Reader.identifier<pool_id>("pool");
  Row.Class = Reader.workClass("class");
  Row.IsIdempotent = Reader.optional<bool>("idempotent", true);
  Row.Timeout = milliseconds(Reader.integer("timeout_ms", 30'000));
  Row.DataCentres = Reader.identifierList<data_centre_id>("data_centres");
  return Row;
}

pool readPool(detail::object_reader &Reader, const std::string &Path,
              std::vector<table_problem> &Problems) {
  pool Row;
  Row.Name = Reader.identifier<pool_id>("name");
  Row.Organisation = Reader.identifier<organisation_id>("organisation");
  Row.DataCentres = Reader.identifierList<data_centre_id>("data_centres");
  if (const json *Shape = Reader.child("guaranteed")) {
    detail::object_reader ShapeReader(*Shape, Path + ".guaranteed", Problems);
    Row.Guaranteed.Workers = ShapeReader.integer("workers", 0);
    Row.Guaranteed.AcceleratorsPerWorker =
        ShapeReader.integer("accelerators_per_worker", 8);
    ShapeReader.rejectUnknown();
  }
  return Row;
}

data_centre_row readDataCentre(detail::object_reader &Reader) {
  data_centre_row Row;
  Row.Name = Reader.identifier<data_centre_id>("name");
  Row.Region = Reader.optional<std::string>("region", "");
  Row.IsInService = Reader.optional<bool>("in_service", true);
  return Row;
}

/// Reads each row of one table with the given function.
template <typename Row, typename Read>
std::vector<Row> readRows(detail::object_reader &Document, const char *Table,
                          std::vector<table_problem> &Problems, Read ReadRow) {
  std::vector<Row> Rows;
  const json *List = Document.child(Table);
  if (!List)
    return Rows;
  if (!List->is_array()) {
    Document.addProblem(Table, "must be a list");
    return Rows;
  }
  for (std::size_t I = 0; I < List->size(); ++I) {
    const std::string Path = rowPath(Table, I);
    detail::object_reader Reader((*List)[I], Path, Problems);
    Rows.push_back(ReadRow(Reader, Path));
    Reader.rejectUnknown();
  }
  return Rows;
}

/// The line number of a byte offset; both count from 1.
std::ptrdiff_t lineOf(std::string_view Text, std::size_t Byte) {
  const std::string_view Before = Text.substr(0, Byte == 0 ? 0 : Byte - 1);
  return std::ranges::count(Before, '\n') + 1;
}

tables readDocument(const json &Document,
                    std::vector<table_problem> &Problems) {
  detail::object_reader Reader(Document, "", Problems);
  tables Tables;
  Tables.Version = Reader.optional<std::uint64_t>("version", 0);
  Tables.Author = Reader.optional<std::string>("author", "");
  Tables.Reason = Reader.optional<std::string>("reason", "");
  Tables.EditToken = Reader.optional<std::string>("edit_token", "");
  Tables.Routes = readRows<route>(
      Reader, "routes", Problems,
      [](auto &Row, const std::string &) { return readRoute(Row); });
  Tables.Pools = readRows<pool>(Reader, "pools", Problems,
                                [&](auto &Row, const std::string &Path) {
                                  return readPool(Row, Path, Problems);
                                });
  Tables.DataCentres = readRows<data_centre_row>(
      Reader, "data_centres", Problems,
      [](auto &Row, const std::string &) { return readDataCentre(Row); });
  Reader.rejectUnknown();
  return Tables;
}

json printRoute(const route &Row) {
  return {{"name", Row.Name.Value},
          {"path_prefix", Row.PathPrefix},
          {"service", Row.Service.Value},
          {"pool", Row.Pool.Value},
          {"class", name(Row.Class)},
          {"idempotent", Row.IsIdempotent},
          {"timeout_ms", Row.Timeout.count()},
          {"data_centres", detail::namesOf(Row.DataCentres)}};
}

json printPool(const pool &Row) {
  return {{"name", Row.Name.Value},
          {"organisation", Row.Organisation.Value},
          {"guaranteed",
           {{"workers", Row.Guaranteed.Workers},
            {"accelerators_per_worker", Row.Guaranteed.AcceleratorsPerWorker}}},
          {"data_centres", detail::namesOf(Row.DataCentres)}};
}

} // namespace

parsed_tables parseTables(std::string_view Text) {
  parsed_tables Result;
  json Document;
  try {
    Document = parseJson(Text);
  } catch (const std::length_error &Error) {
    Result.Problems.push_back({"", Error.what()});
    return Result;
  } catch (const json::parse_error &Error) {
    Result.Problems.push_back(
        {"", "is not valid JSON, line " +
                 std::to_string(lineOf(Text, Error.byte))});
    return Result;
  } catch (const json::out_of_range &) {
    Result.Problems.push_back({"", "has a number that is out of range"});
    return Result;
  }
  tables Tables = readDocument(Document, Result.Problems);
  if (Result.Problems.empty())
    Result.Tables = std::move(Tables);
  return Result;
}

void to_json(json &Json, const tables &Tables) {
  Json = {{"version", Tables.Version},    {"author", Tables.Author},
          {"reason", Tables.Reason},      {"edit_token", Tables.EditToken},
          {"routes", json::array()},      {"pools", json::array()},
          {"data_centres", json::array()}};
  for (const route &Row : Tables.Routes)
    Json["routes"].push_back(printRoute(Row));
  for (const pool &Row : Tables.Pools)
    Json["pools"].push_back(printPool(Row));
  for (const data_centre_row &Row : Tables.DataCentres)
    Json["data_centres"].push_back({{"name", Row.Name.Value},
                                    {"region", Row.Region},
                                    {"in_service", Row.IsInService}});
}

std::string printTables(const tables &Tables) { return json(Tables).dump(); }

} // namespace galenastage
