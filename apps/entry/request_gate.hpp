#pragma once

#include "core/request/request_flow.hpp"
#include "net/http.hpp"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace galenastage {

/// Owns the reducer of requests, which all traffic threads of the process
/// share, and hands each effect to the coroutine that waits for it. The lock is
/// held for one event; control never takes it for longer.
class request_dispatcher {
public:
  explicit request_dispatcher(const data_centre_id &DataCentre);

  request_number nextNumber() { return ++LastNumber; }

  /// Asks for an executor and waits for the decision.
  task<request_effect> arrive(asio::io_context &Context, request_number Number,
                              request_attributes Ask);

  /// Reports how a try ended and waits for what comes next.
  task<request_effect> endTry(asio::io_context &Context, try_ended Ended);

  /// The refusal that such a request would get now, if any.
  std::optional<refuse_request> refusalNow(request_number Number,
                                           const request_attributes &Ask);

  void setExecutors(std::vector<executor_choice> Executors);
  void advanceTime();

  /// Requests that wait for an executor.
  std::size_t waiting();

private:
  /// A coroutine that waits for the effect of its request.
  struct waiter {
    explicit waiter(asio::io_context &Context)
        : Context(Context), Timer(Context) {}

    asio::io_context &Context;
    asio::steady_timer Timer; // cancelled when the effect has come
    std::optional<request_effect> Effect;
  };
  using waiter_ptr = std::shared_ptr<waiter>;

  /// Waits for the effect of this request, on the caller's own thread.
  task<request_effect> waitFor(asio::io_context &Context, request_number Number,
                               request_event_body Body);
  void apply(request_event_body Body, const waiter_ptr &Own);
  void deliver(request_number Number, request_effect Effect,
               const waiter_ptr &Own);

  std::atomic<request_number> LastNumber{0};
  std::mutex Mutex; // guards what follows
  request_state State;
  std::unordered_map<request_number, waiter_ptr> Waiters;
};

} // namespace galenastage
