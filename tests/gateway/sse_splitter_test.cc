#include "gateway/sse_splitter.h"

#include <gtest/gtest.h>

#include <string>

namespace savoryglade::gateway {
namespace {

TEST(SseSplitterTest, HoldsBackAnEventThatIsNotWhole) {
  SseSplitter events;
  EXPECT_EQ(events.Append("id: 1\ndata: a\n"), "");
  EXPECT_EQ(events.Append("\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(events.last_id(), "1");
  EXPECT_EQ(events.partial_event(), "id: 2\nda");
}

// Guards against a stream that goes on at another upstream with a torn event in between.
TEST(SseSplitterTest, ATornEventIsDroppedAndTheLastIdStays) {
  SseSplitter events;
  events.Append("id: 1\ndata: a\n\nid: 2\nda");
  events.Reset();
  EXPECT_EQ(events.last_id(), "1");
  EXPECT_EQ(events.Append("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(events.last_id(), "2");
}

TEST(SseSplitterTest, TakesSeveralEventsAtOnceAndBothLineEnds) {
  SseSplitter events;
  const std::string text = "id:1\r\ndata: a\r\n\r\nid:2\r\ndata: b\r\n\r\n";
  EXPECT_EQ(events.Append(text), text);
  EXPECT_EQ(events.last_id(), "2");
  EXPECT_TRUE(events.partial_event().empty());
}

}  // namespace
}  // namespace savoryglade::gateway
