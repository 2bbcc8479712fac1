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

} // namespace galenastage
