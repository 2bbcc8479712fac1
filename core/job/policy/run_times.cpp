#include "core/job/policy/run_times.hpp"

#include <boost/histogram.hpp>

#include <algorithm>

namespace galenastage {
namespace {

constexpr int Bins = 48;
constexpr double ShortestSeconds = 1;
constexpr double LongestSeconds = 30.0 * 24 * 3'600;
constexpr double MinSamples = 8;

auto makeHistogram() {
  using log_axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  return boost::histogram::make_histogram(
      log_axis(Bins, ShortestSeconds, LongestSeconds));
}

} // namespace

struct run_time_estimator::histogram {
  decltype(makeHistogram()) Counts = makeHistogram();
  double Samples = 0;
};

run_time_estimator::run_time_estimator() = default;
run_time_estimator::~run_time_estimator() = default;
run_time_estimator::run_time_estimator(const run_time_estimator &Other) {
  for (const auto &[Kind, Histogram] : Other.Histograms)
    Histograms[Kind] = std::make_unique<histogram>(*Histogram);
}

run_time_estimator &
run_time_estimator::operator=(const run_time_estimator &Other) {
  return *this = run_time_estimator(Other);
}

run_time_estimator::run_time_estimator(run_time_estimator &&) noexcept =
    default;
run_time_estimator &
run_time_estimator::operator=(run_time_estimator &&) noexcept = default;

void run_time_estimator::add(const job_spec &Spec, milliseconds RunTime) {
  auto &Row = Histograms[{Spec.Organisation, Spec.Class}];
  if (!Row)
    Row = std::make_unique<histogram>();
  const double Seconds = static_cast<double>(RunTime.count()) / 1'000;
  Row->Counts(std::clamp(Seconds, ShortestSeconds, LongestSeconds - 1));
  Row->Samples += 1;
}

std::optional<milliseconds>
run_time_estimator::learnedQuantile(const job_spec &Spec, double Share) const {
  const auto Row = Histograms.find({Spec.Organisation, Spec.Class});
  if (Row == Histograms.end() || Row->second->Samples < MinSamples)
    return std::nullopt;
  const double Wanted = Share * Row->second->Samples;
  double Seen = 0;
  for (auto &&Bin : boost::histogram::indexed(Row->second->Counts)) {
    Seen += *Bin;
    if (Seen >= Wanted)
      return milliseconds(static_cast<std::int64_t>(Bin.bin().upper() * 1'000));
  }
  return seconds(static_cast<std::int64_t>(LongestSeconds));
}

milliseconds run_time_estimator::estimate(const job_spec &Spec,
                                          double Share) const {
  return learnedQuantile(Spec, Share).value_or(Spec.DeclaredRunTime);
}

} // namespace galenastage
