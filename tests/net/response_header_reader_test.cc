#include "net/response_header_reader.h"

#include <gtest/gtest.h>

#include <string>
#include <string_view>

namespace savoryglade {
namespace {

constexpr std::string_view kResponse =
    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 4\r\nContent-Length: 2\r\n\r\nno";

// Guards against a header that is missed because of the pieces in which it arrives.
TEST(ResponseHeaderReaderTest, ReadsTheFinalHeaderWhateverThePieces) {
  for (std::size_t size = 1; size <= kResponse.size(); ++size) {
    ResponseHeaderReader reader;
    int completed = 0;
    for (std::size_t i = 0; i < kResponse.size(); i += size) {
      completed += reader.Append(kResponse.substr(i, size)) ? 1 : 0;
    }
    EXPECT_EQ(completed, 1) << size;
    EXPECT_EQ(reader.status(), 503U);
    EXPECT_EQ(reader.header()["Retry-After"], "4");
  }
}

// Guards against bytes that are kept without end, and against bytes that are no response.
TEST(ResponseHeaderReaderTest, GivesUpOnWhatIsNoResponse) {
  const std::string endless = "HTTP/1.1 200 OK\r\n" + std::string(64 * 1024, 'x');
  for (const std::string& bytes :
       {endless, std::string("SSH-2.0-x\r\n\r\n"), std::string(8, '\0')}) {
    ResponseHeaderReader reader;
    EXPECT_FALSE(reader.Append(bytes));
    EXPECT_FALSE(reader.Append(kResponse));
  }
}

}  // namespace
}  // namespace savoryglade
