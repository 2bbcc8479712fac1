#pragma once

// Run time estimates from the measured run times of successful jobs. Declared
// run times are often far off, so they are only used until enough jobs of the
// same organisation and class have finished.

#include "core/job/job.hpp"

#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace galenastage {

class run_time_estimator {
public:
  run_time_estimator();
  ~run_time_estimator();
  run_time_estimator(const run_time_estimator &Other);
  run_time_estimator &operator=(const run_time_estimator &Other);
  run_time_estimator(run_time_estimator &&) noexcept;
  run_time_estimator &operator=(run_time_estimator &&) noexcept;

  void add(const job_spec &Spec, milliseconds RunTime);

  /// The run time that this share (0 to 1) of the finished jobs of the same
  /// organisation and class didn't exceed; nullopt while there are too few.
  [[nodiscard]] std::optional<milliseconds>
  learnedQuantile(const job_spec &Spec, double Share) const;

  /// The same, or the declared run time if there are too few samples. Good
  /// enough to order jobs, not to guarantee an end time.
  [[nodiscard]] milliseconds estimate(const job_spec &Spec, double Share) const;

private:
  struct histogram;
  std::map<std::pair<organisation_id, work_class>, std::unique_ptr<histogram>>
      Histograms;
};

} // namespace galenastage
