#pragma once

#include "net/http.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace galenastage {

/// Read the clocks. Not for the core, which gets the time in its events.
instant readClock();
wall_instant readWallClock();

/// Random hexadecimal digits for ids and tokens.
std::string randomHex(std::size_t Digits);

/// Suspends the calling coroutine.
task<void> sleepFor(asio::io_context &Context, milliseconds Duration);

/// I/O threads, each with its own single-threaded io_context, so that handlers
/// of one context need no locks.
class io_threads {
public:
  explicit io_threads(int Count);
  ~io_threads(); // stops and joins
  io_threads(const io_threads &) = delete;
  io_threads &operator=(const io_threads &) = delete;

  [[nodiscard]] int count() const { return static_cast<int>(Contexts.size()); }
  asio::io_context &context(int Index) { return *Contexts[Index]; }

  /// Starts the threads. Call after all handlers have been set up.
  void start();
  void stop();

private:
  using work_guard = asio::executor_work_guard<asio::io_context::executor_type>;

  std::vector<std::unique_ptr<asio::io_context>> Contexts;
  std::vector<work_guard> Guards;
  std::vector<std::thread> Threads;
};

/// blockStopSignals masks the stop signals; call it before any thread starts,
/// so that all threads inherit the mask. waitForStop then blocks until SIGTERM
/// or SIGINT.
void blockStopSignals();
void waitForStop();

enum class process_signal { Stop, Reload };

/// Like waitForStop, but also returns on SIGHUP, which requests a reload.
process_signal waitForSignal();

} // namespace galenastage
