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

// Counters of one daemon process at an instant.
struct ProcessSample {
  double cpu_seconds = 0;
  double resident_megabytes = 0;
  double peer_bytes_sent = 0;
  double peer_bytes_received = 0;
  double peer_messages_sent = 0;
  double peer_messages_received = 0;
};

// Daemons as child processes on loopback with the platform stand-in in this process. Children are
// ended, by their ids, when the object is destroyed.
class FleetProcesses {
 public:
  // Starts the daemons, spread evenly over the failure domains, and lists them. Failures throw.
  FleetProcesses(int daemons, int domains);
  ~FleetProcesses();
  FleetProcesses(const FleetProcesses&) = delete;
  FleetProcesses& operator=(const FleetProcesses&) = delete;

  int size() const { return static_cast<int>(children_.size()); }
  PlatformService& platform() { return platform_; }
  provider::TableCounts table_counts() { return platform_.state().counts(); }

  // Waits in all daemons at the same time until the version is in force and that many daemons are
  // alive. Returns the seconds from the call until each had it; -1 for none within 30 s.
  std::vector<double> WaitForVersion(std::uint64_t version, int members);

  // Sends a configuration with some upstreams to one daemon and returns the HTTP status.
  unsigned PutConfiguration(int daemon, std::uint64_t expected, int upstreams);

  ProcessSample SampleProcess(int daemon);

  // Status of a daemon as JSON, for the message about a measure that failed.
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
