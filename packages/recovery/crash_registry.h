#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/time.h"

namespace savoryglade {

// Loss of an upstream process while it ran a request.
struct UpstreamLoss {
  // Hash of the upstream's name and start time.
  std::uint64_t upstream = 0;
  // Time since the loss.
  Duration age = Duration::zero();

  friend auto operator<=>(const UpstreamLoss&, const UpstreamLoss&) = default;
};

// What crash records name: a request, a path that was requested with a query, or a part of prompts.
enum class CrashSubject : std::uint8_t { kRequest, kPath, kPromptPart };

// Names the record of a request, path or part of prompts by its hash.
struct CrashKey {
  CrashSubject subject = CrashSubject::kRequest;
  std::uint64_t hash = 0;

  friend auto operator<=>(const CrashKey&, const CrashKey&) = default;
};

// What one daemon knows about a request, path or part of prompts that may crash upstreams. Holds
// ages instead of instants, because the clocks of daemons differ.
struct CrashRecord {
  // Hash of account, host, method, target and body, of account, host, path and body, or of service
  // and prompt part.
  std::uint64_t request = 0;
  std::vector<UpstreamLoss> losses;
  // Time since an upstream last answered the request, if one did after a loss.
  std::optional<Duration> answer_age;

  friend auto operator<=>(const CrashRecord&, const CrashRecord&) = default;
};

// When a registry refuses what its records name.
struct CrashPolicy {
  // Number of lost upstreams after which a request is refused.
  std::size_t losses_before_refusal = 3;
  Duration first_refusal = 60s;
  // Whether losses do not count while an answer is remembered.
  bool answers_prevent_records = false;
};

// Records name whole requests.
inline constexpr CrashPolicy kRequestCrashPolicy{};
// Records name paths. Requests of one path with different queries may differ in what they do, so an
// answer to one of them shows that the path is not the cause.
inline constexpr CrashPolicy kPathCrashPolicy{.answers_prevent_records = true};
// Records name parts of prompts. A crash ends all requests of an engine, so parts of sound requests
// collect losses too; a part that was answered recently is not the cause. Refusals are long,
// because each request that tests a refused part may end another engine.
inline constexpr CrashPolicy kPartCrashPolicy{
    .losses_before_refusal = 5, .first_refusal = 600s, .answers_prevent_records = true};

// Detects requests, or parts of prompts, that crash the upstreams that run them. Each upstream
// process counts once per record. After the number of losses that the policy states the request is
// refused for a while; then one more loss is enough to refuse it for twice as long. The refusal
// ends at a different time at each daemon, and a daemon sends the request once before it waits for
// the outcome, so that a crashing request does not end several upstreams at the same time. An
// answer shows that the request is harmless and discards the losses before it. Daemons exchange
// their records, so that a request that is sent again through another daemon is recognised; records
// can be merged in any order. Not thread-safe.
class CrashRegistry {
 public:
  static constexpr Duration kMaxRefusal = 1h;
  // Time for which a loss counts, and for which the record of a refusal is kept after its end.
  static constexpr Duration kLossLifetime = 600s;
  // Time for which an answer is remembered, so that peers learn of it. If answers prevent records,
  // they do so for up to twice as long.
  static constexpr Duration kAnswerLifetime = 60s;
  // Losses up to this long after an answer are attributed to the time before it, because the age of
  // a peer's loss is measured with the delay of the report.
  static constexpr Duration kAnswerTolerance = 1s;

  // Most lost responses are followed by an answer of another upstream within this time.
  static constexpr Duration kStorageDelay = 1s;
  // Time over which the ends of a refusal are spread among the daemons.
  static constexpr Duration kRefusalSpread = 20s;
  // Time that a daemon waits for the outcome of a request that was refused before.
  static constexpr Duration kTestTime = 5s;

  // The hash of this daemon's name decides when its refusals end; without it, they are not
  // extended.
  explicit CrashRegistry(CrashPolicy policy = kRequestCrashPolicy,
                         std::optional<std::uint64_t> daemon = std::nullopt)
      : policy_(policy), daemon_(daemon) {}

  // Records that the request is sent to an upstream.
  void OnSent(std::uint64_t request, TimePoint now);
  void OnLoss(std::uint64_t request, std::uint64_t upstream, TimePoint now);
  // Records an answer to the request. Returns true if it discards losses.
  bool OnAnswer(std::uint64_t request, TimePoint now);
  // Merges a record of a peer. Returns true if it contains something new.
  bool OnPeerRecord(const CrashRecord& record, TimePoint now);
  // Merges a record that is stored for all daemons. Returns true if it contains something new.
  bool OnStoredRecord(const CrashRecord& record, TimePoint now);

