#include "gateway/stream_version_store.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "core/prefix_hash.h"
#include "emulator/stream_version_log.h"
#include "emulator/worker_service.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

constexpr const char* kDaemonTable = "savoryglade";
constexpr Duration kLongAgo = 60s;
const ServiceId kService("s");

// Row of a daemon that has known these versions for longer than a stream may live.
StoredStreamVersions RowOf(Duration written_at, const std::vector<std::string>& versions) {
  StoredStreamVersions row{.written_at = written_at, .snapshot = {.known_age = kLongAgo}};
  for (const std::string& version : versions) {
    row.snapshot.versions.push_back({.service = kService, .version = Fnv1aHash(version)});
  }
  return row;
}

TEST(StreamVersionRowTest, RowIsReadAsItWasWritten) {
  StoredStreamVersions row = RowOf(1000s, {"v1", "v2"});
  row.snapshot.versions[1].absent_age = 4s;
  row.snapshot.versions[1].present_age = 2s;
  const auto decoded = DecodeStreamVersionRow(EncodeStreamVersionRow(row));
  ASSERT_TRUE(decoded);
  row.snapshot.versions[1].absent_age = 4001ms;
  EXPECT_EQ(*decoded, row);
}

TEST(StreamVersionRowTest, MalformedRowIsInvalid) {
  for (
      const char* text :
      {"", "[]", "{}", R"({"written_ms":1})", R"({"written_ms":-1,"versions":[]})",
       R"({"written_ms":1,"versions":[{}]})",
       R"({"written_ms":1,"versions":[{"service":"s","version":"xyz","present_age_ms":0}]})",
       R"({"written_ms":1,"versions":[{"service":"s","version":"1","present_age_ms":-1}]})",
       R"({"written_ms":1,"versions":[{"service":"s","version":"1","present_age_ms":0,"absent_age_ms":"1"}]})"}) {
    EXPECT_FALSE(DecodeStreamVersionRow(text)) << text;
  }
}

// Guards against versions that seem to serve still because their ages stand still in the store.
TEST(StreamVersionRowTest, AgesGrowWithTheTimeSinceTheWrite) {
  StoredStreamVersions row = RowOf(1000s, {"v1"});
  row.snapshot.versions[0].absent_age = 7s;
  const auto snapshot = StreamVersionsAt(row, 1004s);
  ASSERT_TRUE(snapshot);
  EXPECT_EQ(snapshot->known_age, kLongAgo + 4s);
  EXPECT_EQ(snapshot->versions[0].present_age, 4s);
  EXPECT_EQ(snapshot->versions[0].absent_age, 11s);
}

// Guards against inferring a version from a row that daemons of an earlier build left to age, or
// that was written by a clock that runs ahead.
TEST(StreamVersionRowTest, OldRowAndOneFromTheFutureSayNothing) {
  const StoredStreamVersions row = RowOf(1000s, {"v1"});
  EXPECT_TRUE(StreamVersionsAt(row, 1010s));
  EXPECT_FALSE(StreamVersionsAt(row, 1011s));
  EXPECT_TRUE(StreamVersionsAt(row, 999500ms));
  EXPECT_FALSE(StreamVersionsAt(row, 998s));
}

// Plays the start of a daemon whose peers have all ended.
class StreamVersionStoreTest : public GatewayFixture {
 protected:
  StreamVersionStoreTest() : GatewayFixture(0) {}

  static Duration UnixTime() { return std::chrono::system_clock::now().time_since_epoch(); }

  void StartWorkers(const std::vector<std::string>& versions) {
    for (const std::string& version : versions) {
      const int i = static_cast<int>(workers_.size());
      workers_.push_back(std::make_unique<ServiceServer<WorkerService>>(WorkerName(i)));
      WorkerService& worker = workers_.back()->service;
      worker.SetStreamVersionLog(log_);
      worker.SetVersion(version);
      store_.service.Put(
          "servers", WorkerName(i),
          fmt::format(
              R"({{"service":"s","address":"{}","zone":"verona","slots":4,"state":"ready","version":"{}"}})",
              ToString(workers_.back()->endpoint), version));
    }
    PutRoutes(1);
  }

  void PutRow(const StoredStreamVersions& row) {
    store_.service.Put(kDaemonTable, StreamVersionStore::kRowKey, EncodeStreamVersionRow(row));
  }

  // Starts a daemon that has read the row, and resumes a stream of one that has ended.
  Response ResumeAfterAStart() {
    StartGateway();
    WaitUntilReady();
    while (Metrics().find(kStoredVersionsMetric) == std::string::npos) {
    }
    std::string request = FormatRequest("POST", "/stream/1", "resumption", kApiKey, "prompt");
    request.insert(request.find("\r\n") + 2, "Last-Event-Id: 3\r\nResumes: begun-elsewhere\r\n");
    return SendText(gateway_->callers_endpoint(), request);
  }

  const std::shared_ptr<StreamVersionLog> log_ = std::make_shared<StreamVersionLog>();
};

// Guards against losing all streams that callers resume after all daemons have ended at once.
TEST_F(StreamVersionStoreTest, StreamGoesOnAfterTheEndOfAllDaemonsIfOneVersionHasServed) {
  StartWorkers({"v1"});
  PutRow(RowOf(UnixTime(), {"v1"}));
  const Response response = ResumeAfterAStart();
  EXPECT_EQ(response.status, 200U);
  EXPECT_TRUE(response.complete);
  EXPECT_EQ(log_->resumptions(), 1);
}

// Guards against a stream that goes on at another version after all daemons have ended.
TEST_F(StreamVersionStoreTest, StreamDoesNotGoOnIfTwoVersionsHaveServed) {
  StartWorkers({"v1"});
  PutRow(RowOf(UnixTime(), {"v0", "v1"}));
  EXPECT_EQ(ResumeAfterAStart().reason, "stream_version_unknown");
}

// Guards against taking a version that came while no daemon ran for the one that has served.
TEST_F(StreamVersionStoreTest, StreamDoesNotGoOnAtAVersionThatCameMeanwhile) {
  StartWorkers({"v2"});
  PutRow(RowOf(UnixTime(), {"v1"}));
  EXPECT_EQ(ResumeAfterAStart().reason, "stream_version_unknown");
}

// Guards against inferring a version from a row that nobody has confirmed for long.
TEST_F(StreamVersionStoreTest, StreamDoesNotGoOnByAnOldRow) {
  StartWorkers({"v1"});
  PutRow(RowOf(UnixTime() - kLongAgo, {"v1"}));
  EXPECT_EQ(ResumeAfterAStart().reason, "stream_version_unknown");
}

// Guards against a row that does not list a version that has begun to serve.
TEST_F(StreamVersionStoreTest, RowListsTheVersionsThatServe) {
  StartWorkers({"v1", "v2"});
  StartGateway();
  WaitUntilReady();
  std::vector<KnownVersionAge> versions;
  while (versions.size() != 2) {
    const std::string row = store_.service.Rows(kDaemonTable)[StreamVersionStore::kRowKey];
    if (const auto stored = DecodeStreamVersionRow(row); stored) {
      versions = stored->snapshot.versions;
    }
  }
  for (const KnownVersionAge& age : versions) {
    EXPECT_EQ(age.service, kService);
    EXPECT_TRUE(age.version == Fnv1aHash("v1") || age.version == Fnv1aHash("v2"));
  }
}

}  // namespace
}  // namespace savoryglade::gateway
