#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

// Rows that are written after a copy of the store, so that its versions are given out again.
constexpr int kOtherRows = 20;

// The store returns from a copy that lacks the newest writes. The operators and the upstreams write
// theirs again, under versions that other rows had before.
class StoreReturnTest : public GatewayFixture {
 protected:
  StoreReturnTest() {
    PutRoutes(1);
    WaitUntilReady();
  }

  // Writes rows that move the store's versions on.
  void PutOtherRows() {
    for (const auto& [key, value] : OtherRows()) {
      store_.service.Put("op", key, value);
    }
  }

  // Returns a further route, by its name.
  static std::string Route(const std::string& name) {
    return fmt::format(R"(,{{"name":"{0}","host":"h","prefix":"/{0}/","route_kind":"idempotent",)"
                       R"("timeout_ms":3000,"goal_ms":1000,"service":"s","max_attempts":2}})",
                       name);
  }

  static std::map<std::string, std::string> OtherRows() {
    std::map<std::string, std::string> rows;
    for (int i = 0; i < kOtherRows; ++i) {
      rows.emplace(fmt::format("other-{}", i), "x");
    }
    return rows;
  }
};

// Guards against routes that are never read because the daemon watches the store from a version
// that has been given out again.
TEST_F(StoreReturnTest, RoutesThatAreWrittenAgainAreRead) {
  const auto copy = store_.service.MakeCopy();
  PutOtherRows();
  // Makes the gateway's position include the other rows.
  PutRoutes(2, Route("two"));
  while (SendRequest("GET", "/two/1", "a1").status != 200) {
  }
  std::map<std::string, std::string> writes = OtherRows();
  writes.emplace("config", RouteDocumentText(3, Route("three")));
  store_.service.ReturnTo(*copy, "op", writes);
  while (SendRequest("GET", "/three/1", "a2").status != 200) {
  }
}

// Guards against a notice that is ignored because its version is below that of an earlier one.
TEST_F(StoreReturnTest, NoticeThatIsWrittenAgainIsHeeded) {
  const auto copy = store_.service.MakeCopy();
  PutOtherRows();
  RegisterWorker(0, "ready");
  // The gateway has read the registration once it answers with routes that were written later.
  PutRoutes(2, Route("two"));
  while (SendRequest("GET", "/two/1", "a1").status != 200) {
  }
  store_.service.ReturnTo(*copy, "servers",
                          {{WorkerName(0), Registration(workers_[0]->endpoint, "draining")}});
  int consecutive = 0;
  for (int i = 0; consecutive < 20; ++i) {
    const std::string attempt = fmt::format("b{}", i);
    ASSERT_EQ(SendRequest("GET", "/reads/1", attempt).status, 200U);
    consecutive = workers_[1]->service.RunCount(attempt) == 1 ? consecutive + 1 : 0;
  }
}

}  // namespace
}  // namespace savoryglade::gateway
