#pragma once

#include "core/types.hpp"

#include <boost/histogram.hpp>

#include <map>
#include <mutex>
#include <string>
#include <tuple>

namespace galenastage {

/// Counts and latencies of the requests that this process answered, for each
/// organisation and class. Safe from every thread.
class request_metrics {
public:
  void add(const organisation_id &Organisation, work_class Class,
           verdict Verdict, unsigned Status, int Tries, milliseconds Took);

  /// The Prometheus text format, version 0.0.4.
  [[nodiscard]] std::string print() const;

private:
  using histogram = decltype(boost::histogram::make_histogram(
      boost::histogram::axis::variable<double>()));
  using flow = std::pair<organisation_id, work_class>;
  using answer = std::tuple<organisation_id, work_class, verdict, unsigned>;

  /// Latencies of one flow, in seconds.
  struct latencies {
    histogram Bins = makeBins();
    double SumSeconds = 0;
  };
  static histogram makeBins();

  mutable std::mutex Mutex; // guards what follows
  std::map<flow, latencies> Latencies;
  std::map<answer, std::uint64_t> Answers;
  std::map<flow, std::uint64_t> Retries;
};

} // namespace galenastage
