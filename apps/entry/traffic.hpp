#pragma once

// What one traffic thread of the entry owns, and the handlers of its requests.
//
// Index of this file
// [1] Shared by the threads
// [2] Traffic thread
// [3] Handlers

#include "apps/entry/dispatch_log.hpp"
#include "apps/entry/request_dispatcher.hpp"
#include "apps/entry/request_metrics.hpp"
#include "apps/runtime/instance.hpp"
#include "apps/runtime/platform_feed.hpp"
#include "core/request/entry_state.hpp"
#include "net/http.hpp"
#include "net/store.hpp"

namespace galenastage {

// [1] Shared by the threads

struct entry_config : instance_config {
  int Threads = 2;                 // traffic threads
  int SlotsPerExecutor = 8;        // from all entry instances together
  int ConnectionsPerExecutor = 64; // likewise, including idle ones
  int DispatchWrites = 3;          // store calls per second
  milliseconds ShareWait{30'000};  // see core/request/share.hpp
};

/// Services shared by the traffic threads of one process.
struct request_services {
  /// Context runs the dispatch log and must outlive this object.
  request_services(asio::io_context &Context, const entry_config &Config)
      : Dispatcher(Config.DataCentre),
        Log(Context, Config.Store, Config.Listen.Address,
            {Config.DispatchWrites}) {}

  request_dispatcher Dispatcher;
  dispatch_log Log;
  request_metrics Metrics;
};

// [2] Traffic thread

/// State of one traffic thread. Except for IsReady, only that thread accesses
/// it.
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
  entry_snapshot_ptr Snapshot;      // null until the tables are loaded
  tables_feed *Tables = nullptr;    // shared; set before the thread starts
  std::atomic<bool> IsReady{false}; // for /readyz, read by the balancer
};

// [3] Handlers

/// Dispatches a request to its handler by path.
task<http_response> handleHttpRequest(traffic_thread &Thread,
                                      http_request Request);

/// POST /v1/requests/...: routes a caller's request to an executor.
task<http_response> handleRequest(traffic_thread &Thread, http_request Request);

/// GET /metrics: Prometheus text.
http_response showMetrics(traffic_thread &Thread);

/// /v1/jobs: submit, look up, list, cancel.
task<http_response> handleJobs(traffic_thread &Thread, http_request Request);

/// /v1/tables: read and edit the tables.
task<http_response> handleTables(traffic_thread &Thread, http_request Request);

/// 503 for requests that need the key-value service while it is unavailable.
http_response storeUnavailableResponse(verdict Verdict);

/// 422 with the list of violated rules.
http_response invalidResponse(std::string_view Title,
                              const std::vector<table_problem> &Problems);

} // namespace galenastage
