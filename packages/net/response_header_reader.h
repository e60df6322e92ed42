#pragma once

#include <boost/beast/http/fields.hpp>
#include <cstddef>
#include <string>
#include <string_view>

namespace savoryglade {

// Reads the header of the first final response in bytes that are passed on unchanged. Interim
// responses (status 1xx) are skipped.
class ResponseHeaderReader {
 public:
  // Reads on. Returns true when these bytes complete the header; at most once.
  bool Append(std::string_view bytes);

  // Valid once Append has returned true.
  unsigned status() const { return status_; }
  const boost::beast::http::fields& header() const { return header_; }

 private:
  // Largest header that is read, with the interim responses before it.
  static constexpr std::size_t kMaxBytes = 32 * 1024;

  std::string bytes_;
  // True once the header is complete, too large, or no HTTP response.
  bool done_ = false;
  unsigned status_ = 0;
  boost::beast::http::fields header_;
};

}  // namespace savoryglade
