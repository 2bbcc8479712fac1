#pragma once

#include "core/job/batch/speed.hpp"

#include <string>
#include <vector>

namespace galenastage {

/// Serialises speeds of executors for the store, with the version of the
/// format.
std::string printSpeeds(const std::vector<batch::stored_speed> &Speeds);

/// Empty, with a log line, when the text can't be read or is of another
/// version.
std::vector<batch::stored_speed> parseSpeeds(const std::string &Text);

} // namespace galenastage
