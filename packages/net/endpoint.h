#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"

namespace savoryglade {

// IP address and port. Port 0 in a listener means that the system chooses one.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

// Parses "127.0.0.1:8080" or "[::1]:8080". Names are not resolved.
Result<Endpoint> ParseEndpoint(std::string_view text);

// Prints an endpoint in the form that ParseEndpoint takes.
std::string ToString(const Endpoint& endpoint);

}  // namespace savoryglade
