#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/strong_id.h"

namespace savoryglade::provider {

// Key-value store of objects. Writes replace the whole object unconditionally.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  // Returns kUnavailable, kTimeout or kUnknownOutcome on failure.
  virtual void Put(const std::string& key, const std::string& object,
                   std::function<void(Result<void>)> callback) = 0;
  // Returns kNotFound, kUnavailable or kTimeout on failure.
  virtual void Get(const std::string& key, std::function<void(Result<std::string>)> callback) = 0;
};

// Entry of the platform's list of VMs. The daemon and its peers address are set for entry VMs only.
struct VmRecord {
  VmId vm;
  FailureDomainId failure_domain;
  DaemonId daemon;
  std::string peers_address;
  bool leaving = false;

  friend bool operator==(const VmRecord&, const VmRecord&) = default;
};

// List of live and leaving VMs, which may be outdated.
class VmList {
 public:
  virtual ~VmList() = default;

  // Returns the VMs of a failure domain, or all VMs if the failure domain is empty.
  virtual void List(const FailureDomainId& failure_domain,
                    std::function<void(Result<std::vector<VmRecord>>)> callback) = 0;
};

// Request to buy and start a VM. Requests with the same token buy only one VM.
struct StartVmRequest {
  std::string token;
  FailureDomainId failure_domain;
  std::string machine_class;
  bool reclaimable = true;

  friend bool operator==(const StartVmRequest&, const StartVmRequest&) = default;
};

// Price of a machine class in a failure domain, per VM and hour.
struct VmOffer {
  FailureDomainId failure_domain;
  std::string machine_class;
  double on_demand_price = 0;
  double reclaimable_price = 0;

  friend bool operator==(const VmOffer&, const VmOffer&) = default;
};

// Cloud API that starts and stops VMs.
class CloudApi {
 public:
  virtual ~CloudApi() = default;

  virtual void ListOffers(std::function<void(Result<std::vector<VmOffer>>)> callback) = 0;
  // Returns kDenied for a rejected start, kUnavailable or kUnknownOutcome on failure.
  virtual void StartVm(const StartVmRequest& request,
                       std::function<void(Result<VmId>)> callback) = 0;
  // Stopping a VM that no longer exists is not an error.
  virtual void StopVm(const VmId& vm, std::function<void(Result<void>)> callback) = 0;
};

}  // namespace savoryglade::provider
