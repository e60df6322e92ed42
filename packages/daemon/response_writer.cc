#include "daemon/response_writer.h"

#include <fmt/format.h>

#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <chrono>
#include <utility>

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

// Longer answers are generated from the start when their upstream is lost, so that the text of a
// stream does not fill the memory of the daemon.
constexpr std::size_t kLongestKnownText = 16 * 1024;
// Pending output beyond this size gives its memory back once it has been sent.
constexpr std::size_t kPendingKept = 2 * 1024;
constexpr std::string_view kAfterToken = "\"},\"finish_reason\":null}]}\n\n";
constexpr std::size_t kLongestInteger = 20;

}  // namespace

ResponseWriter::ResponseWriter(HttpExchange& exchange, const RequestKey& key,
                               const ChatRequest& chat, std::int64_t first_position)
    : exchange_(exchange),
      key_(key),
      stream_(chat.stream),
      before_position_("id: " + key.value() + ":"),
      model_(json::serialize(json::string(chat.model))),
      next_position_(first_position),
      text_is_known_(first_position == 0) {
  // "created" is zero so that an answer resumed through another daemon is equal byte for byte.
  before_token_ = fmt::format(
      "\ndata: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":{},"
      "\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"",
      key.value(), model_);
}

void ResponseWriter::Add(std::string_view token) {
  const std::int64_t position = next_position_++;
  if (text_is_known_) {
    known_text_ += token;
  }
  if (!stream_) {
    return;
  }
  if (known_text_.size() > kLongestKnownText) {
    text_is_known_ = false;
    known_text_ = std::string();
  }
  std::array<char, kLongestInteger> digits;
  const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), position);
  pending_.append(before_position_);
  pending_.append(digits.data(), static_cast<std::size_t>(end - digits.data()));
  pending_.append(before_token_).append(token).append(kAfterToken);
}

asio::awaitable<bool> ResponseWriter::Flush() {
  if (!stream_ || pending_.empty()) {
    co_return true;
  }
  bool written = false;
  if (started_) {
    written = co_await exchange_.WriteChunk(pending_);
  } else {
    started_ = true;
    HttpHeaders headers = ContentType("text/event-stream");
    headers.emplace_back("Cache-Control", "no-store");
    headers.emplace_back("Savoryglade-Request", key_.value());
    written = co_await exchange_.StartStream(200, std::move(headers), pending_);
  }
  if (pending_.capacity() > kPendingKept) {
    pending_ = std::string();
  } else {
    pending_.clear();
  }
  co_return written;
}

asio::awaitable<bool> ResponseWriter::Finish() {
  if (stream_) {
    pending_ += "data: [DONE]\n\n";
    co_return co_await Flush() && co_await exchange_.EndStream();
  }
  HttpHeaders headers = ContentType("application/json");
  headers.emplace_back("Savoryglade-Request", key_.value());
  headers.emplace_back("Savoryglade-Verdict", "ran");
  started_ = true;
  std::string body = fmt::format(
      "{{\"id\":\"{}\",\"object\":\"chat.completion\",\"created\":0,\"model\":{},\"choices\":[{{"
      "\"index\":0,\"message\":{{\"role\":\"assistant\",\"content\":\"{}\"}},"
      "\"finish_reason\":\"stop\"}}]}}",
      key_.value(), model_, known_text_);
  co_return co_await exchange_.Respond(200, std::move(headers), std::move(body));
}

asio::awaitable<void> ResponseWriter::FinishWithResume() {
  pending_ += "event: resume\n";
  // The id is that of the last token, as Last-Event-ID must carry it.
  const std::string id =
      next_position_ > 0 ? fmt::format("id: {}:{}\n", key_.value(), next_position_ - 1) : "";
  pending_ += id;
  pending_ +=
      fmt::format("data: {{\"request\":\"{}\",\"position\":{}}}\n\n", key_.value(), next_position_);
  const bool written = co_await Flush();
  if (written) {
    co_await exchange_.EndStream();
  }
}

asio::awaitable<void> ResponseWriter::FinishWithVerdict(const Verdict& verdict) {
  const auto retry_after = std::chrono::ceil<std::chrono::seconds>(verdict.retry_after).count();
  pending_ += fmt::format(
      "event: error\ndata: {{\"error\":{{\"reason\":\"{}\",\"verdict\":\"{}\",\"request\":\"{}\","
      "\"retry_after\":{}}}}}\n\n",
      ToString(verdict.reason), ToString(verdict.run_state), key_.value(), retry_after);
  const bool written = co_await Flush();
  if (written) {
    co_await exchange_.EndStream();
  }
}

}  // namespace savoryglade
