#pragma once

// What one traffic thread of the entry owns, and the handlers of its requests.
//
// Index of this file
// [1] What threads share
// [2] The thread
// [3] Handlers

#include "apps/entry/dispatch_log.hpp"
#include "apps/entry/request_gate.hpp"
#include "apps/entry/request_metrics.hpp"
#include "apps/runtime/instance.hpp"
#include "apps/runtime/platform_feed.hpp"
#include "core/request/entry_state.hpp"
#include "net/http.hpp"
#include "net/store.hpp"

namespace galenastage {

// [1] What threads share

struct entry_config : instance_config {
  int Threads = 2;                 // of traffic
  int SlotsPerExecutor = 8;        // from all entry instances together
  int ConnectionsPerExecutor = 64; // likewise, idle ones included
  int DispatchWrites = 3;          // store calls a second for dispatch records
  milliseconds ShareWait{30'000};  // see core/request/share.hpp
};

/// What the traffic threads of one process share.
struct request_services {
  /// Context runs the dispatch log and outlives this.
  request_services(asio::io_context &Context, const entry_config &Config)
      : Gate(Config.DataCentre),
        Log(Context, Config.Store, Config.Listen.Address,
            {Config.DispatchWrites}) {}

  request_dispatcher Gate;
  dispatch_log Log;
  request_metrics Metrics;
};

// [2] The thread

/// The state of one traffic thread. Only that thread touches it, but for
/// IsReady.
struct traffic_thread {
  traffic_thread(asio::io_context &Context, const entry_config &Config,
                 request_services &Requests)
      : Context(Context), Config(Config), Requests(Requests),
        Store(Context, Config.Store, Config.Listen.Address),
        Upstream(Context, Config.Listen.Address) {}

  asio::io_context &Context;
  const entry_config &Config;
  request_services &Requests;
  store_client Store;
  http_client Upstream;
  entry_snapshot_ptr Snapshot;      // null until the tables are known
  tables_feed *Tables = nullptr;    // of the process; set before it starts
  std::atomic<bool> IsReady{false}; // whether the balancer may send requests
};

// [3] Handlers

/// Answers anything that arrives at the entry.
task<http_response> handleAny(traffic_thread &Thread, http_request Request);

/// POST /v1/requests/...: routes a caller's request to an executor.
task<http_response> handleRequest(traffic_thread &Thread, http_request Request);

/// GET /metrics: Prometheus text.
http_response showMetrics(traffic_thread &Thread);

/// /v1/jobs: submit, look up, list, cancel.
task<http_response> handleJobs(traffic_thread &Thread, http_request Request);

/// /v1/tables: read and edit the tables.
task<http_response> handleTables(traffic_thread &Thread, http_request Request);

/// 503 for what needs the key-value service while it doesn't answer.
http_response storeUnavailableResponse(verdict Verdict);

/// 422 with a list of the rules that were broken.
http_response invalidResponse(std::string_view Title,
                              const std::vector<table_problem> &Problems);

} // namespace galenastage
