#pragma once

#include "logging/logger.h"
#include "metrics/registry.h"

namespace savoryglade {

// Counters of the log lines that this process has dropped. Used by one thread at a time.
class DroppedLineCounters {
 public:
  // The registry must outlive this object.
  explicit DroppedLineCounters(MetricRegistry& registry);

  // Brings the counters to the numbers since the start of the process.
  void Update(const DroppedLines& lines);

 private:
  Counter& rate_limit_;
  Counter& output_;
  Counter& essential_;
  DroppedLines counted_;
};

}  // namespace savoryglade
