#include "soak/caller.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <sstream>
#include <utility>

#include "emulator/worker_service.h"
#include "net/sleep.h"
#include "soak/event_text.h"

namespace savoryglade::soak {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr Duration kPollInterval = 1s;
constexpr int kMissesUntilOut = 2;
constexpr Duration kConnectTimeout = 1s;
constexpr int kMaxAttempts = 4;
constexpr Duration kRetryDelay = 50ms;
// Time after its deadline at which a caller gives up.
constexpr Duration kPatience = 500ms;
// Longest time until a caller that gives up early leaves.
constexpr Duration kMaxPatience = 600ms;
// Longest pauses between the chunks of a body, and between reads.
constexpr Duration kMaxSendPause = 300ms;
constexpr Duration kMaxReadPause = 300ms;
// Time before its deadline from which a caller reads without pauses.
constexpr Duration kReadSlack = 1s;
// Receive buffer of callers that read slowly, in bytes. With a smaller one the kernel sends only by
// its timer for closed windows, and no stream of large events arrives in time.
constexpr int kSmallReceiveBuffer = 32'768;
// Bytes of an unexpected body that are shown.
constexpr std::size_t kShownBytes = 400;

std::string HeaderOf(const http::fields& fields, const char* name) {
  return std::string(fields[name]);
}

// Returns the number of the last whole event of a stream that begins behind the event `last`, or
// nothing if the bytes are not those of these events.
std::optional<int> ParseEvents(const std::string& text, int last, std::size_t event_bytes) {
  std::string expected;
  int events = last;
  for (int event = last + 1; event <= WorkerService::kEventsPerStream; ++event) {
    expected += EventText(event, event_bytes);
    events += text.size() >= expected.size() ? 1 : 0;
  }
  return expected.starts_with(text) ? std::optional(events) : std::nullopt;
}

bool IsPromise(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool IsFinal(unsigned status) {
  constexpr std::array kFinal = {400U, 401U, 404U, 413U, 431U};
  return (status >= 200 && status < 300) || std::ranges::count(kFinal, status) > 0;
}

}  // namespace

LoadBalancer::LoadBalancer(std::vector<Daemon> daemons)
    : daemons_(std::move(daemons)), misses_(daemons_.size(), kMissesUntilOut) {}

asio::awaitable<void> LoadBalancer::Poll(std::size_t daemon) {
  while (true) {
    HttpRequest request(http::verb::get, "/v1/readyz", 11);
    const auto response =
        co_await FetchOnce(daemons_[daemon].readiness, std::move(request), kPollInterval);
    {
      const std::lock_guard lock(mutex_);
      const bool ready = response.has_value() && response->result_int() == 200;
      misses_[daemon] = ready ? 0 : misses_[daemon] + 1;
    }
    co_await Sleep(kPollInterval);
  }
}

bool LoadBalancer::InRotation(std::size_t daemon) const {
  return misses_[daemon] < kMissesUntilOut;
}

bool LoadBalancer::AllReady() const {
  const std::lock_guard lock(mutex_);
  return std::ranges::all_of(misses_, [](int misses) { return misses == 0; });
}

std::size_t LoadBalancer::Choose(const std::string& failure_domain, std::optional<std::size_t> last,
                                 Random& random) const {
  const std::lock_guard lock(mutex_);
  std::vector<std::size_t> own;
  std::vector<std::size_t> own_ready;
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    const bool in_domain = daemons_[i].failure_domain == failure_domain;
    if (in_domain) {
      own.push_back(i);
    }
    if (InRotation(i)) {
      (in_domain ? own_ready : ready).push_back(i);
    }
  }
  std::vector<std::size_t>& chosen = own_ready.empty() && !ready.empty() ? ready
                                     : 2 * own_ready.size() < own.size() ? own
                                                                         : own_ready;
  if (last && chosen.size() > 1) {
    std::erase(chosen, *last);
  }
  return chosen[random.UniformInt(chosen.size())];
}

