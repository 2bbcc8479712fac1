#pragma once

#include "core/config/tables.hpp"

#include <span>
#include <string_view>

namespace galenastage {

/// Returns the route whose path prefix is the longest that matches, or null. A
/// prefix matches whole path segments: /tiles matches /tiles/7, not /tilesets.
const route *matchRoute(const tables &Tables, std::string_view Path);

/// How many of an executor's slots this entry instance may use, so that all
/// entry instances together never use more than it has. Shares differ by one at
/// most; rendezvous hashing decides who gets the odd ones, so that a member
/// that comes or goes changes few of them.
int slotShare(const executor_id &Executor, const instance_id &Self,
              std::span<const instance_id> Members, int Slots);

/// How many idle connections to one executor each traffic thread may keep, so
/// that those of all entry instances and the ones in use stay below the limit.
/// An eighth is left free: an executor may see a new connection before it sees
/// that the old one is closed.
int idleConnectionShare(int Connections, int Slots, int Members, int Threads);

} // namespace galenastage
