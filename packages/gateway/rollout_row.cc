#include "gateway/rollout_row.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>
#include <optional>

namespace savoryglade::gateway {
namespace {

namespace json = boost::json;

std::optional<std::int64_t> IntegerIn(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  boost::system::error_code error;
  const auto number =
      value != nullptr && value->is_number() ? value->to_number<std::int64_t>(error) : -1;
  return error || number < 0 ? std::nullopt : std::optional(number);
}

std::string TextIn(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

}  // namespace

std::string RolloutRowKey(const ServiceId& service) { return "rollout/" + service.value(); }

std::string EncodeRolloutRow(const RolloutRow& row, const rollout::RolloutPlan* plan) {
  json::array abandoned;
  for (const std::uint64_t version : row.abandoned) {
    abandoned.emplace_back(fmt::format("{:016x}", version));
  }
  json::object object{{"service", row.order.service.value()},
                      {"to", row.order.to},
                      {"duration_ms", row.order.duration / 1ms},
                      {"order_version", row.order.version},
                      {"order_era", row.order.era},
                      {"ordered_ms", row.ordered_at / 1ms},
                      {"fencing", row.step.fencing},
                      {"number", row.step.number},
                      {"stage", static_cast<int>(row.step.stage)},
                      {"share", row.step.share},
                      {"upstreams", row.step.upstreams},
                      {"abandoned", std::move(abandoned)}};
  if (plan != nullptr) {
    const rollout::ResponseCounts& responses = plan->evidence().new_responses();
    object["stage_name"] = rollout::ToString(row.step.stage);
    object["reason"] = plan->reason();
    object["evidence"] = json::object{{"score", plan->evidence().score()},
                                      {"good", responses.good},
                                      {"failed", responses.failed},
                                      {"slow", responses.slow}};
  }
  return json::serialize(object);
}

Result<RolloutRow> DecodeRolloutRow(std::string_view value) {
  const auto invalid = [](const char* detail) {
    return tl::make_unexpected(Error{.code = ErrorCode::kInvalid, .message = detail});
  };
  boost::system::error_code error;
  const json::value document = json::parse({value.data(), value.size()}, error);
  const json::object* object = error ? nullptr : document.if_object();
  if (object == nullptr) {
    return invalid("The row is no object.");
  }
  const auto duration = IntegerIn(*object, "duration_ms");
  const auto version = IntegerIn(*object, "order_version");
  const auto era = IntegerIn(*object, "order_era");
  const auto ordered_at = IntegerIn(*object, "ordered_ms");
  const auto fencing = IntegerIn(*object, "fencing");
  const auto number = IntegerIn(*object, "number");
  const auto stage = IntegerIn(*object, "stage");
  const auto upstreams = IntegerIn(*object, "upstreams");
  const json::value* share = object->if_contains("share");
  const json::value* abandoned = object->if_contains("abandoned");
  if (!duration || !version || !era || !ordered_at || !fencing || !number || !stage || !upstreams ||
      share == nullptr || !share->is_number() || abandoned == nullptr || !abandoned->is_array() ||
      *stage > static_cast<int>(rollout::RolloutStage::kRolledBack)) {
    return invalid("The row lacks a valid order or step.");
  }
  RolloutRow row{.order = {.service = ServiceId(TextIn(*object, "service")),
                           .to = TextIn(*object, "to"),
                           .duration = *duration * 1ms,
                           .version = static_cast<std::uint64_t>(*version),
                           .era = static_cast<std::uint64_t>(*era)},
                 .ordered_at = *ordered_at * 1ms,
                 .abandoned = {},
                 .step = {.fencing = static_cast<std::uint64_t>(*fencing),
                          .number = static_cast<std::uint64_t>(*number),
                          .stage = static_cast<rollout::RolloutStage>(*stage),
                          .share = share->to_number<double>(),
                          .upstreams = static_cast<int>(*upstreams)}};
  for (const json::value& item : abandoned->get_array()) {
    std::uint64_t key = 0;
    const std::string_view text =
        item.is_string() ? std::string_view(item.get_string()) : std::string_view();
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
    if (fault != std::errc() || end != text.data() + text.size()) {
      return invalid("The row names an invalid version.");
    }
    row.abandoned.push_back(key);
  }
  return row;
}

}  // namespace savoryglade::gateway
