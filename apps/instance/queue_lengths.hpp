#pragma once

#include "core/job/batch/scheduler.hpp"

#include <map>
#include <string>

namespace galenastage {

/// Serialises queue lengths for the store.
std::string printQueueLengths(const std::vector<batch::queue_length> &Lengths);

/// Empty, with a log line, when the text can't be read.
std::map<route_id, int> parseQueueLengths(const std::string &Text);

} // namespace galenastage
