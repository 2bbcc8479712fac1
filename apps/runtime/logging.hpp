#pragma once

#include "core/log_event.hpp"

#include <string>

namespace galenastage {

enum class log_format { KeyValue, Json };

/// Sends log lines of this process to standard output from now on. Writing
/// never blocks: a line that the reader has no room for is left out and
/// counted, and so is one whose kind comes too often. A line says so later.
void startLogging(const std::string &Program, log_format Format);

/// Lines left out since the start.
std::uint64_t droppedLogLines();

/// Writes one numbered event. Safe from every thread.
void writeLog(const log_event &Event, const std::vector<log_field> &Fields);
void writeLog(const log_line &Line);

} // namespace galenastage
