#include "recovery/crash_registry.h"

#include <algorithm>

namespace savoryglade {

void CrashRegistry::EvictRecords(TimePoint now) {
  std::erase_if(records_, [now](const auto& entry) {
    return now - entry.second.last_crash_at > kRecordLifetime;
  });
  if (records_.size() >= kMaxRecords) {
    const auto oldest = std::ranges::min_element(
        records_, {}, [](const auto& entry) { return entry.second.last_crash_at; });
    records_.erase(oldest);
  }
}

void CrashRegistry::OnCrash(std::uint64_t request, std::uint64_t upstream, TimePoint now) {
  if (!records_.contains(request)) {
    EvictRecords(now);
  }
  Entry& entry = records_[request];
  entry.upstreams.insert(upstream);
  entry.last_crash_at = now;
}

bool CrashRegistry::OnPeerRecord(const CrashRecord& record, TimePoint now) {
  if (!records_.contains(record.request)) {
    EvictRecords(now);
  }
  Entry& entry = records_[record.request];
  const std::size_t before = entry.upstreams.size();
  entry.upstreams.insert(record.upstreams.begin(), record.upstreams.end());
  if (entry.upstreams.size() == before) {
    return false;
  }
  entry.last_crash_at = now;
  return true;
}

std::size_t CrashRegistry::UpstreamCount(std::uint64_t request) const {
  const auto found = records_.find(request);
  return found == records_.end() ? 0 : found->second.upstreams.size();
}

bool CrashRegistry::IsRefused(std::uint64_t request, TimePoint now) const {
  const auto found = records_.find(request);
  return found != records_.end() && now - found->second.last_crash_at <= kRecordLifetime &&
         found->second.upstreams.size() >= kCrashesBeforeRefusal;
}

std::vector<CrashRecord> CrashRegistry::RecentRecords(std::size_t limit, TimePoint now) const {
  std::vector<std::pair<TimePoint, CrashRecord>> newest;
  for (const auto& [request, entry] : records_) {
    if (now - entry.last_crash_at <= kRecordLifetime) {
      newest.emplace_back(entry.last_crash_at, CrashRecord{.request = request,
                                                           .upstreams = {entry.upstreams.begin(),
                                                                         entry.upstreams.end()}});
    }
  }
  std::ranges::sort(newest, [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<CrashRecord> records;
  for (auto& [last_crash_at, record] : newest) {
    if (records.size() == limit) {
      break;
    }
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace savoryglade
