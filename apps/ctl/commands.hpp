#pragma once

#include "apps/ctl/client.hpp"

#include <string>

namespace galenastage {

/// Exit codes of the program.
enum class exit_code : int {
  Success = 0,
  Refused = 1,     // rejected; the reason is on stderr
  Usage = 2,       //
  Unreachable = 3, // no entry instance answered
};

/// Arguments common to all commands.
struct command_context {
  entry_client &Entry;
  bool IsJson = false; // print the response body instead of a table
  std::string Author;
  std::string Reason;
};

exit_code showTables(const command_context &Context);
exit_code applyTables(const command_context &Context, const std::string &File);
exit_code validateTables(const command_context &Context,
                         const std::string &File);
/// With IsFollowed, waits until every responsive instance uses the new version.
exit_code setDataCentre(const command_context &Context, const std::string &Name,
                        bool IsInService, bool IsFollowed);
/// With IsWatched, repeats every second until interrupted.
exit_code showStatus(const command_context &Context, bool IsWatched);
exit_code diffTables(const command_context &Context, const std::string &File);
exit_code showHistory(const command_context &Context);
exit_code rollBack(const command_context &Context, int Version);
exit_code submitJob(const command_context &Context, const std::string &File,
                    const std::string &IdempotencyKey);
exit_code listJobs(const command_context &Context,
                   const std::string &Organisation);
exit_code showJob(const command_context &Context, const std::string &Id);
exit_code cancelJob(const command_context &Context, const std::string &Id);
exit_code waitForJob(const command_context &Context, const std::string &Id,
                     seconds Limit);
exit_code printLogEvents();

} // namespace galenastage
