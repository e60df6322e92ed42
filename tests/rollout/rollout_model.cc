#include "tests/rollout/rollout_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <utility>

namespace savoryglade::rollout {
namespace {

constexpr Duration kTick = 10ms;
constexpr Duration kReportInterval = 200ms;
constexpr Duration kLeaderInterval = 100ms;
constexpr std::array<double, 5> kRouteShares = {0.5, 0.25, 0.12, 0.08, 0.05};
// Time for which a version that is new to a daemon gets nothing.
constexpr Duration kHold = 1200ms;

const RolloutBounds kBounds{.exposure_share = 0.1, .exposure_allowance = 50, .rollback = 5s};

}  // namespace

RolloutCourse::RolloutCourse(CourseOptions options, std::uint64_t seed)
    : options_(options), random_(seed) {
  nodes_.resize(static_cast<std::size_t>(options_.daemons));
  for (Daemon& daemon : nodes_) {
    MakeNode(daemon);
  }
  running_.resize(static_cast<std::size_t>(options_.old_upstreams) +
                  static_cast<std::size_t>(options_.new_upstreams));
  // What the daemons have learned of the response times before the order.
  for (Duration time = -std::max<Duration>(4s, FromSeconds(4 * options_.response_s));
       time < Duration::zero(); time += kTick) {
    now_ = time;
    Step();
  }
  result_ = {};
  now_ = Duration::zero();
  Order({.service = kModelService,
         .to = "v2",
         .duration = options_.duration,
         .version = 1,
         .era = 1});
  Lead(0);
}

void RolloutCourse::MakeNode(Daemon& daemon) {
  daemon.directory = std::make_unique<RolloutDirectory>(random_.Next());
  daemon.directory->SetBounds(kBounds);
  daemon.directory->SetDaemonCount(options_.daemons);
  daemon.tracker = std::make_unique<ResponseTracker>(*daemon.directory);
}

void RolloutCourse::Restart(int daemon) {
  Daemon& node = Node(daemon);
  ++node.incarnation;
  node.tracker.reset();
  MakeNode(node);
  node.directory->OnOrder(order_, 0ms, Now());
}

void RolloutCourse::Order(const RolloutOrder& order) {
  order_ = order;
  for (Daemon& daemon : nodes_) {
    daemon.directory->OnOrder(order, 0ms, Now());
  }
  plan_.reset();
}

void RolloutCourse::Lead(int daemon) {
  leader_ = daemon;
  ++fencing_;
  plan_.reset();
}

void RolloutCourse::RunUntil(Duration time) {
  while (now_ < time) {
    Step();
    now_ += kTick;
  }
}

CourseResult RolloutCourse::Run() {
  RunUntil(options_.duration);
  return result_;
}

void RolloutCourse::Step() {
  FinishRequests();
  const double expected = options_.requests_per_s * ToSeconds(kTick);
  int arrivals = static_cast<int>(expected);
  arrivals += random_.Bernoulli(expected - arrivals) ? 1 : 0;
  for (int i = 0; i < arrivals; ++i) {
    SendRequest();
  }
  if (now_ % kLeaderInterval == 0ms) {
    for (Daemon& daemon : nodes_) {
      if (!daemon.is_frozen) {
        daemon.tracker->Tick(Now());
      }
    }
    if (now_ >= Duration::zero()) {
      TickLeader();
    }
  }
  if (now_ >= Duration::zero() && now_ % kReportInterval == 0ms) {
    ExchangeReports();
  }
}

std::size_t RolloutCourse::ChooseUpstream(Daemon& daemon, bool wants_new) {
  int usable = 0;
  bool is_exclusive = false;
  for (const VersionRule& rule : daemon.directory->RulesOf(kModelService, Now())) {
    if (rule.version == SoftwareVersionKey(order_.to) && Now() < rule.valid_until) {
      usable = std::min(rule.upstreams, options_.new_upstreams);
      is_exclusive = rule.exclusive;
    }
  }
  if (now_ < options_.boot_time + kHold) {
    usable = 0;
  }
  const auto old_end = static_cast<std::size_t>(options_.old_upstreams);
  const bool takes_new = usable > 0 && (wants_new || is_exclusive);
  const std::size_t begin = takes_new ? old_end : 0;
  const std::size_t end = takes_new ? old_end + static_cast<std::size_t>(usable) : old_end;
  std::size_t best = begin;
  for (std::size_t i = begin; i < end; ++i) {
    best = running_[i] < running_[best] ? i : best;
  }
  return best;
}

void RolloutCourse::SendRequest() {
  const int daemon = static_cast<int>(random_.UniformInt(nodes_.size()));
  Daemon& node = Node(daemon);
  if (node.is_frozen) {
    return;
  }
  double pick = random_.UniformReal();
  std::size_t route = 0;
  while (route + 1 < kRouteShares.size() && pick >= kRouteShares.at(route)) {
    pick -= kRouteShares.at(route);
    ++route;
  }
  const bool wants_new = node.directory->Admits(kModelService, route, random_.Next(), Now());
  const std::size_t upstream = ChooseUpstream(node, wants_new);
  const bool is_new = IsNew(upstream);
  const double old_load =
      std::accumulate(running_.begin(), running_.begin() + options_.old_upstreams, 0.0) /
      options_.old_upstreams;
  ++running_[upstream];
  if (!node.is_cut_off) {
    ++result_.requests;
  }
  node.directory->OnRequest(kModelService, route);
  const double use = static_cast<double>(running_[upstream]) / options_.slots;
  double seconds = options_.response_s * (1 + options_.load_slowdown * use) *
                   std::exp(0.5 * std::sqrt(-2 * std::log(1 - random_.UniformReal())) *
                            std::cos(6.283185 * random_.UniformReal()));
  bool fails = random_.Bernoulli(options_.base_failures);
  if (is_new) {
    result_.peak_ratio = std::max(result_.peak_ratio, running_[upstream] / std::max(old_load, 1.0));
    const bool under_load = running_[upstream] >= 0.6 * old_load;
    const bool above_half = running_[upstream] > 0.5 * options_.slots;
    const bool is_faulty =
        now_ >= options_.boot_time + options_.fault_after &&
        (!options_.only_under_load || under_load) && (!options_.only_above_half || above_half) &&
        (!options_.only_route || *options_.only_route == static_cast<int>(route));
    if (is_faulty && options_.fault == VersionFault::kErrors) {
      fails = fails || random_.Bernoulli(options_.fault_share);
    } else if (is_faulty && options_.fault == VersionFault::kSlow) {
      seconds *= options_.slowdown;
    }
    if (!node.is_cut_off) {
      ++result_.sent_to_new;
      ++node.sent_to_new;
      if (fiftieth_bad_at_) {
        result_.sent_after_50th = Now() - *fiftieth_bad_at_;
      }
      if ((is_faulty && options_.fault != VersionFault::kNone) &&
          (fails || options_.fault == VersionFault::kSlow) && ++result_.bad_responses == 50) {
        fiftieth_bad_at_ = Now() + FromSeconds(seconds);
      }
    }
  }
  Running& running = requests_.emplace_back();
  running.starts_at = Now() + FromSeconds(seconds * options_.first_event);
  running.ends_at = Now() + FromSeconds(seconds);
  running.daemon = daemon;
  running.incarnation = node.incarnation;
  running.upstream = upstream;
  running.fails = fails;
  running.key = std::make_unique<int>(0);
  node.tracker->OnSent(running.key.get(),
                       {.service = kModelService,
                        .route = route,
                        .version = SoftwareVersionKey(is_new ? order_.to : "v1")},
                       Now());
}

void RolloutCourse::FinishRequests() {
  std::erase_if(requests_, [this](Running& running) {
    Daemon& node = Node(running.daemon);
    if (running.ends_at > Now() || node.is_frozen) {
      if (running.starts_at <= Now() && !node.is_frozen &&
          node.incarnation == running.incarnation) {
        node.tracker->OnFirstEvent(running.key.get(), Now());
        running.starts_at = TimePoint::max();
      }
      return false;
    }
    --running_[running.upstream];
    if (node.incarnation == running.incarnation) {
      node.tracker->OnEnd(running.key.get(),
                          running.fails ? TrackedEnd::kFailed : TrackedEnd::kAnswered, Now());
    }
    return true;
  });
}

void RolloutCourse::ExchangeReports() {
  while (!messages_.empty() && messages_.front().arrives_at <= Now()) {
    Message message = std::move(messages_.front());
    messages_.pop_front();
    if (Node(message.to).is_cut_off || Node(message.to).is_frozen) {
      continue;
    }
    for (ReportedRollout& rollout : message.content) {
      rollout.order_age += options_.report_delay;
      if (rollout.step_age) {
        *rollout.step_age += options_.report_delay;
      }
    }
    Node(message.to)
        .directory->OnReport(ReportSource::Daemon(DaemonId(std::to_string(message.from))),
                             message.incarnation, message.content, Now());
  }
  for (int from = 0; from < options_.daemons; ++from) {
    Daemon& node = Node(from);
    if (node.is_cut_off || node.is_frozen) {
      continue;
    }
    const auto content = node.directory->ReportOf(ReportScope::kDaemon, Now());
    // Every daemon hears the leader, and the leader and its successor hear every daemon.
    for (int to = 0; to < options_.daemons; ++to) {
      if (to != from && (from == leader_ || to <= 1)) {
        messages_.push_back({.arrives_at = Now() + options_.report_delay,
                             .from = from,
                             .to = to,
                             .incarnation = node.incarnation,
                             .content = content});
      }
    }
  }
}

void RolloutCourse::TickLeader() {
  Daemon& node = Node(leader_);
  if (node.is_frozen) {
    return;
  }
  RolloutDirectory::Entry& entry = *node.directory->Find(kModelService);
  if (!plan_) {
    plan_ = std::make_unique<RolloutPlan>(PlanOptions{.bounds = kBounds}, order_.duration,
                                          entry.ordered_at);
    if (entry.confirmed_at) {
      plan_->Resume(entry.step, Now());
    }
  }
  PlanInput input{.counts = entry.ledger.Total(),
                  .old_slots = options_.old_upstreams * options_.slots,
                  .step_pending = step_pending_};
  if (now_ >= options_.boot_time) {
    input.new_slots = options_.new_upstreams * options_.slots;
    input.new_upstreams = options_.new_upstreams;
  }
  input.running_on_old =
      std::accumulate(running_.begin(), running_.begin() + options_.old_upstreams, 0);
  const RolloutStage before = entry.step.stage;
  RolloutStep step = plan_->Decide(input, Now());
  if (step.stage == RolloutStage::kCanary && step.upstreams > 0) {
    const auto first = running_.begin() + options_.old_upstreams;
    const double used = std::accumulate(first, first + step.upstreams, 0.0);
    result_.canary_use = std::max(result_.canary_use, used / (step.upstreams * options_.slots));
  }
  step.fencing = fencing_;
  step.number = entry.step.number + 1;
  step_pending_ = step.IsLargerThan(row_.value_or(RolloutStep{})) ||
                  (IsFinal(step.stage) && step.stage == RolloutStage::kCompleted);
  if (step_pending_ && is_store_available_) {
    row_ = step;
    step_pending_ = false;
  }
  if (!step_pending_) {
    node.directory->Publish(kModelService, step, Now());
  } else {
    node.directory->Confirm(kModelService, Now());
  }
  if (IsFinal(entry.step.stage) && !IsFinal(before)) {
    result_.outcome = entry.step.stage;
    result_.reason = plan_->reason();
    result_.outcome_at = now_;
    result_.cut_off = step.stage == RolloutStage::kCompleted ? input.running_on_old : 0;
  }
}

}  // namespace savoryglade::rollout
