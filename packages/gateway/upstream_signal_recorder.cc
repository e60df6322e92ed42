#include "gateway/upstream_signal_recorder.h"

#include <fmt/format.h>

#include <cstdint>
#include <optional>
#include <string>

#include "core/boot_clock.h"
#include "logging/logger.h"

namespace savoryglade::gateway {
namespace {

const Logger kLog("signals");

// Returns what an answer says of the upstream. A late answer to another request says nothing of the
// load and the limits of this moment; that a process leaves stays true.
UpstreamSignal CurrentSignal(const ResponseMetadata& response) {
  UpstreamSignal signal = response.signal;
  if (response.owner == ResponseOwner::kOtherAttempt) {
    signal.load.reset();
  }
  if (response.owner != ResponseOwner::kThisAttempt) {
    signal.rate_limit.reset();
    signal.rejection_limit.reset();
    signal.is_complete = false;
  }
  return signal;
}

// Formats the key of a process for the log.
std::string ProcessText(std::uint64_t process) { return fmt::format("{:016x}", process); }

}  // namespace

void UpstreamSignalRecorder::CountChange(const char* signal) {
  fleet_.metrics.GetCounter(kUpstreamSignalsMetric, {{"signal", signal}}).Add();
}

void UpstreamSignalRecorder::OnAnswer(const UpstreamRecord& upstream, const std::string& request,
                                      const ResponseMetadata& response, TimePoint sent_at) {
  const std::uint64_t process = FleetLoadBalancer::ProcessKeyOf(upstream);
  if (!response.invalid_signals.empty()) {
    CountChange("invalid");
    kLog.Warning("Ignored what an upstream says of itself, because it can't be read.",
                 {{"upstream", upstream.id.value()},
                  {"process", ProcessText(process)},
                  {"request", request},
                  {"headers", response.invalid_signals}});
  }
  const UpstreamSignal signal = CurrentSignal(response);
  const TimePoint now = BootNow();
  const UpstreamSignalChanges changes =
      fleet_.load_balancer.OnSignal(upstream, signal, sent_at, now);
  if (changes.leaving) {
    CountChange("leaving");
    kLog.Info("An upstream says that it leaves.", {{"upstream", upstream.id.value()},
                                                   {"process", ProcessText(process)},
                                                   {"request", request}});
    fleet_.notices.OnLeaving(upstream.id, now);
    callbacks_.on_leaving(upstream.id);
    callbacks_.publish();
  }
  if (changes.wait) {
    CountChange("wait");
    const TimePoint end = fleet_.load_balancer.signals().WaitEnd(process, now).value_or(now);
    kLog.Info("An upstream wants no requests for a while.", {{"upstream", upstream.id.value()},
                                                             {"process", ProcessText(process)},
                                                             {"request", request},
                                                             {"ms", (end - now) / 1ms}});
  }
  if (changes.rejection) {
    callbacks_.publish();
  }
  if (changes.rejection_limit) {
    CountChange("rejection_limit");
    kLog.Info(signal.rejection_limit ? "An upstream names a limit of rejections."
                                     : "An upstream no longer names a limit of rejections.",
              {{"upstream", upstream.id.value()},
               {"process", ProcessText(process)},
               {"request", request},
               {"rejections_per_s", signal.rejection_limit.value_or(0)}});
  }
  if (changes.rate_limit) {
    CountChange("rate_limit");
    kLog.Info(signal.rate_limit ? "An upstream names a rate limit."
                                : "An upstream no longer names a rate limit.",
              {{"upstream", upstream.id.value()},
               {"process", ProcessText(process)},
               {"request", request},
               {"rate_per_s", signal.rate_limit.value_or(0)}});
  }
}

void UpstreamSignalRecorder::OnReport(const FleetReport& report) {
  const TimePoint now = BootNow();
  for (const ReportedNotice& rejection : report.rejections) {
    fleet_.load_balancer.OnReportedRejection(rejection, now);
  }
  for (const ReportedNotice& notice : report.notices) {
    OnPeerNotice(notice, report.sender.id);
  }
}

void UpstreamSignalRecorder::OnPeerNotice(const ReportedNotice& notice, const DaemonId& peer) {
  const TimePoint now = BootNow();
  const std::optional<UpstreamId> upstream = fleet_.load_balancer.OnReportedNotice(notice, now);
  if (!upstream) {
    return;
  }
  CountChange("leaving");
  kLog.Info("A peer reported that an upstream leaves.", {{"upstream", upstream->value()},
                                                         {"process", ProcessText(notice.upstream)},
                                                         {"daemon", peer.value()},
                                                         {"age_ms", notice.age / 1ms}});
  fleet_.notices.OnLeaving(*upstream, now);
  callbacks_.on_leaving(*upstream);
}

void UpstreamSignalRecorder::OnSend(const UpstreamRecord& upstream, const std::string& request) {
  const UpstreamSignals& signals = fleet_.load_balancer.signals();
  const std::uint64_t process = FleetLoadBalancer::ProcessKeyOf(upstream);
  const bool leaving = signals.IsLeaving(process);
  const std::optional<TimePoint> wait_end = signals.WaitEnd(process, BootNow());
  if (!leaving && !wait_end) {
    return;
  }
  fleet_.metrics.GetCounter(kUnwantedSendsMetric, {{"signal", leaving ? "leaving" : "wait"}}).Add();
  kLog.Info("A request is sent to an upstream that wants none.",
            {{"upstream", upstream.id.value()},
             {"process", ProcessText(process)},
             {"request", request},
             {"leaving", leaving},
             {"wait_ms", wait_end ? (*wait_end - BootNow()) / 1ms : 0}});
}

}  // namespace savoryglade::gateway
