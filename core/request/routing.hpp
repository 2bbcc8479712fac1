#pragma once

#include "core/config/tables.hpp"

#include <span>
#include <string_view>

namespace galenastage {

/// Returns the route whose path prefix is the longest that matches, or null. A
/// prefix matches whole path segments: /tiles matches /tiles/7, not /tilesets.
const route *matchRoute(const tables &Tables, std::string_view Path);

/// How many of an executor's slots this entry instance may use. The shares of
/// all entry instances add up to Slots and differ by one at most; rendezvous
/// hashing assigns the remainder, so that a member that joins or leaves changes
/// few of these assignments.
int slotShare(const executor_id &Executor, const instance_id &Self,
              std::span<const instance_id> Members, int Slots);

/// How many idle connections to one executor each traffic thread may keep, so
/// that the idle and busy connections of all entry instances stay below the
/// limit. An eighth of the limit is reserved, because an executor may accept a
/// new connection before it notices that the old one is closed.
int idleConnectionShare(int Connections, int Slots, int Members, int Threads);

} // namespace galenastage