asio::awaitable<void> Caller::Run(const std::atomic<bool>& stop, std::atomic<int>& active) {
  while (!stop) {
    co_await Sleep(FromSeconds(random_.Exponential(ToSeconds(options_.pause))));
    if (!stop) {
      ++active;
      co_await MakeCall();
      --active;
    }
  }
}

Caller::Call Caller::PrepareCall() {
  constexpr double kAddedShare = 0.2;
  const CallType* type = &kCallTypes.at(random_.UniformInt(kCallTypes.size()));
  if (options_.routes_added != nullptr && *options_.routes_added &&
      random_.Bernoulli(kAddedShare)) {
    type = &kAddedCallType;
  }
  Call call{.type = type,
            .target = fmt::format("{}{}-{}", std::string(type->prefix), options_.name, ++calls_),
            .body = {},
            .deadline = Now() + type->patience,
            .leaves_at = Now() + type->patience + kPatience,
            .first_attempt = {}};
  if (call.type->resumable && random_.Bernoulli(options_.break_share)) {
    call.break_after =
        1 + static_cast<int>(random_.UniformInt(WorkerService::kEventsPerStream - 1));
  }
  if (call.type->method == "POST") {
    call.body = fmt::format("body of {}", call.target);
  }
  if (give_up_random_.Bernoulli(options_.give_up_share)) {
    call.leaves_at = Now() + FromSeconds(ToSeconds(kMaxPatience) * give_up_random_.UniformReal());
    call.sends_more = give_up_random_.Bernoulli(0.3);
    call.closes_in_order = give_up_random_.Bernoulli(0.5);
  }
  return call;
}

Caller::Call Caller::PrepareCrashingCall() {
  Call call{.type = kCallTypes.data(),
            .target = options_.crashing_path,
            .body = {},
            .deadline = Now() + kCallTypes.front().patience,
            .leaves_at = Now() + kCallTypes.front().patience + kPatience,
            .first_attempt = {}};
  if (options_.varies_query) {
    call.target += fmt::format("?page={}", random_.UniformInt(100));
  }
  if (random_.Bernoulli(options_.leave_share)) {
    call.leaves_at = Now() + 15ms;
  }
  return call;
}

asio::awaitable<void> Caller::MakeCall() {
  Call call;
  if (next_call_) {
    call = std::move(*next_call_);
    call.Delay(Now() - next_call_made_at_);
    next_call_.reset();
  } else {
    call = options_.crashing_path.empty() ? PrepareCall() : PrepareCrashingCall();
  }
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    Duration retry_after = kRetryDelay;
    AttemptRecord record = co_await SendAttempt(call, retry_after);
    record.is_first = attempt == 0;
    const bool finished = record.complete && IsFinal(record.status);
    const bool never_sent = !record.sent && record.status == 0;
    const bool may_repeat =
        call.type->Repeatable() || never_sent || (record.complete && IsPromise(record.status));
    history_.AddAttempt(std::move(record));
    const Duration left = call.deadline - Now();
    const bool gave_up = options_.crashing_path.empty() && Now() >= call.leaves_at;
    if (gave_up || finished || !may_repeat || left <= kRetryDelay) {
      co_return;
    }
    // Attempts after the first use new connections.
    connection_.reset();
    co_await Sleep(std::min(retry_after, left / 3));
  }
}

HttpRequest Caller::MakeRequest(const Call& call, const AttemptRecord& record) const {
  HttpRequest request(http::string_to_verb(std::string(call.type->method)), call.target, 11);
  request.set(http::field::host, "h");
  request.set("Attempt-Id", record.id);
  request.set("Deadline-Ms", std::to_string((call.deadline - Now()) / 1ms));
  request.set(http::field::authorization, "Bearer " + options_.api_key);
  if (call.events > 0) {
    request.set("Last-Event-Id", std::to_string(call.events));
    request.set("Resumes", call.first_attempt);
  }
  request.body() = call.body;
  request.prepare_payload();
  return request;
}

