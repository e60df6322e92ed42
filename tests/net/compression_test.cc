#include "net/compression.h"

#include <gtest/gtest.h>

#include <string>

namespace savoryglade {
namespace {

constexpr std::size_t kMaxBytes = 1024 * 1024;

TEST(CompressionTest, BytesAreTheSameAfterDecompression) {
  for (const std::size_t size : {0U, 1U, 5000U, 300'000U}) {
    std::string bytes;
    for (std::size_t i = 0; i < size; ++i) {
      bytes += static_cast<char>(i * i % 251);
    }
    EXPECT_EQ(Decompress(Compress(bytes), kMaxBytes), bytes);
  }
}

TEST(CompressionTest, RepetitiveBytesExceedTheFirstGuessOfTheSize) {
  const std::string bytes(500'000, 'x');
  EXPECT_EQ(Decompress(Compress(bytes), kMaxBytes), bytes);
}

TEST(CompressionTest, MalformedAndTruncatedBytesAreRejected) {
  const std::string compressed = Compress(std::string(1000, 'x'));
  EXPECT_FALSE(Decompress("no zlib", kMaxBytes));
  EXPECT_FALSE(Decompress({}, kMaxBytes));
  EXPECT_FALSE(Decompress(compressed.substr(0, compressed.size() / 2), kMaxBytes));
}

// Guards against a small document that fills the memory.
TEST(CompressionTest, ResultsBeyondTheMaximumSizeAreRejected) {
  EXPECT_FALSE(Decompress(Compress(std::string(2000, 'x')), 1999));
  EXPECT_TRUE(Decompress(Compress(std::string(2000, 'x')), 2000));
}

}  // namespace
}  // namespace savoryglade
