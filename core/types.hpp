#pragma once

// Index of this file
// [1] Time
// [2] Identifiers
// [3] Verdict
// [4] Class of work
// [5] Visiting a variant

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace galenastage {

// [1] Time

using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

/// A monotonic clock, valid only within one process. The core never reads it:
/// instants arrive in events.
struct process_clock {
  using duration = milliseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<process_clock>;
};

/// An instant on the monotonic clock of this process, for measuring ages.
using instant = process_clock::time_point;

/// A UTC wall-clock time, for records that outlive the process.
using wall_instant = std::chrono::sys_time<milliseconds>;

// [2] Identifiers

/// A strongly typed name: names of different kinds don't mix.
template <typename Tag> struct identifier {
  std::string Value; // empty means "none"

  identifier() = default;
  explicit identifier(std::string Value) : Value(std::move(Value)) {}

  [[nodiscard]] bool isEmpty() const { return Value.empty(); }
  friend auto operator<=>(const identifier &, const identifier &) = default;
  friend bool operator==(const identifier &, const identifier &) = default;
};

using job_id = identifier<struct job_tag>;
using worker_id = identifier<struct worker_tag>;
using rack_id = identifier<struct rack_tag>;
using data_centre_id = identifier<struct data_centre_tag>;
using organisation_id = identifier<struct organisation_tag>;
using pool_id = identifier<struct pool_tag>;
using route_id = identifier<struct route_tag>;
using service_id = identifier<struct service_tag>;
using executor_id = identifier<struct executor_tag>;
using instance_id = identifier<struct instance_tag>;

/// A numeric address and port.
struct endpoint {
  std::string Address;    // numeric IPv4 or IPv6 address
  std::uint16_t Port = 0; //

  friend auto operator<=>(const endpoint &, const endpoint &) = default;
  friend bool operator==(const endpoint &, const endpoint &) = default;
};

/// A fencing token that grows with each change of the leader of a data centre.
/// A worker refuses an epoch lower than the highest it has seen.
using epoch = std::uint64_t;

// [3] Verdict

/// Whether work may have run. Decides whether a retry is safe and what the
/// client is told.
enum class verdict {
  NotRun,  // certain: no byte of it reached a process that could run it
  Ran,     // certain: a complete answer says so
  Unknown, // bytes were sent and no complete answer was received
};

/// Returns the spelling used in headers and JSON: "not-run", "ran" or
/// "unknown".
std::string_view name(verdict Verdict);

// [4] Class of work

/// How urgent work is, from the most to the least urgent.
enum class work_class { Urgent, Ordinary, Patient };

std::string_view name(work_class Class);

// [5] Visiting a variant

/// Combines lambdas into one visitor for std::visit.
template <typename... Lambdas> struct overloaded : Lambdas... {
  using Lambdas::operator()...;
};
template <typename... Lambdas> overloaded(Lambdas...) -> overloaded<Lambdas...>;

} // namespace galenastage

template <typename Tag> struct std::hash<galenastage::identifier<Tag>> {
  std::size_t operator()(const galenastage::identifier<Tag> &Id) const {
    return std::hash<std::string>{}(Id.Value);
  }
};
