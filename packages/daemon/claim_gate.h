#pragma once

#include <boost/asio/awaitable.hpp>
#include <compare>
#include <cstdint>
#include <string>

#include "core/strong_id.h"
#include "core/time.h"
#include "core/verdict.h"
#include "recovery/claim_types.h"

namespace savoryglade {

// Identity of a may-not-repeat request.
struct ClaimIdentity {
  AccountId account;
  ServiceId service;
  std::string key;

  friend auto operator<=>(const ClaimIdentity&, const ClaimIdentity&) = default;
};

// One sending of a may-not-repeat request.
struct ClaimSubmission {
  ClaimIdentity identity;
  // SHA-256 of the body, so that a key that is used for another request is noticed.
  Sha256Digest body{};
  // The caller does not know the outcome of an earlier sending with this key.
  bool resend = false;
};

// Response of a request that ran, kept for those who send it again.
struct StoredResponse {
  unsigned status = 0;
  std::string content_type;
  std::string body;

  friend auto operator<=>(const StoredResponse&, const StoredResponse&) = default;
};

// Answer to a claim.
struct ClaimResult {
  enum class Kind { kGranted, kRefused, kDone };

  Kind kind = Kind::kRefused;
  ClaimSubmissionId token = 0;
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
  virtual boost::asio::awaitable<ClaimResult> Claim(ClaimSubmission sending, TimePoint now) = 0;

  // Returns true if the request may still be dispatched, and notes that it is. To be called
  // directly before the first byte is handed to the socket; after false, the claim is void and the
  // request must never be dispatched.
  virtual bool BeginDispatch(ClaimSubmissionId token, TimePoint now) = 0;

  // Gives up a claim whose request was dispatched and, as the upstream has said, did not run.
  virtual void Release(ClaimSubmissionId token) = 0;

  // Gives up a claim that was not dispatched and never will be. Returns the verdict for the caller:
  // the given one, with "may have run" in place of "not run" if an earlier sending of the same
  // request may have run.
  virtual Verdict GiveUp(ClaimSubmissionId token, Verdict verdict) = 0;

  // Keeps the response of a request that ran.
  virtual void Complete(ClaimSubmissionId token, StoredResponse response) = 0;

  // Notes that the outcome of a dispatched request is unknown and will stay so.
  virtual void MarkOutcomeUnknown(ClaimSubmissionId token) = 0;
};

}  // namespace savoryglade
