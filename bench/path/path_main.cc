#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "bench/path/daemon_process.h"
#include "emulator/engine.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/worker_pool.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr int kEngines = 4;
constexpr std::size_t kCallerThreads = 3;
constexpr int kCallsPerSecond = 1000;
constexpr int kFirstByteRequests = 3000;
constexpr int kOpenStreams = 500;
constexpr int kIdleStreams = 1000;
// Also the period over which the token rate of direct calls is measured.
constexpr Duration kWarmupPeriod = 1s;
constexpr Duration kMeasurementPeriod = 4s;
constexpr Duration kCallTimeout = 20s;

TimePoint Now() { return std::chrono::steady_clock::now(); }

// Emulated engines, each with its own thread and listener.
class EmulatedEngines {
 public:
  explicit EmulatedEngines(const EngineOptions& options) {
    for (int i = 0; i < kEngines; ++i) {
      engines_.push_back(std::make_unique<Engine>(options));
      pools_.push_back(std::make_unique<WorkerPool>(1));
      servers_.push_back(std::make_unique<HttpServer>(
          *pools_.back(), HttpLimits{},
          [engine = engines_.back().get()](HttpExchange& e) { return engine->Handle(e); }));
      endpoints_.push_back(*servers_.back()->Listen({.address = "127.0.0.1"}));
    }
  }
  ~EmulatedEngines() {
    for (const auto& pool : pools_) {
      pool->Stop();
    }
  }
  EmulatedEngines(const EmulatedEngines&) = delete;
  EmulatedEngines& operator=(const EmulatedEngines&) = delete;

  const std::vector<Endpoint>& endpoints() const { return endpoints_; }

 private:
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<std::unique_ptr<WorkerPool>> pools_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::vector<Endpoint> endpoints_;
};

// Destination of calls: a daemon, or directly the engines.
struct Target {
  std::vector<Endpoint> endpoints;
  bool direct = false;
};

HttpRequest MakeCall(const Target& target, const Endpoint& endpoint, int number, int tokens) {
  HttpRequest request(http::verb::post, target.direct ? "/generate" : "/v1/chat/completions", 11);
  request.set(http::field::host, ToString(endpoint));
  request.set(http::field::authorization, "Bearer key");
  request.body() =
      target.direct
          ? fmt::format(
                R"({{"generation":"bench-{}","prompt":"Check the shutter","max_tokens":{}}})",
                number, tokens)
          : fmt::format(R"({{"model":"assistant","stream":true,"max_tokens":{},)"
                        R"("messages":[{{"role":"user","content":"Check the shutter"}}]}})",
                        tokens);
  request.prepare_payload();
  return request;
}

