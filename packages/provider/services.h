#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/strong_id.h"

namespace savoryglade::provider {

// Store of whole objects by key. An object is replaced whole; there are no conditions.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  // The error codes are kUnavailable, kTimeout and kUnknownOutcome.
  virtual void Put(const std::string& key, const std::string& object,
                   std::function<void(Result<void>)> callback) = 0;
  // The error codes are kNotFound, kUnavailable and kTimeout.
  virtual void Get(const std::string& key, std::function<void(Result<std::string>)> callback) = 0;
};

// One VM of the platform's list. The daemon's name and peers address are set for entry VMs only.
struct VmRecord {
  VmId vm;
  FailureDomainId failure_domain;
  DaemonId daemon;
  std::string peers_address;
  bool leaving = false;

  friend bool operator==(const VmRecord&, const VmRecord&) = default;
};

// List of live and leaving VMs. It lags behind the truth.
class VmList {
 public:
  virtual ~VmList() = default;

  // Lists the VMs of one failure domain, or of all if it is empty.
  virtual void List(const FailureDomainId& failure_domain,
                    std::function<void(Result<std::vector<VmRecord>>)> callback) = 0;
};

// Purchase of a VM. Two requests with the same token buy one VM.
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
  // The error codes are kDenied for a refused start, kUnavailable, and kUnknownOutcome.
  virtual void StartVm(const StartVmRequest& request,
                       std::function<void(Result<VmId>)> callback) = 0;
  // Stopping a VM that has gone is not an error.
  virtual void StopVm(const VmId& vm, std::function<void(Result<void>)> callback) = 0;
};

}  // namespace savoryglade::provider
