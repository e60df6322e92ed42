#include "metrics/dropped_line_counters.h"

namespace savoryglade {
namespace {

constexpr const char* kDroppedLines = "savoryglade_log_dropped_lines_total";

}  // namespace

DroppedLineCounters::DroppedLineCounters(MetricRegistry& registry)
    : rate_limit_(registry.GetCounter(kDroppedLines, {{"cause", "rate_limit"}})),
      output_(registry.GetCounter(kDroppedLines, {{"cause", "output"}})),
      essential_(registry.GetCounter("savoryglade_log_lost_essential_lines_total")) {}

void DroppedLineCounters::Update(const DroppedLines& lines) {
  rate_limit_.Add(lines.rate_limit - counted_.rate_limit);
  output_.Add(lines.output - counted_.output);
  essential_.Add(lines.essential - counted_.essential);
  counted_ = lines;
}

}  // namespace savoryglade
