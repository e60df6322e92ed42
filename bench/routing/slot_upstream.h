#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "core/event_queue.h"

namespace savoryglade {

// Simulated upstream with a number of slots, a FIFO queue and a speed that may change while
// requests run. Work is in seconds at speed 1.
class SlotUpstream {
 public:
  // Called when a request reaches a milestone, with the index of the milestone.
  using OnMilestone = std::function<void(std::uint64_t request, std::size_t milestone)>;

  SlotUpstream(EventQueue& events, int slots, OnMilestone on_milestone)
      : events_(events), slots_(slots), on_milestone_(std::move(on_milestone)) {}

  // Submits a request. The milestones are ascending amounts of work; the last one is the end of the
  // request.
  void Submit(std::uint64_t request, std::vector<double> milestones);

  // Cancels a queued or running request.
  void Cancel(std::uint64_t request);

  void SetSpeed(double speed);

  int running() const { return static_cast<int>(running_.size()); }
  int waiting() const { return static_cast<int>(queue_.size()); }

  // Returns the total work done, including that of cancelled requests.
  double work_done() const { return work_done_; }

 private:
  struct Job {
    std::uint64_t request = 0;
    std::vector<double> milestones;
    std::size_t reached = 0;
    double done = 0;
  };

  void Advance();
  void Schedule();
  void OnTimer(std::uint64_t generation);

  EventQueue& events_;
  int slots_;
  OnMilestone on_milestone_;
  double speed_ = 1;
  TimePoint advanced_{};
  std::uint64_t generation_ = 0;
  double work_done_ = 0;
  std::vector<Job> running_;
  std::deque<Job> queue_;
};

}  // namespace savoryglade
