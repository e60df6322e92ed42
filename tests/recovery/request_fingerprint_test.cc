#include "recovery/request_fingerprint.h"

#include <gtest/gtest.h>

#include <set>

namespace savoryglade {
namespace {

constexpr RequestParts kParts{.account = "office",
                              .scope = "host",
                              .method = "GET",
                              .target = "/stock?item=1",
                              .body = "body"};

RequestParts With(std::string_view RequestParts::*part, std::string_view value) {
  RequestParts parts = kParts;
  parts.*part = value;
  return parts;
}

TEST(RequestFingerprintTest, PathLeavesOutMethodAndQueryOnly) {
  const std::uint64_t path = FingerprintOf(kParts).path;
  EXPECT_EQ(FingerprintOf(With(&RequestParts::method, "HEAD")).path, path);
  EXPECT_EQ(FingerprintOf(With(&RequestParts::target, "/stock?item=2")).path, path);
  EXPECT_EQ(FingerprintOf(With(&RequestParts::target, "/stock")).path, path);
  EXPECT_NE(FingerprintOf(With(&RequestParts::target, "/stock/")).path, path);
  EXPECT_NE(FingerprintOf(With(&RequestParts::account, "drivers")).path, path);
  EXPECT_NE(FingerprintOf(With(&RequestParts::scope, "other")).path, path);
  EXPECT_NE(FingerprintOf(With(&RequestParts::body, "other")).path, path);
}

// Guards against requests that share a record because a text ends in another part.
TEST(RequestFingerprintTest, EachPartCounts) {
  std::set<std::uint64_t> requests = {FingerprintOf(kParts).request};
  for (const auto part : {&RequestParts::account, &RequestParts::scope, &RequestParts::method,
                          &RequestParts::target, &RequestParts::body}) {
    EXPECT_TRUE(requests.insert(FingerprintOf(With(part, "x")).request).second);
    EXPECT_TRUE(requests.insert(FingerprintOf(With(part, "")).request).second);
  }
  EXPECT_NE(FingerprintOf({.account = "ab", .scope = "c"}).request,
            FingerprintOf({.account = "a", .scope = "bc"}).request);
}

TEST(RequestFingerprintTest, LossesOfAPathAreRecordedForRequestsWithAQuery) {
  const RequestFingerprint with_query = FingerprintOf(kParts);
  EXPECT_EQ(with_query.LossKeys(),
            (std::vector<CrashKey>{{CrashSubject::kRequest, with_query.request},
                                   {CrashSubject::kPath, with_query.path}}));
  EXPECT_EQ(FingerprintOf(With(&RequestParts::target, "/stock")).LossKeys().size(), 1U);
}

}  // namespace
}  // namespace savoryglade
