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

// Faults that an in-memory platform injects into each operation while they are set.
struct Faults {
  // Operations of all platform services fail immediately without effect.
  bool outage = false;
  // Operations of all platform services take effect but their responses are lost. Reads and lists
  // end with kTimeout; table commits end with kUnknown and other changes with kUnknownOutcome, i.e.
  // the caller can't know whether they took effect.
  bool lose_answers = false;
  // Cloud API only: starts of VMs are rejected.
  bool reject_starts = false;
  // Time until an operation takes effect, and again until its response arrives.
  Duration delay = Duration::zero();

  friend bool operator==(const Faults&, const Faults&) = default;
};

// Number of operations called on an in-memory table, whatever their outcome.
struct TableOperationCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;

  friend bool operator==(const TableOperationCounts&, const TableOperationCounts&) = default;
};

// Stores the rows of a table and commits transactions to them. Safe to use from all threads.
class TableRows {
 public:
  Row Read(const std::string& key) const;
  // Applies all writes of the transaction and returns kCommitted if all its conditions hold;
  // otherwise changes nothing and returns kConflict.
  CommitStatus Commit(const Transaction& transaction);

 private:
  mutable std::mutex mutex_;
  std::map<std::string, Row> rows_;
  std::uint64_t last_version_ = 0;
};

// In-memory implementation of all platform services: the embedded platform of a daemon, and the
// platform of tests with faults on a virtual clock. Safe to use from all threads if the delay
// function is.
class MemoryPlatform : public Table, public ObjectStore, public VmList, public CloudApi {
 public:
  // Runs a function after a delay. Only called for delays above zero.
  using DelayFunction = std::function<void(Duration, std::function<void()>)>;

  // Without a delay function, delays count as zero.
  explicit MemoryPlatform(DelayFunction run_after = nullptr) : run_after_(std::move(run_after)) {}

  // Sets the faults of subsequent operations. Operations that have begun keep their faults.
  void SetFaults(const Faults& faults);
  Faults faults() const;
  TableOperationCounts counts() const { return {.reads = reads_.load(), .writes = writes_.load()}; }

  // Adds a VM to the platform's list of VMs, or replaces the entry with the same id.
  void PutVm(const VmRecord& vm);
  void RemoveVm(const VmId& vm);
  void SetOffers(std::vector<VmOffer> offers);
  // Returns the tokens of the start requests for which a VM was bought, in order of purchase.
  // Repeated requests with the same token buy only one VM.
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
  // Runs the operation under the current faults: passes `unavailable` to the callback during an
  // outage; otherwise delays the operation and its response, and replaces a lost response by
  // `lost_response`.
  template <typename T>
  void RunWithFaults(std::function<T()> operation, T unavailable, T lost_response,
                     std::function<void(T)> callback);
  void RunAfter(Duration delay, std::function<void()> function);

  DelayFunction run_after_;
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
