#include "apps/entry/request_metrics.hpp"

#include <catch2/catch.hpp>

using namespace galenastage;

TEST_CASE("metrics are summed and printed in the Prometheus format") {
  const organisation_id Council("coun\"cil");
  request_metrics Metrics;
  Metrics.add(Council, work_class::Ordinary, verdict::Ran, 200, 1,
              milliseconds(7));
  Metrics.add(Council, work_class::Ordinary, verdict::NotRun, 503, 3,
              milliseconds(60'000));
  Metrics.add(Council, work_class::Ordinary, verdict::Ran, 200, 1,
              milliseconds(7));
  const std::string Text = Metrics.print();
  const std::string Labels = R"({organisation="coun\"cil",class="ordinary")";
  for (const std::string &Line : {
           "galenastage_requests_total" + Labels +
               R"(,verdict="ran",status="200"} 2)",
           "galenastage_request_retries_total" + Labels + "} 2",
           "galenastage_request_seconds_bucket" + Labels + R"(,le="0.005"} 0)",
           "galenastage_request_seconds_bucket" + Labels + R"(,le="0.01"} 2)",
           "galenastage_request_seconds_bucket" + Labels + R"(,le="30"} 2)",
           "galenastage_request_seconds_bucket" + Labels + R"(,le="+Inf"} 3)",
           "galenastage_request_seconds_count" + Labels + "} 3",
       }) {
    CAPTURE(Line);
    CHECK(Text.find(Line + "\n") != std::string::npos);
  }
}
