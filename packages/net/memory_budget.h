#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string_view>
#include <unordered_set>

#include "core/time.h"
#include "metrics/registry.h"

namespace savoryglade {

// What leased memory is used for.
enum class MemoryPurpose : std::uint8_t {
  // A connection's socket, timers and coroutine frames.
  kConnection,
  // Input that is not parsed yet, and the header fields of a request.
  kHead,
  kBody,
  // A response that is being written.
  kResponse,
  // Buffers of a connection that is relayed for a peer.
  kTunnel,
};
inline constexpr std::size_t kMemoryPurposes = 5;

// Why a client was refused or its connection closed.
enum class MemoryRefusal : std::uint8_t {
  // No memory for its connection, or for its request.
  kConnection,
  kRequest,
  // Its connection was closed, because it held most for longest without progress.
  kEvicted,
  kTooManyFields,
};
inline constexpr std::size_t kMemoryRefusals = 4;

// Sizes of a budget, in bytes.
struct MemoryLimits {
  std::size_t total = 0;
  // Part of the total that only small leases may use.
  std::size_t reserve = 0;

  // Returns the limits of a process on a machine with this memory. The rest is for routes,
  // upstreams, buffers that are not leased and the allocator.
  static MemoryLimits OfMachine(std::size_t memory_bytes);
};

// Largest lease that may use the reserve. Holds a connection with a body of 72,000 bytes, the
// largest that the clients of the deployments send, and its head.
inline constexpr std::size_t kSmallLeaseBytes = 192 * 1024;
// Time without progress from which a connection may be closed for memory. A client on the slowest
// link (10 Mbit/s) makes progress every few milliseconds, and a retransmission takes 0.2 to 0.4 s.
inline constexpr Duration kMinStall = 500ms;

class MemoryLease;

// The memory that all connections of a process may hold together. Handles clients that send many
// bodies or heads and stop just short of their end: memory is leased as bytes arrive, and when the
// budget is full, those that hold most for longest without progress are closed, unless their
// request may have been passed on. Safe to use from all threads.
class MemoryBudget {
 public:
  MemoryBudget(MemoryLimits limits, MetricRegistry& metrics);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // Closes the connection with the oldest progress among those of a listener, if there is one that
  // has made none for kMinStall. Connections that wait for a further request are kept: their
  // clients have behaved, and a request may be on its way. The listener is only compared.
  bool EvictOldest(const void* listener, TimePoint now);
  void CountRefusal(MemoryRefusal refusal);

  std::size_t leased() const;
  std::size_t leased(MemoryPurpose purpose) const;
  // Sets the gauges. Nothing else does, because leases may outlive the registry.
  void Publish() const;

 private:
  friend class MemoryLease;

  bool Resize(MemoryLease& lease, MemoryPurpose purpose, std::size_t bytes, bool force,
              TimePoint now);
  bool MayBeginLarge(const MemoryLease& lease, TimePoint now);
  // Begins to close connections other than that of the lease, which need not wait for itself. Only
  // small leases close connections between two requests.
  void MakeRoom(std::size_t bytes, const MemoryLease& lease, bool is_small, TimePoint now);
  void Evict(MemoryLease& lease);
  void Unmark(MemoryLease& lease);

  const MemoryLimits limits_;
  Gauge& budget_bytes_;
  std::array<Gauge*, kMemoryPurposes> leased_bytes_;
  std::array<Counter*, kMemoryRefusals> refusals_;
  mutable std::mutex mutex_;
  std::unordered_set<MemoryLease*> leases_;
  std::array<std::size_t, kMemoryPurposes> leased_{};
  std::size_t total_leased_ = 0;
  // Held by connections that are being closed.
  std::size_t evicting_bytes_ = 0;
  TimePoint next_search_{};
};

// What one connection holds of a budget, by purpose. Returns it when destroyed. Without a budget it
// grants everything.
class MemoryLease {
 public:
  // The callback closes the connection; it is called with the budget locked, on any thread.
  MemoryLease(std::shared_ptr<MemoryBudget> budget, const void* listener, TimePoint now,
              std::function<void()> evict);
  ~MemoryLease();
  MemoryLease(const MemoryLease&) = delete;
  MemoryLease& operator=(const MemoryLease&) = delete;

  // Sets what is held for the purpose. Returns false, and keeps what was held, if the budget has no
  // room; it then begins to close connections that make no progress.
  bool TrySet(MemoryPurpose purpose, std::size_t bytes, TimePoint now);
  // Sets what is held for the purpose also beyond the budget, for what can't be refused any more.
  void Set(MemoryPurpose purpose, std::size_t bytes);
  // Returns true if a body that may not use the reserve may begin. Bodies that have begun may use
  // more than new ones, so that some of them end.
  bool MayBeginLarge(TimePoint now);
  void OnProgress(TimePoint now);
  // A connection is not closed for memory while its request may have been passed on, or while it
  // waits for this process.
  void SetEvictable(bool evictable, TimePoint now);
  // Records that a whole request was read, or that the connection waits for a further one.
  void OnRequestRead();
  void OnIdle();

 private:
  friend class MemoryBudget;

  const std::shared_ptr<MemoryBudget> budget_;
  const void* const listener_;
  const std::function<void()> evict_;
  // The following are guarded by the budget's mutex.
  std::array<std::size_t, kMemoryPurposes> held_{};
  std::size_t total_ = 0;
  TimePoint progress_at_;
  bool evictable_ = true;
  bool has_read_request_ = false;
  // Whether a request has been read, and no byte of a further one.
  bool awaits_further_request_ = false;
  // What is counted as being returned, or zero.
  std::size_t evicting_bytes_ = 0;
};

// Makes the allocator return the memory of large buffers to the system when they are freed.
void ConfigureAllocator();

}  // namespace savoryglade
