#include "apps/entry/request_metrics.hpp"

#include <array>
#include <sstream>

namespace galenastage {
namespace {

constexpr double MillisecondsInSecond = 1'000;
// Upper bounds of the buckets, in seconds.
constexpr std::array Bounds = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                               0.25,  0.5,    1.0,   2.5,  5.0,   10.0, 30.0};

/// A label value with the characters escaped that the format reserves.
std::string escaped(const std::string &Value) {
  std::string Text;
  for (const char Character : Value) {
    if (Character == '\\' || Character == '"')
      Text += '\\';
    Text += Character == '\n' ? ' ' : Character;
  }
  return Text;
}

std::string flowLabels(const organisation_id &Organisation, work_class Class) {
  return "organisation=\"" + escaped(Organisation.Value) + "\",class=\"" +
         std::string(name(Class)) + "\"";
}

void printHead(std::ostream &Out, const char *Name, const char *Type,
               const char *Help) {
  Out << "# HELP " << Name << ' ' << Help << "\n# TYPE " << Name << ' ' << Type
      << '\n';
}

} // namespace

request_metrics::histogram request_metrics::makeBins() {
  std::vector<double> Edges = {0};
  Edges.insert(Edges.end(), Bounds.begin(), Bounds.end());
  return boost::histogram::make_histogram(
      boost::histogram::axis::variable<double>(Edges));
}

void request_metrics::add(const organisation_id &Organisation, work_class Class,
                          verdict Verdict, unsigned Status, int Tries,
                          milliseconds Took) {
  const double Seconds =
      static_cast<double>(Took.count()) / MillisecondsInSecond;
  const std::lock_guard Lock(Mutex);
  latencies &Flow = Latencies[{Organisation, Class}];
  Flow.Bins(Seconds);
  Flow.SumSeconds += Seconds;
  ++Answers[{Organisation, Class, Verdict, Status}];
  if (Tries > 1)
    Retries[{Organisation, Class}] += static_cast<std::uint64_t>(Tries - 1);
}

std::string request_metrics::print() const {
  const std::lock_guard Lock(Mutex);
  std::ostringstream Out;
  printHead(Out, "galenastage_requests_total", "counter",
            "Requests answered, by verdict and status.");
  for (const auto &[Key, Count] : Answers) {
    const auto &[Organisation, Class, Verdict, Status] = Key;
    Out << "galenastage_requests_total{" << flowLabels(Organisation, Class)
        << ",verdict=\"" << name(Verdict) << "\",status=\"" << Status << "\"} "
        << Count << '\n';
  }
  printHead(Out, "galenastage_request_retries_total", "counter",
            "Tries beyond the first.");
  for (const auto &[Key, Count] : Retries)
    Out << "galenastage_request_retries_total{"
        << flowLabels(Key.first, Key.second) << "} " << Count << '\n';
  printHead(Out, "galenastage_request_seconds", "histogram",
            "Time from the whole request to the whole answer.");
  for (const auto &[Key, Flow] : Latencies) {
    const std::string Labels = flowLabels(Key.first, Key.second);
    std::uint64_t Sum = 0;
    for (std::size_t I = 0; I < Bounds.size(); ++I) {
      Sum += static_cast<std::uint64_t>(Flow.Bins.at(static_cast<int>(I)));
      Out << "galenastage_request_seconds_bucket{" << Labels << ",le=\""
          << Bounds[I] << "\"} " << Sum << '\n';
    }
    // Beyond the last bound.
    Sum += static_cast<std::uint64_t>(
        Flow.Bins.at(static_cast<int>(Bounds.size())));
    Out << "galenastage_request_seconds_bucket{" << Labels << ",le=\"+Inf\"} "
        << Sum << "\ngalenastage_request_seconds_sum{" << Labels << "} "
        << Flow.SumSeconds << "\ngalenastage_request_seconds_count{" << Labels
        << "} " << Sum << '\n';
  }
  return Out.str();
}

} // namespace galenastage
