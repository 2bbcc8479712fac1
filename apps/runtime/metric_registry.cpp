#include "apps/runtime/metric_registry.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <iomanip>
#include <sstream>

namespace galenastage {
namespace {

constexpr int ExactDigits = 15; // of a double; prints counters exactly

// Upper bounds of the buckets, in seconds.
constexpr std::array Bounds = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                               0.25,  0.5,    1.0,   2.5,  5.0,   10.0, 30.0};

/// Escapes a label value for the text format; a line break becomes a space.
std::string escaped(const std::string &Value) {
  std::string Text;
  for (const char Character : Value) {
    if (Character == '\\' || Character == '"')
      Text += '\\';
    Text += Character == '\n' ? ' ' : Character;
  }
  return Text;
}

std::string printLabels(const metric_labels &Labels) {
  std::string Text;
  for (const metric_label &Label : Labels) {
    if (!Text.empty())
      Text += ',';
    Text.append(Label.Name).append("=\"");
    Text.append(escaped(Label.Value)).append("\"");
  }
  return Text;
}

std::string printNumber(double Value) {
  std::ostringstream Text;
  Text << std::setprecision(ExactDigits) << Value;
  return Text.str();
}

/// One sample line; no braces when there are no labels.
std::string printLine(const std::string &Name, const std::string &Labels,
                      const std::string &Value) {
  return Name + (Labels.empty() ? "" : "{" + Labels + "}") + " " + Value + "\n";
}

} // namespace

metric_registry::histogram metric_registry::makeBins() {
  std::vector<double> Edges = {0};
  Edges.insert(Edges.end(), Bounds.begin(), Bounds.end());
  return boost::histogram::make_histogram(
      boost::histogram::axis::variable<double>(Edges));
}

metric_registry::metric *metric_registry::find(const std::string &Name) {
  const auto Found = std::ranges::find(Metrics, Name, &metric::Name);
  assert(Found != Metrics.end() && "describe the metric before its first use");
  return Found == Metrics.end() ? nullptr : &*Found;
}

void metric_registry::describe(const std::string &Name, const std::string &Type,
                               const std::string &Help) {
  const std::lock_guard Lock(Mutex);
  Metrics.push_back({Name, Type, Help, {}, {}});
}

void metric_registry::count(const std::string &Name,
                            const metric_labels &Labels, std::uint64_t Amount) {
  const std::lock_guard Lock(Mutex);
  if (metric *Metric = find(Name))
    Metric->Values[Labels] += static_cast<double>(Amount);
}

void metric_registry::set(const std::string &Name, const metric_labels &Labels,
                          double Value) {
  const std::lock_guard Lock(Mutex);
  if (metric *Metric = find(Name))
    Metric->Values[Labels] = Value;
}

void metric_registry::observe(const std::string &Name,
                              const metric_labels &Labels,
                              std::chrono::milliseconds Took) {
  const double Seconds = std::chrono::duration<double>(Took).count();
  const std::lock_guard Lock(Mutex);
  metric *Metric = find(Name);
  if (!Metric)
    return;
  latencies &Series = Metric->Latencies[Labels];
  Series.Bins(Seconds);
  Series.SumSeconds += Seconds;
}

void metric_registry::printLatencies(std::string &Out, const std::string &Name,
                                     const std::string &Labels,
                                     const latencies &Series) {
  const std::string Prefix = Labels + (Labels.empty() ? "le=\"" : ",le=\"");
  std::uint64_t Sum = 0;
  for (std::size_t I = 0; I <= Bounds.size(); ++I) {
    const bool IsLast = I == Bounds.size(); // bucket above the last bound
    Sum += static_cast<std::uint64_t>(Series.Bins.at(static_cast<int>(I)));
    std::string BucketLabels = Prefix;
    BucketLabels.append(IsLast ? "+Inf" : printNumber(Bounds[I])).append("\"");
    Out += printLine(Name + "_bucket", BucketLabels, std::to_string(Sum));
  }
  Out += printLine(Name + "_sum", Labels, printNumber(Series.SumSeconds));
  Out += printLine(Name + "_count", Labels, std::to_string(Sum));
}

std::string metric_registry::print() const {
  const std::lock_guard Lock(Mutex);
  std::string Out;
  for (const metric &Metric : Metrics) {
    Out += "# HELP " + Metric.Name + " " + Metric.Help + "\n";
    Out += "# TYPE " + Metric.Name + " " + Metric.Type + "\n";
    for (const auto &[Labels, Value] : Metric.Values)
      Out += printLine(Metric.Name, printLabels(Labels), printNumber(Value));
    for (const auto &[Labels, Series] : Metric.Latencies)
      printLatencies(Out, Metric.Name, printLabels(Labels), Series);
  }
  return Out;
}

} // namespace galenastage
