#pragma once

#include "core/log_event.hpp"

#include <string>

namespace galenastage {

enum class log_format { KeyValue, Json };

/// Starts logging to standard output. Writing never blocks: a line is dropped
/// and counted when the pipe is full or when its event exceeds its rate limit.
/// A later summary line reports the number of dropped lines by event.
void startLogging(const std::string &Program, log_format Format);

/// Number of lines dropped since the start.
std::uint64_t droppedLogLines();

/// Writes one numbered event. Safe from every thread.
void writeLog(const log_event &Event, const std::vector<log_field> &Fields);
void writeLog(const log_line &Line);

} // namespace galenastage
