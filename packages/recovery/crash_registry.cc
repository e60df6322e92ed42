#include "recovery/crash_registry.h"

#include <algorithm>

namespace savoryglade {

void CrashRegistry::MakeRoom(TimePoint now) {
  std::erase_if(records_, [now](const auto& entry) { return now - entry.second.last > kLifetime; });
  if (records_.size() >= kMaxRecords) {
    const auto oldest =
        std::ranges::min_element(records_, {}, [](const auto& entry) { return entry.second.last; });
    records_.erase(oldest);
  }
}

void CrashRegistry::OnCrash(std::uint64_t request, std::uint64_t upstream, TimePoint now) {
  if (!records_.contains(request)) {
    MakeRoom(now);
  }
  Entry& entry = records_[request];
  entry.upstreams.insert(upstream);
  entry.last = now;
}

void CrashRegistry::OnPeerRecord(const CrashRecord& record, TimePoint now) {
  if (!records_.contains(record.request)) {
    MakeRoom(now);
  }
  Entry& entry = records_[record.request];
  const std::size_t before = entry.upstreams.size();
  entry.upstreams.insert(record.upstreams.begin(), record.upstreams.end());
  if (entry.upstreams.size() != before) {
    entry.last = now;
  }
}

bool CrashRegistry::IsRefused(std::uint64_t request, TimePoint now) const {
  const auto found = records_.find(request);
  return found != records_.end() && now - found->second.last <= kLifetime &&
         found->second.upstreams.size() >= kRefusedAfter;
}

std::vector<CrashRecord> CrashRegistry::RecentRecords(std::size_t limit, TimePoint now) const {
  std::vector<std::pair<TimePoint, CrashRecord>> newest;
  for (const auto& [request, entry] : records_) {
    if (now - entry.last <= kLifetime) {
      newest.emplace_back(
          entry.last, CrashRecord{.request = request,
                                  .upstreams = {entry.upstreams.begin(), entry.upstreams.end()}});
    }
  }
  std::ranges::sort(newest, [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<CrashRecord> records;
  for (auto& [last, record] : newest) {
    if (records.size() == limit) {
      break;
    }
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace savoryglade
