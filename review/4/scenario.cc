// The holder of the duties is restarted, as planned, and another daemon takes the duties. Then the store returns from a
// copy that is some seconds old, while the first daemon starts again. No two holders may send the same fencing token.
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <set>

#include "rig.h"

namespace {

using rig::Connection;
using rig::Message;
using rig::Worker;

constexpr int kDaemons = 4;
constexpr int kClientsPerDaemon = 2;
constexpr double kSteadyTime = 12;
constexpr double kGrace = 8;
// Time that the store is away, and time between the SIGTERM of the holder and the copy from which the store returns.
constexpr double kAwayTime = 0.7;
constexpr double kCopyAfterStop = 0.5;

std::atomic<bool> ended{false};
std::atomic<int> answered{0};
std::atomic<int> failed{0};

void RunClient(int number, const rig::Daemon& daemon, rig::Record& record) {
  std::unique_ptr<Connection> connection;
  while (!ended) {
    if (connection == nullptr) {
      connection = Connection::Connect(daemon.front(), 1);
      if (connection == nullptr) {
        rig::SleepFor(0.1);
        continue;
      }
    }
    const std::string id = rig::RandomId();
    Message answer;
    std::string piece;
    bool complete = false;
    if (connection->Write(rig::RequestText("POST", rig::kConfirmPath, id, 2500, "", "confirm")) &&
        connection->ReadHead(answer, false, 4)) {
      while (connection->ReadPiece(answer, piece, complete, 4)) {
      }
    }
    record.Line("client " + std::to_string(number) + ": " + id + " to " + daemon.name() + ", " +
                (complete ? "answered " + std::to_string(answer.status) : "no answer"));
    ++(complete && answer.status == 200 ? answered : failed);
    if (!complete || answer.Header("connection") == "close") {
      connection.reset();
    }
    rig::SleepFor(answer.status == 503 ? 0.2 : 0.03);
  }
}

// Waits until the daemon has ended after its SIGTERM, and kills it after the grace period, as the platform does.
void EndOrKill(rig::Daemon& daemon) {
  if (!daemon.WaitForEnd(kGrace)) {
    daemon.Signal(SIGKILL);
    daemon.WaitForEnd(5);
  }
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  rig::Record record(argc > 1 ? argv[1] : "record.txt");
  const std::string folder = rig::TemporaryFolder();
  rig::Store store(rig::LoopbackAddress(2), record);
  rig::Cloud cloud(rig::LoopbackAddress(3), record);
  store.Put("op", "config", rig::Manifest(7));
  const bool trouble = rig::WithTrouble();
  const char* zones[] = {"brescia", "bergamo", "verona", "mantova"};
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < 4; ++i) {
    workers.push_back(std::make_unique<Worker>(
        store, rig::LoopbackAddress(120 + i), "orders-" + std::to_string(i), "ordini", zones[i], 6,
        [&](Worker& worker, Connection& connection, const Message& request) {
          record.Line("worker " + worker.id() + ": runs " + request.Header("Attempt-Id"));
          rig::SleepFor(0.03);
          connection.Write(worker.AnswerHead(request) + "Content-Length: 2\r\n\r\nok");
        }));
  }
  std::vector<std::unique_ptr<rig::Daemon>> daemons;
  for (int i = 0; i < kDaemons; ++i) {
    daemons.push_back(std::make_unique<rig::Daemon>(store, cloud, "edge-" + std::string(zones[i]) + "-1", zones[i],
                                                    10 + i, folder, record));
    daemons.back()->Start();
  }
  for (const std::unique_ptr<rig::Daemon>& daemon : daemons) {
    if (!daemon->WaitUntilReady(20)) {
      std::fprintf(stderr, "%s is not ready.\n", daemon->name().c_str());
      daemons.clear();
      rig::Finish(2);
    }
  }
  std::vector<std::thread> clients;
  for (int i = 0; i < kDaemons * kClientsPerDaemon; ++i) {
    clients.emplace_back([&, i] { RunClient(i, *daemons[static_cast<std::size_t>(i % kDaemons)], record); });
  }
  rig::SleepFor(kSteadyTime);
  const std::string holder_name = cloud.LastHolder();
  rig::Daemon* holder = nullptr;
  for (const std::unique_ptr<rig::Daemon>& daemon : daemons) {
    if (daemon->name() == holder_name) {
      holder = daemon.get();
    }
  }
  if (holder == nullptr) {
    std::fprintf(stderr, "No daemon reports the usage.\n");
    daemons.clear();
    rig::Finish(2);
  }
  record.Line(holder_name + " holds the duties and is restarted");
  const double stopped_at = rig::Now();
  holder->Signal(SIGTERM);
  EndOrKill(*holder);
  const std::string next_holder = cloud.LastHolder();
  record.Line("the last duty call came from " + next_holder);
  std::thread drill([&] {
    if (trouble) {
      store.Drill(kAwayTime, rig::Now() - stopped_at - kCopyAfterStop);
    }
  });
  rig::SleepFor(0.1);
  holder->Start();
  drill.join();
  rig::SleepFor(12);
  ended = true;
  for (std::thread& client : clients) {
    client.join();
  }
  daemons.clear();
  // All windows form one subject.
  std::map<std::uint64_t, std::set<std::string>> holders;
  for (const rig::DutyCall& call : cloud.calls()) {
    if (call.target == "/usage") {
      holders[call.token].insert(call.holder);
    }
  }
  int shared = 0;
  for (const auto& [token, names] : holders) {
    std::string text;
    for (const std::string& name : names) {
      text += " " + name;
    }
    record.Line("token " + std::to_string(token) + " was sent by" + text);
    shared += names.size() > 1 ? 1 : 0;
  }
  const std::string summary = std::to_string(holders.size()) + " tokens, " + std::to_string(shared) +
                              " sent by two holders; " + std::to_string(answered.load()) + " requests answered, " +
                              std::to_string(failed.load()) + " refused or failed";
  record.Line("result: " + summary + "; ONE " + (shared > 0 ? "broken" : "kept"));
  std::printf("ONE %s: %s\n", shared > 0 ? "broken" : "kept", summary.c_str());
  rig::Finish(next_holder == holder_name || answered < 100 ? 2 : (shared > 0 ? 1 : 0));
}
