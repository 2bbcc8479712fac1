#include "apps/runtime/process.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <ctime>
#include <pthread.h>
#include <random>

namespace galenastage {
namespace {

sigset_t handledSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  return Signals;
}

} // namespace

instant readClock() {
  // Unlike the steady clock, this clock also advances while the machine is
  // suspended, as leases do.
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return instant(std::chrono::duration_cast<milliseconds>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec)));
}

wall_instant readWallClock() {
  return std::chrono::time_point_cast<milliseconds>(
      std::chrono::system_clock::now());
}

std::string randomHex(std::size_t Digits) {
  static thread_local std::mt19937_64 Engine = [] {
    std::random_device Device;
    std::seed_seq Seed{Device(), Device(), Device(), Device()};
    return std::mt19937_64(Seed);
  }();
  static constexpr std::string_view Alphabet = "0123456789abcdef";
  std::string Text;
  for (std::size_t I = 0; I < Digits; ++I)
    Text.push_back(Alphabet[Engine() % Alphabet.size()]);
  return Text;
}

task<void> sleepFor(asio::io_context &Context, milliseconds Duration) {
  asio::steady_timer Timer(Context, Duration);
  co_await Timer.async_wait(asio::use_awaitable);
}

io_threads::io_threads(int Count) {
  for (int I = 0; I < Count; ++I) {
    Contexts.push_back(std::make_unique<asio::io_context>(1));
    Guards.push_back(asio::make_work_guard(*Contexts.back()));
  }
}

io_threads::~io_threads() { stop(); }

void io_threads::start() {
  for (auto &Context : Contexts)
    Threads.emplace_back([&Context] { Context->run(); });
}

void io_threads::stop() {
  for (auto &Context : Contexts)
    Context->stop();
  for (std::thread &Thread : Threads)
    Thread.join();
  Threads.clear();
}

void blockStopSignals() {
  const sigset_t Signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

process_signal waitForSignal() {
  const sigset_t Signals = handledSignals();
  int Received = 0;
  sigwait(&Signals, &Received);
  return Received == SIGHUP ? process_signal::Reload : process_signal::Stop;
}

void waitForStop() {
  while (waitForSignal() != process_signal::Stop) {
  }
}

} // namespace galenastage
