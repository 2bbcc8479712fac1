#include "apps/runtime/settings.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace galenastage;

namespace {

/// A settings file that is removed when the test ends.
class settings_file {
public:
  explicit settings_file(const std::string &Text)
      : Path(std::filesystem::temp_directory_path() /
             ("galenastage-settings-" + std::to_string(getpid()) + ".ini")) {
    std::ofstream(Path) << Text;
  }
  ~settings_file() { std::filesystem::remove(Path); }

  [[nodiscard]] std::string path() const { return Path.string(); }

private:
  std::filesystem::path Path;
};

struct parse_outcome {
  std::optional<int> ExitCode;
  std::string Errors;
  std::string Name;
  int Threads = 2;
};

parse_outcome parse(std::vector<std::string> Arguments) {
  parse_outcome Outcome;
  settings_parser Parser("program", "A program.");
  Parser.text("name", Outcome.Name, "its name", true);
  Parser.number("threads", Outcome.Threads, 1, 64, "how many");
  Arguments.insert(Arguments.begin(), "program");
  std::vector<char *> Argv;
  for (std::string &Argument : Arguments)
    Argv.push_back(Argument.data());
  std::ostringstream Errors;
  std::streambuf *Saved = std::cerr.rdbuf(Errors.rdbuf());
  Outcome.ExitCode = Parser.parse(static_cast<int>(Argv.size()), Argv.data());
  std::cerr.rdbuf(Saved);
  Outcome.Errors = Errors.str();
  return Outcome;
}

} // namespace

TEST_CASE(
    "settings: flags override the environment, which overrides the file") {
  const settings_file File("name = from-file\nthreads = 3\n");
  const parse_outcome FromFile = parse({"--config", File.path()});
  CHECK_FALSE(FromFile.ExitCode);
  CHECK(FromFile.Name == "from-file");
  CHECK(FromFile.Threads == 3);

  setenv("GALENASTAGE_THREADS", "4", 1);
  CHECK(parse({"--config", File.path()}).Threads == 4);
  CHECK(parse({"--config", File.path(), "--threads", "5"}).Threads == 5);
  unsetenv("GALENASTAGE_THREADS");
}

TEST_CASE("settings: an error names the key and the file") {
  struct bad_case {
    const char *Text;
    std::vector<const char *> Named;
  };
  const std::vector<bad_case> Cases = {
      {"name = a\nbogus = 1\n", {"unknown key bogus"}},
      {"name = a\n[nonsense]\nodd = 1\n",
       {"unknown section [nonsense]", "odd"}},
      {"name = a\n[nonsense]\nname = b\n", {"[nonsense]", "name"}},
      {"name = a\nthreads = 300\n", {"threads", "1 to 64"}},
      {"name = a\nthreads = many\n", {"threads", "many"}},
      {"threads = 3\n", {"name"}},
  };
  for (const bad_case &Case : Cases) {
    const settings_file File(Case.Text);
    const parse_outcome Outcome =
        parse({"--config", File.path(), "--check-settings"});
    CHECK(Outcome.ExitCode == 2);
    CHECK(Outcome.Errors.find(File.path()) != std::string::npos);
    for (const char *Word : Case.Named) {
      INFO(Case.Text << "-> " << Outcome.Errors);
      CHECK(Outcome.Errors.find(Word) != std::string::npos);
    }
  }
}
