#pragma once

#include <boost/histogram.hpp>

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace galenastage {

struct metric_label {
  std::string Name;
  std::string Value;

  friend auto operator<=>(const metric_label &, const metric_label &) = default;
};
using metric_labels = std::vector<metric_label>;

/// Counters, gauges and latency histograms of one process, printed in the
/// Prometheus text format, version 0.0.4. Safe from every thread.
class metric_registry {
public:
  /// Declares a metric; required before its first use. Metrics are printed in
  /// the order of declaration.
  void describe(const std::string &Name, const std::string &Type,
                const std::string &Help);

  void count(const std::string &Name, const metric_labels &Labels,
             std::uint64_t Amount = 1);
  void set(const std::string &Name, const metric_labels &Labels, double Value);
  /// Adds one duration to a histogram in seconds.
  void observe(const std::string &Name, const metric_labels &Labels,
               std::chrono::milliseconds Took);

  [[nodiscard]] std::string print() const;

private:
  using histogram = decltype(boost::histogram::make_histogram(
      boost::histogram::axis::variable<double>()));
  struct latencies {
    histogram Bins = makeBins();
    double SumSeconds = 0;
  };
  struct metric {
    std::string Name;
    std::string Type; // counter, gauge or histogram
    std::string Help;
    std::map<metric_labels, double> Values;
    std::map<metric_labels, latencies> Latencies;
  };
  static histogram makeBins();
  static void printLatencies(std::string &Out, const std::string &Name,
                             const std::string &Labels,
                             const latencies &Series);
  metric *find(const std::string &Name);

  mutable std::mutex Mutex; // guards Metrics
  std::vector<metric> Metrics;
};

} // namespace galenastage
