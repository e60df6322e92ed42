#pragma once

#include <boost/asio/awaitable.hpp>
#include <compare>
#include <cstddef>
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

// One submission of a may-not-repeat request.
struct ClaimSubmission {
  ClaimIdentity identity;
  // SHA-256 of the body, to detect a key that is reused for a different request.
  Sha256Digest body{};
  // The caller does not know the outcome of an earlier submission with this key.
  bool resend = false;
};

// Response of a request that ran, stored for resent requests.
struct StoredResponse {
  unsigned status = 0;
  std::string content_type;
  std::string body;

  friend auto operator<=>(const StoredResponse&, const StoredResponse&) = default;
};

// Result of a claim.
struct ClaimResult {
  enum class Kind { kGranted, kRefused, kDone };

  Kind kind = Kind::kRefused;
  // Set if granted. Identifies the claim in later calls.
  ClaimSubmissionId submission_id = 0;
  // Set if refused.
  Verdict verdict;
  // Set if an earlier submission is done.
  StoredResponse response;
};

// Decides whether a may-not-repeat request may be dispatched. Safe to use from all workers.
class ClaimGate {
 public:
  virtual ~ClaimGate() = default;

  // Claims a request before its dispatch. Waits for the result.
  virtual boost::asio::awaitable<ClaimResult> Claim(ClaimSubmission submission, TimePoint now) = 0;

  // Returns true if the request may still be dispatched, and records the dispatch. To be called
  // directly before the first byte is handed to the socket. After false, the claim is void and the
  // request must never be dispatched.
  virtual bool BeginDispatch(ClaimSubmissionId submission_id, TimePoint now) = 0;

  // Releases a claim whose request was dispatched but did not run, as the upstream has reported.
  virtual void Release(ClaimSubmissionId submission_id) = 0;

  // Releases a claim whose request was not dispatched and never will be. Returns the verdict for
  // the caller: the given one, with "may have run" in place of "not run" if an earlier submission
  // of the same request may have run.
  virtual Verdict GiveUp(ClaimSubmissionId submission_id, Verdict verdict) = 0;

  // Stores the response of a request that ran.
  virtual void Complete(ClaimSubmissionId submission_id, StoredResponse response) = 0;

  // Records that the outcome of a dispatched request is unknown and will stay unknown.
  virtual void MarkOutcomeUnknown(ClaimSubmissionId submission_id) = 0;

  // Writes the ends of claims without further delay. To be called once the daemon has no request
  // left.
  virtual void Flush() = 0;

  // Returns the number of claims that are held or whose end is not written yet.
  virtual std::size_t unwritten_claims() const = 0;
};

}  // namespace savoryglade
