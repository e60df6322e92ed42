#include "net/compression.h"

#include <zlib.h>

#include <algorithm>
#include <new>

namespace savoryglade {
namespace {

// Usual ratio of text that repeats its field names; the first guess of the decompressed size.
constexpr std::size_t kExpectedRatio = 8;
constexpr std::size_t kMinBufferBytes = 4 * 1024;

}  // namespace

std::string Compress(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string compressed(size, '\0');
  const int status =
      compress2(reinterpret_cast<Bytef*>(compressed.data()), &size,
                reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
  if (status != Z_OK) {
    // The buffer has the size that zlib demands, so only memory can be lacking.
    throw std::bad_alloc();
  }
  compressed.resize(size);
  compressed.shrink_to_fit();
  return compressed;
}

Result<std::string> Decompress(std::string_view compressed, std::size_t max_size) {
  std::size_t capacity =
      std::min(std::max(kMinBufferBytes, compressed.size() * kExpectedRatio), max_size);
  while (true) {
    std::string bytes(capacity, '\0');
    uLongf size = bytes.size();
    const int status =
        uncompress(reinterpret_cast<Bytef*>(bytes.data()), &size,
                   reinterpret_cast<const Bytef*>(compressed.data()), compressed.size());
    if (status == Z_OK) {
      bytes.resize(size);
      return bytes;
    }
    if (status != Z_BUF_ERROR || capacity == max_size) {
      return tl::make_unexpected(
          Error{.code = ErrorCode::kInvalid, .message = "The compressed bytes are invalid."});
    }
    capacity = std::min(capacity * 2, max_size);
  }
}

}  // namespace savoryglade
