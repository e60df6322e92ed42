#pragma once

#include <cstdint>
#include <map>

#include "core/strong_id.h"

namespace savoryglade::capacity {

// Work that was sent to each service since the start of each daemon, in seconds of one worker. The
// sum over the fleet only rises, except when a daemon is forgotten. Not safe to use from several
// threads.
class WorkMeter {
 public:
  void Add(const ServiceId& service, double seconds) { own_[service] += seconds; }
  const std::map<ServiceId, double>& own() const { return own_; }
  // Takes the work of a peer since its start.
  void OnPeerWork(const DaemonId& daemon, std::uint64_t incarnation,
                  std::map<ServiceId, double> work);
  double Total(const ServiceId& service) const;

 private:
  struct Peer {
    std::uint64_t incarnation = 0;
    std::map<ServiceId, double> work;
    // Work of earlier incarnations.
    std::map<ServiceId, double> before;
  };

  std::map<ServiceId, double> own_;
  std::map<DaemonId, Peer> peers_;
};

}  // namespace savoryglade::capacity
