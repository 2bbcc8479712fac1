#pragma once

// Least-squares lines through measured points: the slope is the cost of one
// more worker, task, job or edit.
//
// Index of this file
// [1] Fitting
// [2] Report

#include <nlohmann/json_fwd.hpp>

#include <span>
#include <string>
#include <vector>

namespace galenastage::measure {

// [1] Fitting

/// One measured point.
struct sample {
  double Size = 0;  // of what was varied
  double Value = 0; // what was measured at that size

  friend bool operator==(const sample &, const sample &) = default;
};

/// The line of least squares through some points.
struct line_fit {
  double Slope = 0;
  double Intercept = 0;
  double SlopeError = 0; // standard error of the slope
  double RSquared = 0;   // share of the variance that the line explains
  double Power = 0; // slope of log(value) over log(size): 1 is linear, 2 square

  friend bool operator==(const line_fit &, const line_fit &) = default;
};

/// Fits a line. Needs at least three points of at least two sizes; gives zeros
/// otherwise.
line_fit fitLine(std::span<const sample> Samples);

// [2] Report

/// One row of the capacity measurement.
struct measured_slope {
  std::string Name; // what was measured
  std::string Unit; // of the value, "bytes" for instance
  std::string Per;  // what was varied, "worker" for instance
  std::vector<sample> Samples;
  line_fit Fit;

  friend bool operator==(const measured_slope &,
                         const measured_slope &) = default;
};

/// Fits the samples and names the result.
measured_slope makeSlope(std::string Name, std::string Unit, std::string Per,
                         std::vector<sample> Samples);

/// The rows as a human-readable table.
std::string printSlopes(std::span<const measured_slope> Slopes);

void to_json(nlohmann::json &Json, const measured_slope &Slope);

} // namespace galenastage::measure
