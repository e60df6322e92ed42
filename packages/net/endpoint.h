#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"

namespace savoryglade {

// IP address and port. Port 0 in a listener lets the system choose the port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

// Parses "127.0.0.1:8080" or "[::1]:8080"; host names are not resolved. Returns kInvalid for other
// text.
Result<Endpoint> ParseEndpoint(std::string_view text);

// Returns the endpoint in the form that ParseEndpoint accepts.
std::string ToString(const Endpoint& endpoint);

}  // namespace savoryglade
