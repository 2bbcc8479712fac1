#include "apps/entry/traffic.hpp"

#include <nlohmann/json.hpp>

namespace galenastage {

http_response storeUnavailableResponse(verdict Verdict) {
  http_response Response = problemResponse(
      503, "key-value service unavailable",
      "nothing can be recorded at the moment; try again", Verdict);
  Response.Headers.set("Retry-After", "2");
  return Response;
}

http_response invalidResponse(std::string_view Title,
                              const std::vector<table_problem> &Problems) {
  nlohmann::json List = nlohmann::json::array();
  for (const table_problem &Problem : Problems)
    List.push_back({{"field", Problem.Field}, {"rule", Problem.Rule}});
  const nlohmann::json Body = {{"type", "about:blank"},
                               {"status", 422},
                               {"title", Title},
                               {"verdict", name(verdict::NotRun)},
                               {"problems", List}};
  http_response Response = jsonResponse(422, Body.dump());
  Response.Headers.set("Content-Type", "application/problem+json");
  Response.Headers.set("Galenastage-Verdict",
                       std::string(name(verdict::NotRun)));
  return Response;
}

http_response showMetrics(traffic_thread &Thread) {
  request_services &Requests = Thread.Requests;
  std::string Text = Requests.Metrics.print();
  Text += "# HELP galenastage_requests_waiting Requests that wait for a slot.\n"
          "# TYPE galenastage_requests_waiting gauge\n"
          "galenastage_requests_waiting " +
          std::to_string(Requests.Dispatcher.waiting()) + "\n";
  Text += "# HELP galenastage_dispatch_store_calls_total Store calls made for "
          "dispatch records.\n"
          "# TYPE galenastage_dispatch_store_calls_total counter\n"
          "galenastage_dispatch_store_calls_total " +
          std::to_string(Requests.Log.calls()) + "\n";
  http_response Response;
  Response.Headers.set("Content-Type", "text/plain; version=0.0.4");
  Response.Body = std::move(Text);
  return Response;
}

task<http_response> handleHttpRequest(traffic_thread &Thread,
                                      http_request Request) {
  const std::string Path(Request.path());
  if (Path.starts_with("/v1/requests/"))
    co_return co_await handleRequest(Thread, std::move(Request));
  if (Path == "/v1/jobs" || Path.starts_with("/v1/jobs/"))
    co_return co_await handleJobs(Thread, std::move(Request));
  if (Path == "/v1/tables" || Path.starts_with("/v1/tables/"))
    co_return co_await handleTables(Thread, std::move(Request));
  if (Path == "/metrics")
    co_return showMetrics(Thread);
  if (Path == "/healthz")
    co_return jsonResponse(200, R"({"healthy":true})");
  if (Path == "/readyz") {
    const bool IsReady =
        Thread.IsReady && Thread.Snapshot && Thread.Snapshot->IsShareSettled;
    co_return jsonResponse(IsReady ? 200 : 503, IsReady ? R"({"ready":true})"
                                                        : R"({"ready":false})");
  }
  co_return problemResponse(404, "not found", Path, verdict::NotRun);
}

} // namespace galenastage
