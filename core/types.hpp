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

/// A clock that only moves forward and means nothing outside its process. The
/// core never reads it: instants arrive inside events.
struct process_clock {
  using duration = milliseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<process_clock>;
};

/// A moment on the clock of this process. Ages are measured with it.
using instant = process_clock::time_point;

/// A moment of the calendar, in UTC, for records that outlive the process.
using wall_instant = std::chrono::sys_time<milliseconds>;

// [2] Identifiers

/// A name that can't be confused with a name of another kind.
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

/// An address and port, by number.
struct endpoint {
  std::string Address;    // IPv4 or IPv6, as a number
  std::uint16_t Port = 0; //

  friend auto operator<=>(const endpoint &, const endpoint &) = default;
  friend bool operator==(const endpoint &, const endpoint &) = default;
};

/// Counts the schedulers that have led one data centre. A worker refuses an
/// epoch lower than the highest it has seen.
using epoch = std::uint64_t;

// [3] Verdict

/// Says whether a piece of work may have run. It decides whether a retry is
/// safe and what a caller is told.
enum class verdict {
  NotRun,  // certain: no byte of the work reached anyone who could run it
  Ran,     // certain: a complete answer says so
  Unknown, // bytes left and no complete answer came back
};

/// Returns the spelling used in headers and JSON: "not-run", "ran" or
/// "unknown".
std::string_view name(verdict Verdict);

// [4] Class of work

/// How long work may wait. Orders from the most to the least pressing.
enum class work_class { Urgent, Ordinary, Patient };

std::string_view name(work_class Class);

// [5] Visiting a variant

/// Joins lambdas into one visitor for std::visit.
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
