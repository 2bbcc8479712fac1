#pragma once

// Run times as they were, learned from jobs that ended well. What callers
// declare is a guess that is often far off; it only stands in until enough jobs
// of the same organisation and class have ended.

#include "core/job/job.hpp"

#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace galenastage {

class run_time_learner {
public:
  run_time_learner();
  ~run_time_learner();
  run_time_learner(const run_time_learner &Other);
  run_time_learner &operator=(const run_time_learner &Other);
  run_time_learner(run_time_learner &&) noexcept;
  run_time_learner &operator=(run_time_learner &&) noexcept;

  void add(const job_spec &Spec, milliseconds RunTime);

  /// The run time that this share of such jobs stays within; nothing before
  /// enough of them have ended.
  [[nodiscard]] std::optional<milliseconds> learned(const job_spec &Spec,
                                                    double Share) const;

  /// The same, or else what the caller declared. Good for an order, not for a
  /// promise.
  [[nodiscard]] milliseconds estimate(const job_spec &Spec, double Share) const;

private:
  struct histogram;
  std::map<std::pair<organisation_id, work_class>, std::unique_ptr<histogram>>
      Histograms;
};

} // namespace galenastage
