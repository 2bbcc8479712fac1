#pragma once

// Shares of executors that are safe while the instance list lags: all entry
// instances together never use more slots than an executor has.
//
// A smaller share counts at once, a larger one only when every list of the last
// ShareWait gives it. ShareWait covers the lag of the list plus the longest
// request, so that
//   - a new instance starts when the others have seen it and have finished what
//     they had in progress above their smaller shares;
//   - the share of one that left is taken over when its last requests have
//     surely ended.

#include "core/types.hpp"

#include <span>
#include <vector>

namespace galenastage {

/// A list of members and when it was in force, as far as this instance knows.
struct member_list {
  std::vector<instance_id> Members; // sorted
  instant FirstSeen;
  instant LastSeen;

  friend bool operator==(const member_list &, const member_list &) = default;
};

/// Every list that was in force during the last ShareWait, the newest last.
struct member_history {
  std::vector<member_list> Lists;
  bool IsComplete = false; // whether it reaches back that far

  friend bool operator==(const member_history &,
                         const member_history &) = default;
};

/// Adds what the list says now and forgets what is older than ShareWait.
void noteMembers(member_history &History, std::span<const instance_id> Members,
                 instant Now, milliseconds ShareWait);

/// Whether Self has been listed for as long as a new instance has to wait.
bool isSettled(const member_history &History, const instance_id &Self);

/// Slots of the executor that Self may use now.
int safeShare(const member_history &History, const executor_id &Executor,
              const instance_id &Self, int Slots);

/// The size of the smallest list; at least 1.
int fewestMembers(const member_history &History);

} // namespace galenastage
