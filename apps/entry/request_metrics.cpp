#include "apps/entry/request_metrics.hpp"

namespace galenastage {
namespace {

constexpr const char *Requests = "galenastage_requests_total";
constexpr const char *Retries = "galenastage_request_retries_total";
constexpr const char *Seconds = "galenastage_request_seconds";

} // namespace

request_metrics::request_metrics() {
  Registry.describe(Requests, "counter",
                    "Requests answered, by verdict and status.");
  Registry.describe(Retries, "counter", "Tries beyond the first.");
  Registry.describe(Seconds, "histogram",
                    "Time from the whole request to the whole answer.");
}

void request_metrics::add(const organisation_id &Organisation, work_class Class,
                          verdict Verdict, unsigned Status, int Tries,
                          milliseconds Took) {
  const metric_labels Flow = {{"organisation", Organisation.Value},
                              {"class", std::string(name(Class))}};
  metric_labels Answer = Flow;
  Answer.push_back({"verdict", std::string(name(Verdict))});
  Answer.push_back({"status", std::to_string(Status)});
  Registry.observe(Seconds, Flow, Took);
  Registry.count(Requests, Answer);
  if (Tries > 1)
    Registry.count(Retries, Flow, static_cast<std::uint64_t>(Tries - 1));
}

} // namespace galenastage
