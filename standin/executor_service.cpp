#include "standin/executor_service.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <charconv>

namespace galenastage::standin {
namespace {

constexpr int DefaultWorkMilliseconds = 5;
constexpr int MaxWorkMilliseconds = 60'000;

http_limits limitsFor(int Connections) {
  http_limits Limits;
  Limits.Connections = Connections;
  return Limits;
}

/// The work time that the query parameter work_ms requests.
milliseconds workTimeOf(const http_request &Request) {
  const std::string_view Text = Request.query("work_ms");
  int Value = DefaultWorkMilliseconds;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return milliseconds(std::clamp(Value, 0, MaxWorkMilliseconds));
}

http_response dropConnection() {
  http_response Response;
  Response.Status = 0;
  return Response;
}

/// A chunked response that ends early, as from a process that crashes while it
/// responds.
http_response cutAnswer() {
  http_response Response;
  Response.Headers.set("Content-Type", "application/json");
  Response.Stream = [](chunk_writer Write) -> task<void> {
    co_await Write("{\"executor\":");
    throw std::runtime_error("cut on purpose");
  };
  return Response;
}

} // namespace

executor_service::executor_service(asio::io_context &Context,
                                   const endpoint &Endpoint, std::string Name,
                                   int Slots, int Connections)
    : Context(Context), Name(std::move(Name)), Slots(Slots),
      Server(
          Context, Endpoint,
          [this](http_request Request) { return handle(std::move(Request)); },
          limitsFor(Connections)) {}

task<http_response> executor_service::handle(http_request Request) {
  if (Faults.RefusesAll || Busy >= Slots) {
    RefusedOverSlots += Busy >= Slots ? 1 : 0;
    co_return problemResponse(503, "overloaded", "no free slot",
                              verdict::NotRun);
  }
  ++Busy;
  MostAtOnce = std::max(MostAtOnce, Busy);
  http_response Response = co_await run(std::move(Request));
  --Busy;
  co_return Response;
}

task<http_response> executor_service::run(http_request Request) {
  const std::string Id(Request.Headers.find("Galenastage-Request-Id"));
  ledger_entry &Entry = Ledger[Id];
  ++Entry.Runs;
  Entry.IdempotencyKey = Request.Headers.find("Idempotency-Key");
  Entry.BodyHash = std::hash<std::string>{}(Request.Body);
  const int RunNumber = Entry.Runs;

  ++Answered;
  milliseconds Delay = workTimeOf(Request);
  Delay += milliseconds(Faults.DelayMilliseconds);
  if (Faults.JitterMilliseconds > 0) // odd requests take longer than even ones
    Delay += milliseconds(Answered % 2 * Faults.JitterMilliseconds);
  asio::steady_timer Timer(Context, Delay);
  co_await Timer.async_wait(asio::use_awaitable);

  if (Faults.DropsAnswers)
    co_return dropConnection();
  if (Faults.CutsAnswers)
    co_return cutAnswer();
  if (Faults.FailsAll)
    co_return jsonResponse(500, R"({"error":"failed on purpose"})");
  const nlohmann::json Answer = {{"executor", Name},
                                 {"request_id", Id},
                                 {"run", RunNumber},
                                 {"path", Request.path()},
                                 {"echo", Request.Body}};
  co_return jsonResponse(
      200,
      Answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace galenastage::standin
