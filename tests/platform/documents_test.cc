#include "platform/documents.h"

#include <gtest/gtest.h>

#include <limits>
#include <string>

#include "core/random.h"
#include "net/base64.h"

namespace savoryglade::platform {
namespace {

constexpr const char* kManifest = R"({"version":7,
"routes":[{"name":"r1","host":"a.example","prefix":"/b/","route_kind":"streaming","timeout_ms":15000,
"goal_ms":1200,"priority":1,"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
"max_attempts":2,"public":false,"sticky":true,"resumable":true,"itl_target_ms":500},
{"name":"r2","host":"a.example","prefix":"/c/","route_kind":"idempotent","service":"s2"},
{"name":"r3","host":"a.example","prefix":"/d/","route_kind":"something_new","service":"s2"}],
"services":[{"name":"s1","health_path":"/healthz","max_conns":370,"engine":{"slots":64,"kv_capacity":550405},
"scaling":{"min_count":1,"max_count":10,"boot_time_s":4.0,"spot_price":0.22,"zone_prices":{"x":1.0,"y":0.8}}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1,"unit":"tokens","uncached_tokens":200,
"rate_per_s":296691,"burst":296691},{"name":"t2","api_keys":["k3"]}]})";

TEST(DocumentsTest, ParsesTheOperatorsDocument) {
  const auto document = ParseRouteDocument(kManifest);
  ASSERT_TRUE(document) << document.error().message;
  EXPECT_EQ(document->version, 7U);
  ASSERT_EQ(document->routes.size(), 3U);
  const Route& stream = document->routes[0];
  EXPECT_EQ(stream.kind, CallKind::kStream);
  EXPECT_EQ(stream.timeout, 15s);
  EXPECT_EQ(stream.latency_objective, 1200ms);
  EXPECT_EQ(stream.longest_pause, 500ms);
  EXPECT_TRUE(stream.resumable);
  ASSERT_EQ(stream.services.size(), 2U);
  EXPECT_EQ(stream.services[1], (WeightedService{.service = ServiceId("s2"), .weight = 10}));
  EXPECT_EQ(document->routes[1].kind, CallKind::kIdempotent);
  ASSERT_EQ(document->services.size(), 1U);
  ASSERT_TRUE(document->services[0].scaling);
  EXPECT_EQ(document->services[0].scaling->prices.at(FailureDomainId("y")), 0.8);
  ASSERT_EQ(document->accounts.size(), 2U);
  EXPECT_EQ(document->accounts[0].rank, 1);
  EXPECT_TRUE(document->accounts[0].counts_tokens);
  EXPECT_FALSE(document->accounts[1].rank);
  EXPECT_EQ(document->bounds.body_size, 4194304U);
}

// Guards against retrying requests of a route kind that this version does not know.
TEST(DocumentsTest, DoesNotRetryAnUnknownRouteKind) {
  const auto document = ParseRouteDocument(kManifest);
  ASSERT_TRUE(document);
  EXPECT_FALSE(document->routes[2].Repeatable());
}

TEST(DocumentsTest, ParsesAnOrderToRollOutAVersion) {
  const auto order = ParseRolloutOrder(R"({"service":"s1","to":"v7","duration_s":12.5,"new":1})");
  ASSERT_TRUE(order) << order.error().message;
  EXPECT_EQ(*order,
            (rollout::RolloutOrder{.service = ServiceId("s1"), .to = "v7", .duration = 12500ms}));
}

// Guards against orders that can't be carried out.
TEST(DocumentsTest, RejectsInvalidOrders) {
  for (const char* text :
       {"", "[]", R"({"service":"s1","to":"v7"})", R"({"service":"s1","duration_s":12})",
        R"({"service":"s1","to":7,"duration_s":12})", R"({"service":"s1","to":"","duration_s":12})",
        R"({"service":"s1","to":"v7","duration_s":0})",
        R"({"service":"s1","to":"v7","duration_s":-1})",
        R"({"service":"s1","to":"v7","duration_s":1e300})",
        R"({"service":"s1","to":"v7","duration_s":"12"})"}) {
    EXPECT_FALSE(ParseRolloutOrder(text)) << text;
  }
}

TEST(DocumentsTest, WritesTheStatusOfARollOut) {
  EXPECT_EQ(
      SerializeRolloutStatus(
          {.service = ServiceId("s1"), .state = gateway::RolloutState::kRolledBack, .to = "v7"}),
      R"({"service":"s1","state":"rolled_back","to":"v7"})");
}

TEST(DocumentsTest, ParsesAWorkersRegistration) {
  const auto record = ParseUpstream("i-1", R"({"service":"s1","address":"10.128.0.9:8080",
      "zone":"x","slots":64,"state":"draining","use_spot":true,"born":1700000000000,"seq_no":4,
      "version":"2.1-rc"})");
  ASSERT_TRUE(record) << record.error().message;
  EXPECT_EQ(*record, (UpstreamRecord{.id = UpstreamId("i-1"),
                                     .service = ServiceId("s1"),
                                     .address = "10.128.0.9:8080",
                                     .failure_domain = FailureDomainId("x"),
                                     .slots = 64,
                                     .leaving = true,
                                     .reclaimable = true,
                                     .started_ms = 1'700'000'000'000,
                                     .software_version = "2.1-rc"}));
}

