#pragma once

// Shares of executors that are safe while the instance list lags: all entry
// instances together never use more slots than an executor has.
//
// A smaller share applies immediately, a larger one only once every list of the
// last ShareWait allows it. ShareWait covers the lag of the list plus the
// longest request, so that
//   - a new instance starts only after the others have seen it and have
//   finished
//     the requests that exceed their smaller shares;
//   - the share of an instance that left is taken over only after its last
//     requests must have ended.

#include "core/types.hpp"

#include <span>
#include <vector>

namespace galenastage {

/// A list of members and when this instance saw it.
struct member_list {
  std::vector<instance_id> Members; // sorted
  instant FirstSeen;
  instant LastSeen;

  friend bool operator==(const member_list &, const member_list &) = default;
};

/// Every list seen during the last ShareWait, oldest first.
struct member_history {
  std::vector<member_list> Lists;
  bool IsComplete = false; // whether it covers a full ShareWait

  friend bool operator==(const member_history &,
                         const member_history &) = default;
};

/// Adds the current list and removes lists older than ShareWait.
void noteMembers(member_history &History, std::span<const instance_id> Members,
                 instant Now, milliseconds ShareWait);

/// Whether Self has been in every list for a full ShareWait.
bool isSettled(const member_history &History, const instance_id &Self);

/// Slots of the executor that Self may use now.
int safeShare(const member_history &History, const executor_id &Executor,
              const instance_id &Self, int Slots);

/// The size of the smallest list; at least 1.
int fewestMembers(const member_history &History);

} // namespace galenastage
