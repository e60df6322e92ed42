#pragma once

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "emulator/platform_service.h"
#include "net/endpoint.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/worker_pool.h"

namespace savoryglade::bench {

// Resource use and peer traffic counters of one daemon process at an instant.
struct ProcessSample {
  double cpu_seconds = 0;
  double resident_megabytes = 0;
  double peer_bytes_sent = 0;
  double peer_bytes_received = 0;
  double peer_messages_sent = 0;
  double peer_messages_received = 0;
};

// Daemons as child processes on loopback, with the emulated platform in this process. The
// destructor kills each child by its process id.
class FleetProcesses {
 public:
  // Starts the daemons, spread evenly over the failure domains, and adds them to the platform's VM
  // list. Throws std::runtime_error if a daemon does not start.
  FleetProcesses(int daemons, int domains);
  ~FleetProcesses();
  FleetProcesses(const FleetProcesses&) = delete;
  FleetProcesses& operator=(const FleetProcesses&) = delete;

  int size() const { return static_cast<int>(children_.size()); }
  PlatformService& platform() { return platform_; }
  provider::TableOperationCounts table_counts() { return platform_.state().counts(); }

  // Queries all daemons concurrently and waits until each has applied the configuration version and
  // sees this number of live members. Returns the seconds that each daemon took, or -1 for a daemon
  // that did not get there within 30 s.
  std::vector<double> WaitForVersion(std::uint64_t version, int members);

  // Sends a configuration with this number of upstreams to one daemon, conditional on the expected
  // version. Returns the HTTP status, or 0 if there was no response.
  unsigned PutConfiguration(int daemon, std::uint64_t expected, int upstreams);

  ProcessSample SampleProcess(int daemon);

  // Returns the status of a daemon as JSON, or the error text, for diagnostics of a failed measure.
  std::string Status(int daemon);

 private:
  struct Child {
    pid_t pid = -1;
    int log = -1;
    Endpoint administration;
  };

  void StartChild(int index, int domains);

  std::string directory_;
  PlatformService platform_;
  WorkerPool platform_pool_{1};
  HttpServer platform_server_;
  Endpoint platform_endpoint_;
  std::vector<Child> children_;
};

}  // namespace savoryglade::bench
