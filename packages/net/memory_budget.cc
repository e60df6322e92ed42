#include "net/memory_budget.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace savoryglade {
namespace {

// Part of a machine's memory that is leased, and part of that which is kept for small leases. The
// smallest machine (120 MB) leases 48 MB, of which 24 MB serve 200 requests of 72,000 bytes with
// their heads and connections.
constexpr double kLeasedFraction = 0.4;
constexpr double kReserveFraction = 0.5;
// Part of the budget for large bodies above which no new one begins.
constexpr double kBeginFraction = 0.75;
// Least part of the budget that is freed at a time, so that not each request has to search.
constexpr std::size_t kMinFreedDivisor = 16;
// Pause between two searches that find nothing to close.
constexpr Duration kSearchInterval = 20ms;

constexpr std::array<const char*, kMemoryPurposes> kPurposeNames = {"connection", "head", "body",
                                                                    "response", "tunnel"};
constexpr std::array<const char*, kMemoryRefusals> kRefusalNames = {"connection", "request",
                                                                    "evicted", "too_many_fields"};

std::size_t FractionOf(std::size_t bytes, double fraction) {
  return static_cast<std::size_t>(static_cast<double>(bytes) * fraction);
}

}  // namespace

MemoryLimits MemoryLimits::OfMachine(std::size_t memory_bytes) {
  const std::size_t total = FractionOf(memory_bytes, kLeasedFraction);
  return {.total = total, .reserve = FractionOf(total, kReserveFraction)};
}

MemoryBudget::MemoryBudget(MemoryLimits limits, MetricRegistry& metrics)
    : limits_(limits), budget_bytes_(metrics.GetGauge("savoryglade_memory_budget_bytes")) {
  for (std::size_t i = 0; i < kMemoryPurposes; ++i) {
    leased_bytes_[i] =
        &metrics.GetGauge("savoryglade_memory_leased_bytes", {{"purpose", kPurposeNames[i]}});
  }
  for (std::size_t i = 0; i < kMemoryRefusals; ++i) {
    refusals_[i] =
        &metrics.GetCounter("savoryglade_memory_refusals_total", {{"reason", kRefusalNames[i]}});
  }
  Publish();
}

bool MemoryBudget::MayBeginLarge(const MemoryLease& lease, TimePoint now) {
  const std::lock_guard lock(mutex_);
  const std::size_t limit = FractionOf(limits_.total - limits_.reserve, kBeginFraction);
  if (total_leased_ <= limit) {
    return true;
  }
  MakeRoom(total_leased_ - limit, lease, false, now);
  return false;
}

bool MemoryBudget::EvictOldest(const void* listener, TimePoint now) {
  const std::lock_guard lock(mutex_);
  MemoryLease* oldest = nullptr;
  for (MemoryLease* const lease : leases_) {
    if (lease->listener_ == listener && lease->evictable_ && !lease->awaits_further_request_ &&
        lease->evicting_bytes_ == 0 && now - lease->progress_at_ >= kMinStall &&
        (oldest == nullptr || lease->progress_at_ < oldest->progress_at_)) {
      oldest = lease;
    }
  }
  if (oldest != nullptr) {
    Evict(*oldest);
  }
  return oldest != nullptr;
}

void MemoryBudget::CountRefusal(MemoryRefusal refusal) {
  refusals_[static_cast<std::size_t>(refusal)]->Add();
}

std::size_t MemoryBudget::leased() const {
  const std::lock_guard lock(mutex_);
  return total_leased_;
}

std::size_t MemoryBudget::leased(MemoryPurpose purpose) const {
  const std::lock_guard lock(mutex_);
  return leased_[static_cast<std::size_t>(purpose)];
}

void MemoryBudget::Publish() const {
  const std::lock_guard lock(mutex_);
  budget_bytes_.Set(static_cast<std::int64_t>(limits_.total));
  for (std::size_t i = 0; i < kMemoryPurposes; ++i) {
    leased_bytes_[i]->Set(static_cast<std::int64_t>(leased_[i]));
  }
}

bool MemoryBudget::Resize(MemoryLease& lease, MemoryPurpose purpose, std::size_t bytes, bool force,
                          TimePoint now) {
  const std::lock_guard lock(mutex_);
  std::size_t& held = lease.held_[static_cast<std::size_t>(purpose)];
  const std::size_t lease_total = lease.total_ - held + bytes;
  const std::size_t total = total_leased_ - held + bytes;
  const bool is_small = lease_total <= kSmallLeaseBytes;
  const std::size_t limit = is_small ? limits_.total : limits_.total - limits_.reserve;
  if (bytes > held && total > limit && !force) {
    MakeRoom(total - limit, lease, is_small, now);
    return false;
  }
  std::size_t& leased = leased_[static_cast<std::size_t>(purpose)];
  leased = leased - held + bytes;
  total_leased_ = total;
  lease.total_ = lease_total;
  held = bytes;
  return true;
}

