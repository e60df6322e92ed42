#include "provider/memory_platform.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace savoryglade::provider {
namespace {

// Time until a caller gives up waiting for a lost response.
constexpr Duration kLostResponseTimeout = 2s;

const Error kUnavailableError = {.code = ErrorCode::kUnavailable,
                                 .message = "The platform is unavailable."};
const Error kTimeoutError = {.code = ErrorCode::kTimeout,
                             .message = "The platform does not respond."};
const Error kUnknownOutcomeError = {.code = ErrorCode::kUnknownOutcome,
                                    .message = "The platform's response was lost."};

}  // namespace

Row TableRows::Read(const std::string& key) const {
  const std::lock_guard lock(mutex_);
  const auto found = rows_.find(key);
  return found == rows_.end() ? Row{} : found->second;
}

CommitStatus TableRows::Commit(const Transaction& transaction) {
  const std::lock_guard lock(mutex_);
  const bool holds =
      std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
                  [this](const RowCondition& condition) {
                    const auto found = rows_.find(condition.key);
                    return (found == rows_.end() ? 0 : found->second.version) == condition.version;
                  });
  if (!holds) {
    return CommitStatus::kConflict;
  }
  ++last_version_;
  for (const RowWrite& write : transaction.writes) {
    if (write.value) {
      rows_[write.key] = Row{.value = *write.value, .version = last_version_};
    } else {
      rows_.erase(write.key);
    }
  }
  return CommitStatus::kCommitted;
}

void MemoryPlatform::SetFaults(const Faults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

Faults MemoryPlatform::faults() const {
  const std::lock_guard lock(mutex_);
  return faults_;
}

void MemoryPlatform::RunAfter(Duration delay, std::function<void()> function) {
  if (run_after_ && delay > Duration::zero()) {
    run_after_(delay, std::move(function));
  } else {
    function();
  }
}

template <typename T>
void MemoryPlatform::RunWithFaults(std::function<T()> operation, T unavailable, T lost_response,
                                   std::function<void(T)> callback) {
  const Faults faults = this->faults();
  if (faults.outage) {
    callback(std::move(unavailable));
    return;
  }
  RunAfter(faults.delay, [this, faults, operation = std::move(operation),
                          lost_response = std::move(lost_response),
                          callback = std::move(callback)] {
    T result = operation();
    const Duration response_delay = faults.lose_answers ? kLostResponseTimeout : faults.delay;
    RunAfter(response_delay, [response = faults.lose_answers ? lost_response : std::move(result),
                              callback] { callback(response); });
  });
}

void MemoryPlatform::Read(const std::string& key, ReadCallback callback) {
  ++reads_;
  RunWithFaults<ReadResult>([this, key] { return ReadResult(rows_.Read(key)); },
                            tl::make_unexpected(kUnavailableError),
                            tl::make_unexpected(kTimeoutError), std::move(callback));
}

void MemoryPlatform::Commit(const Transaction& transaction, CommitCallback callback) {
  ++writes_;
  RunWithFaults<CommitStatus>([this, transaction] { return rows_.Commit(transaction); },
                              CommitStatus::kUnavailable, CommitStatus::kUnknown,
                              std::move(callback));
}

void MemoryPlatform::Put(const std::string& key, const std::string& object,
                         std::function<void(Result<void>)> callback) {
  RunWithFaults<Result<void>>(
      [this, key, object] {
        const std::lock_guard lock(mutex_);
        objects_[key] = object;
        return Result<void>();
      },
      tl::make_unexpected(kUnavailableError), tl::make_unexpected(kUnknownOutcomeError),
      std::move(callback));
}

void MemoryPlatform::Get(const std::string& key,
                         std::function<void(Result<std::string>)> callback) {
  RunWithFaults<Result<std::string>>(
      [this, key]() -> Result<std::string> {
        const std::lock_guard lock(mutex_);
        const auto found = objects_.find(key);
        if (found == objects_.end()) {
          return tl::make_unexpected(
              Error{.code = ErrorCode::kNotFound, .message = "There is no object " + key + "."});
        }
        return found->second;
      },
      tl::make_unexpected(kUnavailableError), tl::make_unexpected(kTimeoutError),
      std::move(callback));
}

void MemoryPlatform::PutVm(const VmRecord& vm) {
  const std::lock_guard lock(mutex_);
  vms_[vm.vm] = vm;
}

void MemoryPlatform::RemoveVm(const VmId& vm) {
  const std::lock_guard lock(mutex_);
  vms_.erase(vm);
}

void MemoryPlatform::List(const FailureDomainId& failure_domain,
                          std::function<void(Result<std::vector<VmRecord>>)> callback) {
  RunWithFaults<Result<std::vector<VmRecord>>>(
      [this, failure_domain] {
        const std::lock_guard lock(mutex_);
        std::vector<VmRecord> records;
        for (const auto& [id, record] : vms_) {
          if (failure_domain.empty() || record.failure_domain == failure_domain) {
            records.push_back(record);
          }
        }
        return Result<std::vector<VmRecord>>(std::move(records));
      },
      tl::make_unexpected(kUnavailableError), tl::make_unexpected(kTimeoutError),
      std::move(callback));
}

void MemoryPlatform::SetOffers(std::vector<VmOffer> offers) {
  const std::lock_guard lock(mutex_);
  offers_ = std::move(offers);
}

void MemoryPlatform::ListOffers(std::function<void(Result<std::vector<VmOffer>>)> callback) {
  RunWithFaults<Result<std::vector<VmOffer>>>(
      [this] {
        const std::lock_guard lock(mutex_);
        return Result<std::vector<VmOffer>>(offers_);
      },
      tl::make_unexpected(kUnavailableError), tl::make_unexpected(kTimeoutError),
      std::move(callback));
}

std::vector<std::string> MemoryPlatform::PurchasedTokens() const {
  const std::lock_guard lock(mutex_);
  return purchase_order_;
}

void MemoryPlatform::StartVm(const StartVmRequest& request,
                             std::function<void(Result<VmId>)> callback) {
  RunWithFaults<Result<VmId>>(
      [this, request]() -> Result<VmId> {
        const std::lock_guard lock(mutex_);
        const auto found = purchases_.find(request.token);
        if (found != purchases_.end()) {
          return found->second;
        }
        if (faults_.reject_starts) {
          return tl::make_unexpected(Error{.code = ErrorCode::kDenied,
                                           .message = "The cloud has no capacity of class " +
                                                      request.machine_class + " in " +
                                                      request.failure_domain.value() + "."});
        }
        const VmId vm("vm-" + std::to_string(purchases_.size() + 1));
        purchases_.emplace(request.token, vm);
        purchase_order_.push_back(request.token);
        vms_[vm] = VmRecord{.vm = vm, .failure_domain = request.failure_domain};
        return vm;
      },
      tl::make_unexpected(kUnavailableError), tl::make_unexpected(kUnknownOutcomeError),
      std::move(callback));
}

void MemoryPlatform::StopVm(const VmId& vm, std::function<void(Result<void>)> callback) {
  RunWithFaults<Result<void>>(
      [this, vm] {
        RemoveVm(vm);
        return Result<void>();
      },
      tl::make_unexpected(kUnavailableError), tl::make_unexpected(kUnknownOutcomeError),
      std::move(callback));
}

}  // namespace savoryglade::provider
