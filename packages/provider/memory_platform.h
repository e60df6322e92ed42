#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"
#include "provider/services.h"
#include "provider/table.h"

namespace savoryglade::provider {

// Faults that an in-memory service injects into each operation while they are set.
struct Faults {
  // Operations fail at once and have no effect.
  bool outage = false;
  // Operations take effect but their answers never come. The caller gets a timeout or kUnknown.
  bool lose_answers = false;
  // Cloud API only: starts are refused.
  bool refuse_starts = false;
  // Time until an operation takes effect, and again until its answer arrives.
  Duration delay = Duration::zero();

  friend bool operator==(const Faults&, const Faults&) = default;
};

// Number of operations that an in-memory table was asked for, whatever their outcome.
struct TableOperationCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;

  friend bool operator==(const TableOperationCounts&, const TableOperationCounts&) = default;
};

// Rows of a table and the rule for committing. Safe to use from all threads.
class TableRows {
 public:
  Row Read(const std::string& key) const;
  // Returns kCommitted or kConflict.
  CommitStatus Commit(const Transaction& transaction);

 private:
  mutable std::mutex mutex_;
  std::map<std::string, Row> rows_;
  std::uint64_t last_version_ = 0;
};

// Platform in the memory of one process: the embedded platform of a daemon, and the platform of
// tests with faults on a virtual clock. Safe to use from all threads if the delay function is.
class MemoryPlatform : public Table, public ObjectStore, public VmList, public CloudApi {
 public:
  // Runs a function after a delay. Only called for delays above zero.
  using DelayFunction = std::function<void(Duration, std::function<void()>)>;

  // Without a delay function, delays count as zero.
  explicit MemoryPlatform(DelayFunction after = nullptr) : after_(std::move(after)) {}

  // Injects faults from now on. Operations that have begun keep the faults they began with.
  void SetFaults(const Faults& faults);
  Faults faults() const;
  TableOperationCounts counts() const { return {.reads = reads_.load(), .writes = writes_.load()}; }

  // Adds or replaces a VM of the list, or removes it.
  void PutVm(const VmRecord& vm);
  void RemoveVm(const VmId& vm);
  void SetOffers(std::vector<VmOffer> offers);
  // Tokens of the VMs that were bought, in order of purchase; each token is there once.
  std::vector<std::string> PurchasedTokens() const;

  void Read(const std::string& key, ReadCallback callback) override;
  void Commit(const Transaction& transaction, CommitCallback callback) override;
  void Put(const std::string& key, const std::string& object,
           std::function<void(Result<void>)> callback) override;
  void Get(const std::string& key, std::function<void(Result<std::string>)> callback) override;
  void List(const FailureDomainId& failure_domain,
            std::function<void(Result<std::vector<VmRecord>>)> callback) override;
  void ListOffers(std::function<void(Result<std::vector<VmOffer>>)> callback) override;
  void StartVm(const StartVmRequest& request, std::function<void(Result<VmId>)> callback) override;
  void StopVm(const VmId& vm, std::function<void(Result<void>)> callback) override;

 private:
  // Runs the operation under the faults in force: refuses it, or delays it and its answer.
  template <typename T>
  void Run(std::function<T()> operation, T refused, T unanswered, std::function<void(T)> callback);
  void After(Duration delay, std::function<void()> function);

  DelayFunction after_;
  TableRows rows_;
  std::atomic<std::uint64_t> reads_{0};
  std::atomic<std::uint64_t> writes_{0};
  mutable std::mutex mutex_;
  Faults faults_;
  std::map<std::string, std::string> objects_;
  std::map<VmId, VmRecord> vms_;
  std::vector<VmOffer> offers_;
  std::map<std::string, VmId> purchases_;
  std::vector<std::string> purchase_order_;
};

}  // namespace savoryglade::provider
