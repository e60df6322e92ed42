#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/report_source.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "rollout/rollout_gate.h"
#include "rollout/rollout_ledger.h"
#include "rollout/rollout_types.h"

namespace savoryglade::rollout {

// What a report says of one roll-out.
struct ReportedRollout {
  RolloutOrder order;
  // Time since the order's row was first seen.
  Duration order_age = Duration::zero();
  // Versions whose orders were replaced, by their keys.
  std::vector<std::uint64_t> abandoned;
  // Published step, the number of its latest confirmation, and the time since then; no age if no
  // step is known.
  RolloutStep step;
  std::uint64_t confirmation = 0;
  std::optional<Duration> step_age;
  CountsByRoute counts;

  friend bool operator==(const ReportedRollout&, const ReportedRollout&) = default;
};

// Restriction on one version of a service.
struct VersionRule {
  std::uint64_t version = 0;
  // Number of its upstreams that may be sent to.
  int upstreams = 0;
  // Whether the service's other versions get no new requests.
  bool exclusive = false;
  // Instant from which the version gets nothing.
  TimePoint valid_until = TimePoint::max();

  friend auto operator<=>(const VersionRule&, const VersionRule&) = default;
};

enum class ResponseQuality : std::uint8_t { kGood, kFailed, kSlow };

// What this daemon knows of the roll-outs: their orders, the published steps and the counts of the
// fleet. Versions are identified by their keys (routing/software_version.h), routes by the hashes
// of their names. A final step is never replaced by one that sends more to the new version. Not
// thread-safe.
class RolloutDirectory {
 public:
  struct Entry {
    Entry(RolloutOrder the_order, TimePoint first_seen, std::uint64_t seed)
        : order(std::move(the_order)), ordered_at(first_seen), gate(seed) {}

    RolloutOrder order;
    std::uint64_t version = 0;
    TimePoint ordered_at;
    // Whether the version was the only one of the service when this daemon learned of the order, so
    // that nothing is exchanged.
    bool already_served = false;
    std::set<std::uint64_t> abandoned;
    // Published step and its latest confirmation by a leader; empty time if none is known.
    RolloutStep step;
    std::uint64_t confirmation = 0;
    std::optional<TimePoint> confirmed_at;
    // When this daemon learned the present stage.
    TimePoint stage_known_at{};
    RolloutGate gate;
    RolloutLedger ledger;

    Duration StepAge(TimePoint now) const {
      return confirmed_at ? now - *confirmed_at : Duration::max();
    }
  };

  explicit RolloutDirectory(std::uint64_t seed) : seed_(seed) {}

  void SetBounds(const RolloutBounds& bounds) { bounds_ = bounds; }
  void SetDaemonCount(int daemons) { daemons_ = daemons; }
  const RolloutBounds& bounds() const { return bounds_; }
  bool enabled() const { return bounds_.enabled(); }

  // Records an order that was first seen this long ago. Returns true if it is new.
  bool OnOrder(const RolloutOrder& order, Duration age, TimePoint now);
  // Records that all orders up to this instant have been passed in.
  void OnOrdersRead(TimePoint as_of);
  std::optional<TimePoint> orders_read_at() const { return orders_read_at_; }

  void OnReport(const ReportSource& source, std::uint64_t incarnation,
                const std::vector<ReportedRollout>& reported, TimePoint now);
  void DiscardReports(const ReportSource& source);
  std::vector<ReportedRollout> ReportOf(ReportScope scope, TimePoint now) const;

  // Publishes a step as the leader, or confirms the one that is published.
  void Publish(const ServiceId& service, const RolloutStep& step, TimePoint now);
  void Confirm(const ServiceId& service, TimePoint now);

  // Records a request that is sent for the first time, and one that is sent to a version.
  void OnRequest(const ServiceId& service, std::uint64_t route);
  void OnSent(const ServiceId& service, std::uint64_t route, std::uint64_t version);
  void OnResponse(const ServiceId& service, std::uint64_t route, std::uint64_t version,
                  ResponseQuality quality);
  // Returns true if a request with this hash may go to the new version.
  bool Admits(const ServiceId& service, std::uint64_t route, std::uint64_t request_hash,
              TimePoint now) const;

  // Returns the restrictions on the versions of a service.
  std::vector<VersionRule> RulesOf(const ServiceId& service, TimePoint now) const;

  Entry* Find(const ServiceId& service);
  const Entry* Find(const ServiceId& service) const;
  std::vector<ServiceId> Services() const;

 private:
  // Takes over a step that another daemon reports or the store holds.
  static void AdoptStep(Entry& entry, const ReportedRollout& reported, TimePoint now);

  std::uint64_t seed_;
  RolloutBounds bounds_;
  int daemons_ = 1;
  std::optional<TimePoint> orders_read_at_;
  std::map<ServiceId, Entry> entries_;
};

}  // namespace savoryglade::rollout
