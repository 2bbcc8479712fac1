#pragma once

// Binding of guaranteed shapes to concrete workers.
//
// Each pool's shape is bound to workers of one rack; the accelerators bound on
// one worker are the pool's cell. A binding is kept as long as its workers are
// usable. Unstoppable work is never placed on a cell of another pool, so all
// foreign work there can be stopped to reclaim the shape.

#include "core/config/tables.hpp"
#include "core/job/placement.hpp"

#include <map>
#include <vector>

namespace galenastage {

/// The workers to which one pool's guaranteed shape is bound.
struct guarantee_binding {
  guaranteed_shape Shape;
  rack_id Rack;
  std::vector<worker_id> Workers;

  friend bool operator==(const guarantee_binding &,
                         const guarantee_binding &) = default;
};

/// The guarantee bindings of all pools of one data centre.
struct guarantee_plan {
  std::map<pool_id, guarantee_binding> Bindings;
  std::vector<pool_id> Unmet; // pools that fit on no rack now, sorted by name

  friend bool operator==(const guarantee_plan &,
                         const guarantee_plan &) = default;
};

/// Binds every pool that has a guarantee in this data centre. Bindings of the
/// previous plan are kept where they are still valid. If that leaves a pool
/// unmet, all pools are bound again from scratch, and that plan is returned if
/// it leaves fewer pools unmet. The unstoppable work in Workers is respected;
/// guarantees in them are ignored.
guarantee_plan bindGuarantees(const tables &Tables,
                              const data_centre_id &DataCentre,
                              const std::vector<worker_capacity> &Workers,
                              const guarantee_plan &Previous);

/// The cells of a plan, grouped by worker.
std::map<worker_id, std::vector<pool_use>>
cellsByWorker(const guarantee_plan &Plan);

} // namespace galenastage
