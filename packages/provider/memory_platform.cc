#include "provider/memory_platform.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace savoryglade::provider {
namespace {

// How long a caller waits for an answer that never comes.
constexpr Duration kAnswerTimeout = 2s;

const Error kOutage = {.code = ErrorCode::kUnavailable, .message = "The platform is unavailable."};
const Error kNoAnswer = {.code = ErrorCode::kTimeout, .message = "The platform does not answer."};
const Error kUnknownOutcome = {.code = ErrorCode::kUnknownOutcome,
                               .message = "The platform's answer was lost."};

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

void MemoryPlatform::After(Duration delay, std::function<void()> function) {
  if (after_ && delay > Duration::zero()) {
    after_(delay, std::move(function));
  } else {
    function();
  }
}

template <typename T>
void MemoryPlatform::Run(std::function<T()> operation, T refused, T unanswered,
                         std::function<void(T)> callback) {
  const Faults faults = this->faults();
  if (faults.outage) {
    callback(std::move(refused));
    return;
  }
  After(faults.delay, [this, faults, operation = std::move(operation),
                       unanswered = std::move(unanswered), callback = std::move(callback)] {
    T result = operation();
    const Duration answer_delay = faults.lose_answers ? kAnswerTimeout : faults.delay;
    After(answer_delay, [answer = faults.lose_answers ? unanswered : std::move(result), callback] {
      callback(answer);
    });
  });
}

void MemoryPlatform::Read(const std::string& key, ReadCallback callback) {
  ++reads_;
  Run<ReadResult>([this, key] { return ReadResult(rows_.Read(key)); }, tl::make_unexpected(kOutage),
                  tl::make_unexpected(kNoAnswer), std::move(callback));
}

void MemoryPlatform::Commit(const Transaction& transaction, CommitCallback callback) {
  ++writes_;
  Run<CommitStatus>([this, transaction] { return rows_.Commit(transaction); },
                    CommitStatus::kUnavailable, CommitStatus::kUnknown, std::move(callback));
}

void MemoryPlatform::Put(const std::string& key, const std::string& object,
                         std::function<void(Result<void>)> callback) {
  Run<Result<void>>(
      [this, key, object] {
        const std::lock_guard lock(mutex_);
        objects_[key] = object;
        return Result<void>();
      },
      tl::make_unexpected(kOutage), tl::make_unexpected(kUnknownOutcome), std::move(callback));
}

void MemoryPlatform::Get(const std::string& key,
                         std::function<void(Result<std::string>)> callback) {
  Run<Result<std::string>>(
      [this, key]() -> Result<std::string> {
        const std::lock_guard lock(mutex_);
        const auto found = objects_.find(key);
        if (found == objects_.end()) {
          return tl::make_unexpected(
              Error{.code = ErrorCode::kNotFound, .message = "There is no object " + key + "."});
        }
        return found->second;
      },
      tl::make_unexpected(kOutage), tl::make_unexpected(kNoAnswer), std::move(callback));
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
  Run<Result<std::vector<VmRecord>>>(
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
      tl::make_unexpected(kOutage), tl::make_unexpected(kNoAnswer), std::move(callback));
}

void MemoryPlatform::SetOffers(std::vector<VmOffer> offers) {
  const std::lock_guard lock(mutex_);
  offers_ = std::move(offers);
}

void MemoryPlatform::ListOffers(std::function<void(Result<std::vector<VmOffer>>)> callback) {
  Run<Result<std::vector<VmOffer>>>(
      [this] {
        const std::lock_guard lock(mutex_);
        return Result<std::vector<VmOffer>>(offers_);
      },
      tl::make_unexpected(kOutage), tl::make_unexpected(kNoAnswer), std::move(callback));
}

std::vector<std::string> MemoryPlatform::PurchasedTokens() const {
  const std::lock_guard lock(mutex_);
  return purchase_order_;
}

void MemoryPlatform::StartVm(const StartVmRequest& request,
                             std::function<void(Result<VmId>)> callback) {
  Run<Result<VmId>>(
      [this, request]() -> Result<VmId> {
        const std::lock_guard lock(mutex_);
        const auto found = purchases_.find(request.token);
        if (found != purchases_.end()) {
          return found->second;
        }
        if (faults_.refuse_starts) {
          return tl::make_unexpected(Error{.code = ErrorCode::kDenied,
                                           .message = "The cloud has no " + request.machine_class +
                                                      " in " + request.failure_domain.value() +
                                                      "."});
        }
        const VmId vm("vm-" + std::to_string(purchases_.size() + 1));
        purchases_.emplace(request.token, vm);
        purchase_order_.push_back(request.token);
        vms_[vm] = VmRecord{.vm = vm, .failure_domain = request.failure_domain};
        return vm;
      },
      tl::make_unexpected(kOutage), tl::make_unexpected(kUnknownOutcome), std::move(callback));
}

void MemoryPlatform::StopVm(const VmId& vm, std::function<void(Result<void>)> callback) {
  Run<Result<void>>(
      [this, vm] {
        RemoveVm(vm);
        return Result<void>();
      },
      tl::make_unexpected(kOutage), tl::make_unexpected(kUnknownOutcome), std::move(callback));
}

}  // namespace savoryglade::provider
