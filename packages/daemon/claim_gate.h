#pragma once

#include <boost/asio/awaitable.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "core/strong_id.h"
#include "core/time.h"
#include "core/verdict.h"

namespace savoryglade {

// Identity of a may-not-repeat request.
struct ClaimIdentity {
  AccountId account;
  ServiceId service;
  std::string key;

  friend auto operator<=>(const ClaimIdentity&, const ClaimIdentity&) = default;
};

// Response of a request that ran, kept for those who send it again.
struct StoredResponse {
  unsigned status = 0;
  std::string content_type;
  std::string body;

  friend auto operator<=>(const StoredResponse&, const StoredResponse&) = default;
};

// Number of a claim that was granted.
using ClaimToken = std::uint64_t;

// Answer to a claim.
struct ClaimAnswer {
  enum class Kind { kGranted, kRefused, kDone };

  Kind kind = Kind::kRefused;
  ClaimToken token = 0;
  // Set if refused.
  Verdict verdict;
  // Set if done.
  StoredResponse response;
};

// Decides whether a may-not-repeat request may be dispatched. Safe to use from all workers.
class ClaimGate {
 public:
  virtual ~ClaimGate() = default;

  // Claims a request before its dispatch.
  virtual boost::asio::awaitable<ClaimAnswer> Claim(ClaimIdentity identity, TimePoint now) = 0;

  // Returns true if the request may still be dispatched, and notes that it is. To be called
  // directly before the first byte is handed to the socket; after false, the claim is void and the
  // request must never be dispatched.
  virtual bool BeginDispatch(ClaimToken token, TimePoint now) = 0;

  // Gives up a claim whose request did not run, either because it was not dispatched or because the
  // upstream has said so.
  virtual void Release(ClaimToken token) = 0;

  // Keeps the response of a request that ran.
  virtual void Complete(ClaimToken token, StoredResponse response) = 0;

  // Notes that the outcome of a dispatched request is unknown and will stay so.
  virtual void Abandon(ClaimToken token) = 0;
};

// Claims inside one daemon, lost when it stops.
class MemoryClaimGate : public ClaimGate {
 public:
  boost::asio::awaitable<ClaimAnswer> Claim(ClaimIdentity identity, TimePoint now) override;
  bool BeginDispatch(ClaimToken token, TimePoint now) override;
  void Release(ClaimToken token) override;
  void Complete(ClaimToken token, StoredResponse response) override;
  void Abandon(ClaimToken token) override;

 private:
  struct Entry {
    ClaimToken token = 0;
    TimePoint dispatch_deadline;
    bool done = false;
    StoredResponse response;
  };

  std::mutex mutex_;
  ClaimToken next_token_ = 1;
  std::map<ClaimIdentity, Entry> entries_;
  // Claims that are neither done nor abandoned.
  std::map<ClaimToken, ClaimIdentity> open_;
};

}  // namespace savoryglade
