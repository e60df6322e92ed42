#include "admin/explain.h"

#include <gtest/gtest.h>

namespace savoryglade {
namespace {

constexpr const char* kLog =
    "info gateway: An attempt ended without its answer. request=a1 route=r upstream=w1 step=2 "
    "end=1 ms=40\n"
    "info gateway: A request has its answer. request=b2 route=r account=drivers upstream=w2 "
    "status=200 ms=41\n"
    "noise = = \"\n"
    "info gateway: A request got no answer of an upstream. request=a1 route=r account=drivers "
    "reason=upstream_lost verdict=may_have_run upstream=w1 connects=1 sent=1 routes_version=12 "
    "ms=41\n"
    "info gateway: A request got no answer of an upstream. request=a11 route=r account=\"\" "
    "reason=unknown_key verdict=not_run ms=0\n";

TEST(ExplainTest, FailedRequestHasItsLinesAndItsReason) {
  const auto text = ExplainRequest(kLog, "a1");
  ASSERT_TRUE(text);
  EXPECT_EQ(
      *text,
      "Request a1:\n"
      "  info gateway: An attempt ended without its answer. request=a1 route=r upstream=w1 step=2 "
      "end=1 ms=40\n"
      "  info gateway: A request got no answer of an upstream. request=a1 route=r account=drivers "
      "reason=upstream_lost verdict=may_have_run upstream=w1 connects=1 sent=1 routes_version=12 "
      "ms=41\n"
      "It ended with reason upstream_lost, verdict may_have_run. The upstream connection failed or "
      "its response can't be forwarded, and the request may not be repeated, or not once more.\n");
}

TEST(ExplainTest, CompletedRequestHasItsStatus) {
  const auto text = ExplainRequest(kLog, "b2");
  ASSERT_TRUE(text);
  EXPECT_NE(text->find("with status 200"), std::string::npos);
}

// Guards against including a request whose id begins with the requested id.
TEST(ExplainTest, IgnoresIdsThatOnlyShareAPrefix) {
  const auto text = ExplainRequest(kLog, "a11");
  ASSERT_TRUE(text);
  EXPECT_EQ(text->find("upstream_lost"), std::string::npos);
  EXPECT_NE(text->find("unknown_key"), std::string::npos);
}

TEST(ExplainTest, UnknownRequestIsNotFound) {
  const auto text = ExplainRequest(kLog, "zz");
  ASSERT_FALSE(text);
  EXPECT_EQ(text.error().code, ErrorCode::kNotFound);
}

}  // namespace
}  // namespace savoryglade
