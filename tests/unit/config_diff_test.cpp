#include "core/config/tables_diff.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;

namespace {

tables sample() {
  tables Tables;
  Tables.Version = 3;
  Tables.DataCentres = {{data_centre_id("a"), "north", true},
                        {data_centre_id("b"), "north", true}};
  pool Pool;
  Pool.Name = pool_id("budgets");
  Pool.Organisation = organisation_id("council");
  Tables.Pools = {Pool};
  route Route;
  Route.Name = route_id("tiles");
  Route.PathPrefix = "/tiles";
  Route.Service = service_id("portal-core");
  Route.Pool = Pool.Name;
  Tables.Routes = {Route};
  return Tables;
}

} // namespace

TEST_CASE("equal rows in another order or version don't differ") {
  tables Other = sample();
  Other.Version = 9;
  Other.Author = "someone";
  std::swap(Other.DataCentres[0], Other.DataCentres[1]);
  CHECK(diffTables(sample(), Other).empty());
}

TEST_CASE("a difference names the row and the fields") {
  tables After = sample();
  After.DataCentres[0].IsInService = false;
  After.Routes.clear();
  After.Pools[0].Guaranteed.Workers = 2;
  After.DataCentres.push_back({data_centre_id("c"), "north", true});
  const std::vector<row_change> Expected = {
      {"data_centres",
       "a",
       change_kind::Changed,
       {{"in_service", "true", "false"}}},
      {"data_centres", "c", change_kind::Added, {}},
      {"pools",
       "budgets",
       change_kind::Changed,
       {{"guaranteed", R"({"accelerators_per_worker":8,"workers":0})",
         R"({"accelerators_per_worker":8,"workers":2})"}}},
      {"routes", "tiles", change_kind::Removed, {}}};
  CHECK(diffTables(sample(), After) == Expected);
}

TEST_CASE("a JSON syntax error is reported with its line") {
  const auto Parsed = parseTables("{\n  \"routes\": [\n  oops\n]}");
  REQUIRE(Parsed.Problems.size() == 1);
  CHECK(Parsed.Problems.front().Rule == "is not valid JSON, line 3");
}

TEST_CASE("prefixes that differ by a final slash are ambiguous") {
  tables Tables = sample();
  route Twin = Tables.Routes.front();
  Twin.Name = route_id("twin");
  Twin.PathPrefix = "/tiles/";
  Tables.Routes.push_back(Twin);
  const std::vector<table_problem> Expected = {
      {"routes[1].path_prefix", "another route has the same prefix"}};
  CHECK(validate(Tables) == Expected);
}
