#pragma once

#include "net/http.hpp"

namespace galenastage {

/// Blocking HTTP client for one entry instance.
class entry_client {
public:
  entry_client(endpoint Entry, milliseconds Timeout)
      : Entry(std::move(Entry)), Timeout(Timeout) {}

  http_result call(http_request Request);

private:
  endpoint Entry;
  milliseconds Timeout;
};

} // namespace galenastage
