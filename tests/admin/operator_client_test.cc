#include "admin/operator_client.h"

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
    daemon_ = std::make_unique<Daemon>(settings);
    const Result<void> started = daemon_->Start();
    EXPECT_TRUE(started) << started.error().message;
  }

  OperatorClient Client() const {
    return OperatorClient({.daemon = daemon_->administration_endpoint()});
  }

  std::unique_ptr<Daemon> daemon_;
};

// Guards against calls that are accepted without effect: each returns the configuration then in
// force.
TEST_F(OperatorClientTest, EachCallReturnsTheConfigurationInForce) {
  const OperatorClient client = Client();
  AccountConfig account;
  account.name = AccountId("drivers");
  account.key_sha256 = std::string(64, 'a');
  auto configuration = client.PutAccount(account);
  ASSERT_TRUE(configuration) << configuration.error().message;
  EXPECT_EQ(configuration->accounts.size(), 1U);
  configuration = client.SetShare(AccountId("drivers"), 3);
  ASSERT_TRUE(configuration) << configuration.error().message;
  EXPECT_EQ(configuration->FindAccount(AccountId("drivers"))->share, 3);
  UpstreamConfig upstream;
  upstream.name = UpstreamId("orders-1");
  upstream.service = ServiceId("orders");
  upstream.port = 9;
  upstream.failure_domain = FailureDomainId("verona");
  configuration = client.PutUpstream(upstream);
  ASSERT_TRUE(configuration) << configuration.error().message;
  configuration = client.SetChecksFencing(UpstreamId("orders-1"), true);
  ASSERT_TRUE(configuration) << configuration.error().message;
  EXPECT_TRUE(configuration->FindUpstream(UpstreamId("orders-1"))->checks_fencing);
  configuration = client.AddMayNotRepeatRule(ServiceId("orders"),
                                             {.method = "POST", .path = "/orders/confirm"});
  ASSERT_TRUE(configuration) << configuration.error().message;
  EXPECT_EQ(configuration->FindService(ServiceId("orders"))->may_not_repeat.size(), 1U);
  configuration = client.RemoveService(ServiceId("orders"));
  ASSERT_TRUE(configuration) << configuration.error().message;
  EXPECT_TRUE(configuration->services.empty());
  EXPECT_TRUE(configuration->upstreams.empty());
  const auto again = client.GetConfiguration();
  ASSERT_TRUE(again);
  EXPECT_EQ(*again, *configuration);
}

// Guards against silently overwriting another operator's change.
TEST_F(OperatorClientTest, OutdatedDocumentConflictsAndNamesWhatChanged) {
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

// Guards against errors that are reported with the wrong code.
TEST_F(OperatorClientTest, FailuresReturnTheirErrorCode) {
  const OperatorClient client = Client();
  EXPECT_EQ(client.SetShare(AccountId("nobody"), 1).error().code, ErrorCode::kNotFound);
  ServiceConfig service;
  service.name = ServiceId("no-prefix");
  service.kind = ServiceKind::kPlain;
  const auto invalid = client.PutService(service);
  EXPECT_EQ(invalid.error().code, ErrorCode::kInvalid);
  EXPECT_NE(invalid.error().message.find("services[1].path_prefix"), std::string::npos);
  const OperatorClient unreachable({.daemon = {.address = "127.0.0.1", .port = 1}});
  EXPECT_EQ(unreachable.GetConfiguration().error().code, ErrorCode::kUnavailable);
  EXPECT_EQ(unreachable.SetShare(AccountId("a"), 1).error().code, ErrorCode::kUnavailable);
}

// Guards against scripts that can't distinguish a conflict from an unreachable daemon.
TEST_F(OperatorClientTest, EachErrorCodeHasItsExitCode) {
  EXPECT_EQ(ExitCodeOf(ErrorCode::kInvalid), 2);
  EXPECT_EQ(ExitCodeOf(ErrorCode::kConflict), 3);
  EXPECT_EQ(ExitCodeOf(ErrorCode::kUnavailable), 4);
  EXPECT_EQ(ExitCodeOf(ErrorCode::kUnknownOutcome), 5);
}

// Guards against a drain request that is acknowledged but not carried out.
TEST_F(OperatorClientTest, DrainReachesTheDaemon) {
  ASSERT_TRUE(Client().Drain());
  while (!daemon_->drained()) {
    std::this_thread::yield();
  }
}

// Guards against commands that bypass the print function or hide an error.
TEST_F(OperatorClientTest, DiffPrintsTheDifferenceAndApplyReplacesTheConfiguration) {
  const std::string file = testing::TempDir() + "/operator-client-wanted.json";
  std::ofstream(file) << R"({"services": [{"name": "assistant"}]})";
  std::string printed;
  const Command::Print print = [&printed](const std::string& text) { printed += text; };
  for (const Command& command : Commands()) {
    if (std::string(command.name) == "diff") {
      EXPECT_EQ(*command.run(Client(), {.operand = file}, print), kExitFailure);
      EXPECT_EQ(printed, "- services/orders\n+ services/assistant\n");
    }
  }
  for (const Command& command : Commands()) {
    if (std::string(command.name) == "apply") {
      EXPECT_EQ(*command.run(Client(), {.operand = file}, print), kExitSuccess);
    }
  }
  EXPECT_EQ(Client().GetConfiguration()->services.front().name, ServiceId("assistant"));
}

}  // namespace
}  // namespace savoryglade
