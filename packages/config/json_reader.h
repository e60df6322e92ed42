#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/time.h"

namespace savoryglade {

// Collects all validation errors of one document, so that they are reported together.
class JsonValidationErrors {
 public:
  // Adds "path: found X, expected Y".
  void Add(const std::string& path, const std::string& found, const std::string& expected);

  bool empty() const { return errors_.empty(); }
  // Returns one error with a line per entry. The error code is kInvalid.
  Error ToError() const;

 private:
  std::vector<std::string> errors_;
};

// Reads the fields of one JSON object. A missing or invalid field is reported with its path and
// replaced by its default, so that one pass finds all errors of the document.
class JsonObjectReader {
 public:
  JsonObjectReader(const boost::json::value& value, std::string path, JsonValidationErrors& errors);

  // Reports each field that is not in the list, with the most similar known name.
  void AllowOnly(std::initializer_list<std::string_view> names);

  std::string RequiredString(std::string_view name);
  std::string OptionalString(std::string_view name, std::string_view fallback);
  double OptionalNumber(std::string_view name, double fallback, double minimum, double maximum);
  std::int64_t OptionalInteger(std::string_view name, std::int64_t fallback, std::int64_t minimum,
                               std::int64_t maximum);
  bool OptionalBool(std::string_view name, bool fallback);
  // Reads a duration with a unit, e.g. "250ms", "30s", "5m", "24h".
  Duration OptionalDuration(std::string_view name, Duration fallback);
  // Returns readers for the elements of an array of objects; empty if the field is missing.
  std::vector<JsonObjectReader> OptionalObjects(std::string_view name);
  // Returns the elements of an array of strings; empty if the field is missing.
  std::vector<std::string> OptionalStrings(std::string_view name);
  // Returns a reader for an object field, or for an empty object if the field is missing.
  JsonObjectReader OptionalObject(std::string_view name);

  bool Has(std::string_view name) const;
  std::string PathOf(std::string_view name) const;
  // Reports an invalid field that the caller has found.
  void Reject(std::string_view name, const std::string& found, const std::string& expected);

 private:
  const boost::json::value* Find(std::string_view name) const;

  const boost::json::object* object_;
  std::string path_;
  JsonValidationErrors* errors_;
};

// Parses JSON. The error names the line and the column.
Result<boost::json::value> ParseJson(const std::string& text);

// Parses "250ms", "30s", "5m" or "24h".
Result<Duration> ParseDuration(std::string_view text);

// Prints a duration in its largest whole unit, e.g. "30s".
std::string PrintDuration(Duration duration);

// Prints JSON with two spaces of indentation and a final newline.
std::string PrintJson(const boost::json::value& value);

}  // namespace savoryglade
