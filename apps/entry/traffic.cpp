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

task<http_response> handleAny(traffic_thread &Thread, http_request Request) {
  const std::string Path(Request.path());
  if (Path.starts_with("/v1/requests/"))
    co_return co_await handleRequest(Thread, std::move(Request));
  if (Path == "/v1/jobs" || Path.starts_with("/v1/jobs/"))
    co_return co_await handleJobs(Thread, std::move(Request));
  if (Path == "/v1/tables" || Path.starts_with("/v1/tables/"))
    co_return co_await handleTables(Thread, std::move(Request));
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
