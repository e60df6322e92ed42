#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/error.h"
#include "gateway/adapter.h"
#include "gateway/fleet_state.h"
#include "recovery/crash_registry.h"

namespace savoryglade::gateway {

// Shares the records of requests, paths and prompt parts that crash upstreams through the store, so
// that they survive a restart of all daemons and reach daemons that are cut off from their peers.
// Both loops run until their context stops.
class CrashRecordStore {
 public:
  CrashRecordStore(FleetState& fleet, FleetStore& store, boost::asio::io_context& context);

  // Watches the stored records and merges them into the registry.
  boost::asio::awaitable<void> ReadLoop();
  // Stores the records that this daemon has to store, and retries after failures.
  boost::asio::awaitable<void> WriteLoop();
  // Tells the write loop that the registry may have changed.
  void OnRegistryChanged() { write_timer_.cancel(); }

  // Returns true once the stored records have been read.
  bool loaded() const { return loaded_; }

 private:
  void ApplyRow(const std::string& key, const provider::Row& row, TimePoint now);
  // Reads the rows of single losses and merges them into the registries. Returns false if the store
  // call failed.
  boost::asio::awaitable<bool> ReadSingleLosses();
  // Stores the records that this daemon has to store, up to the size of a transaction. Returns how
  // many, or nothing if the store call failed.
  boost::asio::awaitable<std::optional<std::size_t>> StoreRecords();
  // Removes the rows whose losses no longer count, if this daemon holds the fleet's duties.
  boost::asio::awaitable<void> RemoveExpiredRows(const std::map<std::string, provider::Row>& rows);

  FleetState& fleet_;
  FleetStore& store_;
  // Cancelled when the registry has changed.
  boost::asio::steady_timer write_timer_;
  FeedPosition position_ = 0;
  TimePoint full_read_at_{};
  bool loaded_ = false;
};

// Encodes the losses of a record as the value of its row, with their Unix times.
std::string EncodeCrashRow(const CrashRecord& record, Duration unix_time);
// Returns the key of the row of a record with this number of losses. Rows of single losses are read
// when a daemon starts but not watched, because most requests that lose an upstream are harmless
// and each change of a watched row wakes all daemons.
std::string CrashRowKey(CrashSubject subject, std::uint64_t request, std::size_t losses);
// Returns what a row's key names.
CrashSubject CrashSubjectOf(std::string_view key);
// Decodes a row. Returns kInvalid if the key or the value is malformed.
Result<CrashRecord> DecodeCrashRow(const std::string& key, const std::string& value,
                                   Duration unix_time);

}  // namespace savoryglade::gateway
