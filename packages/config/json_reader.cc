#include "config/json_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <numeric>
#include <utility>

namespace savoryglade {
namespace {

namespace json = boost::json;

const json::object& EmptyObject() {
  static const json::object kEmpty;
  return kEmpty;
}

std::string Describe(const json::value& value) {
  static constexpr std::size_t kMaxShownCharacters = 40;
  std::string text = json::serialize(value);
  if (text.size() > kMaxShownCharacters) {
    text = text.substr(0, kMaxShownCharacters) + "...";
  }
  return text;
}

// Levenshtein distance between two short names.
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substitute = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitute});
    }
  }
  return row[b.size()];
}

struct Unit {
  std::string_view suffix;
  Duration length;
};

// Suffixes are compared as a whole, so that "ms" is not read as "s".
constexpr std::array<Unit, 4> kUnits = {{{"ms", 1ms}, {"h", 1h}, {"m", 1min}, {"s", 1s}}};

}  // namespace

void JsonValidationErrors::Add(const std::string& path, const std::string& found,
                               const std::string& expected) {
  errors_.push_back(fmt::format("{}: found {}, expected {}", path, found, expected));
}

Error JsonValidationErrors::ToError() const {
  return {.code = ErrorCode::kInvalid, .message = fmt::format("{}", fmt::join(errors_, "\n"))};
}

JsonObjectReader::JsonObjectReader(const json::value& value, std::string path,
                                   JsonValidationErrors& errors)
    : object_(value.if_object()), path_(std::move(path)), errors_(&errors) {
  if (object_ == nullptr) {
    errors_->Add(path_.empty() ? "document" : path_, Describe(value), "an object");
    object_ = &EmptyObject();
  }
}

void JsonObjectReader::AllowOnly(std::initializer_list<std::string_view> names) {
  for (const auto& member : *object_) {
    const std::string_view key(member.key().data(), member.key().size());
    if (std::find(names.begin(), names.end(), key) != names.end()) {
      continue;
    }
    const auto* const nearest =
        std::min_element(names.begin(), names.end(), [key](std::string_view a, std::string_view b) {
          return EditDistance(key, a) < EditDistance(key, b);
        });
    errors_->Add(PathOf(key), "an unknown field", fmt::format("\"{}\" perhaps", *nearest));
  }
}

const json::value* JsonObjectReader::Find(std::string_view name) const {
  return object_->if_contains(json::string_view(name.data(), name.size()));
}

bool JsonObjectReader::Has(std::string_view name) const { return Find(name) != nullptr; }

std::string JsonObjectReader::PathOf(std::string_view name) const {
  return path_.empty() ? std::string(name) : fmt::format("{}.{}", path_, name);
}

void JsonObjectReader::Reject(std::string_view name, const std::string& found,
                              const std::string& expected) {
  errors_->Add(PathOf(name), found, expected);
}

std::string JsonObjectReader::RequiredString(std::string_view name) {
  const json::value* value = Find(name);
  if (value == nullptr) {
    Reject(name, "nothing", "a string");
    return {};
  }
  if (!value->is_string() || value->get_string().empty()) {
    Reject(name, Describe(*value), "a string that is not empty");
    return {};
  }
  return std::string(value->get_string().c_str());
}

std::string JsonObjectReader::OptionalString(std::string_view name, std::string_view fallback) {
  return Has(name) ? RequiredString(name) : std::string(fallback);
}

double JsonObjectReader::OptionalNumber(std::string_view name, double fallback, double minimum,
                                        double maximum) {
  const json::value* value = Find(name);
  if (value == nullptr) {
    return fallback;
  }
  const double number = value->is_number() ? value->to_number<double>() : minimum - 1;
  if (number < minimum || number > maximum) {
    Reject(name, Describe(*value), fmt::format("a number from {} to {}", minimum, maximum));
    return fallback;
  }
  return number;
}

std::int64_t JsonObjectReader::OptionalInteger(std::string_view name, std::int64_t fallback,
                                               std::int64_t minimum, std::int64_t maximum) {
  const json::value* value = Find(name);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_int64() || value->get_int64() < minimum || value->get_int64() > maximum) {
    Reject(name, Describe(*value), fmt::format("an integer from {} to {}", minimum, maximum));
    return fallback;
  }
  return value->get_int64();
}

bool JsonObjectReader::OptionalBool(std::string_view name, bool fallback) {
  const json::value* value = Find(name);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_bool()) {
    Reject(name, Describe(*value), "true or false");
    return fallback;
  }
  return value->get_bool();
}

Duration JsonObjectReader::OptionalDuration(std::string_view name, Duration fallback) {
  const json::value* value = Find(name);
  if (value == nullptr) {
    return fallback;
  }
  const Result<Duration> duration =
      value->is_string()
          ? ParseDuration(std::string_view(value->get_string().data(), value->get_string().size()))
          : tl::make_unexpected(Error{});
  if (!duration) {
    Reject(name, Describe(*value), "a duration with a unit, such as \"250ms\" or \"30s\"");
    return fallback;
  }
  return *duration;
}

