#pragma once

namespace savoryglade {

// Counts something in progress for as long as the object lives.
class ScopedCount {
 public:
  explicit ScopedCount(int& count) : count_(count) { ++count_; }
  ~ScopedCount() { --count_; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  int& count_;
};

}  // namespace savoryglade
