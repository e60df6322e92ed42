#pragma once

#include <boost/asio/awaitable.hpp>
#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// Upstream that produces the response stream of a request, and id of the generation there. The key
// digest covers client account, service and request key. The content digest distinguishes a resent
// request from a different one with the same key.
struct StreamRecord {
  std::string key_digest;
  std::string content_digest;
  UpstreamId upstream;
  std::string generation;
  bool ended = false;

  friend auto operator<=>(const StreamRecord&, const StreamRecord&) = default;
};

// Stores stream records, so that a caller can resume a stream at the upstream that holds it. Safe
// to use from all workers.
class StreamDirectory {
 public:
  virtual ~StreamDirectory() = default;

  // Stores a stream record and replaces an earlier one with the same key digest. Does not wait.
  virtual void Put(const StreamRecord& record) = 0;

  // Returns the stream record with this key digest; nothing if there is none or the daemons that
  // hold copies of it are unreachable.
  virtual boost::asio::awaitable<std::optional<StreamRecord>> Find(std::string key_digest) = 0;

  // Waits until every daemon that holds a copy of the stream record with this key digest has
  // confirmed it. Returns false if there is no such record or one of these daemons is unreachable.
  virtual boost::asio::awaitable<bool> Confirm(std::string key_digest) = 0;
};

// Stream directory in the memory of one process. Daemons that share it can resume each other's
// streams.
class InMemoryStreamDirectory : public StreamDirectory {
 public:
  // Stores at most this many stream records; the oldest are evicted first.
  explicit InMemoryStreamDirectory(std::size_t max_records = 100'000) : max_records_(max_records) {}

  void Put(const StreamRecord& record) override;
  boost::asio::awaitable<std::optional<StreamRecord>> Find(std::string key_digest) override;
  boost::asio::awaitable<bool> Confirm(std::string key_digest) override;

 private:
  std::size_t max_records_;
  std::mutex mutex_;
  std::map<std::string, StreamRecord> records_;
  // Key digests in the order in which they were first stored.
  std::deque<std::string> insertion_order_;
};

}  // namespace savoryglade
