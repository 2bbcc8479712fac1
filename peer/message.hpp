#pragma once

#include "core/recovery/relay.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace galenastage {

/// Version of the encoding. A reader accepts messages of its own and lower
/// versions, ignores unknown fields, and drops messages of a higher version. A
/// field that older readers may ignore doesn't need a new version.
inline constexpr int PeerProtocolVersion = 1;

/// Encodes a message as CBOR.
std::string printPeerMessage(const peer_message &Message);

/// Decodes a message; nullopt when the bytes are malformed or of a newer
/// version.
std::optional<peer_message> parsePeerMessage(std::string_view Bytes);

} // namespace galenastage
