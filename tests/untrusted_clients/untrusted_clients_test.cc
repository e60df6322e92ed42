#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <memory>
#include <ostream>
#include <string>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

#include "tests/daemon/daemon_fixture.h"
#include "tests/gateway/gateway_fixture.h"
#include "tests/untrusted_clients/crowd.h"
#include "tests/untrusted_clients/server_process.h"

namespace savoryglade {
namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;
// Memory of the machine in the settings, which a process must never exceed.
constexpr std::size_t kMemoryMegabytes = 120;
constexpr std::size_t kMaxBodyBytes = 4 * kMegabyte;
// Descriptors in the settings, and the callers' connections that they allow.
constexpr int kDescriptors = 1500;
constexpr std::uint16_t kCallersPort = 8107;
constexpr std::uint16_t kOperatorsPort = 8110;
constexpr std::uint16_t kMetricsPort = 9464;
constexpr std::uint16_t kPeersPort = 7600;

// Sizes of the crowds: their requests add up to about twice the memory of the machine.
constexpr int kLargeSenders = 60;
constexpr int kSmallSenders = 600;

// A daemon as a process, with upstreams in this process.
class Target {
 public:
  virtual ~Target() = default;
  // Returns the status of an ordinary request, or zero if its connection was closed.
  virtual unsigned SendOrdinary() = 0;
  // Returns the head of a request up to its length, whose path has a route.
  virtual std::string Head(const std::string& path, const std::string& key) const = 0;

  Endpoint At(std::uint16_t port) const { return {.address = address_, .port = port}; }
  const std::string& path() const { return path_; }
  const std::string& key() const { return key_; }
  ServerProcess& process() { return *process_; }

  // Sends the ordinary request until it is answered, for a bounded number of times.
  bool IsOrdinaryServed() {
    constexpr int kTries = 50;
    for (int i = 0; i < kTries; ++i) {
      if (SendOrdinary() == 200) {
        return true;
      }
      std::this_thread::sleep_for(100ms);
    }
    return false;
  }

 protected:
  Target(std::string path, std::string key) : path_(std::move(path)), key_(std::move(key)) {}

  static std::string WriteFile(const std::string& name, const std::string& text) {
    std::string path =
        fmt::format("{}savoryglade_untrusted_{}_{}", testing::TempDir(), ::getpid(), name);
    std::ofstream(path) << text;
    return path;
  }

  std::string address_ = OwnLoopbackAddress();
  std::string path_;
  std::string key_;
  std::unique_ptr<ServerProcess> process_;
};

unsigned StatusOf(const Endpoint& endpoint, const std::string& text) {
  try {
    CallerConnection connection(endpoint);
    connection.Send(text);
    return connection.ReadAll() ? connection.status() : 0;
  } catch (const std::exception&) {
    // The daemon does not listen yet, or has closed the connection.
    return 0;
  }
}

// savorygladed --platform with an emulated store and worker.
class PlatformTarget : public Target {
 public:
  PlatformTarget() : Target("/reads/x", gateway::kApiKey) {
    store_.service.Put("servers", "worker-0",
                       fmt::format(R"({{"service":"s","address":"{}","zone":"verona","slots":64,)"
                                   R"("state":"ready"}})",
                                   ToString(worker_.endpoint)));
    store_.service.Put("op", "config",
                       fmt::format(R"({{"version":1,"routes":[
{{"name":"reads","host":"h","prefix":"/reads/","route_kind":"idempotent","timeout_ms":3000,"goal_ms":1000,"service":"s","max_attempts":2}}],
"services":[{{"name":"s","engine":{{"slots":64}}}}],"tenants":[{{"name":"drivers","api_keys":["{}"]}}]}})",
                                   key_));
    const std::string settings =
        WriteFile("platform.settings",
                  fmt::format("node_name=daemon-1\nrole=daemon\nip={0}\nzone=verona\n"
                              "listen.front_addr={0}:{1}\nlisten.ready_addr={0}:{2}\n"
                              "internal_ports={3}\nlimits.memory_mb={4}\nlimits.max_fds={5}\n"
                              "platform.address={6}\n",
                              address_, kCallersPort, kOperatorsPort, kPeersPort, kMemoryMegabytes,
                              kDescriptors, ToString(store_.endpoint)));
    process_ = std::make_unique<ServerProcess>(std::vector<std::string>{"--platform"},
                                               "SAVORYGLADE_NODE_FILE=" + settings,
                                               WriteFile("platform.log", ""));
  }

  std::string Head(const std::string& path, const std::string& key) const override {
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-{}\r\nDeadline-Ms: 2500\r\n"
        "Authorization: Bearer {}\r\n",
        path, next_attempt_++, key);
  }
  unsigned SendOrdinary() override {
    return StatusOf(At(kCallersPort),
                    Head(path_, key_) + "Content-Length: 5\r\nConnection: close\r\n\r\nhello");
  }

 private:
  gateway::ServiceServer<StoreService> store_;
  gateway::ServiceServer<WorkerService> worker_{"worker-0"};
  mutable int next_attempt_ = 1;
};

