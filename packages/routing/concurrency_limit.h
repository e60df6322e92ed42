#pragma once

namespace savoryglade {

// Number of requests that one upstream may run for this daemon. It follows the gradient between the
// long-term and the short-term latency, between a minimum and a maximum. A new or returning
// upstream starts low and gains one for each success, which doubles the limit in each round.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(int maximum);

  // Returns the limit in requests.
  int limit() const { return static_cast<int>(limit_); }

  // Returns the number of requests that the upstream is believed to run without a queue. During
  // slow start that is the maximum: a low limit is caution then, no sign of load.
  int slots() const { return static_cast<int>(slow_start_ ? maximum_ : limit_); }

  // Returns true while the limit is still in its slow start.
  bool slow_start() const { return slow_start_; }

  // Changes the maximum, e.g. on a new configuration.
  void SetMaximum(int maximum);

  // Counts a success that has no total latency yet, i.e. a first token.
  void OnProgress();

  // Learns the latency of a completed attempt per second of predicted cost, with the number of own
  // attempts that ran at its end.
  void OnCompleted(double latency_ratio, int running);

  // Lowers the limit below the load that the upstream refused.
  void OnRefused(int running);

  // Begins a new slow start and forgets the latencies.
  void Restart();

 private:
  double maximum_;
  double limit_;
  bool slow_start_ = true;
  double short_term_ = 0;
  double long_term_ = 0;
};

}  // namespace savoryglade
