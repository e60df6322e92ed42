#include "gateway/sse_splitter.h"

#include <algorithm>
#include <cstddef>

namespace savoryglade::gateway {
namespace {

// Longest line ending that separates two events.
constexpr std::size_t kMaxSeparatorBytes = 4;

// Returns the position after the last empty line, or zero if there is none. The text before
// `searched` is known to have none.
std::size_t EndOfLastEvent(std::string_view text, std::size_t searched) {
  const std::size_t start = searched - std::min(searched, kMaxSeparatorBytes - 1);
  text.remove_prefix(start);
  std::size_t end = 0;
  for (const std::string_view gap : {std::string_view("\n\n"), std::string_view("\r\n\r\n")}) {
    const std::size_t found = text.rfind(gap);
    if (found != std::string_view::npos) {
      end = std::max(end, start + found + gap.size());
    }
  }
  return end;
}

}  // namespace

bool HoldsEvent(std::string_view events) {
  while (!events.empty()) {
    const std::size_t end = events.find('\n');
    const std::string_view line = events.substr(0, end);
    if (!line.empty() && line != "\r" && !line.starts_with(':')) {
      return true;
    }
    events = end == std::string_view::npos ? std::string_view() : events.substr(end + 1);
  }
  return false;
}

std::string SseSplitter::Append(std::string_view bytes) {
  const std::size_t searched = rest_.size();
  rest_.append(bytes);
  const std::size_t end = EndOfLastEvent(rest_, searched);
  std::string whole = rest_.substr(0, end);
  rest_.erase(0, end);
  UpdateLastId(whole);
  return whole;
}

void SseSplitter::UpdateLastId(std::string_view events) {
  while (!events.empty()) {
    const std::size_t end = events.find('\n');
    std::string_view line = events.substr(0, end);
    events = end == std::string_view::npos ? std::string_view() : events.substr(end + 1);
    if (!line.starts_with("id:")) {
      continue;
    }
    line.remove_prefix(3);
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    last_id_ = line;
  }
}

}  // namespace savoryglade::gateway