  std::size_t LossCount(std::uint64_t request) const;
  // Returns the time for which the request is still refused, or zero if it is not refused.
  Duration RemainingRefusal(std::uint64_t request, TimePoint now) const;
  bool IsRefused(std::uint64_t request, TimePoint now) const {
    return RemainingRefusal(request, now) > Duration::zero();
  }

  // Returns at most `limit` records for the next report to peers. Refused requests come first, then
  // this daemon's own new losses, then other records that have changed recently.
  std::vector<CrashRecord> SelectForReport(std::size_t limit, TimePoint now);
  // Returns the records that this daemon should store for all daemons: those that are not stored
  // completely and have more than one loss, or one that no answer has followed within
  // kStorageDelay. A record without losses means that the stored one is to be removed; a stored
  // single loss is left to expire.
  std::vector<CrashRecord> SelectForStorage(TimePoint now) const;
  // Returns when a record has to be stored next if nothing changes, or the maximum if none has.
  TimePoint NextStorageAt() const;
  // Forgets which records are stored, before all stored ones are read again.
  void ForgetStored() {
    for (auto& [request, entry] : records_) {
      entry.stored.clear();
    }
  }
  // Records that a record has been stored, or removed if it has no losses.
  void OnStored(const CrashRecord& record);

  std::size_t size() const { return records_.size(); }

 private:
  struct Entry {
    // Instants of the losses, by upstream.
    std::map<std::uint64_t, TimePoint> losses;
    std::optional<TimePoint> answered_at;
    // Time of the last send at this daemon after a refusal.
    std::optional<TimePoint> tested_at;
    // Whether this daemon saw one of the losses or the answer itself.
    bool own = false;
    // Number of reports with the record since it last changed.
    int reports = 0;
    // Upstreams in the stored record; empty if no record is stored.
    std::set<std::uint64_t> stored;
  };
  using Records = std::unordered_map<std::uint64_t, Entry>;

  static constexpr std::size_t kMaxRecords = 4096;
  // Answers that are remembered in one period; further ones replace all of the period before it.
  static constexpr std::size_t kMaxAnswers = 32'768;
  // Newest losses that are kept for one request; enough to reach the longest refusal.
  static constexpr std::size_t kMaxLosses = 9;
  // Reports that carry a new loss with priority, because datagrams can be lost.
  static constexpr int kPriorityReports = 3;
  // Reports after which a record that is not refused is left out until it changes.
  static constexpr int kMaxReports = 4;

  Entry& FindOrAdd(std::uint64_t request, TimePoint now);
  // Removes expired records and, if the registry is still full, the least important one.
  void Evict(TimePoint now);
  // Merges a record into an entry. Returns true if this changes the entry.
  static bool Merge(const CrashRecord& record, Entry& entry, TimePoint now);
  // Removes the losses before the entry's answer, which must be set.
  static void DiscardAnsweredLosses(Entry& entry);
  // Adds a loss. Returns true if the upstream was not recorded yet.
  static bool AddLoss(std::uint64_t upstream, TimePoint lost_at, Entry& entry);
  // Returns when the entry has to be stored, if this daemon has to store it.
  static std::optional<TimePoint> StorageDueAt(const Entry& entry);
  static CrashRecord ToRecord(std::uint64_t request, const Entry& entry, TimePoint now);
  // Returns the instant until which the request is refused, if it has been refused.
  std::optional<TimePoint> RefusedUntil(const Entry& entry) const;
  // Returns the part of kRefusalSpread by which the request is refused longer at this daemon.
  Duration RefusalExtension(std::uint64_t request) const;
  bool HasExpired(const Entry& entry, TimePoint now) const;
  // Remembers an answer, if answers prevent records.
  void RememberAnswer(std::uint64_t request, TimePoint now);
  bool WasAnswered(std::uint64_t request) const {
    return recent_answers_.contains(request) || earlier_answers_.contains(request);
  }

  CrashPolicy policy_;
  std::optional<std::uint64_t> daemon_;
  Records records_;
  // Answers of the current period of kAnswerLifetime and of the one before it.
  std::unordered_set<std::uint64_t> recent_answers_;
  std::unordered_set<std::uint64_t> earlier_answers_;
  TimePoint answer_period_start_{};
};

}  // namespace savoryglade
