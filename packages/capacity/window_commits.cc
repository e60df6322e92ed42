#include "capacity/window_commits.h"

#include <utility>

namespace savoryglade::capacity {

void WindowCommits::Record(WindowNumber window, WindowCounts counts, std::uint64_t era) {
  commits_.insert_or_assign(window, Commit{.counts = std::move(counts), .era = era});
}

const WindowCounts* WindowCommits::Find(WindowNumber window) const {
  const auto found = commits_.find(window);
  return found == commits_.end() ? nullptr : &found->second.counts;
}

std::vector<WindowNumber> WindowCommits::RecordedBefore(std::uint64_t era) const {
  std::vector<WindowNumber> windows;
  for (const auto& [window, commit] : commits_) {
    if (commit.era < era) {
      windows.push_back(window);
    }
  }
  return windows;
}

void WindowCommits::Expire(WindowNumber first) {
  commits_.erase(commits_.begin(), commits_.lower_bound(first));
}

}  // namespace savoryglade::capacity
