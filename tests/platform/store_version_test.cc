#include "platform/store_version.h"

#include <gtest/gtest.h>

namespace savoryglade::platform {
namespace {

TEST(StoreVersionTest, VersionsOfALaterEraAreGreater) {
  EXPECT_LT(StoreVersion(1, 900).Pack(), StoreVersion(1, 901).Pack());
  EXPECT_LT(StoreVersion(1, 900).Pack(), StoreVersion(2, 5).Pack());
  EXPECT_EQ(StoreVersion::Unpack(StoreVersion(3, 7).Pack()), StoreVersion(3, 7));
}

// Guards against a missing row, whose version is zero, that seems to have been written.
TEST(StoreVersionTest, NoVersionIsZeroInAllEras) { EXPECT_EQ(StoreVersion(3, 0).Pack(), 0U); }

}  // namespace
}  // namespace savoryglade::platform
