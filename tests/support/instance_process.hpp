#pragma once

// Runs the instance program as a process of its own on a loopback address, on a
// stand-in of the platform's store, with limits chosen by the test.

#include "standin/metadata_service.hpp"

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace galenastage::test {

/// A configuration with a public queue, /open/ of host h, and the limits of the
/// deployments.
extern const char *const PublicQueueConfig;

/// Limits of the simulated machine. They go into the settings file, and the
/// descriptors into the limit of the process.
struct machine_limits {
  int MemoryMb = 64;
  int Descriptors = 512;

  friend bool operator==(const machine_limits &,
                         const machine_limits &) = default;
};

/// What a process holds, as its kernel reports it.
struct process_usage {
  std::int64_t PeakBytes = 0;   // largest resident set since the start
  std::int64_t UnreadBytes = 0; // received on its sockets and not yet read
  int Descriptors = 0;          // open now

  friend bool operator==(const process_usage &,
                         const process_usage &) = default;
};

/// The metadata store on a thread of its own.
class store_thread {
public:
  store_thread();
  ~store_thread();
  store_thread(const store_thread &) = delete;
  store_thread &operator=(const store_thread &) = delete;

  [[nodiscard]] endpoint address() const { return Service.localEndpoint(); }
  /// Runs the function on the store's thread and waits for it.
  void
  run(const std::function<void(standin::metadata_service &Service)> &Function);

private:
  asio::io_context Context{1};
  standin::metadata_service Service{Context, {"127.0.0.1", 0}};
  std::thread Thread;
};

/// One instance, ready when the constructor returns. The destructor kills it.
class instance_process {
public:
  /// Throws std::runtime_error when the instance doesn't become ready.
  instance_process(const machine_limits &Limits, const endpoint &Store);
  ~instance_process();
  instance_process(const instance_process &) = delete;
  instance_process &operator=(const instance_process &) = delete;

  [[nodiscard]] const endpoint &front() const { return Front; }
  [[nodiscard]] const endpoint &ready() const { return Ready; }
  [[nodiscard]] endpoint metrics() const { return {Front.Address, 7'000}; }
  [[nodiscard]] bool isAlive();
  [[nodiscard]] process_usage usage() const;
  /// Waits until the instance reports that it is ready; false after a while.
  [[nodiscard]] bool waitUntilReady() const;
  /// Waits until the front answers the request with 200; false after a while.
  [[nodiscard]] bool waitUntilServing(const std::string &Request) const;

private:
  std::filesystem::path Folder; // settings file and log
  endpoint Front;
  endpoint Ready;
  pid_t Process = -1;
};

/// Status of the answer to one request on a connection of its own; 0 when the
/// connection ends, or nothing arrives for a long time, before the status.
int askOnce(const endpoint &To, const std::string &Request);

} // namespace galenastage::test
