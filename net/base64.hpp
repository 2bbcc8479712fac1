#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace galenastage {

/// Base64 with padding (RFC 4648), as the key-value service's JSON API uses it.
std::string encodeBase64(std::string_view Bytes);

/// Nullopt when the text isn't base64.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace galenastage