void MemoryBudget::MakeRoom(std::size_t bytes, const MemoryLease& lease, bool is_small,
                            TimePoint now) {
  if (evicting_bytes_ >= bytes || now < next_search_) {
    return;
  }
  const std::size_t wanted = bytes + limits_.total / kMinFreedDivisor;
  while (evicting_bytes_ < wanted) {
    MemoryLease* worst = nullptr;
    double worst_score = 0;
    for (MemoryLease* const other : leases_) {
      const Duration stalled = now - other->progress_at_;
      if (other == &lease || !other->evictable_ || other->evicting_bytes_ > 0 ||
          stalled < kMinStall) {
        continue;
      }
      // A connection between two requests holds nothing else, and is closed last.
      const std::size_t request =
          other->total_ - other->held_[static_cast<std::size_t>(MemoryPurpose::kConnection)];
      const double score = static_cast<double>(request + 1) * ToSeconds(stalled);
      if ((request > 0 || is_small) && score > worst_score) {
        worst = other;
        worst_score = score;
      }
    }
    if (worst == nullptr) {
      next_search_ = now + kSearchInterval;
      return;
    }
    Evict(*worst);
  }
}

void MemoryBudget::Evict(MemoryLease& lease) {
  lease.evicting_bytes_ = std::max<std::size_t>(lease.total_, 1);
  evicting_bytes_ += lease.evicting_bytes_;
  CountRefusal(MemoryRefusal::kEvicted);
  lease.evict_();
}

void MemoryBudget::Unmark(MemoryLease& lease) {
  evicting_bytes_ -= std::exchange(lease.evicting_bytes_, 0);
}

MemoryLease::MemoryLease(std::shared_ptr<MemoryBudget> budget, const void* listener, TimePoint now,
                         std::function<void()> evict)
    : budget_(std::move(budget)), listener_(listener), evict_(std::move(evict)), progress_at_(now) {
  if (budget_) {
    const std::lock_guard lock(budget_->mutex_);
    budget_->leases_.insert(this);
  }
}

MemoryLease::~MemoryLease() {
  if (budget_) {
    const std::lock_guard lock(budget_->mutex_);
    budget_->Unmark(*this);
    budget_->total_leased_ -= total_;
    for (std::size_t i = 0; i < kMemoryPurposes; ++i) {
      budget_->leased_[i] -= held_[i];
    }
    budget_->leases_.erase(this);
  }
}

bool MemoryLease::TrySet(MemoryPurpose purpose, std::size_t bytes, TimePoint now) {
  return !budget_ || budget_->Resize(*this, purpose, bytes, false, now);
}

void MemoryLease::Set(MemoryPurpose purpose, std::size_t bytes) {
  if (budget_) {
    budget_->Resize(*this, purpose, bytes, true, {});
  }
}

bool MemoryLease::MayBeginLarge(TimePoint now) {
  return !budget_ || budget_->MayBeginLarge(*this, now);
}

void MemoryLease::OnProgress(TimePoint now) {
  if (budget_) {
    const std::lock_guard lock(budget_->mutex_);
    progress_at_ = now;
  }
}

void MemoryLease::SetEvictable(bool evictable, TimePoint now) {
  if (budget_) {
    const std::lock_guard lock(budget_->mutex_);
    evictable_ = evictable;
    awaits_further_request_ = false;
    progress_at_ = now;
    if (!evictable) {
      budget_->Unmark(*this);
    }
  }
}

void MemoryLease::OnRequestRead() {
  if (budget_) {
    const std::lock_guard lock(budget_->mutex_);
    has_read_request_ = true;
  }
}

void MemoryLease::OnIdle() {
  if (budget_) {
    const std::lock_guard lock(budget_->mutex_);
    awaits_further_request_ = has_read_request_;
  }
}

void ConfigureAllocator() {
  // The allocator would otherwise raise this threshold to the largest buffer that was freed, and
  // keep such buffers on its heap.
  constexpr int kMinMappedBytes = 128 * 1024;
  constexpr int kMaxArenas = 2;
  ::mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
  ::mallopt(M_TRIM_THRESHOLD, kMinMappedBytes);
  ::mallopt(M_ARENA_MAX, kMaxArenas);
}

}  // namespace savoryglade
