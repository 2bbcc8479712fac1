#pragma once

#include "apps/runtime/metric_registry.hpp"
#include "core/types.hpp"

namespace galenastage {

/// Counts and latencies of the requests that this process answered, by
/// organisation and class. Thread-safe.
class request_metrics {
public:
  request_metrics();

  void add(const organisation_id &Organisation, work_class Class,
           verdict Verdict, unsigned Status, int Tries, milliseconds Took);

  /// The Prometheus text format, version 0.0.4.
  [[nodiscard]] std::string print() const { return Registry.print(); }

private:
  metric_registry Registry;
};

} // namespace galenastage
