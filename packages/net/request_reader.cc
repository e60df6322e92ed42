#include "net/request_reader.h"

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <iterator>

#include "core/scoped_count.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Sizes of a read. That of a body is doubled while the client fills it.
constexpr std::size_t kMinReadBytes = 512;
constexpr std::size_t kMinBodyReadBytes = 4 * 1024;
constexpr std::size_t kMaxBodyReadBytes = 16 * 1024;
// Memory of one parsed header field besides its text: the node of the HTTP library and the
// allocator's own. 3,000 fields of 4 bytes took 250 KB.
constexpr std::size_t kFieldBytes = 96;
// Interval at which a request that waits for memory asks again, and the most requests that wait in
// a thread. More are refused at once.
constexpr Duration kMemoryPollInterval = 50ms;
constexpr int kMaxWaiting = 64;
// Fewer bytes are no progress, so that a client that sends single bytes counts as one that stalls.
constexpr std::size_t kMinProgressBytes = 1024;

thread_local int waiting_requests = 0;

TimePoint Now() { return std::chrono::steady_clock::now(); }

}  // namespace

RequestReader::RequestReader(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                             const HttpLimits& limits, MemoryLease& lease)
    : stream_(stream), buffer_(buffer), limits_(limits), lease_(lease) {}

std::size_t RequestReader::HeadBytes() const {
  return buffer_.size() + bytes_ + lines_ * kFieldBytes;
}

bool RequestReader::CountLines(std::string_view arrived) {
  for (const char c : arrived) {
    if (head_ended_) {
      break;
    }
    if (c == '\n') {
      head_ended_ = line_bytes_ == 0 && lines_ > 0;
      lines_ += head_ended_ ? 0 : 1;
      line_bytes_ = 0;
    } else if (c != '\r') {
      ++line_bytes_;
    }
  }
  // The first line is the request line.
  if (lines_ > limits_.header_fields + 1) {
    refusal_ = ReadRefusal::kTooManyFields;
    return false;
  }
  return true;
}

template <typename Condition>
asio::awaitable<bool> RequestReader::AwaitMemory(Condition condition) {
  if (condition()) {
    co_return true;
  }
  if (waiting_requests < kMaxWaiting) {
    // It is this process that makes no progress.
    lease_.SetEvictable(false, Now());
    const ScopedCount waiting(waiting_requests);
    const TimePoint give_up_at = Now() + kMaxMemoryWait;
    asio::steady_timer timer(stream_.get_executor());
    while (Now() < give_up_at) {
      timer.expires_after(kMemoryPollInterval);
      co_await timer.async_wait(kAwait);
      if (condition()) {
        lease_.SetEvictable(true, Now());
        co_return true;
      }
    }
    lease_.SetEvictable(true, Now());
  }
  refusal_ = ReadRefusal::kNoMemory;
  co_return false;
}

asio::awaitable<bool> RequestReader::Lease(MemoryPurpose purpose, std::size_t bytes) {
  return AwaitMemory([this, purpose, bytes] {
    if (limits_.body_size <= kReservedBodyBytes) {
      lease_.Set(purpose, bytes);
      return true;
    }
    return lease_.TrySet(purpose, bytes, Now());
  });
}

asio::awaitable<bool> RequestReader::AwaitLarge() {
  return AwaitMemory([this] { return lease_.MayBeginLarge(Now()); });
}

asio::awaitable<beast::error_code> RequestReader::ReadSome(RequestParser& parser,
                                                           std::size_t size) {
  const std::size_t room = buffer_.max_size() - buffer_.size();
  if (room == 0) {
    co_return make_error_code(http::error::buffer_overflow);
  }
  const auto space = buffer_.prepare(std::min(size, room));
  auto [error, received] = co_await stream_.async_read_some(space, kAwait);
  buffer_.commit(received);
  unreported_bytes_ += received;
  if (unreported_bytes_ >= kMinProgressBytes) {
    unreported_bytes_ = 0;
    lease_.OnProgress(Now());
  }
  if (error == asio::error::eof) {
    if (!parser.got_some()) {
      co_return make_error_code(http::error::end_of_stream);
    }
    error = {};
    parser.put_eof(error);
  }
  co_return error;
}

