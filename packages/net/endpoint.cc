#include "net/endpoint.h"

#include <fmt/format.h>

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace savoryglade {

Result<Endpoint> ParseEndpoint(std::string_view text) {
  const Error error{.code = ErrorCode::kInvalid,
                    .message = fmt::format("\"{}\" is not an IP address with a port.", text)};
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return tl::make_unexpected(error);
  }
  std::string_view address = text.substr(0, colon);
  if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  const std::string_view digits = text.substr(colon + 1);
  Endpoint endpoint{.address = std::string(address)};
  const auto [end, code] =
      std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
  boost::system::error_code parse_error;
  boost::asio::ip::make_address(endpoint.address, parse_error);
  if (parse_error || code != std::errc() || end != digits.data() + digits.size()) {
    return tl::make_unexpected(error);
  }
  return endpoint;
}

std::string ToString(const Endpoint& endpoint) {
  const bool is_v6 = endpoint.address.find(':') != std::string::npos;
  return is_v6 ? fmt::format("[{}]:{}", endpoint.address, endpoint.port)
               : fmt::format("{}:{}", endpoint.address, endpoint.port);
}

}  // namespace savoryglade
