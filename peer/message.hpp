#pragma once

#include "core/recovery/relay.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace galenastage {

/// Version of the encoding. A reader takes every message of its own or a lower
/// version, ignores fields it doesn't know, and drops what is newer. A field
/// that old programs can do without is added without a new version.
inline constexpr int PeerProtocolVersion = 1;

/// Encodes a message as CBOR.
std::string printPeerMessage(const peer_message &Message);

/// Reads a message; nullopt when the bytes aren't one.
std::optional<peer_message> parsePeerMessage(std::string_view Bytes);

} // namespace galenastage
