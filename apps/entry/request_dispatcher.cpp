#include "apps/entry/request_dispatcher.hpp"

#include "apps/runtime/process.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <random>

namespace galenastage {
namespace {

std::uint64_t randomNumber() {
  static thread_local std::mt19937_64 Engine{std::random_device{}()};
  return Engine();
}

request_number numberOf(const request_effect &Effect) {
  return std::visit([](const auto &Body) { return Body.Number; }, Effect);
}

} // namespace

request_dispatcher::request_dispatcher(const data_centre_id &DataCentre) {
  State.Upstreams.DataCentre = DataCentre;
}

task<request_effect> request_dispatcher::submit(asio::io_context &Context,
                                                request_number Number,
                                                request_attributes Ask) {
  request_arrived Arrived{Number, std::move(Ask), randomNumber()};
  co_return co_await waitFor(Context, Number, std::move(Arrived));
}

task<request_effect>
request_dispatcher::reportAttempt(asio::io_context &Context, try_ended Ended) {
  Ended.Random = randomNumber();
  co_return co_await waitFor(Context, Ended.Number, Ended);
}

task<request_effect> request_dispatcher::waitFor(asio::io_context &Context,
                                                 request_number Number,
                                                 request_event_body Body) {
  const waiter_ptr Own = std::make_shared<waiter>(Context);
  Own->Timer.expires_at(asio::steady_timer::time_point::max());
  {
    const std::lock_guard Lock(Mutex);
    Waiters[Number] = Own;
    apply(std::move(Body), Own);
  }
  while (!Own->Effect)
    co_await Own->Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  co_return std::move(*Own->Effect);
}

void request_dispatcher::apply(request_event_body Body, const waiter_ptr &Own) {
  for (request_effect &Effect : reduce(State, {readClock(), std::move(Body)})) {
    const request_number Number = numberOf(Effect);
    deliver(Number, std::move(Effect), Own);
  }
}

void request_dispatcher::deliver(request_number Number, request_effect Effect,
                                 const waiter_ptr &Own) {
  const auto Found = Waiters.find(Number);
  if (Found == Waiters.end())
    return;
  const waiter_ptr Waiter = std::move(Found->second);
  Waiters.erase(Found);
  if (Waiter == Own) {
    Waiter->Effect = std::move(Effect);
    return;
  }
  asio::post(Waiter->Context, [Waiter, Effect = std::move(Effect)] {
    Waiter->Effect = Effect;
    Waiter->Timer.cancel();
  });
}

std::optional<refuse_request>
request_dispatcher::refusalNow(request_number Number,
                               const request_attributes &Ask) {
  const std::lock_guard Lock(Mutex);
  return galenastage::refusalNow(State, Number, Ask, readClock());
}

void request_dispatcher::setExecutors(std::vector<executor_choice> Executors) {
  const std::lock_guard Lock(Mutex);
  apply(executors_listed{std::move(Executors)}, nullptr);
}

void request_dispatcher::advanceTime() {
  const std::lock_guard Lock(Mutex);
  apply(time_passed{}, nullptr);
}

std::size_t request_dispatcher::waiting() {
  const std::lock_guard Lock(Mutex);
  return State.Queue.Waiting;
}

} // namespace galenastage