asio::awaitable<beast::error_code> RequestReader::ReadHead(RequestParser& parser) {
  const auto text = [this](std::size_t from) {
    const auto data = buffer_.data();
    return std::string_view(static_cast<const char*>(data.data()), data.size()).substr(from);
  };
  parser.eager(false);
  // Bytes that arrived with the request before.
  bool accepted = CountLines(text(0));
  while (accepted && !parser.is_header_done()) {
    beast::error_code error = http::error::need_more;
    if (buffer_.size() > 0) {
      const std::size_t parsed = parser.put(buffer_.data(), error);
      buffer_.consume(parsed);
      bytes_ += parsed;
    }
    if (error && error != http::error::need_more) {
      co_return error;
    }
    if (!error) {
      continue;
    }
    const std::size_t size =
        std::max(kMinReadBytes, buffer_.capacity() - std::min(buffer_.capacity(), buffer_.size()));
    if (!co_await Lease(MemoryPurpose::kHead, HeadBytes() + size)) {
      break;
    }
    const std::size_t held = buffer_.size();
    error = co_await ReadSome(parser, size);
    if (error) {
      co_return error;
    }
    accepted = CountLines(text(held));
    if (accepted) {
      accepted = co_await Lease(MemoryPurpose::kHead, HeadBytes());
    }
  }
  co_return refusal_ == ReadRefusal::kNone ? beast::error_code()
                                           : make_error_code(http::error::header_limit);
}

asio::awaitable<beast::error_code> RequestReader::ReadBody(RequestParser& parser) {
  parser.eager(true);
  const std::size_t head_bytes = HeadBytes() - buffer_.size();
  const bool chunked = parser.chunked();
  const std::size_t declared = parser.content_length().value_or(0);
  bool may_be_large = false;
  std::size_t size = declared == 0 ? kMinBodyReadBytes : std::min(declared, kMinBodyReadBytes);
  while (!parser.is_done()) {
    beast::error_code error = http::error::need_more;
    const std::string& body = parser.get().body();
    // A body in chunks is copied to a buffer of twice its size when it grows.
    const std::size_t wanted = (body.size() + std::max(size, buffer_.size())) * (chunked ? 2 : 1);
    if (!may_be_large && std::max(wanted, declared) > kSmallLeaseBytes) {
      if (!co_await AwaitLarge()) {
        break;
      }
      may_be_large = true;
    }
    if (!co_await Lease(MemoryPurpose::kBody, wanted)) {
      break;
    }
    if (buffer_.size() > 0) {
      const std::size_t parsed = parser.put(buffer_.data(), error);
      buffer_.consume(parsed);
      bytes_ += parsed;
    }
    if (error && error != http::error::need_more) {
      co_return error;
    }
    if (!error) {
      continue;
    }
    if (!co_await Lease(MemoryPurpose::kHead, head_bytes + buffer_.size() + size)) {
      break;
    }
    const std::size_t held = buffer_.size();
    error = co_await ReadSome(parser, size);
    if (error) {
      co_return error;
    }
    if (buffer_.size() - held == size) {
      size = std::min(2 * size, kMaxBodyReadBytes);
    }
  }
  if (refusal_ != ReadRefusal::kNone) {
    co_return make_error_code(http::error::body_limit);
  }
  // A trailer adds to the fields of the head.
  const auto& fields = parser.get().base();
  if (chunked && static_cast<std::size_t>(std::distance(fields.begin(), fields.end())) >
                     limits_.header_fields) {
    refusal_ = ReadRefusal::kTooManyFields;
    co_return make_error_code(http::error::header_limit);
  }
  lease_.Set(MemoryPurpose::kBody, parser.get().body().capacity());
  lease_.Set(MemoryPurpose::kHead, head_bytes + buffer_.size());
  co_return beast::error_code();
}

}  // namespace savoryglade
