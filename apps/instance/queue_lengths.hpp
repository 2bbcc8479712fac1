#pragma once

#include "core/job/batch/scheduler.hpp"

#include <map>
#include <string>

namespace galenastage {

/// The published lengths of queues, as stored.
std::string printQueueLengths(const std::vector<batch::queue_length> &Lengths);

/// Empty when the text can't be read, with a log line that says so.
std::map<route_id, int> parseQueueLengths(const std::string &Text);

} // namespace galenastage
