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

// Where the stream of a request runs. The key digest covers client account, service and request
// key; the content digest tells a resent request from another one under the same key.
struct StreamRecord {
  std::string key_digest;
  std::string content_digest;
  UpstreamId upstream;
  std::string generation;
  bool ended = false;

  friend auto operator<=>(const StreamRecord&, const StreamRecord&) = default;
};

// Records of streams, by which a caller's resumption finds the upstream that holds its stream. Safe
// to use from all workers.
class StreamDirectory {
 public:
  virtual ~StreamDirectory() = default;

  // Keeps a record in place of an earlier one of the same key. Does not wait.
  virtual void Put(const StreamRecord& record) = 0;

  // Returns the record of a key digest; nothing if there is none or those who hold it can't be
  // reached.
  virtual boost::asio::awaitable<std::optional<StreamRecord>> Find(std::string key_digest) = 0;

  // Waits until those who hold the record have confirmed it. Returns false if they can't be
  // reached.
  virtual boost::asio::awaitable<bool> Confirm(std::string key_digest) = 0;
};

// Directory inside one process. Daemons that share one find each other's streams.
class InMemoryStreamDirectory : public StreamDirectory {
 public:
  // Keeps at most this many records; the oldest are dropped first.
  explicit InMemoryStreamDirectory(std::size_t capacity = 100'000) : capacity_(capacity) {}

  void Put(const StreamRecord& record) override;
  boost::asio::awaitable<std::optional<StreamRecord>> Find(std::string key_digest) override;
  boost::asio::awaitable<bool> Confirm(std::string key_digest) override;

 private:
  std::size_t capacity_;
  std::mutex mutex_;
  std::map<std::string, StreamRecord> records_;
  // Key digests in the order of their first record.
  std::deque<std::string> order_;
};

}  // namespace savoryglade
