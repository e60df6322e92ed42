#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "rollout/response_tracker.h"
#include "rollout/rollout_directory.h"
#include "rollout/rollout_plan.h"
#include "rollout/rollout_types.h"
#include "routing/software_version.h"

namespace savoryglade::rollout {

inline const ServiceId kModelService("model");

// Faults of a new version.
enum class VersionFault : std::uint8_t { kNone, kErrors, kSlow };

// One course of a roll-out in a fleet of daemons on a virtual clock. The daemons use the objects of
// the product; requests, upstreams and the delay of reports are drawn from a seed.
struct CourseOptions {
  int daemons = 10;
  double requests_per_s = 200;
  Duration duration = 12s;
  int old_upstreams = 20;
  int new_upstreams = 20;
  int slots = 8;
  // Time from the order to the registration of the new upstreams.
  Duration boot_time = 1s;
  VersionFault fault = VersionFault::kNone;
  double fault_share = 0.5;
  double slowdown = 8;
  // When the fault begins after the registration.
  Duration fault_after = Duration::zero();
  // Whether the fault shows only at an upstream that is at least 0.6 times as busy as the old ones,
  // or only at one with more than half of its slots in use.
  bool only_under_load = false;
  bool only_above_half = false;
  // Route with the fault, among five with shares from 5% to 50%.
  std::optional<int> only_route;
  Duration report_delay = 300ms;
  // Fraction of the responses of all versions that fail.
  double base_failures = 0.005;
  // Median time of a response without load, and by how much of it all slots in use prolong it.
  double response_s = 0.25;
  double load_slowdown = 0;
  // Part of the response time until the first event; 1 if the responses are no streams.
  double first_event = 1;
};

struct CourseResult {
  RolloutStage outcome = RolloutStage::kWaiting;
  std::string reason;
  int requests = 0;
  int sent_to_new = 0;
  int bad_responses = 0;
  // Requests that ran on the old version at the completion.
  int cut_off = 0;
  Duration outcome_at = Duration::zero();
  // Last request to the new version, counted from its 50th bad response; zero if there was none.
  Duration sent_after_50th = Duration::zero();
  double peak_ratio = 0;
  // Greatest fraction of slots in use, at any time of the canary, of the upstreams that take part.
  double canary_use = 0;

  double ExposureOver(double share) const { return sent_to_new - share * requests; }
};

class RolloutCourse {
 public:
  RolloutCourse(CourseOptions options, std::uint64_t seed);

  // Runs the course to its deadline.
  CourseResult Run();
  // Runs until this time after the order.
  void RunUntil(Duration time);
  CourseResult result() const { return result_; }

  // Withdraws a daemon's reports in both directions, or its process. The first daemon leads.
  void CutOff(int daemon, bool cut) { Node(daemon).is_cut_off = cut; }
  // Stops a daemon for a while; its callers wait.
  void Freeze(int daemon, bool frozen) { Node(daemon).is_frozen = frozen; }
  // Replaces a daemon's process by one without state.
  void Restart(int daemon);
  // Makes another daemon the leader, which knows what it has heard and the row.
  void Lead(int daemon);
  void SetStoreAvailable(bool available) { is_store_available_ = available; }
  void Order(const RolloutOrder& order);

  RolloutDirectory& directory(int daemon) { return *Node(daemon).directory; }
  // Number of requests that this daemon has sent to the new version.
  int sent_to_new(int daemon) { return Node(daemon).sent_to_new; }
  const RolloutPlan& plan() const { return *plan_; }
  const std::optional<RolloutStep>& row() const { return row_; }
  Duration now() const { return now_; }

 private:
  struct Daemon {
    std::unique_ptr<RolloutDirectory> directory;
    std::unique_ptr<ResponseTracker> tracker;
    std::uint64_t incarnation = 1;
    bool is_cut_off = false;
    bool is_frozen = false;
    int sent_to_new = 0;
  };
  struct Running {
    TimePoint starts_at{};
    TimePoint ends_at{};
    int daemon = 0;
    std::uint64_t incarnation = 0;
    std::size_t upstream = 0;
    bool fails = false;
    std::unique_ptr<int> key;
  };
  struct Message {
    TimePoint arrives_at{};
    int from = 0;
    int to = 0;
    std::uint64_t incarnation = 0;
    std::vector<ReportedRollout> content;
  };

  Daemon& Node(int daemon) { return nodes_[static_cast<std::size_t>(daemon)]; }
  TimePoint Now() const { return TimePoint(100s) + now_; }
  void MakeNode(Daemon& daemon);
  void Step();
  void SendRequest();
  std::size_t ChooseUpstream(Daemon& daemon, bool wants_new);
  void FinishRequests();
  void ExchangeReports();
  void TickLeader();
  bool IsNew(std::size_t upstream) const {
    return upstream >= static_cast<std::size_t>(options_.old_upstreams);
  }

  CourseOptions options_;
  Random random_;
  Duration now_ = Duration::zero();
  std::vector<Daemon> nodes_;
  // Requests that run at each upstream; those of the old version come first.
  std::vector<int> running_;
  std::vector<Running> requests_;
  std::deque<Message> messages_;
  RolloutOrder order_;
  int leader_ = 0;
  std::uint64_t fencing_ = 1;
  std::unique_ptr<RolloutPlan> plan_;
  std::optional<RolloutStep> row_;
  bool is_store_available_ = true;
  bool step_pending_ = false;
  std::optional<TimePoint> fiftieth_bad_at_;
  CourseResult result_;
};

}  // namespace savoryglade::rollout
