#pragma once

// Guaranteed shapes as cells bound to concrete workers.
//
// Each pool's shape is bound to workers of one rack. A binding holds as long as
// its workers do: work that can't be stopped never takes a cell of another
// pool, so what else runs there can be stopped and the shape is free again.

#include "core/config/tables.hpp"
#include "core/job/placement.hpp"

#include <map>
#include <vector>

namespace galenastage {

/// The workers that keep one pool's guaranteed shape.
struct guarantee_binding {
  guaranteed_shape Shape;
  rack_id Rack;
  std::vector<worker_id> Workers;

  friend bool operator==(const guarantee_binding &,
                         const guarantee_binding &) = default;
};

/// The reclaim plan of every pool of one data centre.
struct guarantee_plan {
  std::map<pool_id, guarantee_binding> Bindings;
  std::vector<pool_id> Unmet; // pools that no rack can hold now, by name

  friend bool operator==(const guarantee_plan &,
                         const guarantee_plan &) = default;
};

/// Binds every pool that has a guarantee in this data centre. Bindings of the
/// previous plan are kept where they still hold; if that leaves a pool unmet,
/// all are bound anew and the better plan is returned. Workers carry their
/// unstoppable work; any guarantees in them are ignored.
guarantee_plan bindGuarantees(const tables &Tables,
                              const data_centre_id &DataCentre,
                              const std::vector<worker_capacity> &Workers,
                              const guarantee_plan &Previous);

/// The cells of a plan, by worker.
std::map<worker_id, std::vector<pool_use>>
cellsByWorker(const guarantee_plan &Plan);

} // namespace galenastage
