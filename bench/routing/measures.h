#pragma once

namespace savoryglade {

// Measures tail latency while 10% of the upstreams are stragglers, against round robin and least
// reported load.
void MeasureStragglers();

// Measures recomputed prompt tokens and first-token latency, against random choice, hashing of the
// conversation and an oracle that knows the state of every engine.
void MeasureRecompute();

// Measures the time of one selection among 200 upstreams in one failure domain, on the real clock.
void MeasureSelection();

// Plays load patterns of an emulated fleet of 30, 100 and 300 daemons, against first come, first
// served with a comparison of all upstreams for each choice.
void MeasureFleetOverload();

// Measures a lookup of a route and the comparison of two versions, against a comparison of each
// path with all routes, on the real clock.
void MeasureRouteTables();

}  // namespace savoryglade
