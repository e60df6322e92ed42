#include "daemon/request_identity.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

#include "config/account_keys.h"

namespace savoryglade {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxKeyLength = 128;
// 128 bits, enough to avoid collisions.
constexpr std::size_t kDigestHexDigits = 32;
constexpr std::size_t kSeedHexDigits = 15;

std::string ComputeDigest(std::string_view text) {
  return Sha256Hex(text).substr(0, kDigestHexDigits);
}

}  // namespace

bool IsValidRequestKey(std::string_view text) {
  return !text.empty() && text.size() <= kMaxKeyLength &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < '\x7f' && c != '"' && c != '\\'; });
}

std::optional<std::int64_t> ParseResumePosition(std::string_view last_event_id,
                                                const RequestKey& key) {
  if (last_event_id.empty()) {
    return 0;
  }
  const std::string& name = key.value();
  if (last_event_id.size() <= name.size() + 1 || last_event_id.substr(0, name.size()) != name ||
      last_event_id[name.size()] != ':') {
    return std::nullopt;
  }
  const std::string_view digits = last_event_id.substr(name.size() + 1);
  std::int64_t position = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), position);
  if (error != std::errc() || end != digits.data() + digits.size() || position < 0 ||
      position == INT64_MAX) {
    return std::nullopt;
  }
  return position + 1;
}

RequestDigests ComputeDigests(const AccountId& account, const ServiceId& service,
                              const RequestKey& key, const ChatRequest& chat) {
  // The lengths ensure that different accounts, services and keys never give the same text.
  const std::string identity = fmt::format("{}:{}{}:{}{}", account.value().size(), account.value(),
                                           service.value().size(), service.value(), key.value());
  RequestDigests digests;
  digests.key = ComputeDigest(identity);
  digests.content = ComputeDigest(fmt::format("{}:{}", chat.max_tokens, chat.prompt));
  digests.generation = ComputeDigest(digests.key + digests.content);
  digests.seed = Sha256Hex(key.value()).substr(0, kSeedHexDigits);
  return digests;
}

bool HasPathPrefix(std::string_view target, std::string_view prefix) {
  const std::string_view path = target.substr(0, target.find('?'));
  if (prefix.empty() || path.substr(0, prefix.size()) != prefix) {
    return false;
  }
  return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

const MayNotRepeatRule* FindMayNotRepeatRule(const ServiceConfig& service, std::string_view method,
                                             std::string_view target) {
  for (const MayNotRepeatRule& rule : service.may_not_repeat) {
    if (rule.method == method && HasPathPrefix(target, rule.path)) {
      return &rule;
    }
  }
  return nullptr;
}

std::string FindClaimKey(const MayNotRepeatRule& rule, std::string_view idempotency_key,
                         const std::string& body) {
  if (!rule.identity_field.empty()) {
    json::error_code error;
    const json::value document = json::parse(body, error);
    const json::object* object = error ? nullptr : document.if_object();
    const json::value* field =
        object == nullptr ? nullptr : object->if_contains(rule.identity_field);
    if (field != nullptr && (field->is_string() || field->is_number())) {
      // The prefix prevents a field value from matching the idempotency key of a caller.
      return rule.identity_field + "=" +
             (field->is_string() ? std::string(field->get_string()) : json::serialize(*field));
    }
  }
  return std::string(idempotency_key);
}

}  // namespace savoryglade