// savorygladed with a plain service.
class ProductTarget : public Target {
 public:
  ProductTarget() : Target("/orders/x", "key") {
    const std::string configuration =
        WriteFile("configuration.json", MakeConfigurationJson({.plain = {service_.endpoint}}));
    const std::string settings =
        WriteFile("product.json", fmt::format(R"({{"daemon":"daemon-1","callers_address":"{0}:{1}",
            "administration_address":"{0}:{2}","peers_address":"{0}:{3}",
            "memory_mb":{6},"caller_limits":{{"connections":{4}}},
            "platform":{{"kind":"embedded","configuration_file":"{5}"}}}})",
                                              address_, kCallersPort, kOperatorsPort, kPeersPort,
                                              kDescriptors / 2, configuration, kMemoryMegabytes));
    process_ = std::make_unique<ServerProcess>(std::vector<std::string>{"--settings=" + settings},
                                               "SAVORYGLADE_TEST=1", WriteFile("product.log", ""));
  }

  std::string Head(const std::string& path, const std::string& key) const override {
    return fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {}\r\n", path, key);
  }
  unsigned SendOrdinary() override {
    return StatusOf(At(kCallersPort),
                    Head(path_, key_) + "Content-Length: 5\r\nConnection: close\r\n\r\nhello");
  }

 private:
  PlainServiceServer service_;
};

std::unique_ptr<Target> MakeTarget(const std::string& daemon) {
  if (daemon == "Platform") {
    return std::make_unique<PlatformTarget>();
  }
  return std::make_unique<ProductTarget>();
}

// What the crowd does.
struct Load {
  const char* name;
  std::uint16_t port;
  int clients;
  CrowdText (*text)(const Target&);
  // Whether half of the clients leave after they have sent.
  bool half_leaves = false;

  friend void PrintTo(const Load& load, std::ostream* out) { *out << load.name; }
};

std::string BodyHead(const Target& target, const std::string& path, const std::string& key,
                     std::size_t length) {
  return target.Head(path, key) + fmt::format("Content-Length: {}\r\n\r\n", length);
}

CrowdText StalledBody(const std::string& head, std::size_t piece = 256 * 1024) {
  return {.head = head,
          .filler = std::string(64 * 1024, 'x'),
          .filler_bytes = kMaxBodyBytes - 1,
          .piece = piece};
}

CrowdText OnRoute(const Target& target) {
  return StalledBody(BodyHead(target, target.path(), target.key(), kMaxBodyBytes));
}