asio::awaitable<Result<void>> Caller::SendBytes(std::string bytes, TimePoint deadline) {
  connection_->stream().expires_at(deadline);
  const auto [error, size] = co_await asio::async_write(connection_->stream(), asio::buffer(bytes),
                                                        asio::as_tuple(asio::use_awaitable));
  connection_->stream().expires_never();
  if (error) {
    co_return tl::make_unexpected(
        Error{.code = ErrorCode::kUnavailable, .message = error.message()});
  }
  co_return Result<void>();
}

asio::awaitable<Result<void>> Caller::SendRequest(const Call& call, AttemptRecord& record) {
  HttpRequest request = MakeRequest(call, record);
  if (!options_.sends_chunks && !options_.sends_ahead) {
    co_return co_await connection_->Send(request, call.deadline - Now());
  }
  record.in_chunks = options_.sends_chunks && !call.body.empty();
  record.begun_ahead = !sent_ahead_.empty();
  if (record.in_chunks) {
    request.chunked(true);
  }
  std::ostringstream head;
  head << request.base();
  // The connection may have carried the beginning of the head.
  std::string bytes = head.str().substr(sent_ahead_.size());
  sent_ahead_.clear();
  if (!record.in_chunks) {
    bytes += call.body;
  }
  Result<void> sent = co_await SendBytes(std::move(bytes), call.deadline);
  if (!record.in_chunks) {
    co_return sent;
  }
  const bool pauses = habit_random_.Bernoulli(0.5);
  const std::size_t middle = call.body.size() / 2;
  for (const std::string& part :
       {call.body.substr(0, middle), call.body.substr(middle), std::string()}) {
    if (pauses) {
      co_await Sleep(FromSeconds(ToSeconds(kMaxSendPause) * habit_random_.UniformReal()));
    }
    if (sent) {
      sent = co_await SendBytes(fmt::format("{:x}\r\n{}\r\n", part.size(), part), call.deadline);
    }
  }
  co_return sent;
}

asio::awaitable<void> Caller::SendAhead() {
  next_call_ = PrepareCall();
  next_call_made_at_ = Now();
  sent_ahead_ = fmt::format("{} {} HTTP/1.1\r\nHost: h\r\n", std::string(next_call_->type->method),
                            next_call_->target);
  // A failure shows when the answer is read.
  (void)co_await SendBytes(sent_ahead_, next_call_->deadline);
}

asio::awaitable<AttemptRecord> Caller::SendAttempt(Call& call, Duration& retry_after) {
  AttemptRecord record{.id = fmt::format("{}-{}", options_.name, ++attempts_),
                       .type = call.type,
                       .deadline = call.deadline,
                       .reason = {},
                       .failure = {},
                       .mixed = {},
                       .events_before = call.events,
                       .events_after = call.events,
                       .resumes = call.events > 0 ? call.first_attempt : std::string(),
                       .crashing_path = options_.crashing_path};
  record.reused_connection = connection_ != nullptr && connection_->IsOpenAndIdle();
  if (!record.reused_connection) {
    last_daemon_ = balancer_.Choose(options_.failure_domain, last_daemon_, random_);
    connection_.reset();
    sent_ahead_.clear();
    calls_on_connection_ = 0;
    auto connected =
        co_await HttpConnection::Connect(balancer_.callers(*last_daemon_), kConnectTimeout);
    if (connected) {
      connection_ = std::move(*connected);
      if (options_.reads_slowly) {
        connection_->stream().socket().set_option(
            asio::socket_base::receive_buffer_size(kSmallReceiveBuffer));
      }
    } else {
      record.failure = connected.error().message;
    }
  }
  record.daemon = *last_daemon_;
  record.sent_at = Now();
  if (connection_ != nullptr) {
    const Result<void> sent = co_await SendRequest(call, record);
    record.sent = sent.has_value();
    record.sent_at = Now();
    if (sent && call.sends_more) {
      boost::system::error_code ignored;
      connection_->stream().socket().send(asio::buffer("\r\n", 2), 0, ignored);
    }
    if (sent && options_.sends_ahead && !call.EndsEarly() && !next_call_ &&
        calls_on_connection_ + 1 < options_.calls_per_connection) {
      co_await SendAhead();
    }
    if (sent) {
      co_await ReadResponse(*connection_, call, record, retry_after);
    } else {
      record.failure = sent.error().message;
    }
  }
  record.ended_at = Now();
  if (record.left_by_caller && call.closes_in_order) {
    boost::system::error_code ignored;
    connection_->stream().socket().set_option(asio::socket_base::linger(false, 0), ignored);
  }
  if (connection_ != nullptr && (!record.complete || !connection_->reusable() ||
                                 ++calls_on_connection_ >= options_.calls_per_connection)) {
    connection_.reset();
  }
  co_return record;
}

