#include "routing/upstream_table.h"

#include <algorithm>
#include <utility>

namespace savoryglade {
namespace {

constexpr Duration kPauseAfterFailure = 1s;

}  // namespace

void UpstreamTable::Configure(const Configuration& configuration, TimePoint /*now*/) {
  std::map<UpstreamId, Entry> entries;
  for (const UpstreamConfig& config : configuration.upstreams) {
    const auto known = entries_.find(config.name);
    Entry entry = known == entries_.end() ? Entry{} : known->second;
    entry.config = config;
    entries.emplace(config.name, std::move(entry));
  }
  entries_ = std::move(entries);
}

bool UpstreamTable::CanTake(const Entry& entry, TimePoint now) {
  return !entry.leaving && entry.running < entry.config.concurrency && now >= entry.unusable_until;
}

bool UpstreamTable::HasCapacity(const ServiceId& service, TimePoint now) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
    return item.second.config.service == service && CanTake(item.second, now);
  });
}

tl::expected<UpstreamId, Reason> UpstreamTable::Select(const RouteRequest& request, TimePoint now) {
  std::vector<Entry*> candidates;
  for (auto& [name, entry] : entries_) {
    const bool excluded =
        std::find(request.excluded.begin(), request.excluded.end(), name) != request.excluded.end();
    if (entry.config.service == request.service && !excluded && CanTake(entry, now)) {
      candidates.push_back(&entry);
    }
  }
  if (candidates.empty()) {
    return tl::make_unexpected(Reason::kNoUpstream);
  }
  Entry* first = candidates[random_.Below(candidates.size())];
  Entry* second = candidates[random_.Below(candidates.size())];
  Entry* chosen = first->running <= second->running ? first : second;
  ++chosen->running;
  return chosen->config.name;
}

void UpstreamTable::OnFirstToken(const UpstreamId& /*upstream*/, Duration /*latency*/,
                                 TimePoint /*now*/) {}

void UpstreamTable::OnFinish(const UpstreamId& upstream, const AttemptOutcome& outcome,
                             TimePoint now) {
  const auto found = entries_.find(upstream);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.running = std::max(0, entry.running - 1);
  if (outcome.result == AttemptResult::kConnectFailed || outcome.result == AttemptResult::kLost) {
    entry.unusable_until = now + kPauseAfterFailure;
  }
}

void UpstreamTable::OnLoadReport(const UpstreamId& upstream, const LoadReport& report,
                                 TimePoint /*now*/) {
  const auto found = entries_.find(upstream);
  if (found != entries_.end()) {
    found->second.report = report;
  }
}

void UpstreamTable::OnNotice(const UpstreamId& upstream, bool leaving, TimePoint /*now*/) {
  const auto found = entries_.find(upstream);
  if (found != entries_.end()) {
    found->second.leaving = leaving;
  }
}

}  // namespace savoryglade
