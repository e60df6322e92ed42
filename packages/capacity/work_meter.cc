#include "capacity/work_meter.h"

#include <utility>

namespace savoryglade::capacity {

void WorkMeter::OnPeerWork(const DaemonId& daemon, std::uint64_t incarnation,
                           std::map<ServiceId, double> work) {
  Peer& peer = peers_[daemon];
  if (peer.incarnation != incarnation) {
    for (const auto& [service, seconds] : peer.work) {
      peer.before[service] += seconds;
    }
    peer.incarnation = incarnation;
  }
  peer.work = std::move(work);
}

double WorkMeter::Total(const ServiceId& service) const {
  const auto find = [&service](const std::map<ServiceId, double>& work) {
    const auto found = work.find(service);
    return found == work.end() ? 0.0 : found->second;
  };
  double total = find(own_);
  for (const auto& [daemon, peer] : peers_) {
    total += find(peer.work) + find(peer.before);
  }
  return total;
}

}  // namespace savoryglade::capacity
