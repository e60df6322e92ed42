#include "net/base64.h"

#include <boost/beast/core/detail/base64.hpp>

namespace savoryglade {

// Beast 1.81 has no public base64 header; base64.h keeps the internal one out of other files.
namespace base64 = boost::beast::detail::base64;

std::string EncodeBase64(std::string_view bytes) {
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

Result<std::string> DecodeBase64(std::string_view text) {
  std::string bytes(base64::decoded_size(text.size()), '\0');
  const auto [written, read] = base64::decode(bytes.data(), text.data(), text.size());
  if (text.substr(read).find_first_not_of('=') != std::string_view::npos) {
    return tl::make_unexpected(
        Error{.code = ErrorCode::kInvalid, .message = "The text is not base64."});
  }
  bytes.resize(written);
  return bytes;
}

}  // namespace savoryglade
