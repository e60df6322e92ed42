#include "emulator/worker_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <string_view>
#include <tuple>
#include <utility>

#include "net/peer_disconnect_monitor.h"
#include "net/sleep.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;

// Bytes of a fault that sends without end.
struct EndlessBytes {
  WorkerFault fault;
  // Contains {} where the attempt id belongs.
  std::string_view begin;
  std::string_view repeated;
};

constexpr std::array kEndlessBytes = {
    EndlessBytes{WorkerFault::kEndlessHeader, "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\n",
                 "X-Padding: 0123456789\r\n"},
    EndlessBytes{WorkerFault::kEndlessInterimResponses, "HTTP/1.1 100 Continue\r\n\r\n",
                 "HTTP/1.1 100 Continue\r\n\r\n"},
    EndlessBytes{WorkerFault::kEndlessStaleBody, "HTTP/1.1 200 OK\r\nAttempt-Id: not-{}\r\n\r\n",
                 "0123456789"},
    EndlessBytes{WorkerFault::kEndlessEvent,
                 "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n"
                 "Content-Type: text/event-stream\r\n\r\n",
                 "0123456789"},
    EndlessBytes{WorkerFault::kEndlessStreamChunkHeader,
                 "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n"
                 "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n10;",
                 "0123456789"},
    EndlessBytes{WorkerFault::kEndlessChunkHeader,
                 "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n10;",
                 "0123456789"},
    EndlessBytes{WorkerFault::kEndlessTrailer,
                 "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
                 "X-Padding: 0123456789\r\n"},
};

// Path of the copy that HandleMigration names.
constexpr std::string_view kCopyPath = "/v1/kv-handle/h1";

std::string EventText(int event) { return fmt::format("id: {}\ndata: token {}\n\n", event, event); }

const EndlessBytes* FindEndlessBytes(WorkerFault fault) {
  const auto found = std::ranges::find(kEndlessBytes, fault, &EndlessBytes::fault);
  return found == kEndlessBytes.end() ? nullptr : &*found;
}

}  // namespace

void WorkerService::SetFault(WorkerFault fault, int count) {
  const std::lock_guard lock(mutex_);
  fault_ = fault;
  remaining_fault_count_ = count;
  goes_on_ = false;
}

void WorkerService::SetStopAnswer(StopAnswer answer) {
  const std::lock_guard lock(mutex_);
  stop_answer_ = answer;
}

void WorkerService::CrashOnPromptPart(std::string part) {
  const std::lock_guard lock(mutex_);
  crashing_part_ = std::move(part);
}

void WorkerService::SetVersion(std::string version) {
  const std::lock_guard lock(mutex_);
  version_ = std::move(version);
}

void WorkerService::SetRateLimits(std::vector<std::string> rate_limits) {
  const std::lock_guard lock(mutex_);
  rate_limits_ = std::move(rate_limits);
}

void WorkerService::SetSignals(HttpHeaders headers) {
  const std::lock_guard lock(mutex_);
  signals_ = std::move(headers);
}

HttpHeaders WorkerService::signals() const {
  const std::lock_guard lock(mutex_);
  return signals_;
}

std::string WorkerService::version() const {
  const std::lock_guard lock(mutex_);
  return version_;
}

void WorkerService::SetStreamVersionLog(std::shared_ptr<StreamVersionLog> log) {
  const std::lock_guard lock(mutex_);
  stream_version_log_ = std::move(log);
}

std::map<std::string, int> WorkerService::EventCounts(const std::string& attempt) const {
  const std::lock_guard lock(mutex_);
  const auto found = events_by_attempt_.find(attempt);
  return found == events_by_attempt_.end() ? std::map<std::string, int>() : found->second;
}

void WorkerService::RecordEvent(const HttpExchange& exchange, const std::string& version,
                                bool first_of_run) {
  const std::lock_guard lock(mutex_);
  const std::string attempt(exchange.Header("Attempt-Id"));
  ++events_by_attempt_[attempt][version];
  if (first_of_run && stream_version_log_ != nullptr) {
    const std::string resumed(exchange.Header("Resumes"));
    stream_version_log_->OnRunStarted(resumed.empty() ? attempt : resumed, version,
                                      !exchange.Header("Last-Event-Id").empty());
  }
}

bool WorkerService::CrashesOn(const HttpExchange& exchange) const {
  const std::lock_guard lock(mutex_);
  return !crashing_part_.empty() &&
         exchange.Header("Prefix-Hash").find(crashing_part_ + ":") != std::string_view::npos;
}

