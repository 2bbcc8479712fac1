#pragma once

// Chooses how much capacity is kept free for guaranteed work. Pure functions:
// the time is an argument.

#include "core/job/batch/model.hpp"
#include "core/job/batch/victims.hpp"

namespace galenastage::batch {

struct headroom_settings {
  bool IsEnabled = true;
  milliseconds DecayTime{8'000};    // until a peak of urgent use is forgotten
  milliseconds UpdateInterval{250}; // between changes of what is kept
  milliseconds LogInterval{1'000};  // between log lines about it
  int MarginPercent = 25;           // beyond the peak, for the next arrivals
  milliseconds ShortWork{4'000};    // urgent work beyond guarantees that may
                                    // use kept executors when no other is free
  int MaxSharePercent = 50;         // of the open executors of a service
  // A step that may only run on some executors, or a very wide one, uses kept
  // ones as well after this time. Others could be kept out for ever.
  milliseconds LongestExclusion{5'000};
  victim_settings Victims;

  friend bool operator==(const headroom_settings &,
                         const headroom_settings &) = default;
};

/// Urgent use of one service, in whole executors.
struct urgent_demand {
  double Use = 0;   // now
  double Peak = 0;  // at PeakAt
  instant PeakAt{}; // the last time when use reached the decayed peak

  friend bool operator==(const urgent_demand &,
                         const urgent_demand &) = default;
};

/// Executors of the typical capacity that the use fills, by its scarcest
/// resource; 0 when the capacity isn't known.
double inExecutors(const resources &Use, const resources &Typical);

/// Records a change of use. The peak grows at once.
void recordUse(urgent_demand &Demand, double Use, instant Now,
               const headroom_settings &Settings);

/// The recent peak: it falls linearly to the present use within DecayTime.
double recentPeak(const urgent_demand &Demand, instant Now,
                  const headroom_settings &Settings);

/// Number of executors to keep, those in urgent use included. Guaranteed: the
/// sum of the guarantees that are in use, in executors. Open: executors of the
/// service that may run something.
int countKept(const urgent_demand &Demand, double Guaranteed, int Open,
              instant Now, const headroom_settings &Settings);

} // namespace galenastage::batch
