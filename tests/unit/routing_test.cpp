#include "core/request/routing.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;

namespace {

tables tablesWithPrefixes(std::initializer_list<const char *> Prefixes) {
  tables Tables;
  for (const char *Prefix : Prefixes) {
    route Row;
    Row.Name = route_id(Prefix);
    Row.PathPrefix = Prefix;
    Tables.Routes.push_back(Row);
  }
  return Tables;
}

std::string matchedName(const tables &Tables, std::string_view Path) {
  const route *Route = matchRoute(Tables, Path);
  return Route ? Route->Name.Value : "";
}

} // namespace

TEST_CASE("the longest prefix of whole segments wins") {
  const tables Tables = tablesWithPrefixes({"/tiles", "/tiles/urgent"});
  CHECK(matchedName(Tables, "/tiles/7") == "/tiles");
  CHECK(matchedName(Tables, "/tiles/urgent/7") == "/tiles/urgent");
  CHECK(matchedName(Tables, "/tilesets") == "");
  CHECK(matchedName(Tables, "/") == "");
}

TEST_CASE("the shares of all members add up to the slots") {
  for (int Count = 1; Count <= 12; ++Count) {
    std::vector<instance_id> Members;
    for (int I = 0; I < Count; ++I)
      Members.emplace_back("entry-" + std::to_string(I));
    for (int E = 0; E < 50; ++E) {
      const executor_id Executor("executor-" + std::to_string(E));
      int Sum = 0;
      for (const instance_id &Member : Members)
        Sum += slotShare(Executor, Member, Members, 8);
      CHECK(Sum == 8);
    }
  }
}

TEST_CASE("idle and busy connections of all members stay below the limit") {
  for (int Members = 1; Members <= 12; ++Members)
    for (int Threads = 1; Threads <= 16; ++Threads) {
      const int Idle = idleConnectionShare(64, 8, Members, Threads);
      const int OwnSlots = (8 + Members - 1) / Members;
      CAPTURE(Members, Threads);
      CHECK(Idle >= 0);
      CHECK(Members * (Idle * Threads + OwnSlots) <= 64);
    }
}
