#pragma once

// Tasks that crash the executors that start them. A task whose executor crashed
// right after its start is blamed for it. While it is a suspect it runs alone,
// and it is given up after a few crashes. Pure functions on counts that are
// stored with the progress of a job.

#include "core/types.hpp"

#include <vector>

namespace galenastage::batch {

struct crash_settings {
  // A run that lived longer is not the likely cause of a crash.
  milliseconds Probation{500};
  // Executors that fall silent within this time have a common cause.
  milliseconds OutageWindow{250};
  int OutageExecutors = 2;          // of other jobs, that make it an outage
  milliseconds ForgetAfter{60'000}; // a run that lived so long clears its task
  int MaxBlamed = 3;                // given up once it is blamed for so many
  int MaxBlamedOf = 4;              // out of at least so many crashes
  int MaxCrashes = 5;               // given up whether blamed or not
  int MaxSuspectShare = 10;         // percent of the executors, at once
  int MaxSuspectsOfJob = 2;         // at once
  milliseconds AloneWait{5'000};    // for an executor of its own

  friend bool operator==(const crash_settings &,
                         const crash_settings &) = default;
};

/// Executors that crashed while they ran one task.
struct crash_record {
  int Crashes = 0;
  int Blamed = 0; // of them, right after the task had started

  friend bool operator==(const crash_record &, const crash_record &) = default;
};

/// Whether the task may crash the next executor as well.
bool isSuspect(const crash_record &Record);

/// Whether the task has crashed so many executors that it isn't started again.
bool isGivenUp(const crash_record &Record, const crash_settings &Settings);

} // namespace galenastage::batch