CrowdText InSmallPieces(const Target& target) {
  return StalledBody(BodyHead(target, target.path(), target.key(), kMaxBodyBytes), 1'000);
}

CrowdText WithoutRoute(const Target& target) {
  return StalledBody(BodyHead(target, "/nowhere", target.key(), kMaxBodyBytes));
}

CrowdText UnknownKey(const Target& target) {
  return StalledBody(BodyHead(target, target.path(), "nobody", kMaxBodyBytes));
}

CrowdText InChunks(const Target& target) {
  return {.head = target.Head(target.path(), target.key()) + "Transfer-Encoding: chunked\r\n\r\n",
          .filler = "10000\r\n" + std::string(64 * 1024, 'x') + "\r\n",
          .filler_bytes = kMaxBodyBytes - kMegabyte / 8};
}

CrowdText InChunksOfOneByte(const Target& target) {
  return {.head = target.Head(target.path(), target.key()) + "Transfer-Encoding: chunked\r\n\r\n",
          .filler = "1\r\nx\r\n",
          .filler_bytes = 6 * 32 * 1024,
          .piece = 6 * 1024};
}

CrowdText Pipelined(const Target& target) {
  return {.head = BodyHead(target, target.path(), target.key(), kMaxBodyBytes),
          .filler = std::string(64 * 1024, 'x'),
          .filler_bytes = kMaxBodyBytes,
          .repeats = 6};
}

CrowdText PipelinedWithoutRoute(const Target& target) {
  return {.head = BodyHead(target, "/nowhere", target.key(), kMaxBodyBytes),
          .filler = std::string(64 * 1024, 'x'),
          .filler_bytes = kMaxBodyBytes,
          .repeats = 6};
}

std::string ManyFields() {
  std::string fields;
  constexpr int kFields = 3'000;
  for (int i = 0; i < kFields; ++i) {
    fields += "a:\r\n";
  }
  return fields;
}

CrowdText ManyFieldsUnfinished(const Target& target) {
  return {.head = target.Head(target.path(), target.key()) + ManyFields()};
}

CrowdText ManyFieldsAwaitingBody(const Target& target) {
  return {.head = target.Head(target.path(), target.key()) + ManyFields() +
                  "Content-Length: 100\r\n\r\n"};
}

CrowdText FarTooLarge(const Target& target) {
  CrowdText text = StalledBody(BodyHead(target, target.path(), target.key(), 64 * kMegabyte));
  text.filler_bytes = 2 * kMaxBodyBytes;
  return text;
}

CrowdText FarTooLargeInChunks(const Target& target) {
  CrowdText text = InChunks(target);
  text.filler_bytes = 2 * kMaxBodyBytes;
  return text;
}

CrowdText StalledHead(const Target& target) { return {.head = target.Head("/x", "nobody")}; }

CrowdText StalledSmallBody(const Target& target) {
  CrowdText text = StalledBody(BodyHead(target, target.path(), target.key(), 300'000));
  text.filler_bytes = 299'999;
  return text;
}

CrowdText SmallRequestsUnread(const Target& target) {
  return {.head = target.Head("/nowhere", "nobody") + "Content-Length: 0\r\n\r\n",
          .repeats = 4'000};
}

// Waits until the process has read what the kernel holds for it, as far as it wants to: its memory
// has stayed the same for a second.
void WaitUntilSteady(const ServerProcess& process) {
  constexpr int kSameChecks = 10;
  constexpr int kMaxChecks = 100;
  std::size_t last = 0;
  for (int checks = 0, same = 0; checks < kMaxChecks && same < kSameChecks; ++checks) {
    std::this_thread::sleep_for(100ms);
    const std::size_t now = process.MemoryOf("VmRSS");
    same = now == last ? same + 1 : 0;
    last = now;
  }
}

class UntrustedClientsTest : public testing::TestWithParam<std::tuple<const char*, Load>> {};

// Guards against a process that exceeds the memory of its machine, ends, or no longer serves
// ordinary callers because of clients that it does not control.
TEST_P(UntrustedClientsTest, ProcessKeepsItsBoundsAndServesOthers) {
  const auto& [daemon, load] = GetParam();
  const std::unique_ptr<Target> target = MakeTarget(daemon);
  ASSERT_TRUE(target->IsOrdinaryServed());
  {
    Crowd crowd(target->At(load.port), load.clients, load.text(*target));
    crowd.Send();
    WaitUntilSteady(target->process());
    EXPECT_TRUE(target->IsOrdinaryServed()) << "during the load";
    EXPECT_NE(StatusOf(target->At(kOperatorsPort), "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"), 0U);
    EXPECT_LE(target->process().OpenDescriptors(), static_cast<std::size_t>(kDescriptors));
    if (load.half_leaves) {
      crowd.CloseHalf();
      EXPECT_TRUE(target->IsOrdinaryServed()) << "after half of the clients have left";
    }
  }
  EXPECT_TRUE(target->IsOrdinaryServed()) << "after the load";
  ASSERT_TRUE(target->process().IsRunning());
  const std::size_t peak = target->process().MemoryOf("VmHWM");
  std::printf("peak %zu MB, now %zu MB\n", peak / kMegabyte,
              target->process().MemoryOf("VmRSS") / kMegabyte);
  EXPECT_LE(peak, kMemoryMegabytes * kMegabyte);
}

constexpr Load kLoads[] = {
    {"OnRoute", kCallersPort, kLargeSenders, OnRoute},
    {"InSmallPieces", kCallersPort, kLargeSenders, InSmallPieces},
    {"InChunks", kCallersPort, kLargeSenders, InChunks},
    {"InChunksOfOneByte", kCallersPort, kLargeSenders, InChunksOfOneByte},
    {"WithoutRoute", kCallersPort, kLargeSenders, WithoutRoute},
    {"UnknownKey", kCallersPort, kLargeSenders, UnknownKey},
    {"AtReadinessPort", kOperatorsPort, kLargeSenders, OnRoute},
    {"AtPeersPort", kPeersPort, kLargeSenders, OnRoute},
    {"Pipelined", kCallersPort, kLargeSenders, Pipelined},
    {"PipelinedWithoutRoute", kCallersPort, kLargeSenders, PipelinedWithoutRoute},
    {"SmallRequestsUnread", kCallersPort, kLargeSenders, SmallRequestsUnread},
    {"ManyFieldsUnfinished", kCallersPort, kSmallSenders, ManyFieldsUnfinished},
    {"ManyFieldsAwaitingBody", kCallersPort, kSmallSenders, ManyFieldsAwaitingBody},
    {"FarTooLarge", kCallersPort, kLargeSenders, FarTooLarge},
    {"FarTooLargeInChunks", kCallersPort, kLargeSenders, FarTooLargeInChunks},
    {"StalledHeads", kCallersPort, kSmallSenders, StalledHead, true},
    {"StalledSmallBodies", kCallersPort, kSmallSenders, StalledSmallBody, true},
};

// The product has no listener of its own for metrics.
constexpr Load kPlatformLoads[] = {
    {"AtMetricsPort", kMetricsPort, kLargeSenders, OnRoute},
};

std::string NameOf(const testing::TestParamInfo<UntrustedClientsTest::ParamType>& parameters) {
  return std::string(std::get<0>(parameters.param)) + std::get<1>(parameters.param).name;
}

INSTANTIATE_TEST_SUITE_P(Both, UntrustedClientsTest,
                         testing::Combine(testing::Values("Platform", "Product"),
                                          testing::ValuesIn(kLoads)),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(OnPlatform, UntrustedClientsTest,
                         testing::Combine(testing::Values("Platform"),
                                          testing::ValuesIn(kPlatformLoads)),
                         NameOf);

}  // namespace
}  // namespace savoryglade
