#include "core/verdict.h"

#include <set>
#include <string_view>

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

// Guards against a reason added to the enum without a name, which callers would see as an empty
// string.
TEST(VerdictTest, EachReasonHasAUniqueName) {
  std::set<std::string_view> names;
  for (int i = 0; i < static_cast<int>(Reason::kCount); ++i) {
    const std::string_view name = ToString(static_cast<Reason>(i));
    EXPECT_FALSE(name.empty()) << "reason " << i;
    EXPECT_TRUE(names.insert(name).second) << name;
  }
}

}  // namespace
}  // namespace savoryglade
