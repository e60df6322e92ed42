#include "config/settings.h"

#include <fstream>
#include <string>
#include <vector>

#include "config/json_reader.h"
#include "gtest/gtest.h"

namespace savoryglade {
namespace {

struct InvalidSettings {
  const char* text;
  // Start of the expected error message.
  const char* expected_error;
};

// Guards against accepting settings with an invalid field, and against error messages that do not
// name the field.
TEST(SettingsTest, AnInvalidFieldIsReportedWithWhatWasFoundAndExpected) {
  const std::vector<InvalidSettings> table = {
      {R"([])", "document: found [], expected an object"},
      {R"({"daemon": 5})", "daemon: found 5, expected a string"},
      {R"({"deamon": "a"})", "deamon: found an unknown field, expected \"daemon\""},
      {R"({"worker_threads": 0})", "worker_threads: found 0, expected an integer from 1 to 64"},
      {R"({"worker_threads": "2"})", "worker_threads: found \"2\", expected an integer"},
      {R"({"platform": "embedded"})", "platform: found \"embedded\", expected an object"},
      {R"({"platform": {"kind": "http"}})", "platform.address: found nothing, expected a string"},
      {R"({"platform": {"kind": "disk"}})", "platform.kind: found \"disk\""},
      {R"({"platform": {"adress": "1"}})", "platform.adress: found an unknown field"},
      {R"({"log_level": "loud"})", "log_level: found \"loud\""},
      {R"({"daemon": "a",})", "document: line 1 column"},
      {"{\"daemon\": \"a\"} x", "document: line 1 column"},
      {"", "document: line 1 column 1"},
  };
  for (const InvalidSettings& invalid : table) {
    const auto parsed = ParseSettings(invalid.text);
    ASSERT_FALSE(parsed) << invalid.text;
    EXPECT_EQ(parsed.error().message.rfind(invalid.expected_error, 0), 0U)
        << invalid.text << "\n"
        << parsed.error().message;
  }
}

// Guards against a parser that stops at the first error.
TEST(SettingsTest, AllErrorsAreReportedAtOnce) {
  const auto parsed = ParseSettings(R"({"daemon": 1, "log_level": "x", "worker_threads": 99})");
  ASSERT_FALSE(parsed);
  for (const char* path : {"daemon:", "log_level:", "worker_threads:"}) {
    EXPECT_NE(parsed.error().message.find(path), std::string::npos) << path;
  }
}

// Guards against durations without a unit, which could be read as seconds or as milliseconds.
TEST(SettingsTest, DurationsWithoutAUnitAreRejected) {
  for (const char* text : {"5", "5 s", "s", "-5s", "5sec", "99999999999999999999s", ""}) {
    EXPECT_FALSE(ParseDuration(text)) << text;
  }
  EXPECT_EQ(*ParseDuration("250ms"), 250ms);
  EXPECT_EQ(PrintDuration(90s), "90s");
  EXPECT_EQ(PrintDuration(2min), "2m");
}

}  // namespace
}  // namespace savoryglade
