#include "net/sse_reader.h"

#include <string>
#include <string_view>
#include <vector>

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

// Guards against events that are lost or merged when the stream is split at any byte.
TEST(SseReaderTest, StreamSplitAtAnyByteGivesTheSameEvents) {
  const std::string text = ": comment\n\nid: 1\ndata: one\n\ndata:two\n\n";
  for (std::size_t split = 0; split <= text.size(); ++split) {
    SseReader reader;
    std::vector<std::string> events;
    for (const std::string& part : {text.substr(0, split), text.substr(split)}) {
      reader.Compact();
      reader.buffer() += part;
      while (const auto data = reader.Next()) {
        events.emplace_back(*data);
      }
    }
    EXPECT_EQ(events, (std::vector<std::string>{"one", "two"})) << "split at " << split;
  }
}

}  // namespace
}  // namespace savoryglade
