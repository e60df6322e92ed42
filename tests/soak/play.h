#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "emulator/emulated_link.h"
#include "emulator/store_service.h"
#include "net/http_server.h"
#include "net/worker_pool.h"
#include "soak/caller.h"
#include "soak/daemon_process.h"
#include "soak/history.h"
#include "soak/upstream.h"

namespace savoryglade::soak {

// Time after an upstream's notice for which it still serves.
inline constexpr Duration kUpstreamDrain = 1s;

struct PlayOptions {
  std::string daemon_program;
  // Directory of the settings files and logs; created by the play.
  std::string directory;
  std::uint64_t seed = 0;
  // Time from the first call until the callers are told to stop.
  Duration length = 20s;
};

// One play of daemons, callers, upstreams and faults that are drawn from a seed. Runs in real time,
// so two plays of a seed have the same faults but not the same interleaving.
class Play {
 public:
  explicit Play(PlayOptions options);
  ~Play();
  Play(const Play&) = delete;
  Play& operator=(const Play&) = delete;

  // Plays to the end and returns the promises that were broken.
  std::vector<Violation> Run();
  const History& history() const { return history_; }
  // Describes the play and what its callers saw in one line.
  std::string Summary() const;

 private:
  struct DaemonState {
    std::unique_ptr<DaemonProcess> process;
    // Time of the stop order that the process has not yet followed.
    std::optional<TimePoint> stop_ordered;
    bool frozen = false;
    bool killed = false;
    // True if the process was frozen at the stop order or after it.
    bool froze_while_stopping = false;
  };

  boost::asio::awaitable<void> HandleStoreCall(HttpExchange& exchange);
  void StartServices();
  void StartDaemons();
  void StartCallers();
  // Decides how callers send and read, and whether slow readers have much to read when their daemon
  // closes the connection.
  void DrawHabits();
  // Decides whether upstreams fall silent and reject resumed requests.
  void DrawSilences();
  // Writes the settings of a daemon.
  void WriteSettings(std::size_t daemon, int revision);
  PromiseBounds Bounds() const;
  // Plans all faults of the play.
  void PlanStops();
  void PlanUnplannedFaults();
  void PlanUpstreamChanges();
  void PlanStoreFaults();
  // Kills all daemons at the same time.
  void PlanHerdKills();
  // Freezes daemons for so long that callers give up requests that are not read.
  void PlanFreezesWhileCallersLeave();
  // Cuts some daemons off from all upstreams for a while.
  void PlanPartitions();
  void SetPartitioned(const std::vector<std::size_t>& daemons, bool reset);
  // Adds thousands of routes.
  void PlanRouteGrowth();
  // Lets upstreams name rate limits for a while.
  void PlanRateLimits();
  // Lets upstreams say in their answers that they leave, or want no requests for a while.
  void PlanWishes();
  // Makes all upstreams brittle for a while.
  void PlanBrittleTime();
  void SetBrittle(int rejections);
  // Callers that send a request which crashes the upstreams that run it.
  void StartCrashingCallers();
  void ReplaceCrashedUpstreams();

  void At(TimePoint time, std::function<void()> action);
  // Runs due actions and looks after the processes until the condition holds or the time has come.
  bool RunUntil(TimePoint end, const std::function<bool()>& condition);
  void OnExit(std::size_t daemon, int status);
  void StartDaemon(std::size_t daemon);
  void Stop(std::size_t daemon);
  void Disturb(std::size_t daemon, EventKind kind, int signal);
  void AddUpstream(const std::string& version, const std::string& failure_domain);
  // Counts upstreams of a version that resume streams.
  void CountServing(const std::string& version, int change);
  void RemoveUpstream(const std::string& id, bool planned);
  // Removes an upstream without notice; another one takes its place after a while.
  void CrashUpstream(const std::string& id);
  // Returns the id of an upstream in service, or nothing if fewer than `spare` others are.
  std::optional<std::string> PickUpstream(Random& random, std::size_t spare);
  std::string RandomDomain();
  TimePoint RandomTime(Random& random, double from_share, double to_share) const;
  Duration RandomDuration(Duration from, Duration to);

  PlayOptions options_;
  Random random_;
  // Decides on crashing requests and the kills beside them.
  Random crash_random_;
  Random limit_random_;
  Random partition_random_;
  Random route_random_;
  Random give_up_random_;
  Random wish_random_;
  Random silence_random_;
  Random habit_random_;
  Random brittle_random_;
  Duration grace_;
  // Longest service time of a call, and the time between the events of a stream.
  Duration service_time_;
  Duration event_interval_;
  // Size of the data of an event.
  std::size_t event_bytes_ = 0;
  // Share of callers with each of the ways to send or read that most callers have not.
  double habit_share_ = 0;
  // Share of streams that fall silent and go on, and whether upstreams reject resumed requests.
  double silent_share_ = 0;
  bool rejects_resumed_ = false;
  double retry_allowance_ = 200;
  // Rejections in a second that an upstream survives, or zero while they are not brittle.
  int brittle_ = 0;
  // Largest allowance of all settings that were written.
  double largest_retry_allowance_ = 0;
  std::size_t domain_count_;
  History history_;
  StoreService store_;
  std::atomic<Duration> store_delay_{Duration::zero()};
  WorkerPool platform_pool_{1};
  HttpServer store_server_;
  HttpServer duty_server_;
  // Links of the daemons to the store.
  std::vector<std::unique_ptr<EmulatedLink>> store_links_;
  // True once the added routes must be in force everywhere.
  std::atomic<bool> routes_added_{false};
  std::vector<DaemonState> daemons_;
  // All upstreams, also those that are gone, and the ids of those in service.
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  std::map<std::string, Upstream*> serving_;
  // Addresses of the daemons that are cut off from all upstreams.
  std::set<std::string> partitioned_;
  std::mutex crashed_mutex_;
  // Upstreams in service that a request has crashed.
  std::vector<std::string> crashed_upstreams_;
  std::unique_ptr<LoadBalancer> balancer_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::atomic<bool> callers_stop_{false};
  std::atomic<int> active_callers_{0};
  bool ending_ = false;
  TimePoint begin_{};
  std::multimap<TimePoint, std::function<void()>> actions_;
  // Destroyed first, so that no caller runs any more.
  WorkerPool caller_pool_{1};
};

}  // namespace savoryglade::soak