WorkerFault WorkerService::ConsumeFault() {
  const std::lock_guard lock(mutex_);
  if (remaining_fault_count_ == 0) {
    return WorkerFault::kNone;
  }
  --remaining_fault_count_;
  return fault_;
}

int WorkerService::RunCount(const std::string& attempt) const {
  const std::lock_guard lock(mutex_);
  const auto found = runs_by_attempt_.find(attempt);
  return found == runs_by_attempt_.end() ? 0 : found->second;
}

int WorkerService::migrated_runs() const {
  const std::lock_guard lock(mutex_);
  return migrated_runs_;
}

int WorkerService::freed_copies() const {
  const std::lock_guard lock(mutex_);
  return freed_copies_;
}

int WorkerService::abandoned_requests() const {
  const std::lock_guard lock(mutex_);
  return abandoned_requests_;
}

int WorkerService::silent_requests() const {
  const std::lock_guard lock(mutex_);
  return silent_requests_;
}

void WorkerService::GoOn() {
  const std::lock_guard lock(mutex_);
  goes_on_ = true;
  EndSilences();
}

void WorkerService::BreakOff() {
  const std::lock_guard lock(mutex_);
  broken_off_ = silent_requests_;
  EndSilences();
}

void WorkerService::EndSilences() {
  for (const std::weak_ptr<asio::steady_timer>& silence : silences_) {
    if (const auto timer = silence.lock()) {
      asio::post(timer->get_executor(), [timer] { timer->cancel(); });
    }
  }
  silences_.clear();
}

asio::awaitable<bool> WorkerService::StaySilent(HttpExchange& exchange) {
  const auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor,
                                                          asio::steady_timer::time_point::max());
  PeerDisconnectMonitor peer(exchange.stream());
  {
    const std::lock_guard lock(mutex_);
    if (goes_on_) {
      co_return true;
    }
    ++silent_requests_;
    silences_.push_back(timer);
  }
  peer.OnDisconnect([timer] { timer->cancel(); });
  co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
  const std::lock_guard lock(mutex_);
  --silent_requests_;
  const bool has_left = peer.Check();
  abandoned_requests_ += has_left ? 1 : 0;
  const bool breaks_off = std::exchange(broken_off_, std::max(0, broken_off_ - 1)) > 0;
  if (has_left || breaks_off) {
    exchange.Abort();
    co_return false;
  }
  co_return true;
}

int WorkerService::runs() const {
  const std::lock_guard lock(mutex_);
  int sum = 0;
  for (const auto& [attempt, count] : runs_by_attempt_) {
    sum += count;
  }
  return sum;
}

int WorkerService::arrivals() const {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

HttpRequest WorkerService::last_request() const {
  const std::lock_guard lock(mutex_);
  return last_request_;
}

HttpHeaders WorkerService::ResponseHeaders(const HttpExchange& exchange, bool with_seal) const {
  HttpHeaders headers = signals();
  headers.emplace_back("Attempt-Id", std::string(exchange.Header("Attempt-Id")));
  headers.emplace_back("Server-Load", "1,0,4,100");
  headers.emplace_back("Keep-Alive", "timeout=5");
  {
    const std::lock_guard lock(mutex_);
    for (const std::string& rate_limit : rate_limits_) {
      headers.emplace_back("Server-Limit", rate_limit);
    }
  }
  if (with_seal) {
    const std::string version = this->version();
    headers.emplace_back("Response-Seal",
                         "seal-of-" + instance_ + (version.empty() ? "" : "/" + version));
  }
  return headers;
}

asio::awaitable<void> WorkerService::HandleMigration(HttpExchange& exchange) {
  boost::system::error_code error;
  const boost::json::value body = boost::json::parse(exchange.request().body(), error);
  const std::string attempt(error ? "" : body.at("id").as_string().c_str());
  std::shared_ptr<asio::steady_timer> timer;
  StopAnswer answer = StopAnswer::kSent;
  {
    const std::lock_guard lock(mutex_);
    answer = stop_answer_;
    const auto found = pending_migrations_.find(attempt);
    timer = found == pending_migrations_.end() ? nullptr : found->second;
  }
  if (timer == nullptr) {
    co_await exchange.Respond(404, {}, {});
    co_return;
  }
  if (!body.at("final").as_bool()) {
    co_await exchange.Respond(200, signals(), R"({"kv_handle":"h1","created_rev":3})");
    co_return;
  }
  switch (answer) {
    case StopAnswer::kSent:
      co_await exchange.Respond(200, signals(), R"({"kv_handle":"h1","created_rev":3})");
      timer->cancel();
      break;
    case StopAnswer::kLost:
      timer->cancel();
      exchange.Abort();
      break;
    case StopAnswer::kLate:
      timer->cancel();
      if (co_await StaySilent(exchange)) {
        co_await exchange.Respond(200, signals(), R"({"kv_handle":"h1","created_rev":3})");
      }
      break;
    case StopAnswer::kEndless:
      timer->cancel();
      co_await SendSlowlyWithoutEnd(exchange);
      break;
  }
}

asio::awaitable<void> WorkerService::WaitForMigration(const std::string& attempt) {
  const auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor,
                                                          asio::steady_timer::time_point::max());
  {
    const std::lock_guard lock(mutex_);
    pending_migrations_[attempt] = timer;
  }
  co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
  const std::lock_guard lock(mutex_);
  pending_migrations_.erase(attempt);
}

