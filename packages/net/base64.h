#pragma once

#include <string>
#include <string_view>

#include "core/error.h"

namespace savoryglade {

// Encodes bytes as base64 with padding (RFC 4648, section 4).
std::string EncodeBase64(std::string_view bytes);

// Decodes base64. Returns kInvalid if the text is not base64.
Result<std::string> DecodeBase64(std::string_view text);

}  // namespace savoryglade
