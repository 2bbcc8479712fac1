#pragma once

#include "core/types.hpp"

#include <string_view>
#include <variant>

namespace galenastage {

/// Places jobs in order of arrival on the first workers that fit. A job that
/// doesn't fit holds back those behind it. A baseline for measurements.
struct first_fit {
  friend bool operator==(const first_fit &, const first_fit &) = default;
};

/// Places jobs in order of arrival on the tightest workers. Behind a job that
/// doesn't fit, others start when their declared run times end before it could
/// (EASY backfill). A baseline for measurements.
struct best_fit_backfill {
  friend bool operator==(const best_fit_backfill &,
                         const best_fit_backfill &) = default;
};

/// Keeps guaranteed shapes reclaimable, lends what isn't used, orders by class
/// and fair share, and opens shapes by moving checkpointable work. What the
/// product uses.
struct guaranteed_sharing {
  seconds PromotePatientAfter{4 * 3'600}; // then it ranks as ordinary work
  double FairnessWeight = 8; // of an organisation's share of the fleet
  double SizeExponent = 0.5; // how much a large job's wait counts less
  seconds MoveAfter{120};    // a job waits this long before others are moved
  seconds MoveInterval{30};  // between two searches for one job
  seconds MinRunBeforeMove{600};   // a gang runs this long before it is moved
  seconds ReserveAfter{4 * 3'600}; // a blocked job gets workers kept for it
  seconds ReservationLife{1'800};  // then the workers are chosen anew
  double BackfillShare =
      0.95;                // of like jobs must end before the reserved start
  int SearchesPerPass = 8; // for gangs to stop, in one pass
  int DepartureGangsPerPass = 16; // gangs checkpointed in one pass

  friend bool operator==(const guaranteed_sharing &,
                         const guaranteed_sharing &) = default;
};

/// How waiting jobs are ordered and placed.
using placement_strategy =
    std::variant<guaranteed_sharing, first_fit, best_fit_backfill>;

/// "galenastage", "first-fit" or "best-fit-backfill".
std::string_view name(const placement_strategy &Strategy);

} // namespace galenastage
