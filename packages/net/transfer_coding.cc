#include "net/transfer_coding.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <iterator>

namespace savoryglade {

bool HasUnsupportedTransferCoding(const boost::beast::http::fields& header, unsigned version) {
  namespace http = boost::beast::http;
  const auto [first, last] = header.equal_range(http::field::transfer_encoding);
  if (first == last) {
    return false;
  }
  const bool is_single = std::next(first) == last;
  return version < 11 || !is_single || !boost::beast::iequals(first->value(), "chunked");
}

}  // namespace savoryglade
