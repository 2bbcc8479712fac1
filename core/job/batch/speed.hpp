#pragma once

// Learns how fast executors are from the runs on them. Pure functions: the time
// is an argument.
//
// The logarithm of a run's pace, relative to the estimate of its step, is the
// sum of the step's and the executor's logarithm and the deviation of the task.
// The members of a gang advance together, at the pace of the slowest.
//
// Index of this file
// [1] Settings
// [2] Estimates
// [3] Measuring a run
// [4] Classes

#include "core/job/batch/capacity_index.hpp"

#include <optional>
#include <span>

namespace galenastage::batch {

// [1] Settings

/// Deviations are standard deviations of natural logarithms.
struct speed_settings {
  bool IsEnabled = true;
  double SpeedDeviation = 0.4;   // of executors that weren't observed
  double StepDeviation = 0.4;    // of the clients' estimates
  double TaskDeviation = 0.2;    // of the tasks of a step
  double MeasureDeviation = 0.1; // of whole percents and delayed reports
  double LeastDeviation = 0.12;  // that observations reduce an estimate to
  double OutlierShare = 0.04;    // of the tasks; some take several times longer
  double OutlierDeviation = 1.5; // of their pace
  double DriftPerSecond = 5e-4;  // variance that an executor's estimate gains
  double SlowBelow = 0.8;        // speed relative to the mean
  double FastAbove = 1.25;       // the same
  double Hysteresis = 0.06;      // logarithm by which a class is left later
  double SlowSpeed = 0.6;        // assumed of slow executors
  double TightMargin = 1.25;     // work that exceeds the estimate by this much
  double UnevenFrom = 0.2;     // deviation of true speeds that counts as uneven
  double UnevenUntil = 0.15;   // below, they are even again
  int LeastCertain = 10;       // executors that tell whether speeds are uneven
  double MostUncertain = 0.25; // deviation at which one is slow or fast
  int LeastPercent = 10;       // progress that is precise enough
  milliseconds LeastSpan{300}; // between two reports
  milliseconds ProbeWait{500}; // longest hold of a probed executor
  int ProbeBelowPercent = 40;  // accelerators in use; above, no probes
  int MostProbes = 128;        // at a time; each may split an empty executor
  int SpreadBelowPercent = 50; // accelerators in use; above, work with slack
                               // doesn't go to empty unknown executors

  milliseconds SaveInterval{5'000}; // between records in the store

  friend bool operator==(const speed_settings &,
                         const speed_settings &) = default;
};

// [2] Estimates

/// Normal distribution of a logarithm.
struct log_estimate {
  double Mean = 0;
  double Variance = 0;

  friend bool operator==(const log_estimate &, const log_estimate &) = default;
};

/// What is known about an executor id. It outlives restarts of the executor.
struct executor_speed {
  service_id Service;
  std::string Kind;   // with another one it is another machine
  resources Capacity; // the same
  log_estimate Estimate;
  instant LearnedAt{};
  int Observations = 0;
  speed_class Class = speed_class::Unknown;

  friend bool operator==(const executor_speed &,
                         const executor_speed &) = default;
};

/// What is stored of one executor.
struct stored_speed {
  executor_id Executor;
  service_id Service;
  std::string Kind;
  resources Capacity;
  log_estimate Estimate;

  friend bool operator==(const stored_speed &, const stored_speed &) = default;
};

/// Updates the estimates of a step and of the executors that run its task or
/// its gang by one observation: the logarithm of the pace relative to the
/// step's estimate. An observation far outside the expected deviation has
/// little weight. A slow gang lowers its members by the probability that each
/// is the slowest, a fast one raises all that seemed slower.
void learnPace(const speed_settings &Settings, log_estimate &Step,
               std::span<log_estimate> Members, double Pace);

/// The estimate after a time without observations.
log_estimate age(const speed_settings &Settings, log_estimate Estimate,
                 milliseconds Time);

// [3] Measuring a run

/// The measurement of one run or of one gang, between two reports.
struct speed_probe {
  int Attempt = 0;       // 0: none
  int Percent = 0;       // of the first report that counts, or of the last one
  instant At{};          // of that report
  bool HasBegun = false; // the run has advanced; Percent and At are its start
  bool IsOver = false;   // measured, or impossible to measure

  friend bool operator==(const speed_probe &, const speed_probe &) = default;
};

/// Records a report of a run. Returns the share of the work done each second,
/// once for each attempt, when the progress is precise enough.
/// MayRestore: the run may begin with saved progress.
std::optional<double> measure(speed_probe &Probe,
                              const speed_settings &Settings, int Attempt,
                              int Percent, bool MayRestore, instant Now);

/// The same at the end of a run that is done.
std::optional<double> measureEnd(speed_probe &Probe,
                                 const speed_settings &Settings, int Attempt,
                                 instant Now);

// [4] Classes

/// Speeds of the observed executors of one service.
struct speed_sums {
  double Logs = 0; // sum of the estimates
  int Observed = 0;
  std::array<int, 4> Classes{}; // executors by speed_class

  double CertainLogs = 0; // sums over executors whose estimate is certain
  double Squares = 0;     // of their logarithms
  double Variances = 0;
  int Certain = 0;
  bool IsUneven = false; // placement prefers some speeds

  void add(const executor_speed &Speed);
  void remove(const executor_speed &Speed);
  [[nodiscard]] int of(speed_class Class) const {
    return Classes[static_cast<std::size_t>(Class)];
  }
  /// Executors whose class is known.
  [[nodiscard]] int known() const;
  /// Logarithm of the mean speed; close to 0 while few were observed.
  [[nodiscard]] double mean() const;
  /// Decides anew, with hysteresis, whether speeds are uneven: by the deviation
  /// of the estimates less what their uncertainty explains. True if it changed.
  bool updateUneven(const speed_settings &Settings);
};

/// The class of an estimate relative to Mean, with hysteresis.
speed_class classify(const speed_settings &Settings,
                     const log_estimate &Estimate, double Mean,
                     speed_class Before);

} // namespace galenastage::batch
