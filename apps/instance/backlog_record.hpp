#pragma once

// The leader's backlog in the store, which other instances admit new jobs by.

#include "core/job/batch/scheduler.hpp"

namespace galenastage {

struct backlog_record {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0; // in the term
  batch::backlog Backlog;

  friend bool operator==(const backlog_record &,
                         const backlog_record &) = default;
};

/// Serialises the record for the store, amounts of work as whole core-seconds.
std::string printBacklog(const backlog_record &Record);

/// The record, or why it can't be used: unreadable or of another version.
struct parsed_backlog {
  std::optional<backlog_record> Record;
  std::string Reason;
};
parsed_backlog parseBacklog(const std::string &Text);

/// The last backlog that an instance has read. Its age counts on the reader's
/// steady clock, from when the instance first read this publication, so that
/// neither a step of a clock nor a record that nobody renews refuses jobs.
class backlog_view {
public:
  static constexpr milliseconds ReadInterval{500};
  static constexpr milliseconds MaxAge{3'000};

  /// Whether to read the record now. A read counts as begun.
  bool beginRead(instant Now);
  /// Takes over what was read; nullopt: there is no record. Logs a record that
  /// can't be used, once for each text.
  void note(const std::optional<std::string> &Text, instant Now);
  /// Null when there is none, it is older than MaxAge, or no other one of its
  /// term was read within MaxAge before it.
  [[nodiscard]] const backlog_record *current(instant Now) const;
  [[nodiscard]] milliseconds age(instant Now) const { return Now - FirstRead; }

private:
  std::optional<backlog_record> Record;
  std::string Unusable; // text that was logged last
  instant FirstRead{};
  bool IsLive = false; // it followed another one within MaxAge
  instant LastBegun{};
};

} // namespace galenastage
