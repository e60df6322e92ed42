#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "net/http_server.h"

namespace savoryglade {

// Faults of the emulated store.
struct StoreFaults {
  // Calls are answered 503 and have no effect.
  bool outage = false;
  // Transactions take effect, and their connections close without an answer.
  bool drop_responses = false;
  // Feeds answer that their history is gone.
  bool discard_feed_history = false;

  friend bool operator==(const StoreFaults&, const StoreFaults&) = default;
};

// Emulated metadata store of the operators' platform: rows in tables, transactions, feeds. Speaks
// the platform's published calls. Safe to use from all threads.
class StoreService {
 public:
  // Answers one HTTP request.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

  void SetFaults(const StoreFaults& faults);
  // Writes a row as an operator or an upstream does. The value is plain text.
  void Put(const std::string& table, const std::string& key, const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  // Number of calls that were answered or lost.
  std::uint64_t calls() const;

 private:
  struct StoredRow {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  using RowName = std::pair<std::string, std::string>;

  boost::asio::awaitable<void> ReadRows(HttpExchange& exchange);
  boost::asio::awaitable<void> ReadFeed(HttpExchange& exchange);
  boost::asio::awaitable<void> Transact(HttpExchange& exchange);
  std::string SerializeRows(const std::string& table, const std::string& from,
                            const std::string& to, std::uint64_t after, bool* empty) const;

  mutable std::mutex mutex_;
  StoreFaults faults_;
  std::map<RowName, StoredRow> rows_;
  std::uint64_t version_ = 0;
  std::uint64_t calls_ = 0;
};

}  // namespace savoryglade
