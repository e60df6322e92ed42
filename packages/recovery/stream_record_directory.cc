#include "recovery/stream_record_directory.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace savoryglade::recovery {
namespace {

// Returns the rendezvous hashing weight of a daemon for a key. All daemons must compute the same
// value.
std::uint64_t RendezvousWeight(const Sha256Digest& key, const DaemonId& daemon) {
  const std::string& name = daemon.value();
  return XXH3_64bits_withSeed(key.data(), key.size(), XXH3_64bits(name.data(), name.size()));
}

std::tuple<std::uint32_t, bool> RunOrder(const StreamRecord& record) {
  return {record.attempt, record.ended};
}

}  // namespace

Sha256Digest StreamKeyDigest(const AccountId& account, const ServiceId& service,
                             const RequestKey& key) {
  std::string text;
  // The length prefixes ensure that different triples give different texts.
  for (const std::string* part : {&account.value(), &service.value(), &key.value()}) {
    text += std::to_string(part->size()) + ":" + *part;
  }
  return ComputeSha256(text);
}

std::vector<const StreamMember*> StreamRecordDirectory::RankedMembers(
    const Sha256Digest& key) const {
  std::vector<std::pair<std::uint64_t, const StreamMember*>> weighed;
  weighed.reserve(members_.size());
  for (const StreamMember& member : members_) {
    weighed.emplace_back(RendezvousWeight(key, member.daemon), &member);
  }
  std::sort(weighed.begin(), weighed.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second->daemon < b.second->daemon;
  });
  std::vector<const StreamMember*> ranked;
  ranked.reserve(weighed.size());
  for (const auto& [weight, member] : weighed) {
    ranked.push_back(member);
  }
  return ranked;
}

std::vector<DaemonId> StreamRecordDirectory::Holders(const Sha256Digest& key) const {
  const std::vector<const StreamMember*> ranked = RankedMembers(key);
  std::vector<DaemonId> inside;
  std::vector<DaemonId> outside;
  for (const StreamMember* member : ranked) {
    (member->domain == self_.domain ? inside : outside).push_back(member->daemon);
  }
  std::vector<DaemonId> holders;
  if (!inside.empty()) {
    holders.push_back(inside.front());
  }
  if (!outside.empty()) {
    holders.push_back(outside.front());
  }
  for (const std::vector<DaemonId>* side : {&inside, &outside}) {
    if (holders.size() == 1 && side->size() > 1) {
      holders.push_back((*side)[1]);
    }
  }
  return holders;
}

std::vector<DaemonId> StreamRecordDirectory::QueryTargets(const Sha256Digest& key,
                                                          int round) const {
  std::vector<DaemonId> first;
  std::vector<DaemonId> second;
  std::set<FailureDomainId> domains;
  for (const StreamMember* member : RankedMembers(key)) {
    const bool first_of_domain = domains.insert(member->domain).second;
    if (!first_of_domain) {
      continue;
    }
    const bool in_first_round = domains.size() <= 2 || member->domain == self_.domain;
    (in_first_round ? first : second).push_back(member->daemon);
  }
  return round == 1 ? first : second;
}

std::vector<OutgoingStreamRecord> StreamRecordDirectory::SendUnconfirmed(OwnedRecord& owned,
                                                                         TimePoint now) const {
  std::vector<OutgoingStreamRecord> sends;
  for (const auto& [holder, confirmed] : owned.holders) {
    if (!confirmed) {
      sends.push_back({holder, owned.record});
    }
  }
  owned.resend_at = now + options_.confirm_timeout;
  return sends;
}

std::vector<OutgoingStreamRecord> StreamRecordDirectory::SetMembers(
    const std::vector<StreamMember>& members) {
  members_ = members;
  std::erase_if(members_, [&](const StreamMember& m) { return m.daemon == self_.daemon; });
  std::vector<OutgoingStreamRecord> sends;
  for (auto& [key, owned] : owned_) {
    std::map<DaemonId, bool> holders;
    for (const DaemonId& holder : Holders(key)) {
      const auto known = owned.holders.find(holder);
      const bool confirmed = known != owned.holders.end() && known->second;
      holders[holder] = confirmed;
      if (known == owned.holders.end()) {
        sends.push_back({holder, owned.record});
      }
    }
    owned.holders = std::move(holders);
  }
  return sends;
}

std::vector<OutgoingStreamRecord> StreamRecordDirectory::OnRunStarted(const StreamRecord& record,
                                                                      TimePoint now) {
  if (!owned_.contains(record.key) && owned_.size() >= options_.max_records) {
    return {};
  }
  OwnedRecord& owned = owned_[record.key];
  owned = {.record = record, .drop_at = TimePoint::max()};
  for (const DaemonId& holder : Holders(record.key)) {
    owned.holders[holder] = false;
  }
  return SendUnconfirmed(owned, now);
}

