#pragma once

#include "core/request/dispatch_record.hpp"
#include "net/store.hpp"

#include <deque>
#include <memory>

namespace galenastage {

struct dispatch_log_settings {
  int WritesPerSecond = 3; // calls of this instance, in the long run

  // Calls that may follow each other at once.
  static constexpr int Burst = 8;
  // Records written by one call. The store limits the operations of a call.
  static constexpr std::size_t GroupSize = 64;
};

/// Writes dispatch records by group commit: what arrives while a call is under
/// way goes with the next one, and calls are limited so that all entry
/// instances together stay within their part of the store's budget. Lives on
/// one I/O thread; others reach it through the awaitable functions.
class dispatch_log {
public:
  dispatch_log(asio::io_context &Context, const endpoint &Store,
               std::string LocalAddress, dispatch_log_settings Settings = {});
  ~dispatch_log();
  dispatch_log(const dispatch_log &) = delete;
  dispatch_log &operator=(const dispatch_log &) = delete;

  /// What became of an attempt to create a record.
  struct record_result {
    std::error_code Error;                // set: nothing may leave
    std::optional<dispatch_record> Found; // set: whose record there is
  };

  /// Creates a record if there is none under its key and reports the one that
  /// is there afterwards. Gives up at the deadline: nothing may leave then.
  task<record_result> create(std::string Key, dispatch_record Record,
                             instant Deadline);

  /// Reads the record under a key.
  task<record_result> read(std::string Key);

  /// Replaces a record of ours, or removes it when there is no new one. Doesn't
  /// wait: until it is done, a repeat is told "unknown", which is true as well.
  void replace(std::string Key, dispatch_record Old,
               std::optional<dispatch_record> New);

  /// Calls made to the store so far.
  [[nodiscard]] std::uint64_t calls() const;

  /// Whether everything has been written.
  [[nodiscard]] bool isIdle() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace galenastage
