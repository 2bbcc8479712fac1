#pragma once

#include "core/request/dispatch_record.hpp"
#include "net/store.hpp"

#include <deque>
#include <memory>

namespace galenastage {

struct dispatch_log_settings {
  int WritesPerSecond = 3; // sustained rate of store calls of this instance

  // Calls that may be made back to back.
  static constexpr int Burst = 8;
  // Most records in one call; the store limits the operations of a transaction.
  static constexpr std::size_t GroupSize = 64;
};

/// Writes dispatch records by group commit: records that arrive while a call is
/// in progress are batched into the next one. Calls are rate limited so that
/// all entry instances together stay within their part of the store's budget.
/// Runs on one I/O thread; the member functions may be called from any thread.
class dispatch_log {
public:
  dispatch_log(asio::io_context &Context, const endpoint &Store,
               std::string LocalAddress, dispatch_log_settings Settings = {});
  ~dispatch_log();
  dispatch_log(const dispatch_log &) = delete;
  dispatch_log &operator=(const dispatch_log &) = delete;

  /// Result of creating or reading a record.
  struct record_result {
    std::error_code Error; // set: the request must not be dispatched
    std::optional<dispatch_record> Found; // the stored record, maybe not ours
  };

  /// Creates the record if the key has none, and returns the stored record.
  /// Fails at the deadline; the request must not be dispatched then.
  task<record_result> create(std::string Key, dispatch_record Record,
                             instant Deadline);

  /// Reads the record under a key.
  task<record_result> read(std::string Key);

  /// Replaces a record that this process created, or removes it when New is
  /// empty. Doesn't wait: until the write is applied, a repeated request gets
  /// the verdict "unknown", which is correct too.
  void replace(std::string Key, dispatch_record Old,
               std::optional<dispatch_record> New);

  /// Calls made to the store so far.
  [[nodiscard]] std::uint64_t calls() const;

  /// Whether no write is queued or in progress.
  [[nodiscard]] bool isIdle() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace galenastage
