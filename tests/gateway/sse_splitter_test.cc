#include "gateway/sse_splitter.h"

#include <gtest/gtest.h>

#include <string>

namespace savoryglade::gateway {
namespace {

TEST(SseSplitterTest, BuffersAnIncompleteEvent) {
  SseSplitter splitter;
  EXPECT_EQ(splitter.Append("id: 1\ndata: a\n"), "");
  EXPECT_EQ(splitter.Append("\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(splitter.last_id(), "1");
  EXPECT_EQ(splitter.partial_event(), "id: 2\nda");
}

// Guards against a partial event in a stream that was resumed at another upstream.
TEST(SseSplitterTest, ResetDiscardsAnIncompleteEventAndKeepsTheLastId) {
  SseSplitter splitter;
  splitter.Append("id: 1\ndata: a\n\nid: 2\nda");
  splitter.Reset();
  EXPECT_EQ(splitter.last_id(), "1");
  EXPECT_EQ(splitter.Append("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(splitter.last_id(), "2");
}

TEST(SseSplitterTest, SplitsSeveralEventsWithEitherLineEnding) {
  SseSplitter splitter;
  const std::string text = "id:1\r\ndata: a\r\n\r\nid:2\r\ndata: b\r\n\r\n";
  EXPECT_EQ(splitter.Append(text), text);
  EXPECT_EQ(splitter.last_id(), "2");
  EXPECT_TRUE(splitter.partial_event().empty());
}

// Guards against event boundaries that are missed because they arrive in pieces.
TEST(SseSplitterTest, SplitsEventsThatArriveByteByByte) {
  for (const std::string text :
       {"id:1\ndata: a\n\nid:2\ndata: b\n\n", "id:1\r\ndata: a\r\n\r\nid:2\r\ndata: b\r\n\r\n"}) {
    SseSplitter splitter;
    std::string events;
    for (const char byte : text) {
      events += splitter.Append({&byte, 1});
    }
    EXPECT_EQ(events, text);
    EXPECT_EQ(splitter.last_id(), "2");
    EXPECT_TRUE(splitter.partial_event().empty());
  }
}

}  // namespace
}  // namespace savoryglade::gateway
