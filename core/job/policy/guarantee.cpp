#include "core/job/policy/guarantee.hpp"

#include <algorithm>

namespace galenastage {
namespace {

/// Binds pools one after the other. Cells already bound reduce the capacity
/// left for later pools.
class guarantee_binder {
public:
  explicit guarantee_binder(const std::vector<worker_capacity> &Workers) {
    for (const worker_capacity &Worker : Workers) {
      worker_capacity &Row = Rows[Worker.Worker];
      Row = Worker;
      for (pool_use &Use : Row.Pools)
        Use.Guaranteed = 0;
      Racks[Worker.Rack].push_back(&Row);
    }
  }

  /// Keeps an existing binding if its workers still have room for it.
  bool tryKeep(const pool_id &Pool, const guarantee_binding &Binding) {
    for (const worker_id &Worker : Binding.Workers) {
      const auto Row = Rows.find(Worker);
      if (Row == Rows.end() || Row->second.Rack != Binding.Rack ||
          !hasRoom(Row->second, Pool, Binding.Shape))
        return false;
    }
    addBinding(Pool, Binding);
    return true;
  }

  /// Binds the shape to the rack with the fewest suitable workers that still
  /// has enough of them. Returns false if there is none.
  bool tryBind(const pool_id &Pool, const guaranteed_shape &Shape) {
    std::vector<worker_capacity *> Best;
    for (const auto &[Name, Workers] : Racks) {
      std::vector<worker_capacity *> Able;
      for (worker_capacity *Worker : Workers)
        if (hasRoom(*Worker, Pool, Shape))
          Able.push_back(Worker);
      const bool IsEnough = std::ssize(Able) >= Shape.Workers;
      if (IsEnough && (Best.empty() || Able.size() < Best.size()))
        Best = std::move(Able);
    }
    if (Best.empty())
      return false;
    // Workers with the least unguaranteed room first, so that entirely free
    // workers stay available for large shapes.
    std::ranges::stable_sort(Best, {}, [](const worker_capacity *Worker) {
      return unguaranteedRoom(*Worker);
    });
    guarantee_binding Binding{Shape, Best.front()->Rack, {}};
    for (int I = 0; I < Shape.Workers; ++I)
      Binding.Workers.push_back(Best[I]->Worker);
    addBinding(Pool, Binding);
    return true;
  }

  guarantee_plan Plan;

private:
  static bool hasRoom(const worker_capacity &Worker, const pool_id &Pool,
                      const guaranteed_shape &Shape) {
    worker_capacity Trial = Worker;
    cellOf(Trial, Pool).Guaranteed += Shape.AcceleratorsPerWorker;
    return unguaranteedRoom(Trial) >= 0;
  }

  static pool_use &cellOf(worker_capacity &Worker, const pool_id &Pool) {
    const auto Found = std::ranges::find(Worker.Pools, Pool, &pool_use::Pool);
    if (Found != Worker.Pools.end())
      return *Found;
    return Worker.Pools.emplace_back(pool_use{Pool, 0, 0});
  }

  void addBinding(const pool_id &Pool, const guarantee_binding &Binding) {
    for (const worker_id &Worker : Binding.Workers)
      cellOf(Rows.at(Worker), Pool).Guaranteed +=
          Binding.Shape.AcceleratorsPerWorker;
    Plan.Bindings[Pool] = Binding;
  }

  std::map<worker_id, worker_capacity> Rows;
  std::map<rack_id, std::vector<worker_capacity *>> Racks;
};

/// Pools with a guarantee in this data centre, largest shape first.
std::vector<const pool *> guaranteedPools(const tables &Tables,
                                          const data_centre_id &DataCentre) {
  std::vector<const pool *> Pools;
  for (const pool &Pool : Tables.Pools) {
    const bool IsHere = Pool.DataCentres.empty() ||
                        std::ranges::find(Pool.DataCentres, DataCentre) !=
                            Pool.DataCentres.end();
    if (IsHere && Pool.Guaranteed.Workers > 0)
      Pools.push_back(&Pool);
  }
  std::ranges::sort(Pools, {}, [](const pool *Pool) {
    const guaranteed_shape &Shape = Pool->Guaranteed;
    return std::tuple(-Shape.Workers * Shape.AcceleratorsPerWorker,
                      -Shape.Workers, Pool->Name);
  });
  return Pools;
}

guarantee_plan bindAll(const std::vector<const pool *> &Pools,
                       const std::vector<worker_capacity> &Workers,
                       const guarantee_plan &Kept) {
  guarantee_binder Binder(Workers);
  std::vector<const pool *> Unbound;
  for (const pool *Pool : Pools) {
    const auto Old = Kept.Bindings.find(Pool->Name);
    const bool IsKept = Old != Kept.Bindings.end() &&
                        Old->second.Shape == Pool->Guaranteed &&
                        Binder.tryKeep(Pool->Name, Old->second);
    if (!IsKept)
      Unbound.push_back(Pool);
  }
  for (const pool *Pool : Unbound)
    if (!Binder.tryBind(Pool->Name, Pool->Guaranteed))
      Binder.Plan.Unmet.push_back(Pool->Name);
  std::ranges::sort(Binder.Plan.Unmet);
  return std::move(Binder.Plan);
}

} // namespace

guarantee_plan bindGuarantees(const tables &Tables,
                              const data_centre_id &DataCentre,
                              const std::vector<worker_capacity> &Workers,
                              const guarantee_plan &Previous) {
  const std::vector<const pool *> Pools = guaranteedPools(Tables, DataCentre);
  guarantee_plan Plan = bindAll(Pools, Workers, Previous);
  if (Plan.Unmet.empty() || Previous.Bindings.empty())
    return Plan;
  guarantee_plan Fresh = bindAll(Pools, Workers, {});
  return Fresh.Unmet.size() < Plan.Unmet.size() ? Fresh : Plan;
}

std::map<worker_id, std::vector<pool_use>>
cellsByWorker(const guarantee_plan &Plan) {
  std::map<worker_id, std::vector<pool_use>> Cells;
  for (const auto &[Pool, Binding] : Plan.Bindings)
    for (const worker_id &Worker : Binding.Workers)
      Cells[Worker].push_back({Pool, Binding.Shape.AcceleratorsPerWorker, 0});
  return Cells;
}

} // namespace galenastage
