#include "net/response_header_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace savoryglade {

bool ResponseHeaderReader::Append(std::string_view bytes) {
  namespace http = boost::beast::http;
  constexpr unsigned kFirstFinalStatus = 200;
  if (done_) {
    return false;
  }
  bytes_ += bytes;
  while (true) {
    http::response_parser<http::empty_body> parser;
    // Only the header is parsed, whatever the body is.
    parser.skip(true);
    parser.header_limit(kMaxBytes);
    boost::beast::error_code error;
    const std::size_t size = parser.put(boost::asio::buffer(bytes_.data(), bytes_.size()), error);
    if (error == http::error::need_more && bytes_.size() < kMaxBytes) {
      return false;
    }
    if (error || !parser.is_header_done()) {
      break;
    }
    if (parser.get().result_int() >= kFirstFinalStatus) {
      done_ = true;
      status_ = parser.get().result_int();
      header_ = std::move(parser.get().base());
      break;
    }
    bytes_.erase(0, size);
  }
  const bool complete = done_;
  done_ = true;
  bytes_.clear();
  return complete;
}

}  // namespace savoryglade
