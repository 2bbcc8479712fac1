#pragma once

#include "apps/runtime/metric_registry.hpp"
#include "core/job/batch/scheduler.hpp"
#include "net/http.hpp"

#include <set>

namespace galenastage {

/// Metrics of one instance: client requests and, while it leads, executor
/// orders and saves of progress. No label depends on the number of jobs or
/// executors.
class instance_metrics {
public:
  instance_metrics();

  void noteRequest(const std::string &Method, unsigned Status,
                   milliseconds Took);
  void noteOrder(std::string_view Kind, std::string_view Outcome,
                 milliseconds Took);
  /// Event: what the scheduler decided or found, as in its log line.
  void noteSchedulerEvent(std::string_view Event);
  /// How long a unit waited. Beyond MaxOrganisations, or without a name, an
  /// organisation counts as "other", so that the labels are bounded.
  void noteWait(const std::string &Organisation, int Priority,
                milliseconds Waited);
  void noteSave(bool IsSaved, milliseconds Took);
  void noteCalls(std::uint64_t StoreCalls, std::uint64_t ExecutorCalls);
  /// Server: "front", "forward", "ready" or "metrics".
  void noteConnections(const std::string &Server, const http_server &Of);
  void noteDroppedLines(std::uint64_t Dropped);
  void noteLeadership(std::uint64_t Token);
  void noteConfiguration(std::int64_t Version);
  /// Age: since the store last confirmed the configuration.
  void noteConfigurationAge(milliseconds Age);
  /// Call: "watch" or "read".
  void noteFailedConfigurationCall(std::string_view Call);

  [[nodiscard]] std::string print() const { return Registry.print(); }

  static constexpr std::size_t MaxOrganisations = 32;

private:
  metric_registry Registry;
  std::set<std::string> Organisations; // with a label of their own
};

} // namespace galenastage
