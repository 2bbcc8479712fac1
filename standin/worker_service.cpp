#include "standin/worker_service.hpp"

#include "standin/kv_service.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace galenastage::standin {
namespace {

using nlohmann::json;

constexpr milliseconds PausePoll{20};

/// Parses a message, applies it to the model and serialises the response.
template <typename Message, typename Act>
http_response answer(const std::string &Body, Act ActOn) {
  const auto Parsed = parseWorkerMessage<Message>(Body);
  if (!Parsed)
    return jsonResponse(400, R"({"error":"malformed"})");
  return jsonResponse(200, json(ActOn(*Parsed)).dump());
}

} // namespace

worker_service::worker_service(asio::io_context &Context,
                               const endpoint &Endpoint, worker_model Model)
    : Model(std::move(Model)), Context(Context),
      Server(Context, Endpoint, [this](http_request Request) {
        return handle(std::move(Request));
      }) {}

task<http_response> worker_service::handle(http_request Request) {
  while (Model.Faults.IsPaused) {
    asio::steady_timer Timer(Context, PausePoll);
    co_await Timer.async_wait(asio::use_awaitable);
  }
  const instant Now = readProcessClock();
  const std::string Path(Request.path());
  if (Path == "/v1/reserve")
    co_return answer<reserve_request>(Request.Body, [&](const auto &Message) {
      return Model.reserve(Message, Now);
    });
  if (Path == "/v1/start")
    co_return answer<start_request>(Request.Body, [&](const auto &Message) {
      return Model.start(Message, Now);
    });
  if (Path == "/v1/release")
    co_return answer<release_request>(Request.Body, [&](const auto &Message) {
      return Model.release(Message, Now);
    });
  if (Path == "/v1/renew")
    co_return answer<renew_request>(Request.Body, [&](const auto &Message) {
      return Model.renew(Message, Now);
    });
  if (Path == "/v1/throttle")
    co_return answer<throttle_request>(Request.Body, [&](const auto &Message) {
      return Model.throttle(Message, Now);
    });
  if (Path == "/v1/usage")
    co_return jsonResponse(200, json(Model.usage(Now)).dump());
  co_return jsonResponse(404, R"({"error":"not found"})");
}

} // namespace galenastage::standin
