#pragma once

#include "net/http.hpp"

namespace galenastage {

/// Calls one entry instance and waits for the answer.
class entry_caller {
public:
  entry_caller(endpoint Entry, milliseconds Timeout)
      : Entry(std::move(Entry)), Timeout(Timeout) {}

  http_result call(http_request Request);

private:
  endpoint Entry;
  milliseconds Timeout;
};

} // namespace galenastage