std::vector<JsonObjectReader> JsonObjectReader::OptionalObjects(std::string_view name) {
  std::vector<JsonObjectReader> readers;
  const json::value* value = Find(name);
  if (value == nullptr) {
    return readers;
  }
  if (!value->is_array()) {
    Reject(name, Describe(*value), "an array of objects");
    return readers;
  }
  std::size_t index = 0;
  for (const json::value& element : value->get_array()) {
    readers.emplace_back(element, fmt::format("{}[{}]", PathOf(name), index), *errors_);
    ++index;
  }
  return readers;
}

std::vector<std::string> JsonObjectReader::OptionalStrings(std::string_view name) {
  std::vector<std::string> strings;
  const json::value* value = Find(name);
  if (value == nullptr) {
    return strings;
  }
  if (!value->is_array()) {
    Reject(name, Describe(*value), "an array of strings");
    return strings;
  }
  for (const json::value& element : value->get_array()) {
    if (!element.is_string()) {
      Reject(fmt::format("{}[{}]", name, strings.size()), Describe(element), "a string");
      continue;
    }
    strings.emplace_back(element.get_string().c_str());
  }
  return strings;
}

JsonObjectReader JsonObjectReader::OptionalObject(std::string_view name) {
  static const json::value kEmpty = json::object();
  const json::value* value = Find(name);
  return JsonObjectReader(value == nullptr ? kEmpty : *value, PathOf(name), *errors_);
}

Result<json::value> ParseJson(const std::string& text) {
  json::stream_parser parser;
  json::error_code error;
  const std::size_t consumed = parser.write_some(text.data(), text.size(), error);
  if (!error) {
    parser.finish(error);
  }
  if (!error && text.find_first_not_of(" \t\r\n", consumed) != std::string::npos) {
    error = json::error::extra_data;
  }
  if (error) {
    const std::string_view before = std::string_view(text).substr(0, consumed);
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    const std::size_t newline = before.rfind('\n');
    const std::size_t column =
        newline == std::string_view::npos ? before.size() + 1 : before.size() - newline;
    return tl::make_unexpected(
        Error{.code = ErrorCode::kInvalid,
              .message = fmt::format("document: line {} column {}: {}, expected JSON", line, column,
                                     error.message())});
  }
  return parser.release();
}

Result<Duration> ParseDuration(std::string_view text) {
  std::int64_t count = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
  const std::string_view suffix(end, text.data() + text.size() - end);
  const auto* const unit = std::find_if(kUnits.begin(), kUnits.end(),
                                        [suffix](const Unit& u) { return u.suffix == suffix; });
  static constexpr std::int64_t kLargestCount = 1'000'000;
  if (error != std::errc() || unit == kUnits.end() || count < 0 || count > kLargestCount) {
    return tl::make_unexpected(
        Error{.code = ErrorCode::kInvalid,
              .message = fmt::format("\"{}\" is not a duration with a unit.", text)});
  }
  return unit->length * count;
}

std::string PrintDuration(Duration duration) {
  static constexpr std::array<Unit, 4> kLargestFirst = {
      {{"h", 1h}, {"m", 1min}, {"s", 1s}, {"ms", 1ms}}};
  for (const Unit& unit : kLargestFirst) {
    if (duration >= unit.length && duration % unit.length == Duration::zero()) {
      return fmt::format("{}{}", duration / unit.length, unit.suffix);
    }
  }
  return fmt::format("{}ms", duration / 1ms);
}

namespace {

void PrintIndented(const json::value& value, int depth, std::string& text) {
  const std::string indent(static_cast<std::size_t>(depth) * 2, ' ');
  if (value.is_object() && !value.get_object().empty()) {
    std::string separator = "{\n";
    for (const auto& member : value.get_object()) {
      text += separator + indent + "  " + json::serialize(member.key()) + ": ";
      PrintIndented(member.value(), depth + 1, text);
      separator = ",\n";
    }
    text += "\n" + indent + "}";
    return;
  }
  if (value.is_array() && !value.get_array().empty()) {
    std::string separator = "[\n";
    for (const json::value& element : value.get_array()) {
      text += separator + indent + "  ";
      PrintIndented(element, depth + 1, text);
      separator = ",\n";
    }
    text += "\n" + indent + "]";
    return;
  }
  if (value.is_double()) {
    text += fmt::format("{}", value.get_double());
    return;
  }
  text += json::serialize(value);
}

}  // namespace

std::string PrintJson(const json::value& value) {
  std::string text;
  PrintIndented(value, 0, text);
  text += '\n';
  return text;
}

}  // namespace savoryglade