asio::awaitable<void> WorkerService::Handle(HttpExchange& exchange) {
  if (exchange.target() == "/v1/kv-move") {
    co_await HandleMigration(exchange);
    co_return;
  }
  if (exchange.target() == kCopyPath) {
    {
      const std::lock_guard lock(mutex_);
      ++freed_copies_;
    }
    co_await exchange.Respond(200, signals(), {});
    co_return;
  }
  if (!exchange.Header("Attempt-Id").empty()) {
    const std::lock_guard lock(mutex_);
    ++arrivals_;
  }
  const std::string expected_instance(exchange.Header("Expect-Instance"));
  if (!expected_instance.empty() && expected_instance != instance_) {
    HttpHeaders headers = signals();
    headers.emplace_back("Attempt-Id", std::string(exchange.Header("Attempt-Id")));
    headers.emplace_back("Instance-Id", instance_);
    co_await exchange.Respond(421, std::move(headers), {});
    co_return;
  }
  const WorkerFault fault = ConsumeFault();
  if (fault == WorkerFault::kRejectNotExecuted) {
    HttpHeaders headers = signals();
    headers.emplace_back("Attempt-Id", std::string(exchange.Header("Attempt-Id")));
    headers.emplace_back("Not-Executed", "1");
    co_await exchange.Respond(503, std::move(headers), {});
    co_return;
  }
  {
    const std::lock_guard lock(mutex_);
    if (exchange.Header("Kv-From").empty()) {
      ++runs_by_attempt_[std::string(exchange.Header("Attempt-Id"))];
    } else {
      ++migrated_runs_;
    }
    last_request_ = exchange.request();
  }
  if (fault == WorkerFault::kNoResponse) {
    // The read returns when the peer closes the connection.
    char byte = 0;
    co_await exchange.stream().async_read_some(asio::buffer(&byte, sizeof(byte)),
                                               asio::as_tuple(asio::use_awaitable));
    const std::lock_guard lock(mutex_);
    ++abandoned_requests_;
    exchange.Abort();
    co_return;
  }
  if (fault == WorkerFault::kSilentBeforeResponse && !co_await StaySilent(exchange)) {
    co_return;
  }
  if (CrashesOn(exchange)) {
    if (co_await exchange.StartStream(200, ResponseHeaders(exchange, true))) {
      exchange.Abort();
    }
    co_return;
  }
  if (fault == WorkerFault::kCloseAfterRun) {
    exchange.Abort();
    co_return;
  }
  if (const EndlessBytes* bytes = FindEndlessBytes(fault); bytes != nullptr) {
    co_await SendEndlessly(
        exchange,
        fmt::format(fmt::runtime(bytes->begin), std::string(exchange.Header("Attempt-Id"))),
        std::string(bytes->repeated));
    co_return;
  }
  if (fault == WorkerFault::kRepeatedRejection) {
    const std::string rejection =
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    co_await asio::async_write(exchange.stream(), asio::buffer(rejection),
                               asio::as_tuple(asio::use_awaitable));
  }
  if (fault == WorkerFault::kJsonForStream) {
    HttpHeaders json_headers = ResponseHeaders(exchange, true);
    json_headers.emplace_back("Content-Type", "application/json");
    co_await exchange.Respond(200, std::move(json_headers), "{\"error\":\"overloaded\"}\n\n");
    co_return;
  }
  const bool is_stream = exchange.target().find("/stream/") != std::string_view::npos;
  if (fault == WorkerFault::kEndAtMigration) {
    co_await StreamUntilStopped(exchange);
    co_return;
  }
  if (is_stream && fault != WorkerFault::kInternalError && fault != WorkerFault::kUnlistedStatus) {
    co_await Stream(exchange, fault);
    co_return;
  }
  const std::string body = fmt::format("{} {} {}", std::string(exchange.request().method_string()),
                                       exchange.target(), exchange.request().body());
  HttpHeaders headers = ResponseHeaders(exchange, fault != WorkerFault::kMissingSeal);
  unsigned status = 200;
  if (fault == WorkerFault::kInternalError) {
    status = 500;
  } else if (fault == WorkerFault::kUnlistedStatus) {
    status = kUnlistedStatus;
  } else if (fault == WorkerFault::kUnavailableAfterRun) {
    status = 503;
  } else if (fault == WorkerFault::kTruncateBody) {
    if (co_await exchange.StartStream(status, std::move(headers),
                                      body.substr(0, body.size() / 2))) {
      exchange.Abort();
    }
    co_return;
  } else if (fault == WorkerFault::kDuplicateResponse) {
    HttpHeaders duplicate_headers = headers;
    if (co_await exchange.Respond(status, std::move(headers), body)) {
      co_await exchange.Respond(status, std::move(duplicate_headers), body);
    }
    co_return;
  }
  co_await exchange.Respond(status, std::move(headers), body);
}

