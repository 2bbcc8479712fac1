#include "core/config/tables_diff.hpp"

#include <nlohmann/json.hpp>

#include <map>

namespace galenastage {
namespace {

using nlohmann::json;
using rows_by_name = std::map<std::string, json>;

rows_by_name rowsOf(const json &Document, const char *Table) {
  rows_by_name Rows;
  for (const json &Row : Document.at(Table))
    Rows[Row.at("name").get<std::string>()] = Row;
  return Rows;
}

std::vector<field_change> diffFields(const json &Before, const json &After) {
  std::vector<field_change> Fields;
  for (const auto &[Field, Value] : After.items())
    if (Before.at(Field) != Value)
      Fields.push_back({Field, Before.at(Field).dump(), Value.dump()});
  return Fields;
}

void diffRows(const char *Table, const rows_by_name &Before,
              const rows_by_name &After, std::vector<row_change> &Changes) {
  for (const auto &[Name, Row] : Before)
    if (!After.contains(Name))
      Changes.push_back({Table, Name, change_kind::Removed, {}});
  for (const auto &[Name, Row] : After) {
    const auto Old = Before.find(Name);
    if (Old == Before.end())
      Changes.push_back({Table, Name, change_kind::Added, {}});
    else if (Old->second != Row)
      Changes.push_back(
          {Table, Name, change_kind::Changed, diffFields(Old->second, Row)});
  }
}

} // namespace

std::string_view name(change_kind Kind) {
  switch (Kind) {
  case change_kind::Added:
    return "added";
  case change_kind::Removed:
    return "removed";
  case change_kind::Changed:
    break;
  }
  return "changed";
}

std::vector<row_change> diffTables(const tables &Before, const tables &After) {
  const json Old = Before;
  const json New = After;
  std::vector<row_change> Changes;
  for (const char *Table : {"data_centres", "pools", "routes"})
    diffRows(Table, rowsOf(Old, Table), rowsOf(New, Table), Changes);
  return Changes;
}

void to_json(json &Json, const row_change &Change) {
  Json = {{"table", Change.Table},
          {"row", Change.Row},
          {"change", name(Change.Kind)},
          {"fields", json::array()}};
  for (const field_change &Field : Change.Fields)
    Json["fields"].push_back({{"field", Field.Field},
                              {"before", json::parse(Field.Before)},
                              {"after", json::parse(Field.After)}});
}

} // namespace galenastage