// Guards against losing an upstream whose registration lacks its software version or holds another
// type there.
TEST(DocumentsTest, AnUpstreamMayHaveNoVersion) {
  for (const char* version : {"", R"(,"version":7)", R"(,"version":null)", R"(,"version":{})"}) {
    const auto record = ParseUpstream(
        "i-1",
        std::string(
            R"({"service":"s1","address":"10.0.0.1:1","zone":"x","slots":1,"state":"ready")") +
            version + "}");
    ASSERT_TRUE(record) << version;
    EXPECT_EQ(record->software_version, "") << version;
  }
}

// Guards against accepting malformed entries of other writers as upstreams.
TEST(DocumentsTest, RejectsMalformedRegistrations) {
  const char* const entries[] = {
      "",
      "\xff\xfe",
      "[]",
      "null",
      R"({"service":"s1"})",
      R"({"service":5,"address":"10.0.0.1:1","zone":"x","slots":1,"state":"ready"})",
      R"({"service":"s1","address":"10.0.0.1","zone":"x","slots":1,"state":"ready"})",
      R"({"service":"s1","address":"10.0.0.1:1","zone":"x","slots":"4","state":"ready"})",
      R"({"service":"s1","address":"10.0.0.1:1","zone":"x","slots":0,"state":"ready"})",
      R"({"service":"s1","address":"10.0.0.1:1","zone":"x","slots":1,"state":"asleep"})",
      R"({"service":"","address":"10.0.0.1:1","zone":"x","slots":1,"state":"ready"})",
      R"({"service":"s1","address":"10.0.0.1:0","zone":"x","slots":1,"state":"ready"})",
      R"({"service":"s1","address":"10.0.0.1:65536","zone":"x","slots":1,"state":"ready"})",
      R"({"service":"s1","address":"10.0.0.1:1","zone":"x","slots":1e300,"state":"ready"})",
      R"({"service":"s1","address":"10.0.0.1:1","zone":"x","slots":3e9,"state":"ready"})",
      R"({"service":"s1","address":"10.0.0.1:1","zone":"x","slots":1,"state":"ready","born":1e300})",
      R"({"service":"s1","address":"10.0.0.1:1","zone":"x","slots":1,"state":"ready","born":-1e300})",
  };
  for (const char* entry : entries) {
    EXPECT_FALSE(ParseUpstream("i-1", entry)) << entry;
  }
}

// Guards against a process that ends because one entry is nested too deeply.
TEST(DocumentsTest, RejectsDeeplyNestedEntries) {
  constexpr std::size_t kDepth = 100'000;
  for (const char open : {'[', '{'}) {
    std::string text = R"({"service":)";
    for (std::size_t i = 0; i < kDepth; ++i) {
      text += open == '[' ? "[" : R"({"a":)";
    }
    EXPECT_FALSE(ParseUpstream("i-1", text));
    EXPECT_FALSE(ParseRouteDocument(text));
  }
}

// Guards against numbers that do not fit their type, whose conversion differs between processors.
TEST(DocumentsTest, NumbersOfRoutesAreLimitedToTheirTypes) {
  const auto document = ParseRouteDocument(
      R"({"version":1e300,"routes":[{"host":"h","prefix":"/","priority":-1e300,"max_attempts":1e300,)"
      R"("timeout_ms":1e300,"split":[{"service":"s","weight":1e300}]}],)"
      R"("limits":{"max_body_bytes":-5,"max_header_bytes":1e300,"idle_timeout_ms":1e300}})");
  ASSERT_TRUE(document);
  EXPECT_EQ(document->version, std::numeric_limits<std::uint64_t>::max());
  EXPECT_EQ(document->routes[0].rank, std::numeric_limits<int>::min());
  EXPECT_EQ(document->routes[0].max_attempts, std::numeric_limits<int>::max());
  EXPECT_EQ(document->routes[0].services[0].weight, std::numeric_limits<std::int64_t>::max());
  EXPECT_EQ(document->bounds.body_size, 0U);
  // An instant this far ahead can still be represented.
  EXPECT_GT(TimePoint{} + 1h + document->routes[0].timeout, TimePoint{});
  EXPECT_GT(TimePoint{} + 1h + document->bounds.idle_timeout, TimePoint{});
}

TEST(DocumentsTest, MalformedDocumentsDoNotCrash) {
  Random random(20261204);
  const std::string manifest = kManifest;
  for (int i = 0; i < 3000; ++i) {
    std::string text = manifest;
    for (std::uint64_t change = random.UniformInt(6) + 1; change > 0; --change) {
      text[random.UniformInt(text.size())] = static_cast<char>(random.UniformInt(128));
    }
    text.resize(random.UniformInt(text.size()) + 1);
    ParseRouteDocument(text);
    ParseUpstream("i-1", text);
    DecodeBase64(text);
  }
}

TEST(DocumentsTest, Base64RoundTrips) {
  for (const std::string& text :
       {std::string(), std::string("a"), std::string("node-1"), std::string("\x00\xff\x10", 3)}) {
    const auto decoded = DecodeBase64(EncodeBase64(text));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, text);
  }
  EXPECT_EQ(EncodeBase64("node-1"), "bm9kZS0x");
  EXPECT_FALSE(DecodeBase64("bm9*"));
}

}  // namespace
}  // namespace savoryglade::platform
