#include "membership/document_sources.h"

#include <algorithm>
#include <vector>

namespace savoryglade {

void DocumentSources::OnReport(const DaemonId& peer, std::uint64_t version, TimePoint now) {
  std::erase_if(sources_, [&](const auto& entry) { return !IsRecent(entry.second, now); });
  Source& source = sources_[peer];
  source.version = version;
  source.reported_at = now;
}

void DocumentSources::OnBusy(const DaemonId& peer, TimePoint now) {
  if (const auto found = sources_.find(peer); found != sources_.end()) {
    found->second.paused_until = now + options_.busy_pause;
  }
}

void DocumentSources::OnFailure(const DaemonId& peer, TimePoint now) {
  if (const auto found = sources_.find(peer); found != sources_.end()) {
    Source& source = found->second;
    const Duration pause = options_.failure_pause * (1 << std::min(source.failures, 8));
    source.paused_until = now + std::min(pause, options_.max_failure_pause);
    ++source.failures;
  }
}

void DocumentSources::OnTransferred(const DaemonId& peer) {
  if (const auto found = sources_.find(peer); found != sources_.end()) {
    found->second.failures = 0;
  }
}

bool DocumentSources::HasNewer(std::uint64_t held, TimePoint now) const {
  return std::ranges::any_of(sources_, [&](const auto& entry) {
    return entry.second.version > held && IsRecent(entry.second, now);
  });
}

std::optional<DaemonId> DocumentSources::Choose(std::uint64_t held, TimePoint now,
                                                Random& random) const {
  std::uint64_t newest = held;
  std::vector<const DaemonId*> candidates;
  for (const auto& [peer, source] : sources_) {
    if (source.version <= held || source.version < newest || !IsRecent(source, now) ||
        now < source.paused_until) {
      continue;
    }
    if (source.version > newest) {
      newest = source.version;
      candidates.clear();
    }
    candidates.push_back(&peer);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return *candidates[random.UniformInt(candidates.size())];
}

}  // namespace savoryglade
