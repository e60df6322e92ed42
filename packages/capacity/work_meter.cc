#include "capacity/work_meter.h"

#include <algorithm>

namespace savoryglade::capacity {

void WorkMeter::OnReport(const ReportSource& source, std::uint64_t incarnation,
                         const std::map<ServiceId, double>& work) {
  const auto [found, is_new] = sources_.try_emplace(source);
  Source& source_state = found->second;
  const bool restarted = is_new || source_state.incarnation != incarnation;
  if (restarted) {
    source_state.incarnation = incarnation;
    source_state.work.clear();
  }
  // A restarted daemon counts from zero. Totals over several daemons may continue with another
  // reporter, whose totals start elsewhere.
  const bool from_zero = source.scope == ReportScope::kDaemon;
  for (const auto& [service, seconds] : work) {
    const auto last = source_state.work.find(service);
    if (last != source_state.work.end() || from_zero) {
      const double before = last == source_state.work.end() ? 0 : last->second;
      reported_[source.scope][service] += std::max(seconds - before, 0.0);
    }
    source_state.work[service] = seconds;
  }
}

std::map<ServiceId, double> WorkMeter::WorkOf(ReportScope scope) const {
  std::map<ServiceId, double> work;
  if (scope != ReportScope::kBeyond) {
    work = own_;
  }
  if (scope == ReportScope::kDaemon) {
    return work;
  }
  const auto parts = reported_.find(ComponentScope(scope));
  if (parts != reported_.end()) {
    for (const auto& [service, seconds] : parts->second) {
      work[service] += seconds;
    }
  }
  return work;
}

double WorkMeter::Total(const ServiceId& service) const {
  const auto find = [&service](const std::map<ServiceId, double>& work) {
    const auto found = work.find(service);
    return found == work.end() ? 0.0 : found->second;
  };
  double total = find(own_);
  for (const auto& [scope, work] : reported_) {
    total += find(work);
  }
  return total;
}

}  // namespace savoryglade::capacity
