#pragma once

#include "net/http.hpp"
#include "standin/worker_model.hpp"

namespace galenastage::standin {

/// Serves a worker_model over HTTP.
class worker_service {
public:
  worker_service(asio::io_context &Context, const endpoint &Endpoint,
                 worker_model Model);

  worker_model Model;

  [[nodiscard]] endpoint localEndpoint() const {
    return Server.localEndpoint();
  }
  void stopAccepting() { Server.stopAccepting(); }

private:
  task<http_response> handle(http_request Request);

  asio::io_context &Context;
  http_server Server;
};

} // namespace galenastage::standin
