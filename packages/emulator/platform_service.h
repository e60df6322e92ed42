#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <mutex>

#include "net/http_server.h"
#include "provider/memory_platform.h"

namespace savoryglade {

// Emulated platform with an HTTP and JSON interface: table, VM list and object store, with fault
// injection. With lose_answers, requests take effect but get no response; the connection closes
// after a delay longer than the timeout of any client.
//
//   POST /table/read             {"key"}; returns {"version", "value"}, version 0 without a row
//   POST /table/commit           {"conditions": [{"key", "version"}],
//                                "writes": [{"key", "value"}]}; 200 committed, 409 conflict;
//                                a null value deletes
//   POST /vms/list               {"failure_domain"}; returns {"vms"}
//   PUT  /vms, DELETE /vms/NAME  adds or replaces a VM, removes it
//   PUT, GET /objects/KEY        writes or reads a whole object
//   PUT  /faults                 {"outage", "lose_answers", "delay_ms"}
//   GET  /counts                 {"table_reads", "table_writes", "vm_lists"}
class PlatformService {
 public:
  // Responds to one HTTP request.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

  // Returns the rows, VMs and counts behind the HTTP interface. Faults set on it have no effect on
  // HTTP requests.
  provider::MemoryPlatform& state() { return state_; }
  // Injects faults into all later requests to the table, the VM list and the object store.
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
