#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/time.h"
#include "emulator/emulated_link.h"
#include "emulator/worker_service.h"
#include "net/http_server.h"
#include "net/worker_pool.h"
#include "soak/history.h"

namespace savoryglade::soak {

struct UpstreamOptions {
  std::string id;
  std::string version;
  std::string failure_domain;
  int slots = 16;
  // Bounds of the time that a call runs and that a stream takes to its first event.
  Duration min_service_time = 20ms;
  Duration max_service_time = 300ms;
  Duration event_interval = 100ms;
  // Size of the data of an event.
  std::size_t event_bytes = 0;
  // Share of streams that fall silent once, before their first event or between two, and go on.
  double silent_share = 0;
  // Whether requests that resume a stream are rejected as not run, as by a full upstream.
  bool rejects_resumed = false;
  // Decides, with the attempt and the upstream, on the silence of a stream.
  std::uint64_t seed = 0;
  // Called on the upstream's thread when a request has crashed it. The connections break when
  // Break is called.
  std::function<void()> on_crash;
};

// Emulated upstream that takes its time and records what it runs.
class Upstream {
 public:
  // Part of the paths of requests that crash the upstreams that run them.
  static constexpr std::string_view kCrashingName = "poison";

  Upstream(UpstreamOptions options, History& history);
  ~Upstream() { Close(); }
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // Closes the listener and all connections at once, and records that.
  void Break();
  // Makes the upstream name a limit in its answers, in requests per second, or none.
  void SetRateLimit(std::optional<double> rate);
  // Makes the upstream say in its answers that it leaves.
  void SayLeaving();
  // Makes the upstream reject all requests for this time and say so.
  void RejectFor(Duration time) { rejects_until_ = Now() + time; }
  // Makes the upstream say in its answers that it is brittle: after some time it has fewer slots,
  // and it crashes once it has rejected more than this many requests in a second for want of them.
  // Zero ends that.
  void SetBrittle(int rejections);
  // Cuts the path from these addresses, and from no others. See EmulatedLink.
  void SetPartitioned(const std::set<std::string>& source_addresses, bool reset) {
    if (link_ != nullptr) {
      link_->SetPartitioned(source_addresses, reset);
    }
  }
  // Text of its entry in the store.
  std::string Registration(bool leaving) const;
  int running() const { return running_; }
  const UpstreamOptions& options() const { return options_; }

 private:
  void Close();
  // Rejects a request, for as long as the upstream wants none if it says so.
  boost::asio::awaitable<void> Reject(HttpExchange& exchange, const std::string& attempt);
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);
  Duration ServiceTime(const std::string& attempt) const;
  // Time in which a stream sends nothing before one of its events.
  struct Silence {
    // Zero if the stream does not fall silent.
    int before_event = 0;
    Duration length = Duration::zero();
    // Whether the header of the response goes before a silence before the first event.
    bool behind_header = false;
  };
  Silence DrawSilence(const std::string& attempt, int events_before) const;
  // Headers that all answers carry.
  HttpHeaders Signals() const;
  HttpHeaders ResponseHeaders(const std::string& attempt) const;
  int Slots() const;
  // Counts a rejection for want of slots, which may crash the upstream.
  void CountRejection(const std::string& attempt);
  // Waits for this time. Returns false if the connection has ended before.
  static boost::asio::awaitable<bool> Wait(HttpExchange& exchange, Duration time);
  // Sends the events behind the last one that the request names. Returns false if the connection
  // has ended before.
  boost::asio::awaitable<bool> Stream(HttpExchange& exchange, std::size_t run, int events_before,
                                      Silence silence);

  UpstreamOptions options_;
  History& history_;
  WorkerService worker_;
  std::atomic<int> running_{0};
  std::atomic<bool> leaving_{false};
  // Zero if the upstream names no limit.
  std::atomic<double> rate_limit_{0};
  // Zero if the upstream is not brittle.
  std::atomic<int> brittle_{0};
  std::atomic<TimePoint> brittle_since_{TimePoint{}};
  // Rejections of the last second for want of slots. Used by the upstream's thread.
  std::deque<Arrival> rejections_;
  bool crashed_ = false;
  std::atomic<TimePoint> rejects_until_{TimePoint{}};
  Endpoint endpoint_;
  std::unique_ptr<WorkerPool> pool_;
  std::unique_ptr<HttpServer> server_;
  // Path on which the daemons reach the upstream.
  std::unique_ptr<EmulatedLink> link_;
};

}  // namespace savoryglade::soak
