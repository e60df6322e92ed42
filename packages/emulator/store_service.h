#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "net/http_server.h"

namespace savoryglade {

// Faults that can be injected into the emulated store.
struct StoreFaults {
  // Rejects all requests with 503.
  bool outage = false;
  // Applies transactions and closes their connections without a response.
  bool drop_responses = false;
  // Rejects feed requests with 410, as if their history were no longer available.
  bool discard_feed_history = false;

  friend bool operator==(const StoreFaults&, const StoreFaults&) = default;
};

// Emulated metadata store of the operators' platform with rows in tables, transactions and change
// feeds. Implements the platform's published HTTP interface. Thread-safe.
class StoreService {
 public:
  // Responds to one HTTP request.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

  void SetFaults(const StoreFaults& faults);
  // Writes a row as an operator or an upstream does. The value is not Base64-encoded.
  void Put(const std::string& table, const std::string& key, const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  // State that the store can return to.
  struct Copy;
  std::shared_ptr<const Copy> MakeCopy() const;
  // Returns to an older copy, as after the loss of newer data, and writes rows to a table before
  // the next request is served. Versions after the copy are assigned again.
  void ReturnTo(const Copy& copy, const std::string& table,
                const std::map<std::string, std::string>& writes);
  // Returns the keys and values of the rows of a table.
  std::map<std::string, std::string> Rows(const std::string& table) const;
  // Returns the number of requests received, including those without a response.
  std::uint64_t calls() const;
  // Returns the number of reads of a table, including those of its changes.
  std::uint64_t reads(const std::string& table) const;

 private:
  struct StoredRow {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  using RowName = std::pair<std::string, std::string>;

  HttpHeaders ResponseHeaders() const;
  boost::asio::awaitable<void> ReadRows(HttpExchange& exchange);
  boost::asio::awaitable<void> ReadFeed(HttpExchange& exchange);
  boost::asio::awaitable<void> Transact(HttpExchange& exchange);
  // Serializes the rows of a range that have changed after a version, up to the limit.
  std::string SerializeRows(const std::string& table, const std::string& from,
                            const std::string& to, std::uint64_t after, std::size_t limit,
                            bool* empty) const;

  mutable std::mutex mutex_;
  StoreFaults faults_;
  std::map<RowName, StoredRow> rows_;
  std::uint64_t version_ = 0;
  // Number of the returns to an older copy, plus one.
  std::uint64_t era_ = 1;
  std::uint64_t calls_ = 0;
  std::map<std::string, std::uint64_t> reads_;
};

struct StoreService::Copy {
  std::map<RowName, StoredRow> rows;
  std::uint64_t version = 0;
};

}  // namespace savoryglade
