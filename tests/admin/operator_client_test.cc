#include "admin/operator_client.h"

#include <atomic>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "admin/commands.h"
#include "daemon/daemon.h"
#include "gtest/gtest.h"

namespace savoryglade {
namespace {

// Daemon on its embedded platform with one plain service.
class OperatorClientTest : public testing::Test {
 protected:
  OperatorClientTest() {
    const std::string file = testing::TempDir() + "/operator-client-configuration.json";
    std::ofstream(file) << R"({"services": [
      {"name": "orders", "kind": "plain", "path_prefix": "/orders"}]})";
    Settings settings;
    settings.callers_address = "127.0.0.1:0";
    settings.administration_address = "127.0.0.1:0";
    settings.configuration_file = file;
    DaemonDependencies parts;
    parts.on_drain_requested = [this] { drain_requested_ = true; };
    daemon_ = std::make_unique<Daemon>(settings, std::move(parts));
    const Result<void> started = daemon_->Start();
    EXPECT_TRUE(started) << started.error().message;
  }

  OperatorClient Client() const {
    return OperatorClient({.daemon = daemon_->administration_endpoint()});
  }

  std::atomic<bool> drain_requested_{false};
  std::unique_ptr<Daemon> daemon_;
};

// Guards against a library whose calls are accepted without effect: each returns the configuration
// then held.
TEST_F(OperatorClientTest, EachCallReturnsTheConfigurationThenHeld) {
  const OperatorClient client = Client();
  AccountConfig account;
  account.name = AccountId("drivers");
  account.key_sha256 = std::string(64, 'a');
  auto held = client.PutAccount(account);
  ASSERT_TRUE(held) << held.error().message;
  EXPECT_EQ(held->accounts.size(), 1U);
  held = client.SetShare(AccountId("drivers"), 3);
  ASSERT_TRUE(held) << held.error().message;
  EXPECT_EQ(held->FindAccount(AccountId("drivers"))->share, 3);
  UpstreamConfig upstream;
  upstream.name = UpstreamId("orders-1");
  upstream.service = ServiceId("orders");
  upstream.port = 9;
  upstream.failure_domain = FailureDomainId("verona");
  held = client.PutUpstream(upstream);
  ASSERT_TRUE(held) << held.error().message;
  held = client.SetChecksFencing(UpstreamId("orders-1"), true);
  ASSERT_TRUE(held) << held.error().message;
  EXPECT_TRUE(held->FindUpstream(UpstreamId("orders-1"))->checks_fencing);
  held = client.AddMayNotRepeatRule(ServiceId("orders"),
                                    {.method = "POST", .path = "/orders/confirm"});
  ASSERT_TRUE(held) << held.error().message;
  EXPECT_EQ(held->FindService(ServiceId("orders"))->may_not_repeat.size(), 1U);
  held = client.RemoveService(ServiceId("orders"));
  ASSERT_TRUE(held) << held.error().message;
  EXPECT_TRUE(held->services.empty());
  EXPECT_TRUE(held->upstreams.empty());
  const auto again = client.GetConfiguration();
  ASSERT_TRUE(again);
  EXPECT_EQ(*again, *held);
}

// Guards against an operator who overwrites another one's change without notice.
TEST_F(OperatorClientTest, AnOutdatedDocumentConflictsAndNamesWhatChanged) {
  const OperatorClient client = Client();
  const auto before = client.GetConfiguration();
  ASSERT_TRUE(before);
  ServiceConfig service;
  service.name = ServiceId("assistant");
  ASSERT_TRUE(client.PutService(service));
  const auto late = client.Apply(*before);
  ASSERT_FALSE(late);
  EXPECT_EQ(late.error().code, ErrorCode::kConflict);
  EXPECT_NE(late.error().message.find("assistant"), std::string::npos) << late.error().message;
}

// Guards against errors of one kind reported as another.
TEST_F(OperatorClientTest, ErrorsAreTyped) {
  const OperatorClient client = Client();
  EXPECT_EQ(client.SetShare(AccountId("nobody"), 1).error().code, ErrorCode::kNotFound);
  ServiceConfig service;
  service.name = ServiceId("no-prefix");
  service.kind = ServiceKind::kPlain;
  const auto invalid = client.PutService(service);
  EXPECT_EQ(invalid.error().code, ErrorCode::kInvalid);
  EXPECT_NE(invalid.error().message.find("services[1].path_prefix"), std::string::npos);
  const OperatorClient nobody({.daemon = {.address = "127.0.0.1", .port = 1}});
  EXPECT_EQ(nobody.GetConfiguration().error().code, ErrorCode::kUnavailable);
  EXPECT_EQ(nobody.SetShare(AccountId("a"), 1).error().code, ErrorCode::kUnavailable);
}

// Guards against scripts that can't tell a conflict from an unreachable daemon.
TEST_F(OperatorClientTest, EachKindOfErrorHasItsExitCode) {
  EXPECT_EQ(ExitCodeOf(ErrorCode::kInvalid), 2);
  EXPECT_EQ(ExitCodeOf(ErrorCode::kConflict), 3);
  EXPECT_EQ(ExitCodeOf(ErrorCode::kUnavailable), 4);
  EXPECT_EQ(ExitCodeOf(ErrorCode::kUnknownOutcome), 5);
}

// Guards against a drain request that is acknowledged and then forgotten.
TEST_F(OperatorClientTest, DrainReachesTheDaemon) {
  ASSERT_TRUE(Client().Drain());
  while (!drain_requested_) {
    std::this_thread::yield();
  }
}

// Guards against commands that print to the wrong place or hide an error.
TEST_F(OperatorClientTest, DiffAndApplyOfAFile) {
  const std::string file = testing::TempDir() + "/operator-client-wanted.json";
  std::ofstream(file) << R"({"services": [{"name": "assistant"}]})";
  std::string printed;
  const Command::Print print = [&printed](const std::string& text) { printed += text; };
  for (const Command& command : Commands()) {
    if (std::string(command.name) == "diff") {
      EXPECT_EQ(*command.run(Client(), {.operand = file}, print), kExitFailed);
      EXPECT_EQ(printed, "- services/orders\n+ services/assistant\n");
    }
  }
  for (const Command& command : Commands()) {
    if (std::string(command.name) == "apply") {
      EXPECT_EQ(*command.run(Client(), {.operand = file}, print), kExitDone);
    }
  }
  EXPECT_EQ(Client().GetConfiguration()->services.front().name, ServiceId("assistant"));
}

}  // namespace
}  // namespace savoryglade
