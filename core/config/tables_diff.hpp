#pragma once

#include "core/config/tables.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace galenastage {

enum class change_kind { Added, Removed, Changed };

std::string_view name(change_kind Kind);

/// One field of a row with its values as JSON text.
struct field_change {
  std::string Field;
  std::string Before;
  std::string After;

  friend bool operator==(const field_change &, const field_change &) = default;
};

/// One row that differs between two versions. Rows are matched by name; their
/// order is ignored.
struct row_change {
  std::string Table; // name of the table in the document, as "routes"
  std::string Row;   // name of the row
  change_kind Kind = change_kind::Changed;
  std::vector<field_change> Fields; // only for a changed row

  friend bool operator==(const row_change &, const row_change &) = default;
};

/// The changes from one version to the other. Version, author, reason and edit
/// token aren't compared.
std::vector<row_change> diffTables(const tables &Before, const tables &After);

void to_json(nlohmann::json &Json, const row_change &Change);

} // namespace galenastage
