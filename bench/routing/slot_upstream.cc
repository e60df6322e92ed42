#include "bench/routing/slot_upstream.h"

#include <algorithm>
#include <utility>

namespace savoryglade {
namespace {

// Amounts of work below this are rounding errors.
constexpr double kEpsilon = 1e-7;

}  // namespace

void SlotUpstream::Advance() {
  const double work = ToSeconds(events_.now() - advanced_) * speed_;
  advanced_ = events_.now();
  for (Job& job : running_) {
    job.done += work;
  }
  work_done_ += work * static_cast<double>(running_.size());
}

void SlotUpstream::Schedule() {
  while (running() < slots_ && !queue_.empty()) {
    running_.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  ++generation_;
  if (running_.empty()) {
    return;
  }
  double nearest = 1e18;
  for (const Job& job : running_) {
    nearest = std::min(nearest, job.milestones[job.reached] - job.done);
  }
  events_.After(FromSeconds(std::max(0.0, nearest) / speed_) + Duration(1),
                [this, generation = generation_] { OnTimer(generation); });
}

void SlotUpstream::OnTimer(std::uint64_t generation) {
  if (generation != generation_) {
    return;
  }
  Advance();
  std::vector<std::pair<std::uint64_t, std::size_t>> reached;
  for (Job& job : running_) {
    while (job.reached < job.milestones.size() &&
           job.done + kEpsilon >= job.milestones[job.reached]) {
      reached.emplace_back(job.request, job.reached++);
    }
  }
  std::erase_if(running_, [](const Job& job) { return job.reached == job.milestones.size(); });
  Schedule();
  for (const auto& [request, milestone] : reached) {
    on_milestone_(request, milestone);
  }
}

void SlotUpstream::Submit(std::uint64_t request, std::vector<double> milestones) {
  Advance();
  queue_.push_back({.request = request, .milestones = std::move(milestones)});
  Schedule();
}

void SlotUpstream::Cancel(std::uint64_t request) {
  Advance();
  const auto matches = [request](const Job& job) { return job.request == request; };
  std::erase_if(running_, matches);
  std::erase_if(queue_, matches);
  Schedule();
}

void SlotUpstream::SetSpeed(double speed) {
  Advance();
  speed_ = speed;
  Schedule();
}

}  // namespace savoryglade
