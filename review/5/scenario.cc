// A worker fails part of its calls with statuses of its own that are not in every list of statuses.
// Callers must get the worker's status with its Response-Seal.
#include <signal.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>

#include "rig.h"

namespace {

using rig::Connection;
using rig::Message;
using rig::Worker;

constexpr double kPlayTime = 15;
constexpr int kWorkers = 8;
constexpr int kClients = 16;
// The grey workers of the site are a share of 0.14 and fail 0.45 of their requests: here one of
// eight, two in five.
constexpr int kCallsPerRound = 5;
constexpr int kFailuresPerRound = 2;
// The site's grey workers fail for 6.5 s.
constexpr double kGreyFrom = 3;
constexpr double kGreyTime = 6;
// "Too early", registered, and the status with which servers of models say that they are
// overloaded.
constexpr std::array kStatuses = {425, 529};

std::mutex mutex;
std::map<std::string, int> status_of;
std::atomic<bool> ended{false};
std::atomic<double> begun_at{1e9};
std::atomic<int> answered{0};
std::atomic<int> own_failures{0};
std::atomic<int> wrong{0};

void Serve(Worker& worker, Connection& connection, const Message& request, rig::Record& record,
           bool is_grey) {
  static std::atomic<int> calls{0};
  const std::string id = request.Header("Attempt-Id");
  const double grey_for = rig::Now() - begun_at - kGreyFrom;
  const bool is_grey_now = is_grey && grey_for >= 0 && grey_for < kGreyTime;
  const int number = is_grey_now ? calls.fetch_add(1) : 0;
  const bool fails = is_grey_now && number % kCallsPerRound < kFailuresPerRound;
  const int status =
      fails ? kStatuses[static_cast<std::size_t>(number / kCallsPerRound) % kStatuses.size()] : 200;
  own_failures += fails ? 1 : 0;
  {
    const std::lock_guard lock(mutex);
    status_of[id] = status;
  }
  rig::SleepFor(0.03);
  record.Line("worker " + worker.id() + ": ran " + id + ", answers " + std::to_string(status));
  connection.Write(worker.AnswerHead(request, status) + "Content-Length: 2\r\n\r\nok");
}

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
    const bool has_head =
        connection->Write(rig::RequestText("POST", rig::kConfirmPath, id, 2500, "", "confirm")) &&
        connection->ReadHead(answer, false, 4);
    while (has_head && connection->ReadPiece(answer, piece, complete, 4)) {
    }
    int given = 0;
    {
      const std::lock_guard lock(mutex);
      given = status_of[id];
    }
    const bool has_seal = !answer.Header("Response-Seal").empty();
    const bool is_wrong = has_head && has_seal && answer.status != given;
    record.Line("client " + std::to_string(number) + ": " + id + " to " + daemon.name() +
                ", got \"" + answer.first_line + "\"" +
                (has_seal ? " with the seal of the worker" : "") +
                (is_wrong ? ", which gave " + std::to_string(given) : ""));
    answered += complete ? 1 : 0;
    wrong += is_wrong ? 1 : 0;
    if (!complete || answer.Header("connection") == "close") {
      connection.reset();
    }
    rig::SleepFor(0.05);
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
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<Worker>(
        store, rig::LoopbackAddress(120 + i), "orders-" + std::to_string(i), "ordini", zones[i % 4],
        6, [&, i](Worker& worker, Connection& connection, const Message& request) {
          Serve(worker, connection, request, record, trouble && i == 0);
        }));
  }
  std::vector<std::unique_ptr<rig::Daemon>> daemons;
  for (int i = 0; i < 4; ++i) {
    daemons.push_back(std::make_unique<rig::Daemon>(
        store, cloud, "edge-" + std::string(zones[i]) + "-1", zones[i], 10 + i, folder, record));
    daemons.back()->Start();
  }
  for (const std::unique_ptr<rig::Daemon>& daemon : daemons) {
    if (!daemon->WaitUntilReady(20)) {
      std::fprintf(stderr, "%s is not ready.\n", daemon->name().c_str());
      daemons.clear();
      rig::Finish(2);
    }
  }
  rig::SleepFor(4);
  begun_at = rig::Now();
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(
        [&, i] { RunClient(i, *daemons[static_cast<std::size_t>(i % 4)], record); });
  }
  rig::SleepFor(kPlayTime);
  ended = true;
  for (std::thread& client : clients) {
    client.join();
  }
  daemons.clear();
  const bool broken = wrong > 0;
  const std::string summary = std::to_string(answered.load()) + " answers, " +
                              std::to_string(own_failures.load()) + " failures by a worker, " +
                              std::to_string(wrong.load()) +
                              " answers with its seal and another status";
  record.Line("result: " + summary + "; MIXED " + (broken ? "broken" : "kept"));
  std::printf("MIXED %s: %s\n", broken ? "broken" : "kept", summary.c_str());
  rig::Finish(answered < 100 || (trouble && own_failures == 0) ? 2 : (broken ? 1 : 0));
}