asio::awaitable<void> WorkerService::SendEndlessly(HttpExchange& exchange, std::string begin,
                                                   std::string repeated) {
  constexpr std::size_t kBlockBytes = 64 * 1024;
  std::string block;
  while (block.size() < kBlockBytes) {
    block += repeated;
  }
  auto [error, size] = co_await asio::async_write(exchange.stream(), asio::buffer(begin),
                                                  asio::as_tuple(asio::use_awaitable));
  while (!error) {
    std::tie(error, size) = co_await asio::async_write(exchange.stream(), asio::buffer(block),
                                                       asio::as_tuple(asio::use_awaitable));
  }
  exchange.Abort();
}

asio::awaitable<void> WorkerService::SendSlowlyWithoutEnd(HttpExchange& exchange) {
  constexpr Duration kPause = 10ms;
  const std::string block(1024, 'x');
  bool open = co_await exchange.StartStream(200, {});
  while (open) {
    co_await Sleep(kPause);
    open = co_await exchange.WriteChunk(block);
  }
}

asio::awaitable<void> WorkerService::StreamUntilStopped(HttpExchange& exchange) {
  const std::string attempt(exchange.Header("Attempt-Id"));
  std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  for (const auto& [name, value] : ResponseHeaders(exchange, true)) {
    text += fmt::format("{}: {}\r\n", name, value);
  }
  text += "\r\n";
  for (int event = 1; event <= kEventsPerStream / 2; ++event) {
    text += EventText(event);
  }
  co_await asio::async_write(exchange.stream(), asio::buffer(text),
                             asio::as_tuple(asio::use_awaitable));
  co_await WaitForMigration(attempt);
  exchange.CloseAfterResponse();
}

asio::awaitable<void> WorkerService::Stream(HttpExchange& exchange, WorkerFault fault) {
  const std::string last_event_id(exchange.Header("Last-Event-Id"));
  const int first_event = last_event_id.empty() ? 1 : std::stoi(last_event_id) + 1;
  const std::string version = this->version();
  HttpHeaders headers = ResponseHeaders(exchange, fault != WorkerFault::kMissingSeal);
  headers.emplace_back("Content-Type", "text/event-stream");
  bool open = co_await exchange.StartStream(200, std::move(headers));
  for (int event = first_event; open && event <= kEventsPerStream; ++event) {
    const std::string text = EventText(event);
    if (fault == WorkerFault::kTruncateStream && event == kEventsPerStream / 2 + 1) {
      co_await exchange.WriteChunk(text.substr(0, text.size() / 2));
      exchange.Abort();
      co_return;
    }
    if (fault == WorkerFault::kWaitForMigration && event == kEventsPerStream / 2 + 1) {
      co_await WaitForMigration(std::string(exchange.Header("Attempt-Id")));
      exchange.Abort();
      co_return;
    }
    if (fault == WorkerFault::kSilentAfterMigration && event == kEventsPerStream / 2 + 1) {
      co_await WaitForMigration(std::string(exchange.Header("Attempt-Id")));
      co_await StaySilent(exchange);
      exchange.Abort();
      co_return;
    }
    if (fault == WorkerFault::kSilentInStream && event == kEventsPerStream / 2 + 1 &&
        !co_await StaySilent(exchange)) {
      co_return;
    }
    if (event > first_event && event_interval_ > Duration::zero()) {
      co_await Sleep(event_interval_);
    }
    RecordEvent(exchange, version, event == first_event);
    open = co_await exchange.WriteChunk(text);
  }
  if (open) {
    co_await exchange.EndStream();
  }
}

}  // namespace savoryglade
