#include "apps/ctl/commands.hpp"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <functional>
#include <iostream>

using namespace galenastage;

namespace {

/// Options that apply to every command.
struct global_options {
  std::string Entry = "127.0.0.1:8080";
  std::string Output = "table";
  std::string Author;
  std::string Reason;
  int TimeoutSeconds = 10;
};

using command = std::function<exit_code(const command_context &)>;

/// Arguments of the commands; each command uses some of them.
struct command_arguments {
  std::string File = "-";
  std::string Id;
  std::string Name;
  std::string Organisation;
  std::string IdempotencyKey;
  int LimitSeconds = 60;
  int Version = 0;
  bool IsWatched = false;
  bool IsFollowed = false;
};

CLI::App *addCommand(CLI::App &App, const std::string &Name,
                     const std::string &Help, command &Chosen, command Run) {
  CLI::App *Command = App.add_subcommand(Name, Help);
  Command->callback([&Chosen, Run = std::move(Run)] { Chosen = Run; });
  return Command;
}

void addServiceCommand(CLI::App &App, const std::string &Name,
                       const std::string &Help, bool IsInService,
                       command_arguments &Arguments, command &Chosen) {
  CLI::App *Command = addCommand(
      App, Name, Help, Chosen, [&Arguments, IsInService](const auto &Context) {
        return setDataCentre(Context, Arguments.Name, IsInService,
                             Arguments.IsFollowed);
      });
  Command->add_option("data-centre", Arguments.Name, "name of the data centre")
      ->required();
  Command->add_flag(
      "--follow", Arguments.IsFollowed,
      "wait until every responsive instance uses the new version");
}

void addTableCommands(CLI::App &App, command_arguments &Arguments,
                      command &Chosen) {
  addCommand(App, "get", "print the tables", Chosen, showTables);
  addCommand(
      App, "apply", "replace the tables by a file", Chosen,
      [&](const auto &Context) { return applyTables(Context, Arguments.File); })
      ->add_option("-f,--file", Arguments.File, "JSON file, or - for stdin")
      ->required();
  addCommand(App, "validate", "check a file without storing it", Chosen,
             [&](const auto &Context) {
               return validateTables(Context, Arguments.File);
             })
      ->add_option("-f,--file", Arguments.File, "JSON file, or - for stdin")
      ->required();
  addServiceCommand(App, "drain", "take a data centre out of service", false,
                    Arguments, Chosen);
  addServiceCommand(App, "return", "bring a data centre back into service",
                    true, Arguments, Chosen);
  addCommand(App, "status", "show which version is in force where", Chosen,
             [&](const auto &Context) {
               return showStatus(Context, Arguments.IsWatched);
             })
      ->add_flag("--watch", Arguments.IsWatched, "repeat every second");
  addCommand(
      App, "diff", "show how a file differs from the stored tables", Chosen,
      [&](const auto &Context) { return diffTables(Context, Arguments.File); })
      ->add_option("-f,--file", Arguments.File, "JSON file, or - for stdin")
      ->required();
  addCommand(App, "history", "list the last versions", Chosen, showHistory);
  addCommand(
      App, "rollback", "store the rows of a past version as a new one", Chosen,
      [&](const auto &Context) { return rollBack(Context, Arguments.Version); })
      ->add_option("version", Arguments.Version, "version to restore")
      ->required();
  addCommand(App, "log-events", "print the catalogue of log events", Chosen,
             [](const auto &) { return printLogEvents(); });
}

void addJobCommands(CLI::App &App, command_arguments &Arguments,
                    command &Chosen) {
  CLI::App *Submit = addCommand(
      App, "submit", "submit a job", Chosen, [&](const auto &Context) {
        return submitJob(Context, Arguments.File, Arguments.IdempotencyKey);
      });
  Submit->add_option("-f,--file", Arguments.File, "JSON file, or - for stdin");
  Submit->add_option("--idempotency-key", Arguments.IdempotencyKey,
                     "a repeat with the same key gives the same job");
  addCommand(App, "jobs", "list jobs", Chosen,
             [&](const auto &Context) {
               return listJobs(Context, Arguments.Organisation);
             })
      ->add_option("--organisation", Arguments.Organisation,
                   "only jobs of this organisation");
  addCommand(
      App, "explain", "show the state of a job and what it waits for", Chosen,
      [&](const auto &Context) { return showJob(Context, Arguments.Id); })
      ->add_option("job", Arguments.Id, "job id")
      ->required();
  addCommand(
      App, "cancel", "stop a job", Chosen,
      [&](const auto &Context) { return cancelJob(Context, Arguments.Id); })
      ->add_option("job", Arguments.Id, "job id")
      ->required();
  CLI::App *Wait =
      addCommand(App, "wait", "wait until a job has finished", Chosen,
                 [&](const auto &Context) {
                   return waitForJob(Context, Arguments.Id,
                                     seconds(Arguments.LimitSeconds));
                 });
  Wait->add_option("job", Arguments.Id, "job id")->required();
  Wait->add_option("--limit", Arguments.LimitSeconds, "seconds to wait")
      ->check(CLI::Range(1, 86'400))
      ->capture_default_str();
}

} // namespace

int main(int Argc, char **Argv) {
  global_options Options;
  command_arguments Arguments;
  command Chosen;

  CLI::App App("Operators' command line of galenastage.");
  App.name("galenastagectl");
  App.set_version_flag("--version", "galenastagectl " GALENASTAGE_VERSION);
  App.require_subcommand(0, 1);
  App.fallthrough();
  App.set_config("--config", "", "INI file with these options");
  App.allow_config_extras(CLI::config_extras_mode::error);
  bool IsCheckOnly = false;
  App.add_flag("--check-settings", IsCheckOnly,
               "check the options, print them and exit")
      ->configurable(false);
  App.add_option("--entry", Options.Entry, "entry instance to call")
      ->envname("GALENASTAGE_ENTRY")
      ->capture_default_str();
  App.add_option("--output", Options.Output, "table or json")
      ->check(CLI::IsMember({"table", "json"}))
      ->capture_default_str();
  App.add_option("--author", Options.Author, "who makes an edit")
      ->envname("USER");
  App.add_option("--reason", Options.Reason, "why the edit is made");
  App.add_option("--timeout", Options.TimeoutSeconds, "seconds for one call")
      ->check(CLI::Range(1, 600))
      ->capture_default_str();
  addTableCommands(App, Arguments, Chosen);
  addJobCommands(App, Arguments, Chosen);
  try {
    App.parse(Argc, Argv);
  } catch (const CLI::Success &Request) {
    return App.exit(Request);
  } catch (const CLI::ParseError &Error) {
    App.exit(Error);
    return static_cast<int>(exit_code::Usage);
  }
  if (IsCheckOnly) {
    std::cout << App.config_to_str(true, false);
    return static_cast<int>(exit_code::Success);
  }
  if (!Chosen) {
    std::cerr << "galenastagectl: a command is missing; see --help\n";
    return static_cast<int>(exit_code::Usage);
  }

  const auto Entry = parseEndpoint(Options.Entry);
  if (!Entry) {
    std::cerr << "galenastagectl: --entry must be a numeric ADDRESS:PORT\n";
    return static_cast<int>(exit_code::Usage);
  }
  entry_client Client(*Entry, seconds(Options.TimeoutSeconds));
  const command_context Context{Client, Options.Output == "json",
                                Options.Author, Options.Reason};
  return static_cast<int>(Chosen(Context));
}
