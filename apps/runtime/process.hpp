#pragma once

#include "net/http.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace galenastage {

/// Reads the clocks. Only shells call these; the core gets time in events.
instant readClock();
wall_instant readWallClock();

/// Random hexadecimal digits for ids and tokens.
std::string randomHex(std::size_t Digits);

/// Suspends the calling coroutine.
task<void> sleepFor(asio::io_context &Context, milliseconds Duration);

/// I/O threads, each with an io_context of its own, so that what runs on one of
/// them needs no lock.
class io_threads {
public:
  explicit io_threads(int Count);
  ~io_threads(); // stops and joins
  io_threads(const io_threads &) = delete;
  io_threads &operator=(const io_threads &) = delete;

  [[nodiscard]] int count() const { return static_cast<int>(Contexts.size()); }
  asio::io_context &context(int Index) { return *Contexts[Index]; }

  /// Starts the threads. Call once everything is wired.
  void start();
  void stop();

private:
  using work_guard = asio::executor_work_guard<asio::io_context::executor_type>;

  std::vector<std::unique_ptr<asio::io_context>> Contexts;
  std::vector<work_guard> Guards;
  std::vector<std::thread> Threads;
};

/// Blocks until SIGTERM or SIGINT. Call before any thread is started, so that
/// they inherit the mask, and waitForStop after.
void blockStopSignals();
void waitForStop();

enum class process_signal { Stop, Reload };

/// As waitForStop, and SIGHUP asks for a reload.
process_signal waitForSignal();

} // namespace galenastage
