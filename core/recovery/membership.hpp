#pragma once

// Who else runs: the platform's instance list, which lags, joined with direct
// heartbeats. A reducer without clock or I/O.
//
// Index of this file
// [1] Members
// [2] Events
// [3] Questions

#include "core/types.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace galenastage {

// [1] Members

enum class process_kind { Entry, Scheduler };

std::string_view name(process_kind Kind);

/// One process of the system as others know it.
struct member {
  instance_id Name;                        //
  data_centre_id DataCentre;               //
  process_kind Kind = process_kind::Entry; //
  endpoint Address;              // where peers connect; may be unknown
  std::uint64_t Incarnation = 0; // of the process; grows with each start. 0:
                                 // listed and never heard
  std::uint64_t Version = 0;     // of the tables in force there
  bool IsListed = false;         //
  bool IsLeaving = false;        // by the list
  instant LastHeard = instant::min(); // directly or through a peer

  friend bool operator==(const member &, const member &) = default;
};

struct membership {
  std::map<instance_id, member> Members;
  milliseconds SilentAfter{1'500};  // a silent member isn't counted as live
  milliseconds ForgetAfter{30'000}; // an unlisted silent one is forgotten
};

// [2] Events

/// The list names these members; those it no longer names stay while heard.
void takeList(membership &Membership, const std::vector<member> &Listed);

/// A member was heard. False when it is an older incarnation than the known
/// one: whatever it said is not to be used. A newer process on the same address
/// replaces the one that was there.
bool takeHeartbeat(membership &Membership, const member &Heard);

/// Forgets members that are neither listed nor heard.
void expireMembers(membership &Membership, instant Now);

// [3] Questions

[[nodiscard]] bool isLive(const membership &Membership, const member &Member,
                          instant Now);

/// Live entry instances of a data centre with Self among them, in rendezvous
/// order for this purpose: the same order at everyone who knows the same
/// members, and nearly the same when a member comes or goes.
std::vector<instance_id> rankMembers(const membership &Membership,
                                     const data_centre_id &DataCentre,
                                     process_kind Kind, const instance_id &Self,
                                     std::string_view Purpose, instant Now);

} // namespace galenastage