asio::awaitable<void> Caller::ReadResponse(HttpConnection& connection, Call& call,
                                           AttemptRecord& record, Duration& retry_after) {
  const TimePoint give_up = call.leaves_at;
  const Result<unsigned> status = co_await connection.ReadHeader(give_up - Now());
  if (!status) {
    record.left_by_caller = call.leaves_at < call.deadline && Now() >= call.leaves_at;
    record.failure = status.error().message;
    record.timed_out = status.error().code == ErrorCode::kTimeout;
    co_return;
  }
  record.status = *status;
  const std::string owner = HeaderOf(connection.response_header(), "Attempt-Id");
  const std::string seal = HeaderOf(connection.response_header(), "Response-Seal");
  record.reason = HeaderOf(connection.response_header(), "Savoryglade-Reason");
  const std::string wait = HeaderOf(connection.response_header(), "Retry-After");
  if (!wait.empty()) {
    retry_after = FromSeconds(std::strtod(wait.c_str(), nullptr));
  }
  std::string body;
  while (true) {
    const Result<bool> more = co_await connection.ReadSome(body, give_up - Now());
    if (!more) {
      record.left_by_caller = call.leaves_at < call.deadline && Now() >= call.leaves_at;
      record.failure = more.error().message;
      record.timed_out = more.error().code == ErrorCode::kTimeout;
      break;
    }
    if (!*more) {
      record.complete = true;
      break;
    }
    if (options_.reads_slowly && Now() + kReadSlack < call.deadline) {
      co_await Sleep(FromSeconds(ToSeconds(kMaxReadPause) * habit_random_.UniformReal()));
    }
    if (call.break_after > 0 &&
        ParseEvents(body, call.events, options_.event_bytes).value_or(0) >= call.break_after) {
      call.break_after = 0;
      record.left_by_caller = true;
      break;
    }
  }
  if (!owner.empty() && owner != record.id) {
    record.mixed = "The answer bears the attempt id " + owner + ".";
    co_return;
  }
  if (record.status < 200 || record.status >= 300) {
    record.mixed = seal.empty() ? "" : "A failure of the daemon bears a seal.";
    co_return;
  }
  if (seal.empty() || owner.empty()) {
    record.mixed = "A success bears no seal or no attempt id.";
    co_return;
  }
  if (call.type->kind != CallKind::kStream) {
    const std::string expected =
        fmt::format("{} {} {}", std::string(call.type->method), call.target, call.body);
    const bool fits = record.complete ? body == expected : expected.starts_with(body);
    record.mixed = fits ? "" : "The body is not that of the request: " + body;
    co_return;
  }
  const std::optional<int> events = ParseEvents(body, call.events, options_.event_bytes);
  if (!events) {
    record.mixed = "The events are not those that follow: " + body.substr(0, kShownBytes);
    co_return;
  }
  if (record.complete && *events != WorkerService::kEventsPerStream) {
    record.mixed = fmt::format("The stream ends as complete after event {}.", *events);
  }
  if (call.events == 0 && *events > 0) {
    call.first_attempt = record.id;
  }
  call.events = *events;
  record.events_after = *events;
}

}  // namespace savoryglade::soak
