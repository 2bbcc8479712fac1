#include "core/config/tables.hpp"

#include <algorithm>
#include <set>

namespace galenastage {
namespace {

constexpr int MaxGuaranteedWorkers = 1'024;
constexpr int MaxAcceleratorsPerWorker = 64;
constexpr milliseconds MaxRouteTimeout{3'600'000};

class problem_list {
public:
  explicit problem_list(std::vector<table_problem> &Problems)
      : Problems(Problems) {}

  void require(bool Holds, const std::string &Field, const std::string &Rule) {
    if (!Holds)
      Problems.push_back({Field, Rule});
  }

private:
  std::vector<table_problem> &Problems;
};

std::string fieldOf(std::string_view Table, std::size_t Index,
                    std::string_view Field) {
  return std::string(Table) + "[" + std::to_string(Index) + "]." +
         std::string(Field);
}

void checkDataCentreList(const tables &Tables,
                         const std::vector<data_centre_id> &List,
                         const std::string &Field, problem_list &Problems) {
  for (const data_centre_id &Name : List)
    Problems.require(findDataCentre(Tables, Name) != nullptr, Field,
                     "no data centre is called '" + Name.Value + "'");
}

/// "/tiles" and "/tiles/" match the same paths, except for "/tiles" itself.
std::string withoutFinalSlash(std::string Prefix) {
  if (Prefix.size() > 1 && Prefix.ends_with('/'))
    Prefix.pop_back();
  return Prefix;
}

void checkRoutes(const tables &Tables, problem_list &Problems) {
  std::set<route_id> Names;
  std::set<std::string> Prefixes;
  for (std::size_t I = 0; I < Tables.Routes.size(); ++I) {
    const route &Row = Tables.Routes[I];
    Problems.require(!Row.Name.isEmpty(), fieldOf("routes", I, "name"),
                     "must not be empty");
    Problems.require(Names.insert(Row.Name).second,
                     fieldOf("routes", I, "name"), "must be unique");
    Problems.require(Row.PathPrefix.starts_with("/"),
                     fieldOf("routes", I, "path_prefix"), "must start with /");
    Problems.require(Prefixes.insert(withoutFinalSlash(Row.PathPrefix)).second,
                     fieldOf("routes", I, "path_prefix"),
                     "another route has the same prefix");
    Problems.require(!Row.Service.isEmpty(), fieldOf("routes", I, "service"),
                     "must not be empty");
    Problems.require(findPool(Tables, Row.Pool) != nullptr,
                     fieldOf("routes", I, "pool"),
                     "no pool is called '" + Row.Pool.Value + "'");
    Problems.require(
        Row.Timeout > milliseconds(0) && Row.Timeout <= MaxRouteTimeout,
        fieldOf("routes", I, "timeout_ms"), "must lie in [1, 3600000]");
    checkDataCentreList(Tables, Row.DataCentres,
                        fieldOf("routes", I, "data_centres"), Problems);
  }
}

void checkPools(const tables &Tables, problem_list &Problems) {
  std::set<pool_id> Names;
  for (std::size_t I = 0; I < Tables.Pools.size(); ++I) {
    const pool &Row = Tables.Pools[I];
    Problems.require(!Row.Name.isEmpty(), fieldOf("pools", I, "name"),
                     "must not be empty");
    Problems.require(Names.insert(Row.Name).second, fieldOf("pools", I, "name"),
                     "must be unique");
    Problems.require(!Row.Organisation.isEmpty(),
                     fieldOf("pools", I, "organisation"), "must not be empty");
    Problems.require(Row.Guaranteed.Workers >= 0 &&
                         Row.Guaranteed.Workers <= MaxGuaranteedWorkers,
                     fieldOf("pools", I, "guaranteed.workers"),
                     "must lie in [0, 1024]");
    Problems.require(Row.Guaranteed.AcceleratorsPerWorker >= 1 &&
                         Row.Guaranteed.AcceleratorsPerWorker <=
                             MaxAcceleratorsPerWorker,
                     fieldOf("pools", I, "guaranteed.accelerators_per_worker"),
                     "must lie in [1, 64]");
    checkDataCentreList(Tables, Row.DataCentres,
                        fieldOf("pools", I, "data_centres"), Problems);
  }
}

void checkDataCentres(const tables &Tables, problem_list &Problems) {
  std::set<data_centre_id> Names;
  for (std::size_t I = 0; I < Tables.DataCentres.size(); ++I) {
    const data_centre_row &Row = Tables.DataCentres[I];
    Problems.require(!Row.Name.isEmpty(), fieldOf("data_centres", I, "name"),
                     "must not be empty");
    Problems.require(Names.insert(Row.Name).second,
                     fieldOf("data_centres", I, "name"), "must be unique");
  }
}

} // namespace

const pool *findPool(const tables &Tables, const pool_id &Name) {
  for (const pool &Row : Tables.Pools)
    if (Row.Name == Name)
      return &Row;
  return nullptr;
}

const data_centre_row *findDataCentre(const tables &Tables,
                                      const data_centre_id &Name) {
  for (const data_centre_row &Row : Tables.DataCentres)
    if (Row.Name == Name)
      return &Row;
  return nullptr;
}

bool isInService(const tables &Tables, const data_centre_id &Name) {
  const data_centre_row *Row = findDataCentre(Tables, Name);
  return Row && Row->IsInService;
}

bool isPermitted(const tables &Tables,
                 const std::vector<data_centre_id> &Permitted,
                 const data_centre_id &Name) {
  if (!isInService(Tables, Name))
    return false;
  return Permitted.empty() ||
         std::ranges::find(Permitted, Name) != Permitted.end();
}

std::string tablesHistoryKey(std::uint64_t Version) {
  // Zero-padded, so that keys sort by version.
  std::string Number = std::to_string(Version);
  Number.insert(0, 12 - std::min<std::size_t>(12, Number.size()), '0');
  return "/galenastage/history/" + Number;
}

std::vector<table_problem> validate(const tables &Tables) {
  std::vector<table_problem> Found;
  problem_list Problems(Found);
  checkDataCentres(Tables, Problems);
  checkPools(Tables, Problems);
  checkRoutes(Tables, Problems);
  return Found;
}

} // namespace galenastage
