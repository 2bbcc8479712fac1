#pragma once

// Index of this file
// [1] Rows
// [2] The document
// [3] Validation
// [4] JSON
// [5] Events

#include "core/types.hpp"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenastage {

// [1] Rows

/// Where requests with a path prefix are sent and how they are handled.
struct route {
  route_id Name;          //
  std::string PathPrefix; // starts with "/"; longest match wins
  service_id Service;     // the upstream service
  pool_id Pool;           // name of a row in pools
  work_class Class = work_class::Ordinary; //
  bool IsIdempotent = true;                // false: runs at most once
  milliseconds Timeout{30'000};            // upper bound for one request
  std::vector<data_centre_id> DataCentres; // empty: every one in service

  friend bool operator==(const route &, const route &) = default;
};

/// The accelerators that a pool can always reclaim: whole workers in one rack.
struct guaranteed_shape {
  int Workers = 0;               // adjacent workers
  int AcceleratorsPerWorker = 8; // on each of these workers

  friend bool operator==(const guaranteed_shape &,
                         const guaranteed_shape &) = default;
};

/// The accelerators that an organisation is guaranteed, and where its jobs may
/// run.
struct pool {
  pool_id Name;                            //
  organisation_id Organisation;            // holder of the guarantee
  guaranteed_shape Guaranteed;             // in each of the data centres
  std::vector<data_centre_id> DataCentres; // empty: every one in service

  friend bool operator==(const pool &, const pool &) = default;
};

/// One data centre and whether it is in service.
struct data_centre_row {
  data_centre_id Name;     //
  std::string Region;      //
  bool IsInService = true; // false: no new task or request starts there

  friend bool operator==(const data_centre_row &,
                         const data_centre_row &) = default;
};

// [2] The document

/// Everything that operators edit. Stored under one key, so that routes and
/// pools always come from the same version.
struct tables {
  std::uint64_t Version = 0; // grows by one with each accepted edit
  std::string Author;        // who made this edit
  std::string Reason;        // why, in the author's words
  std::string EditToken;     // unique to the edit; tells whether an edit
                             // was stored when the answer was lost
  std::vector<route> Routes;
  std::vector<pool> Pools;
  std::vector<data_centre_row> DataCentres;

  friend bool operator==(const tables &, const tables &) = default;
};

/// Returns the pool with this name, or null.
const pool *findPool(const tables &Tables, const pool_id &Name);

/// Returns the row of this data centre, or null.
const data_centre_row *findDataCentre(const tables &Tables,
                                      const data_centre_id &Name);

/// Whether this data centre is listed and in service.
bool isInService(const tables &Tables, const data_centre_id &Name);

/// Whether this data centre is in service and among those permitted; an empty
/// list permits all.
bool isPermitted(const tables &Tables,
                 const std::vector<data_centre_id> &Permitted,
                 const data_centre_id &Name);

// [3] Validation

/// One broken rule: the path of the field, as in "routes[2].pool", and the
/// rule.
struct table_problem {
  std::string Field;
  std::string Rule;

  friend bool operator==(const table_problem &,
                         const table_problem &) = default;
};

/// Returns every rule that these tables break; none means they may be stored.
std::vector<table_problem> validate(const tables &Tables);

// [4] JSON

/// The result of parsing: the tables, or the problems found.
struct parsed_tables {
  std::optional<tables> Tables;
  std::vector<table_problem> Problems;
};

/// Parses tables from JSON text. Unknown fields are problems, because an edit
/// with a misspelt field would otherwise silently have no effect.
parsed_tables parseTables(std::string_view Text);

void to_json(nlohmann::json &Json, const tables &Tables);

/// Prints tables as stored in the key-value service.
std::string printTables(const tables &Tables);

// [5] Events

/// The newest known tables. Sent on each change and on each confirmation that
/// nothing has changed.
struct tables_seen {
  std::shared_ptr<const tables> Tables;
  instant AsOf;                        // no newer tables existed then
  instant OutageAsOf = instant::min(); // no data centre could store an edit
                                       // then; the minimum: not known
};

/// The key that holds the tables.
inline constexpr std::string_view TablesKey = "/galenastage/tables";

/// The key that holds one past version of the tables.
std::string tablesHistoryKey(std::uint64_t Version);

} // namespace galenastage
