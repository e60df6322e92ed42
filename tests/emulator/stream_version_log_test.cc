#include "emulator/stream_version_log.h"

#include <gtest/gtest.h>

namespace savoryglade {
namespace {

// Guards against a check that misses a stream of two versions.
TEST(StreamVersionLogTest, ReportsARunThatContinuesAtAnotherVersion) {
  StreamVersionLog log;
  log.OnRunStarted("a1", "v1", false);
  log.OnRunStarted("a1", "v1", true);
  EXPECT_TRUE(log.mixed_streams().empty());
  log.OnRunStarted("a1", "v2", true);
  EXPECT_EQ(log.mixed_streams(),
            (std::vector<MixedStream>{{.stream = "a1", .begun_by = "v1", .continued_by = "v2"}}));
  EXPECT_EQ(log.resumptions(), 2);
}

// Guards against a check that reports a stream whose first run brought nothing to its caller, and
// which therefore began again.
TEST(StreamVersionLogTest, AStreamThatBeginsAgainMayChangeItsVersion) {
  StreamVersionLog log;
  log.OnRunStarted("a1", "v1", false);
  log.OnRunStarted("a1", "v2", false);
  log.OnRunStarted("a1", "v2", true);
  EXPECT_TRUE(log.mixed_streams().empty());
  EXPECT_EQ(log.BegunBy("a1"), "v2");
}

}  // namespace
}  // namespace savoryglade