// Callers on kCallerThreads threads.
class Callers {
 public:
  explicit Callers(Target target) : target_(std::move(target)), pool_(kCallerThreads) {
    for (std::size_t i = 0; i < kCallerThreads; ++i) {
      connections_.push_back(std::make_unique<ConnectionPool>());
    }
  }
  ~Callers() { pool_.Stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  // Sends short calls at a fixed rate. Returns the sorted times to the first byte of the response
  // body, in milliseconds.
  std::vector<double> MeasureFirstByte() {
    const TimePoint start = Now() + 50ms;
    for (int i = 0; i < kFirstByteRequests; ++i) {
      asio::co_spawn(pool_.Next(), TimeFirstByte(i, start + i * Duration(1s) / kCallsPerSecond),
                     asio::detached);
    }
    const TimePoint deadline = start + kCallTimeout;
    while (finished_.load() < kFirstByteRequests && Now() < deadline) {
      std::this_thread::sleep_for(10ms);
    }
    const std::lock_guard lock(mutex_);
    std::sort(first_byte_times_ms_.begin(), first_byte_times_ms_.end());
    return first_byte_times_ms_;
  }

  // Opens streams that stay open and waits until each has received its first token.
  void OpenStreams(int count) {
    for (int i = 0; i < count; ++i) {
      asio::co_spawn(pool_.Next(), ReadStream(i), asio::detached);
    }
    const TimePoint deadline = Now() + kCallTimeout;
    while (open_streams_.load() < count && Now() < deadline) {
      std::this_thread::sleep_for(10ms);
    }
  }

  int open() const { return open_streams_.load(); }
  std::uint64_t tokens() const { return tokens_.load(); }

 private:
  asio::awaitable<void> TimeFirstByte(int number, TimePoint send_at) {
    asio::steady_timer timer(co_await asio::this_coro::executor, send_at);
    co_await timer.async_wait(asio::use_awaitable);
    const Endpoint& endpoint =
        target_.endpoints[static_cast<std::size_t>(number) % target_.endpoints.size()];
    ConnectionPool& connections = *connections_[WorkerPool::CurrentIndex()];
    auto connection = co_await connections.Acquire(endpoint, kCallTimeout);
    if (connection) {
      const TimePoint start = Now();
      std::string text;
      const auto sent =
          co_await (*connection)->Send(MakeCall(target_, endpoint, number, 1), kCallTimeout);
      if (sent) {
        const auto status = co_await (*connection)->ReadHeader(kCallTimeout);
        bool more = status && *status == 200;
        bool first = true;
        while (more) {
          const auto part = co_await (*connection)->ReadSome(text, kCallTimeout);
          if (first && !text.empty()) {
            first = false;
            const std::lock_guard lock(mutex_);
            first_byte_times_ms_.push_back(ToSeconds(Now() - start) * 1e3);
          }
          more = part && *part;
        }
        connections.Release(std::move(*connection));
      }
    }
    ++finished_;
  }

  asio::awaitable<void> ReadStream(int number) {
    const Endpoint& endpoint =
        target_.endpoints[static_cast<std::size_t>(number) % target_.endpoints.size()];
    auto connection = co_await HttpConnection::Connect(endpoint, kCallTimeout);
    if (!connection) {
      co_return;
    }
    const auto sent =
        co_await (*connection)->Send(MakeCall(target_, endpoint, number, 1'000'000), kCallTimeout);
    if (!sent) {
      co_return;
    }
    const auto status = co_await (*connection)->ReadHeader(kCallTimeout);
    if (!status || *status != 200) {
      co_return;
    }
    std::string text;
    bool first = true;
    while (true) {
      text.clear();
      const auto part = co_await (*connection)->ReadSome(text, kCallTimeout);
      if (!part || !*part) {
        co_return;
      }
      open_streams_ += first ? 1 : 0;
      first = false;
      tokens_ += CountEvents(text);
    }
  }

  static std::uint64_t CountEvents(const std::string& text) {
    std::uint64_t count = 0;
    for (std::size_t at = text.find("data: {"); at != std::string::npos;
         at = text.find("data: {", at + 1)) {
      ++count;
    }
    return count;
  }

  Target target_;
  std::mutex mutex_;
  std::vector<double> first_byte_times_ms_;
  std::atomic<int> finished_{0};
  std::atomic<int> open_streams_{0};
  std::atomic<std::uint64_t> tokens_{0};
  WorkerPool pool_;
  std::vector<std::unique_ptr<ConnectionPool>> connections_;
};

double Quantile(const std::vector<double>& sorted, double probability) {
  if (sorted.empty()) {
    return NAN;
  }
  const auto rank = static_cast<std::size_t>(probability * static_cast<double>(sorted.size()));
  return sorted[std::min(rank, sorted.size() - 1)];
}

void PrintResult(std::string_view name, double baseline, double ours, std::string_view unit) {
  // A missing baseline is printed as null, because JSON has no NaN.
  const std::string baseline_text = std::isnan(baseline) ? "null" : fmt::format("{:.4g}", baseline);
  fmt::print(R"({{"measure":"path","case":"{}","baseline":{},"ours":{:.6g},"unit":"{}","seed":1}})"
             "\n",
             name, baseline_text, ours, unit);
  std::fflush(stdout);
}

void MeasureFirstByte() {
  DaemonProcess daemon;
  EmulatedEngines engines(
      {.time_to_first_token = Duration::zero(), .step_interval = 5ms, .max_batch_size = 4096});
  const Endpoint endpoint = daemon.Start(engines.endpoints());
  const auto direct =
      Callers({.endpoints = engines.endpoints(), .direct = true}).MeasureFirstByte();
  const auto ours = Callers({.endpoints = {endpoint}}).MeasureFirstByte();
  for (const double probability : {0.5, 0.99}) {
    const double direct_ms = Quantile(direct, probability);
    PrintResult(fmt::format("first byte p{:g}, added", probability * 100), direct_ms,
                Quantile(ours, probability) - direct_ms, "ms");
  }
  PrintResult("first byte, answered requests", static_cast<double>(direct.size()),
              static_cast<double>(ours.size()), "requests");
}

// Measures the token throughput of a daemon whose engines generate this number of tokens per step.
void MeasureTokens(int tokens_per_step, Duration step) {
  DaemonProcess daemon;
  EmulatedEngines engines({.time_to_first_token = Duration::zero(),
                           .step_interval = step,
                           .tokens_per_step = tokens_per_step,
                           .max_batch_size = 4096});
  const std::string suffix = fmt::format(", {} tokens a step", tokens_per_step);
  const Endpoint endpoint = daemon.Start(engines.endpoints());
  double direct_rate = 0;
  {
    Callers direct({.endpoints = engines.endpoints(), .direct = true});
    direct.OpenStreams(kOpenStreams);
    const std::uint64_t before = direct.tokens();
    const TimePoint start = Now();
    std::this_thread::sleep_for(kWarmupPeriod);
    direct_rate = static_cast<double>(direct.tokens() - before) / ToSeconds(Now() - start);
  }
  Callers callers({.endpoints = {endpoint}});
  callers.OpenStreams(kOpenStreams);
  std::this_thread::sleep_for(kWarmupPeriod);
  const DaemonUsage before = daemon.Usage();
  const TimePoint start = Now();
  std::this_thread::sleep_for(kMeasurementPeriod);
  const DaemonUsage after = daemon.Usage();
  const double wall_seconds = ToSeconds(Now() - start);
  const auto tokens = static_cast<double>(after.tokens_relayed - before.tokens_relayed);
  const double cpu_seconds = after.cpu_seconds - before.cpu_seconds;
  PrintResult("open streams" + suffix, kOpenStreams, callers.open(), "streams");
  PrintResult("tokens relayed, one worker" + suffix, direct_rate, tokens / wall_seconds,
              "tokens/s");
  PrintResult("tokens relayed for each CPU second" + suffix, NAN, tokens / cpu_seconds, "tokens/s");
  PrintResult("CPU use of the worker" + suffix, NAN, cpu_seconds / wall_seconds, "cores");
}

void MeasureMemory() {
  DaemonProcess daemon;
  EmulatedEngines engines(
      {.time_to_first_token = Duration::zero(), .step_interval = 60s, .max_batch_size = 4096});
  const Endpoint endpoint = daemon.Start(engines.endpoints());
  Callers callers({.endpoints = {endpoint}});
  callers.OpenStreams(1);
  const std::uint64_t before = daemon.Usage().resident_bytes;
  callers.OpenStreams(kIdleStreams + 1);
  const std::uint64_t after = daemon.Usage().resident_bytes;
  PrintResult("memory for each idle open stream", NAN,
              static_cast<double>(after - before) / static_cast<double>(callers.open() - 1) / 1024,
              "KB");
}

int Run(int argc, char** argv) {
  const std::string_view argument = argc > 1 ? argv[1] : "path";
  if (argument == "--list") {
    fmt::print("path\n");
    return 0;
  }
  if (argument != "path") {
    fmt::print(stderr, "unknown measure \"{}\", expected \"path\"\n", argument);
    return 2;
  }
  MeasureFirstByte();
  MeasureTokens(1, 10ms);
  MeasureTokens(16, 20ms);
  MeasureMemory();
  return 0;
}

}  // namespace
}  // namespace savoryglade

int main(int argc, char** argv) { return savoryglade::Run(argc, argv); }
