#pragma once

#include "metrics/registry.h"

namespace savoryglade {

// Counters of the path from caller to upstream, looked up once.
struct RequestMetrics {
  explicit RequestMetrics(MetricRegistry& registry);

  Counter& tokens_relayed;
  // Tokens that an upstream sent again although the caller already had them.
  Counter& tokens_recomputed;
  Counter& tokens_cached;
  // Events that are not the next one of their request.
  Counter& late_events;
  Counter& crossed_events;
  Counter& duplicate_events;
  Counter& malformed_events;
  // Streams whose upstream skipped a position.
  Counter& event_gaps;
  Counter& retries;
  Counter& continued_streams;
  Counter& resumed_streams;
  Counter& silent_upstreams;
  Counter& silent_connections;
  Counter& callers_gone_queued;
  Counter& callers_gone_running;
  Counter& cancelled_generations;
  Counter& resume_events;
};

}  // namespace savoryglade
