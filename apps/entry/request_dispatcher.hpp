#pragma once

#include "core/request/request_flow.hpp"
#include "net/http.hpp"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace galenastage {

/// Owns the request state, which all traffic threads of the process share, and
/// delivers each effect to the coroutine that waits for it. The lock is held
/// for one event at a time, also by the control thread.
class request_dispatcher {
public:
  explicit request_dispatcher(const data_centre_id &DataCentre);

  request_number nextNumber() { return ++LastNumber; }

  /// Submits a request and waits for the first decision.
  task<request_effect> submit(asio::io_context &Context, request_number Number,
                              request_attributes Ask);

  /// Reports the outcome of an attempt and waits for the next decision.
  task<request_effect> reportAttempt(asio::io_context &Context,
                                     try_ended Ended);

  /// The refusal that this request would get now, if any.
  std::optional<refuse_request> refusalNow(request_number Number,
                                           const request_attributes &Ask);

  void setExecutors(std::vector<executor_choice> Executors);
  void advanceTime();

  /// Number of requests that wait for an executor.
  std::size_t waiting();

private:
  /// A coroutine that waits for the next effect of its request.
  struct waiter {
    explicit waiter(asio::io_context &Context)
        : Context(Context), Timer(Context) {}

    asio::io_context &Context;
    asio::steady_timer Timer; // cancelled once Effect is set
    std::optional<request_effect> Effect;
  };
  using waiter_ptr = std::shared_ptr<waiter>;

  /// Applies the event and waits for the effect of this request. The coroutine
  /// resumes on its own I/O thread.
  task<request_effect> waitFor(asio::io_context &Context, request_number Number,
                               request_event_body Body);
  void apply(request_event_body Body, const waiter_ptr &Own);
  void deliver(request_number Number, request_effect Effect,
               const waiter_ptr &Own);

  std::atomic<request_number> LastNumber{0};
  std::mutex Mutex; // guards State and Waiters
  request_state State;
  std::unordered_map<request_number, waiter_ptr> Waiters;
};

} // namespace galenastage
