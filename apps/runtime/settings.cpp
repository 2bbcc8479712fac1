#include "apps/runtime/settings.hpp"

#include "net/http.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace galenastage {
namespace {

constexpr int ExitUsage = 2;

/// For example GALENASTAGE_DATA_CENTRE for the key data-centre.
std::string environmentName(const std::string &Key) {
  std::string Name = "GALENASTAGE_";
  for (char C : Key)
    Name += C == '-' ? '_' : static_cast<char>(std::toupper(C));
  return Name;
}

bool isOnCommandLine(const std::vector<std::string> &Arguments,
                     const std::string &Flag) {
  return std::ranges::any_of(Arguments, [&](const std::string &Argument) {
    return Argument == Flag || Argument.starts_with(Flag + "=");
  });
}

/// Lists the unknown keys and sections of the file, as in "unknown key bogus";
/// empty when all are known. Needed because CLI11's own message names an
/// unknown section by its internal marker for a section's start.
std::string explainUnknown(const std::string &Path,
                           const std::vector<std::string> &Keys) {
  std::string Explanation;
  std::string LastSection;
  const auto Add = [&](std::initializer_list<std::string_view> Words) {
    Explanation += Explanation.empty() ? "" : ", ";
    for (const std::string_view Word : Words)
      Explanation += Word;
  };
  for (const CLI::ConfigItem &Item : CLI::ConfigINI().from_file(Path)) {
    const bool IsMarker = Item.name == "++" || Item.name == "--";
    if (IsMarker)
      continue;
    const bool IsInSection = !Item.parents.empty();
    if (!IsInSection && std::ranges::find(Keys, Item.name) == Keys.end())
      Add({"unknown key ", Item.name});
    if (IsInSection && Item.parents.front() != LastSection) {
      LastSection = Item.parents.front();
      Add({"unknown section [", LastSection, "] with key ", Item.name});
    }
  }
  return Explanation;
}

constexpr const char *PageFlag = "--print-settings-page";

/// One table row of the settings page.
std::string pageRow(const std::string &Key, const CLI::Option &Option) {
  const std::string Default =
      Option.get_required() ? "required" : "`" + Option.get_default_str() + "`";
  // Removes the variable's name from the end: it has its own column.
  std::string Help = Option.get_description();
  Help.erase(Help.rfind(" ["));
  return "| `" + Key + "` | `" + environmentName(Key) + "` | " +
         Option.get_type_name() + " | " + Default + " | " + Help + " |\n";
}

} // namespace

struct settings_parser::state {
  state(std::string Program, std::string Description)
      : Program(std::move(Program)), App(std::move(Description)) {}

  CLI::Option *add(CLI::Option *Option, const std::string &Key,
                   bool IsRequired) {
    Keys.push_back(Key);
    Option->description(Option->get_description() + " [" +
                        environmentName(Key) + "]");
    if (IsRequired)
      Option->required();
    return Option;
  }

  [[nodiscard]] std::string printPage() const {
    std::string Page = "## " + Program + "\n\n" + App.get_description() +
                       "\n\n| key | environment | value | default | meaning "
                       "|\n|---|---|---|---|---|\n";
    for (const std::string &Key : Keys)
      Page += pageRow(Key, *App.get_option("--" + Key));
    return Page;
  }

  std::string Program;
  CLI::App App;
  bool IsCheckOnly = false;
  bool IsPageWanted = false; // only listed in --help; parse() checks the flag
  std::vector<std::string> Keys;
};

settings_parser::settings_parser(std::string Program, std::string Description)
    : State(
          std::make_unique<state>(std::move(Program), std::move(Description))) {
  CLI::App &App = State->App;
  App.name(State->Program);
  App.set_version_flag("--version", State->Program + " " + GALENASTAGE_VERSION);
  App.set_config("--config", "", "INI file with settings");
  App.allow_config_extras(CLI::config_extras_mode::error);
  App.add_flag("--check-settings", State->IsCheckOnly,
               "check the settings, print them and exit")
      ->configurable(false);
  bool &IsPage = State->IsPageWanted;
  App.add_flag(PageFlag, IsPage, "print the settings as a Markdown page")
      ->configurable(false);
}

settings_parser::~settings_parser() = default;

void settings_parser::text(const std::string &Key, std::string &Target,
                           const std::string &Help, bool IsRequired) {
  State->add(
      State->App.add_option("--" + Key, Target, Help)->capture_default_str(),
      Key, IsRequired);
}

void settings_parser::choice(const std::string &Key, std::string &Target,
                             const std::vector<std::string> &Words,
                             const std::string &Help) {
  State
      ->add(State->App.add_option("--" + Key, Target, Help)
                ->capture_default_str(),
            Key, false)
      ->check(CLI::IsMember(Words));
}

void settings_parser::address(const std::string &Key, std::string &Target,
                              const std::string &Help, bool IsRequired) {
  const CLI::Validator Check(
      [](const std::string &Text) {
        return parseEndpoint(Text)
                   ? std::string()
                   : "'" + Text + "' is not a numeric ADDRESS:PORT";
      },
      "ADDRESS:PORT");
  State
      ->add(State->App.add_option("--" + Key, Target, Help)
                ->capture_default_str(),
            Key, IsRequired)
      ->check(Check);
}

void settings_parser::number(const std::string &Key, int &Target, int Min,
                             int Max, const std::string &Help) {
  State
      ->add(State->App.add_option("--" + Key, Target, Help)
                ->capture_default_str(),
            Key, false)
      ->check(CLI::Range(Min, Max));
}

std::optional<int> settings_parser::parse(int Argc, char **Argv) {
  std::vector<std::string> Arguments(Argv + 1, Argv + Argc);
  if (isOnCommandLine(Arguments, PageFlag)) {
    std::cout << State->printPage();
    return EXIT_SUCCESS;
  }
  for (const std::string &Key : State->Keys) {
    const char *Value = std::getenv(environmentName(Key).c_str());
    if (Value && !isOnCommandLine(Arguments, "--" + Key))
      Arguments.push_back("--" + Key + "=" + Value);
  }
  std::ranges::reverse(Arguments); // CLI11 expects reverse order
  try {
    State->App.parse(Arguments);
  } catch (const CLI::Success &Request) {
    return State->App.exit(Request);
  } catch (const CLI::ParseError &Error) {
    const auto *File = State->App.get_config_ptr();
    std::string Reason = Error.what();
    if (dynamic_cast<const CLI::ConfigError *>(&Error) && File->count() > 0)
      if (std::string Unknown =
              explainUnknown(File->as<std::string>(), State->Keys);
          !Unknown.empty())
        Reason = std::move(Unknown);
    std::cerr << State->Program << ": settings: " << Reason;
    if (File->count() > 0)
      std::cerr << " (file " << File->as<std::string>() << ")";
    std::cerr << "\n";
    return ExitUsage;
  }
  if (!State->IsCheckOnly)
    return std::nullopt;
  std::cout << State->App.config_to_str(true, false);
  return EXIT_SUCCESS;
}

} // namespace galenastage
