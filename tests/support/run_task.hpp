#pragma once

#include "net/http.hpp"

#include <boost/asio/co_spawn.hpp>

#include <optional>

namespace galenastage::test {

/// Runs a task on the context to completion and returns its result.
template <typename Result>
Result runTask(asio::io_context &Context, task<Result> Task) {
  std::optional<Result> Outcome;
  asio::co_spawn(
      Context, std::move(Task),
      [&](std::exception_ptr, Result Value) { Outcome = std::move(Value); });
  while (!Outcome)
    Context.run_one();
  return std::move(*Outcome);
}

} // namespace galenastage::test
