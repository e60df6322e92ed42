#include <fmt/format.h>
#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <future>

#include "metrics/registry.h"
#include "net/background_worker.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

constexpr const char* kTable = "savoryglade";

// Guards against a table that each of several hundred daemons reads in pages of 50 rows at its
// start.
TEST(StoreCallsTest, TableIsReadInAsFewPagesAsTheStoreAllows) {
  constexpr std::size_t kRows = 1'200;
  ServiceServer<StoreService> store;
  for (std::size_t i = 0; i < kRows; ++i) {
    store.service.Put(kTable, fmt::format("daemon/{:04}", i), "{}");
  }
  MetricRegistry metrics;
  BackgroundWorker background;
  WorkerPool pool(1);
  platform::StoreClient client(store.endpoint, background, metrics);
  auto read =
      boost::asio::co_spawn(pool.context(0), client.ReadRows("daemon/"), boost::asio::use_future);
  const auto rows = read.get();
  pool.Stop();
  background.Stop();
  ASSERT_TRUE(rows);
  EXPECT_EQ(rows->size(), kRows);
  EXPECT_EQ(store.service.reads(kTable), 3U);
  EXPECT_NE(metrics.RenderText().find(R"(kind="read",table="savoryglade"} 3)"), std::string::npos);
}

}  // namespace
}  // namespace savoryglade::gateway
