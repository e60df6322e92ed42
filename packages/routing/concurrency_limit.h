#pragma once

namespace savoryglade {

// Adaptive limit of the requests that this daemon may run on one upstream. It follows the gradient
// between long-term and short-term latency, within a minimum and a maximum. A new or returning
// upstream starts with a low limit that grows by one with each success, which doubles it per round
// (slow start).
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(int maximum);

  int limit() const { return static_cast<int>(limit_); }

  // Returns the estimated number of requests that the upstream runs without queueing. During slow
  // start this is the maximum, because a low limit is then a precaution and no sign of load.
  int slots() const { return static_cast<int>(slow_start_ ? maximum_ : limit_); }

  bool slow_start() const { return slow_start_; }

  // Sets the maximum, e.g. after a configuration change.
  void SetMaximum(int maximum);

  // Counts a success whose total latency is not known yet, i.e. a first token.
  void OnProgress();

  // Records the latency of a completed attempt as a multiple of its expected latency, with the
  // number of this daemon's attempts that ran on the upstream at its end.
  void OnCompleted(double latency_ratio, int running);

  // Lowers the limit below the load at which the upstream rejected a request.
  void OnRefused(int running);

  // Restarts slow start and clears the latencies.
  void Restart();

 private:
  double maximum_;
  double limit_;
  bool slow_start_ = true;
  double short_term_ = 0;
  double long_term_ = 0;
};

}  // namespace savoryglade
