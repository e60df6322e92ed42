#include "membership/registration_view.h"

#include <algorithm>
#include <set>

namespace savoryglade {

void RegistrationView::ApplyChange(const RegistrationChange& change, TimePoint now,
                                   std::vector<RegistrationChange>& applied) {
  Entry& entry = entries_[change.id];
  if (change.version < entry.version) {
    return;
  }
  entry.version = change.version;
  if (change.record) {
    // Another daemon found the registration missing. This daemon may never read the removal itself,
    // so it schedules the removal here.
    entry.remove_at =
        change.record->doubtful ? std::optional(now + options_.settle_time) : std::nullopt;
    if (entry.record == change.record) {
      return;
    }
    std::optional<UpstreamRecord> record = change.record;
    // An older copy of the store may lack the notice of a process that has announced to leave.
    record->leaving = record->leaving ||
                      (entry.record && entry.record->leaving && entry.record->started_ms != 0 &&
                       entry.record->started_ms == record->started_ms);
    if (entry.record != record) {
      entry.record = record;
      applied.push_back({.id = change.id, .record = record, .version = change.version});
    }
    return;
  }
  if (!entry.record || entry.remove_at) {
    return;
  }
  if (now < settling_until_ && !entry.record->leaving) {
    entry.remove_at = settling_until_;
    entry.record->doubtful = true;
    applied.push_back({.id = change.id, .record = entry.record, .version = change.version});
    return;
  }
  entry.record.reset();
  applied.push_back(change);
}

std::vector<RegistrationChange> RegistrationView::Apply(
    const std::vector<RegistrationChange>& changes, bool full_listing, TimePoint now,
    std::uint64_t listed_at) {
  if (store_failed_) {
    store_failed_ = false;
    settling_until_ = now + options_.settle_time;
  }
  std::vector<RegistrationChange> applied;
  for (const RegistrationChange& change : changes) {
    ApplyChange(change, now, applied);
  }
  if (full_listing) {
    std::set<UpstreamId> listed;
    for (const RegistrationChange& change : changes) {
      listed.insert(change.id);
    }
    std::vector<RegistrationChange> missing;
    for (const auto& [id, entry] : entries_) {
      if (entry.record && !listed.contains(id) && entry.version <= listed_at) {
        missing.push_back({.id = id, .version = entry.version});
      }
    }
    for (const RegistrationChange& change : missing) {
      ApplyChange(change, now, applied);
    }
  }
  return applied;
}

std::vector<RegistrationChange> RegistrationView::Expire(TimePoint now) {
  std::vector<RegistrationChange> applied;
  for (auto& [id, entry] : entries_) {
    if (entry.remove_at && now >= *entry.remove_at) {
      entry.remove_at.reset();
      entry.record.reset();
      applied.push_back({.id = id, .version = entry.version});
    }
  }
  return applied;
}

}  // namespace savoryglade
