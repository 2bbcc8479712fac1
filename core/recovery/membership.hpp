#pragma once

// The other running processes: the platform's instance list, which lags, merged
// with heartbeats. Pure state transitions without clock or I/O.
//
// Index of this file
// [1] Members
// [2] Events
// [3] Queries

#include "core/types.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace galenastage {

// [1] Members

enum class process_kind { Entry, Scheduler };

std::string_view name(process_kind Kind);

/// What is known of one process of the system.
struct member {
  instance_id Name;                        //
  data_centre_id DataCentre;               //
  process_kind Kind = process_kind::Entry; //
  endpoint Address;              // where peers connect; may be unknown
  std::uint64_t Incarnation = 0; // grows with each start of the process. 0:
                                 // listed, no heartbeat received yet
  std::uint64_t Version = 0;     // of the tables in force at that process
  bool IsListed = false;         //
  bool IsLeaving = false;        // according to the instance list
  instant LastHeard = instant::min(); // last heartbeat, direct or via a peer

  friend bool operator==(const member &, const member &) = default;
};

struct membership {
  std::map<instance_id, member> Members;
  milliseconds SilentAfter{1'500};  // no heartbeat for this long: not live
  milliseconds ForgetAfter{30'000}; // and not listed: removed
};

// [2] Events

/// Applies a new instance list. Members that are no longer listed stay while
/// their heartbeats arrive.
void applyInstanceList(membership &Membership,
                       const std::vector<member> &Listed);

/// Applies a heartbeat. False when it comes from an older incarnation than the
/// known one, or from a process whose address a newer one has taken over: the
/// caller must ignore the message. A newer process replaces the previous one at
/// its address.
bool applyHeartbeat(membership &Membership, const member &Heard);

/// Removes unlisted members without a heartbeat within ForgetAfter.
void expireMembers(membership &Membership, instant Now);

// [3] Queries

[[nodiscard]] bool isLive(const membership &Membership, const member &Member,
                          instant Now);

/// Live members of this kind in a data centre, and Self, ordered by rendezvous
/// hashing for this purpose. Processes that know the same members compute the
/// same order, and a member that joins or leaves doesn't reorder the others.
std::vector<instance_id> rankMembers(const membership &Membership,
                                     const data_centre_id &DataCentre,
                                     process_kind Kind, const instance_id &Self,
                                     std::string_view Purpose, instant Now);

} // namespace galenastage
