#include "core/job/batch/crashes.hpp"

namespace galenastage::batch {

bool isSuspect(const crash_record &Record) { return Record.Blamed > 0; }

bool isGivenUp(const crash_record &Record, const crash_settings &Settings) {
  const bool IsCause = Record.Blamed >= Settings.MaxBlamed &&
                       Record.Crashes >= Settings.MaxBlamedOf;
  return IsCause || Record.Crashes >= Settings.MaxCrashes;
}

} // namespace galenastage::batch
