#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "config/configuration.h"
#include "core/strong_id.h"
#include "daemon/chat_request.h"

namespace savoryglade {

// Returns true if a text is a valid request key: 1 to 128 visible ASCII characters without quotes
// and backslashes, so that headers, event ids and JSON can contain it unescaped.
bool IsValidRequestKey(std::string_view text);

// Returns the position after the one that a Last-Event-ID header "<key>:<position>" names; zero if
// the header is empty, nothing if it is malformed or belongs to another key.
std::optional<std::int64_t> ParseResumePosition(std::string_view last_event_id,
                                                const RequestKey& key);

// Digests that identify a model request across resends and daemons.
struct RequestDigests {
  // Covers client account, service and key.
  std::string key;
  // Covers the fields that determine the response text, but not whether it is streamed.
  std::string content;
  // Id of the generation at the engine. Covers the content too, so that an engine never attaches a
  // request to the generation of a different one.
  std::string generation;
  // Sampling seed, derived from the key so that a resent request gives the same response.
  std::string seed;
};

RequestDigests ComputeDigests(const AccountId& account, const ServiceId& service,
                              const RequestKey& key, const ChatRequest& chat);

// Returns the rule that makes a request of a plain service may-not-repeat, or nullptr. The target
// is a path with an optional query.
const MayNotRepeatRule* FindMayNotRepeatRule(const ServiceConfig& service, std::string_view method,
                                             std::string_view target);

// Returns the key of a may-not-repeat request: the value of the body field that the rule names,
// else the caller's Idempotency-Key; empty if there is neither.
std::string FindClaimKey(const MayNotRepeatRule& rule, std::string_view idempotency_key,
                         const std::string& body);

// Returns true if the path of a target starts with the prefix and the prefix ends at a segment
// boundary.
bool HasPathPrefix(std::string_view target, std::string_view prefix);

}  // namespace savoryglade
