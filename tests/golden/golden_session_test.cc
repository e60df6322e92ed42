#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "tests/golden/session_environment.h"
#include "tests/golden/session_script.h"

namespace savoryglade {
namespace {

namespace fs = std::filesystem;

std::vector<std::string> SessionFiles() {
  std::vector<std::string> files;
  for (const auto& entry :
       fs::directory_iterator(fs::path(SAVORYGLADE_SOURCE_DIR) / "tests/golden/sessions")) {
    files.push_back(entry.path().string());
  }
  std::sort(files.begin(), files.end());
  return files;
}

std::string ReadText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

class GoldenSessionTest : public testing::TestWithParam<std::string> {};

// Guards against unintended changes to the responses that callers and operators receive. With
// SAVORYGLADE_REWRITE_GOLDEN=1, the golden files are overwritten with the actual output instead.
TEST_P(GoldenSessionTest, OutputMatchesGoldenFile) {
  const std::string expected = ReadText(GetParam());
  SessionEnvironment environment;
  const std::string actual = RunSession(
      expected, [&environment](const SessionStep& step) { return environment.Run(step); });
  if (std::getenv("SAVORYGLADE_REWRITE_GOLDEN") != nullptr) {
    std::ofstream(GetParam(), std::ios::binary) << actual;
    return;
  }
  EXPECT_EQ(actual, expected);
}

INSTANTIATE_TEST_SUITE_P(Sessions, GoldenSessionTest, testing::ValuesIn(SessionFiles()),
                         [](const testing::TestParamInfo<std::string>& session) {
                           std::string name = fs::path(session.param).stem().string();
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

}  // namespace
}  // namespace savoryglade
