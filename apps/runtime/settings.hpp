#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenastage {

/// Reads a program's settings from an INI file, the environment and the command
/// line, in increasing order of precedence. An unknown key, a missing required
/// key or an invalid value is an error that names the key.
class settings_parser {
public:
  settings_parser(std::string Program, std::string Description);
  ~settings_parser();
  settings_parser(const settings_parser &) = delete;
  settings_parser &operator=(const settings_parser &) = delete;

  /// A text setting. Required settings have no default.
  void text(const std::string &Key, std::string &Target,
            const std::string &Help, bool IsRequired = false);

  /// A text setting that must be one of the given words.
  void choice(const std::string &Key, std::string &Target,
              const std::vector<std::string> &Words, const std::string &Help);

  /// A numeric IP address and port, for example 127.0.0.1:8080.
  void address(const std::string &Key, std::string &Target,
               const std::string &Help, bool IsRequired = false);

  /// A whole number within [Min, Max].
  void number(const std::string &Key, int &Target, int Min, int Max,
              const std::string &Help);

  /// Reads all settings. Returns an exit code if the program should exit
  /// immediately: after --help, --version, --check-settings,
  /// --print-settings-page or an error.
  std::optional<int> parse(int Argc, char **Argv);

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace galenastage