std::vector<OutgoingStreamRecord> StreamRecordDirectory::OnRunEnded(const Sha256Digest& key,
                                                                    TimePoint now) {
  const auto found = owned_.find(key);
  if (found == owned_.end() || found->second.record.ended) {
    return {};
  }
  OwnedRecord& owned = found->second;
  owned.record.ended = true;
  owned.drop_at = now + options_.ended_lifetime;
  for (auto& [holder, confirmed] : owned.holders) {
    confirmed = false;
  }
  return SendUnconfirmed(owned, now);
}

void StreamRecordDirectory::OnConfirmed(const DaemonId& holder, const StreamRecord& record) {
  const auto found = owned_.find(record.key);
  if (found == owned_.end() || found->second.record != record) {
    return;
  }
  const auto known = found->second.holders.find(holder);
  if (known != found->second.holders.end()) {
    known->second = true;
  }
}

bool StreamRecordDirectory::IsConfirmed(const Sha256Digest& key) const {
  const auto found = owned_.find(key);
  if (found == owned_.end() || found->second.holders.empty()) {
    return false;
  }
  return std::all_of(found->second.holders.begin(), found->second.holders.end(),
                     [](const auto& holder) { return holder.second; });
}

void StreamRecordDirectory::EraseHeld(const Sha256Digest& key) {
  const auto found = held_.find(key);
  if (found != held_.end()) {
    expiries_.erase({found->second.expires, key});
    held_.erase(found);
  }
}

void StreamRecordDirectory::OnRecord(const StreamRecord& record, TimePoint now) {
  const auto known = held_.find(record.key);
  if (known != held_.end() && RunOrder(record) < RunOrder(known->second.record)) {
    return;
  }
  // A repeated end record does not extend the lifetime of the stored record.
  if (known != held_.end() && record.ended && known->second.record == record) {
    return;
  }
  EraseHeld(record.key);
  if (held_.size() >= options_.max_records) {
    EraseHeld(expiries_.begin()->second);
  }
  const TimePoint expires =
      now + (record.ended ? options_.ended_lifetime : options_.running_lifetime);
  held_[record.key] = {record, expires};
  expiries_.insert({expires, record.key});
}

std::optional<StreamRecord> StreamRecordDirectory::Find(const Sha256Digest& key,
                                                        TimePoint now) const {
  std::optional<StreamRecord> best;
  if (const auto owned = owned_.find(key); owned != owned_.end() && now < owned->second.drop_at) {
    best = owned->second.record;
  }
  if (const auto held = held_.find(key);
      held != held_.end() && now < held->second.expires &&
      (!best || RunOrder(*best) < RunOrder(held->second.record))) {
    best = held->second.record;
  }
  return best;
}

std::vector<OutgoingStreamRecord> StreamRecordDirectory::Tick(TimePoint now) {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    EraseHeld(expiries_.begin()->second);
  }
  std::erase_if(owned_, [&](const auto& item) { return now >= item.second.drop_at; });
  std::vector<OutgoingStreamRecord> sends;
  for (auto& [key, owned] : owned_) {
    if (now < owned.resend_at) {
      continue;
    }
    const bool confirmed = IsConfirmed(key);
    if (confirmed && now < owned.resend_at + options_.running_lifetime / 2) {
      continue;
    }
    if (confirmed && !owned.record.ended) {
      for (auto& [holder, is_confirmed] : owned.holders) {
        is_confirmed = false;
      }
    }
    for (OutgoingStreamRecord& send : SendUnconfirmed(owned, now)) {
      sends.push_back(std::move(send));
    }
  }
  return sends;
}

StreamLookup::StreamLookup(const StreamRecordDirectory& directory, const Sha256Digest& key,
                           Duration round_timeout, TimePoint now)
    : key_(key),
      round_timeout_(round_timeout),
      second_round_(directory.QueryTargets(key, 2)),
      queries_(directory.QueryTargets(key, 1)),
      waiting_(queries_.begin(), queries_.end()),
      round_ends_(now + round_timeout),
      result_(directory.Find(key, now)) {
  if (waiting_.empty()) {
    EndRound(now);
  }
}

std::vector<DaemonId> StreamLookup::TakeQueries() { return std::exchange(queries_, {}); }

void StreamLookup::OnReply(const DaemonId& from, const std::optional<StreamRecord>& record,
                           TimePoint now) {
  if (finished_) {
    return;
  }
  if (record && record->key == key_ && (!result_ || RunOrder(*result_) < RunOrder(*record))) {
    result_ = record;
  }
  if (waiting_.erase(from) > 0 && waiting_.empty()) {
    EndRound(now);
  }
}

void StreamLookup::Tick(TimePoint now) {
  if (!finished_ && now >= round_ends_) {
    EndRound(now);
  }
}

void StreamLookup::EndRound(TimePoint now) {
  if (result_ || in_second_round_ || second_round_.empty()) {
    finished_ = true;
    queries_.clear();
    return;
  }
  in_second_round_ = true;
  queries_ = second_round_;
  waiting_ = std::set<DaemonId>(second_round_.begin(), second_round_.end());
  round_ends_ = now + round_timeout_;
}

}  // namespace savoryglade::recovery
