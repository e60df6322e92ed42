#pragma once

namespace savoryglade {

// Tail latency while 10% of the upstreams are stragglers, against round robin and least reported
// load.
void MeasureStragglers();

// Recomputed prompt tokens and first-token latency, against random choice, hashing of the
// conversation and a router that knows the state of every engine.
void MeasureRecompute();

// Time of one selection with 200 upstreams in one failure domain, on the real clock.
void MeasureSelection();

}  // namespace savoryglade
