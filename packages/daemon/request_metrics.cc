#include "daemon/request_metrics.h"

namespace savoryglade {

RequestMetrics::RequestMetrics(MetricRegistry& registry)
    : tokens_relayed(registry.GetCounter("savoryglade_tokens_relayed_total")),
      tokens_recomputed(registry.GetCounter("savoryglade_tokens_recomputed_total")),
      tokens_cached(registry.GetCounter("savoryglade_tokens_cached_total")),
      late_events(registry.GetCounter("savoryglade_events_dropped_total", {{"reason", "late"}})),
      crossed_events(
          registry.GetCounter("savoryglade_events_dropped_total", {{"reason", "crossed"}})),
      duplicate_events(
          registry.GetCounter("savoryglade_events_dropped_total", {{"reason", "duplicate"}})),
      malformed_events(
          registry.GetCounter("savoryglade_events_dropped_total", {{"reason", "malformed"}})),
      event_gaps(registry.GetCounter("savoryglade_event_gaps_total")),
      retries(registry.GetCounter("savoryglade_retries_total")),
      continued_streams(registry.GetCounter("savoryglade_streams_continued_total")),
      resumed_streams(registry.GetCounter("savoryglade_streams_resumed_total")),
      silent_upstreams(
          registry.GetCounter("savoryglade_silent_upstreams_total", {{"found_by", "stream"}})),
      silent_connections(
          registry.GetCounter("savoryglade_silent_upstreams_total", {{"found_by", "health"}})),
      callers_gone_queued(
          registry.GetCounter("savoryglade_callers_gone_total", {{"stage", "queued"}})),
      callers_gone_running(
          registry.GetCounter("savoryglade_callers_gone_total", {{"stage", "running"}})),
      cancelled_generations(registry.GetCounter("savoryglade_generations_cancelled_total")),
      resume_events(registry.GetCounter("savoryglade_resume_events_total")) {}

}  // namespace savoryglade
