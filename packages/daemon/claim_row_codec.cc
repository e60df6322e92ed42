#include "daemon/claim_row_codec.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <cstdint>
#include <string_view>
#include <utility>

#include "config/json_reader.h"

namespace savoryglade {
namespace {

namespace json = boost::json;

constexpr const char* kStateNames[] = {"claimed", "done", "uncertain"};
constexpr std::string_view kHexDigits = "0123456789abcdef";

Error MalformedError(const char* description) {
  return {.code = ErrorCode::kInvalid, .message = fmt::format("A {} is malformed.", description)};
}

std::string EscapePart(const std::string& part) {
  std::string escaped;
  for (const char c : part) {
    if (c == '/' || c == '%') {
      escaped += c == '/' ? "%2f" : "%25";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string ToHex(const Sha256Digest& digest) {
  std::string text;
  for (const std::uint8_t byte : digest) {
    text += kHexDigits[byte >> 4];
    text += kHexDigits[byte & 15];
  }
  return text;
}

std::optional<Sha256Digest> DigestFromHex(std::string_view text) {
  Sha256Digest digest{};
  if (text.size() != digest.size() * 2) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < digest.size(); ++i) {
    const std::size_t high = kHexDigits.find(text[2 * i]);
    const std::size_t low = kHexDigits.find(text[2 * i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return std::nullopt;
    }
    digest[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return digest;
}

json::object TokenToJson(const ClaimToken& token) {
  return {{"daemon", token.owner.daemon.value()},
          {"incarnation", token.owner.incarnation},
          {"nonce", token.owner.nonce},
          {"sequence", token.sequence}};
}

ClaimToken TokenFromJson(const json::object& object) {
  return {.owner = {.daemon = DaemonId(json::value_to<std::string>(object.at("daemon"))),
                    .incarnation = object.at("incarnation").to_number<std::uint64_t>(),
                    .nonce = object.at("nonce").to_number<std::uint64_t>()},
          .sequence = object.at("sequence").to_number<std::uint64_t>()};
}

std::optional<ClaimState> StateFromName(std::string_view name) {
  for (int i = 0; i < 3; ++i) {
    if (name == kStateNames[i]) {
      return static_cast<ClaimState>(i);
    }
  }
  return std::nullopt;
}

// Parses a JSON object with a function that throws if a field is missing or invalid.
template <typename Parser>
auto ParseOrError(const std::string& text, const char* description, const Parser& parse)
    -> Result<decltype(parse(std::declval<const json::object&>()))> {
  try {
    const json::value document = json::parse(text);
    return parse(document.as_object());
  } catch (const std::exception&) {
    return tl::make_unexpected(MalformedError(description));
  }
}

}  // namespace

std::string ClaimRowKey(const ClaimKey& key) {
  return fmt::format("claim/{}/{}/{}", EscapePart(key.account.value()),
                     EscapePart(key.service.value()), EscapePart(key.key.value()));
}

std::string FormatClaimRow(const ClaimRow& row) {
  json::object object = {{"token", TokenToJson(row.token)},
                         {"state", kStateNames[static_cast<int>(row.state)]},
                         {"body", ToHex(row.body)}};
  if (row.state == ClaimState::kDone) {
    object["answer"] = json::object{{"status", row.answer.status},
                                    {"has_body", row.answer.has_body},
                                    {"body", row.answer.body},
                                    {"digest", ToHex(row.answer.digest)}};
  }
  return json::serialize(object);
}

Result<ClaimRow> ParseClaimRow(const std::string& text) {
  return ParseOrError(text, "claim row", [](const json::object& object) {
    ClaimRow row{.token = TokenFromJson(object.at("token").as_object())};
    row.state = StateFromName(json::value_to<std::string>(object.at("state"))).value();
    row.body = DigestFromHex(json::value_to<std::string>(object.at("body"))).value();
    if (row.state == ClaimState::kDone) {
      const json::object& answer = object.at("answer").as_object();
      row.answer.status = answer.at("status").to_number<int>();
      row.answer.has_body = answer.at("has_body").as_bool();
      row.answer.body = json::value_to<std::string>(answer.at("body"));
      row.answer.digest = DigestFromHex(json::value_to<std::string>(answer.at("digest"))).value();
    }
    return row;
  });
}

std::string FormatClaimToken(const ClaimToken& token) {
  return json::serialize(TokenToJson(token));
}

Result<ClaimToken> ParseClaimToken(const std::string& text) {
  return ParseOrError(text, "claim token", TokenFromJson);
}

std::string FormatClaimKey(const ClaimKey& key) {
  return json::serialize(json::object{{"account", key.account.value()},
                                      {"service", key.service.value()},
                                      {"key", key.key.value()}});
}

Result<ClaimKey> ParseClaimKey(const std::string& text) {
  return ParseOrError(text, "claim key", [](const json::object& object) {
    return ClaimKey{.account = AccountId(json::value_to<std::string>(object.at("account"))),
                    .service = ServiceId(json::value_to<std::string>(object.at("service"))),
                    .key = RequestKey(json::value_to<std::string>(object.at("key")))};
  });
}

}  // namespace savoryglade
