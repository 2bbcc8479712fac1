#pragma once

#include "core/log_event.hpp"

#include <string>

namespace galenastage {

enum class log_format { KeyValue, Json };

/// Sends log lines of this process to standard error from now on.
void startLogging(const std::string &Program, log_format Format);

/// Writes one numbered event. Safe from every thread.
void writeLog(const log_event &Event, const std::vector<log_field> &Fields);
void writeLog(const log_line &Line);

} // namespace galenastage
