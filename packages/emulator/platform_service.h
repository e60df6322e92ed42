#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <mutex>

#include "net/http_server.h"
#include "provider/memory_platform.h"

namespace savoryglade {

// Emulated platform over HTTP and JSON: table, VM list, object store, and faults that can be
// switched on. A request whose answer is lost is left without one until the client gives up.
//
//   POST /table/read             {"key"}; answers {"version", "value"}, version 0 without a row
//   POST /table/commit           {"conditions": [{"key", "version"}], "writes": [{"key",
//   "value"}]};
//                                200 committed, 409 conflict; a null value deletes
//   POST /vms/list               {"failure_domain"}; answers {"vms"}
//   PUT  /vms, DELETE /vms/NAME  adds or replaces a VM, removes it
//   PUT, GET /objects/KEY        whole objects
//   PUT  /faults                 {"outage", "lose_answers", "delay_ms"}
//   GET  /counts                 {"table_reads", "table_writes", "vm_lists"}
class PlatformService {
 public:
  // Answers one HTTP request.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

  // Rows, VMs and counts behind the HTTP interface. Faults set here are not injected.
  provider::MemoryPlatform& state() { return state_; }
  // Injects faults into the answers from now on, for table, VM list and object store alike.
  void SetFaults(const provider::Faults& faults);

 private:
  boost::asio::awaitable<void> ServePlatformRequest(HttpExchange& exchange,
                                                    const provider::Faults& faults);

  provider::Faults faults() const;

  provider::MemoryPlatform state_;
  mutable std::mutex mutex_;
  provider::Faults faults_;
  std::atomic<std::uint64_t> vm_lists_{0};
};

}  // namespace savoryglade
