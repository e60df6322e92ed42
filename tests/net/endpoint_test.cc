#include "net/endpoint.h"

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

// Guards against accepting host names and trailing text, which would fail only at the first
// connection.
TEST(EndpointTest, RejectsTextOtherThanAnAddressWithAPort) {
  for (const char* text : {"", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:80x",
                           "127.0.0.1:70000", "1.2.3:80"}) {
    EXPECT_FALSE(ParseEndpoint(text)) << text;
  }
  EXPECT_EQ(ParseEndpoint("[::1]:80")->address, "::1");
  EXPECT_EQ(ToString(*ParseEndpoint("[::1]:80")), "[::1]:80");
}

}  // namespace
}  // namespace savoryglade
