#pragma once

#include <cstdint>
#include <map>

#include "core/report_source.h"
#include "core/strong_id.h"

namespace savoryglade::capacity {

// Measures the work sent to each service, in seconds of one worker. The sum over the fleet never
// decreases. Not thread-safe.
class WorkMeter {
 public:
  void Add(const ServiceId& service, double seconds) { own_[service] += seconds; }
  // Records the work of a source since the start of its reporter.
  void OnReport(const ReportSource& source, std::uint64_t incarnation,
                const std::map<ServiceId, double>& work);
  // Returns the work sent by the daemons that a report of this scope covers.
  std::map<ServiceId, double> WorkOf(ReportScope scope) const;
  double Total(const ServiceId& service) const;

 private:
  struct Source {
    std::uint64_t incarnation = 0;
    std::map<ServiceId, double> work;
  };

  std::map<ServiceId, double> own_;
  std::map<ReportSource, Source> sources_;
  // Work that others reported since the start of this daemon.
  std::map<ReportScope, std::map<ServiceId, double>> reported_;
};

}  // namespace savoryglade::capacity
