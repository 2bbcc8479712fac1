#pragma once

#include "core/types.hpp"

#include <string_view>
#include <variant>

namespace galenastage {

/// Places jobs in order of arrival on the first workers that fit. A job that
/// doesn't fit blocks all later ones. A baseline for measurements.
struct first_fit {
  friend bool operator==(const first_fit &, const first_fit &) = default;
};

/// EASY backfill: places jobs in order of arrival on the best-fitting workers.
/// After the first job that doesn't fit, later jobs are started if by their
/// declared run times they don't delay it. A baseline for measurements.
struct best_fit_backfill {
  friend bool operator==(const best_fit_backfill &,
                         const best_fit_backfill &) = default;
};

/// The production strategy. Keeps guaranteed shapes reclaimable, lends their
/// unused accelerators to other pools, orders jobs by class and fair share, and
/// defragments by moving checkpointable gangs.
struct guaranteed_sharing {
  seconds PromotePatientAfter{4 * 3'600}; // then ranked as ordinary
  double FairnessWeight = 8;     // of the organisation's share, in the rank
  double SizeExponent = 0.5;     // of the accelerators; 0: size doesn't matter
  seconds MoveAfter{120};        // wait of a job before others are moved for it
  seconds MoveInterval{30};      // between two eviction searches for one job
  seconds MinRunBeforeMove{600}; // of a gang, before it may be moved
  seconds ReserveAfter{4 * 3'600}; // wait of a blocked job before a reservation
  seconds ReservationLifetime{1'800}; // then other workers may be chosen
  /// Share of similar jobs that must end before the reserved start.
  double BackfillShare = 0.95;
  int SearchesPerPass = 8;      // eviction searches in one placement pass
  int DrainedGangsPerPass = 16; // checkpointed when out of service

  friend bool operator==(const guaranteed_sharing &,
                         const guaranteed_sharing &) = default;
};

/// How waiting jobs are ordered and placed.
using placement_strategy =
    std::variant<guaranteed_sharing, first_fit, best_fit_backfill>;

/// "galenastage", "first-fit" or "best-fit-backfill".
std::string_view name(const placement_strategy &Strategy);

} // namespace galenastage
