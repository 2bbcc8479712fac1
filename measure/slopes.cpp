#include "measure/slopes.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdio>

namespace galenastage::measure {
namespace {

constexpr std::size_t MinSamples = 3;

/// Sums of the squared distances from the means.
struct moments {
  double MeanSize = 0;
  double MeanValue = 0;
  double SizeSquares = 0;
  double ValueSquares = 0;
  double Products = 0;
};

moments momentsOf(std::span<const sample> Samples) {
  moments Result;
  const auto Count = static_cast<double>(Samples.size());
  for (const sample &Sample : Samples) {
    Result.MeanSize += Sample.Size / Count;
    Result.MeanValue += Sample.Value / Count;
  }
  for (const sample &Sample : Samples) {
    const double Size = Sample.Size - Result.MeanSize;
    const double Value = Sample.Value - Result.MeanValue;
    Result.SizeSquares += Size * Size;
    Result.ValueSquares += Value * Value;
    Result.Products += Size * Value;
  }
  return Result;
}

/// The exponent of the growth; 0 when a size or a value isn't positive.
double powerOf(std::span<const sample> Samples) {
  std::vector<sample> Logs;
  for (const sample &Sample : Samples) {
    if (Sample.Size <= 0 || Sample.Value <= 0)
      return 0;
    Logs.push_back({std::log(Sample.Size), std::log(Sample.Value)});
  }
  const moments Moments = momentsOf(Logs);
  return Moments.SizeSquares == 0 ? 0 : Moments.Products / Moments.SizeSquares;
}

} // namespace

line_fit fitLine(std::span<const sample> Samples) {
  if (Samples.size() < MinSamples)
    return {};
  const moments Moments = momentsOf(Samples);
  if (Moments.SizeSquares == 0)
    return {};
  line_fit Fit;
  Fit.Slope = Moments.Products / Moments.SizeSquares;
  Fit.Intercept = Moments.MeanValue - Fit.Slope * Moments.MeanSize;
  double Residuals = 0;
  for (const sample &Sample : Samples) {
    const double Distance =
        Sample.Value - (Fit.Intercept + Fit.Slope * Sample.Size);
    Residuals += Distance * Distance;
  }
  const auto Freedom = static_cast<double>(Samples.size() - 2);
  Fit.SlopeError = std::sqrt(Residuals / Freedom / Moments.SizeSquares);
  const bool IsFlat = Moments.ValueSquares == 0;
  Fit.RSquared = IsFlat ? 1 : 1 - Residuals / Moments.ValueSquares;
  Fit.Power = powerOf(Samples);
  return Fit;
}

measured_slope makeSlope(std::string Name, std::string Unit, std::string Per,
                         std::vector<sample> Samples) {
  measured_slope Slope;
  Slope.Name = std::move(Name);
  Slope.Unit = std::move(Unit);
  Slope.Per = std::move(Per);
  Slope.Fit = fitLine(Samples);
  Slope.Samples = std::move(Samples);
  return Slope;
}

std::string printSlopes(std::span<const measured_slope> Slopes) {
  constexpr std::size_t LineBytes = 200;
  char Line[LineBytes];
  std::snprintf(Line, sizeof Line, "%-44s %12s %10s %12s %8s %6s %4s  %s\n",
                "what", "slope", "+-", "at size 0", "R2", "power", "n", "unit");
  std::string Text = Line;
  for (const measured_slope &Slope : Slopes) {
    const std::string Unit = Slope.Unit + " per " + Slope.Per;
    std::snprintf(Line, sizeof Line,
                  "%-44s %12.3f %10.3f %12.2f %8.4f %6.2f %4zu  %s\n",
                  Slope.Name.c_str(), Slope.Fit.Slope, Slope.Fit.SlopeError,
                  Slope.Fit.Intercept, Slope.Fit.RSquared, Slope.Fit.Power,
                  Slope.Samples.size(), Unit.c_str());
    Text += Line;
  }
  return Text;
}

void to_json(nlohmann::json &Json, const measured_slope &Slope) {
  nlohmann::json Samples = nlohmann::json::array();
  for (const sample &Sample : Slope.Samples)
    Samples.push_back({{"size", Sample.Size}, {"value", Sample.Value}});
  Json = {{"name", Slope.Name},
          {"unit", Slope.Unit},
          {"per", Slope.Per},
          {"slope", Slope.Fit.Slope},
          {"slope_error", Slope.Fit.SlopeError},
          {"intercept", Slope.Fit.Intercept},
          {"r_squared", Slope.Fit.RSquared},
          {"power", Slope.Fit.Power},
          {"samples", std::move(Samples)}};
}

} // namespace galenastage::measure
