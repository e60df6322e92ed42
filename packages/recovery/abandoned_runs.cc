#include "recovery/abandoned_runs.h"

#include <utility>

namespace savoryglade {

void AbandonedRuns::Expire(TimePoint now) {
  while (!runs_.empty() && now - runs_.front().abandoned_at > kAttributionTime) {
    runs_.pop_front();
  }
}

void AbandonedRuns::Add(std::uint64_t process, RequestRun run, TimePoint now) {
  Expire(now);
  if (runs_.size() >= kMaxRuns) {
    runs_.pop_front();
  }
  runs_.push_back({.process = process, .run = std::move(run), .abandoned_at = now});
}

void AbandonedRuns::OnAnswer(std::uint64_t process, TimePoint sent_at) {
  std::erase_if(runs_, [process, sent_at](const Entry& entry) {
    return entry.process == process && sent_at - entry.abandoned_at >= kSurvivalTime;
  });
}

std::vector<RequestRun> AbandonedRuns::Take(std::uint64_t process, TimePoint now) {
  Expire(now);
  std::vector<RequestRun> taken;
  std::erase_if(runs_, [&taken, process](Entry& entry) {
    if (entry.process != process) {
      return false;
    }
    taken.push_back(std::move(entry.run));
    return true;
  });
  return taken;
}

}  // namespace savoryglade
