#pragma once

#include <boost/beast/http/fields.hpp>

namespace savoryglade {

// Returns true if a message has a Transfer-Encoding other than a single "chunked". The length of
// such a message is ambiguous, or its body is coded in a way that this program does not remove
// (RFC 9112, section 6). HTTP/1.0, which is version 10, has no transfer codings.
bool HasUnsupportedTransferCoding(const boost::beast::http::fields& header, unsigned version);

}  // namespace savoryglade
