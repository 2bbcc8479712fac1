#include "core/log_event.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

using namespace galenastage;

namespace {

std::filesystem::path repository() { return GALENASTAGE_SOURCE_DIR; }

std::string readFile(const std::filesystem::path &Path) {
  std::ifstream Stream(Path);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

/// Declarations of log events in core/log_event.hpp.
std::set<std::string> declaredEvents() {
  std::istringstream Header(readFile(repository() / "core/log_event.hpp"));
  const std::string Start = "extern const log_event ";
  std::set<std::string> Names;
  std::string Line;
  while (std::getline(Header, Line))
    if (Line.starts_with(Start))
      Names.insert(Line.substr(Start.size()));
  return Names;
}

} // namespace

TEST_CASE("docs/LOG-EVENTS.md is what the catalogue prints") {
  CHECK(readFile(repository() / "docs/LOG-EVENTS.md") == printLogCatalogue());
}

TEST_CASE("every declared log event is in the catalogue") {
  CHECK(declaredEvents().size() == logCatalogue().size());
}

TEST_CASE("the number and the name of a log event are unique") {
  std::set<int> Numbers;
  std::set<std::string_view> Names;
  for (const log_event *Event : logCatalogue()) {
    INFO(Event->Number << " " << Event->Name);
    CHECK(Numbers.insert(Event->Number).second);
    CHECK(Names.insert(Event->Name).second);
    CHECK_FALSE(Event->Meaning.empty());
    CHECK_FALSE(Event->Action.empty());
  }
}
