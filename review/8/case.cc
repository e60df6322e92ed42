// All daemons are killed while two software versions serve, and clients take their streams up again.
// See claim.txt.
#include "workload.h"

using namespace rig;

namespace {

constexpr int kStreams = 64;
constexpr int kNewStreams = 128;
constexpr int kEvents = 90;
constexpr long kEventMs = 100;
constexpr long kContactMs = 3000;

const char* kManifest = R"({"version":1,"routes":[
{"name":"recap","host":"h.example","prefix":"/recap/","route_kind":"streaming","resumable":true,
 "service":"glade","max_attempts":2,"timeout_ms":12000,"goal_ms":500,"priority":0,
 "itl_target_ms":500,"sticky":true}],
"services":[{"name":"glade","health_path":"/healthz","max_conns":370}],
"tenants":[{"name":"drivers","api_keys":["key-1"],"rate_per_s":0,"burst":0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":131072,"header_timeout_ms":10000,
"idle_timeout_ms":15000}})";

// Sends the events behind the one that the request names.
bool Stream(Channel& channel, const Message& request) {
  if (!channel.Send("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.Header("Attempt-Id") +
                    "\r\nResponse-Seal: seal-" + request.Header("Attempt-Id") +
                    "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  for (int event = std::atoi(request.Header("Last-Event-Id").c_str()) + 1; event <= kEvents; ++event) {
    SleepMs(kEventMs);
    if (!channel.Send(Chunk("id: " + std::to_string(event) + "\ndata: words\n\n"))) {
      return false;
    }
  }
  return channel.Send("0\r\n\r\n");
}

struct Result {
  int status = 0;
  int last_event = 0;
  bool complete = false;
  long ended_at = 0;
  std::string reason;
};

// Sends a stream request, which may take up an earlier one, and reads its answer.
Result Request(const Daemon& daemon, const std::string& id, int number, long deadline_ms,
               const std::string& resumes, int last_event) {
  Result result{.last_event = last_event};
  const auto channel = Channel::Connect(daemon.front);
  if (channel == nullptr) {
    result.reason = "no channel";
    result.ended_at = NowMs();
    return result;
  }
  char parts[80];
  std::snprintf(parts, sizeof(parts), "5c1e%02x:119,9a%04x:79,e44%06x:430", number % 40, number % 267,
                number);
  std::string head = "POST /recap/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id +
                     "\r\nModel: m\r\nToken-Counts: 628,294\r\nPrefix-Hash: " + parts +
                     "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
                     "\r\nAuthorization: Bearer key-1\r\nContent-Length: 5\r\n";
  if (!resumes.empty()) {
    head += "Resumes: " + resumes + "\r\nLast-Event-Id: " + std::to_string(last_event) + "\r\n";
  }
  channel->Send(head + "\r\nhello");
  Message answer = ReadHead(*channel, static_cast<int>(deadline_ms));
  if (answer.failure.empty()) {
    ReadBody(*channel, answer, static_cast<int>(deadline_ms), true);
  }
  result.status = answer.status;
  result.complete = answer.complete;
  result.reason = answer.Header("Savoryglade-Reason");
  result.ended_at = NowMs();
  if (answer.status == 200) {
    for (std::size_t at = answer.body.find("id: "); at != std::string::npos;
         at = answer.body.find("id: ", at + 1)) {
      if (answer.body.find("\n\n", at) != std::string::npos) {
        result.last_event = std::atoi(answer.body.c_str() + at + 4);
      }
    }
  }
  return result;
}

}  // namespace

int main(int, char** argv) {
  Guard::Install();
  Record::Get().Open(std::string(argv[1]) + "/record.txt");
  const bool has_trouble = HasTrouble();
  const Folder folder;
  auto store = std::make_unique<Store>(MachineAddress(100));
  auto duties = std::make_unique<Duties>(MachineAddress(101));
  store->Put("op", "config", json::serialize(json::parse(kManifest)));
  std::vector<std::unique_ptr<Server>> workers;
  for (int i = 1; i <= 6; ++i) {
    const std::string id = "i-" + std::to_string(i);
    workers.push_back(std::make_unique<Server>(
        MachineAddress(50), [id](Channel& channel, const Message& request) {
          return request.target == "/healthz"
                     ? channel.Send(Response(200, {{"Instance-Id", id}}, ""))
                     : Stream(channel, request);
        }));
    store->Put("servers", id, Registration("glade", workers.back()->endpoint, "brescia", 64, "ready",
                                           i % 2 == 0 ? "v2" : "v1"));
  }
  const char* zones[] = {"brescia", "bergamo", "verona", "mantova"};
  std::vector<std::unique_ptr<Daemon>> daemons;
  const long started_at = NowMs();
  for (int i = 0; i < 4; ++i) {
    daemons.push_back(std::make_unique<Daemon>(i + 1, zones[i], folder.path, store->server.endpoint,
                                               duties->server.endpoint));
    daemons.back()->Start();
  }
  for (const auto& daemon : daemons) {
    if (!daemon->AwaitReady()) {
      return 2;
    }
  }
  // Longer than a stream may live.
  SleepMs(30'000 - (NowMs() - started_at));
  std::atomic<int> resumed{0};
  std::atomic<int> gone_on{0};
  std::atomic<int> new_streams{0};
  std::atomic<int> new_begun{0};
  std::vector<std::thread> clients;
  std::mutex mutex;
  for (int i = 0; i < kStreams; ++i) {
    clients.emplace_back([&, i] {
      const long sent_at = NowMs();
      const std::string id = "s" + std::to_string(i);
      const Result first = Request(*daemons[i % 4], id, i, 12'000, "", 0);
      RECORD("stream %s: status %d, %d events, complete=%d %s", id.c_str(), first.status,
             first.last_event, first.complete, first.reason.c_str());
      if (first.status != 200 || first.complete || first.last_event == 0) {
        return;
      }
      // The one retry of the sheet, at another daemon that has been in touch again for a while.
      SleepMs(5000);
      const std::string again = id + "-again";
      const Result second = Request(*daemons[(i + 1) % 4], again, i, 12'000 - (NowMs() - sent_at), id,
                                    first.last_event);
      ++resumed;
      gone_on += second.last_event > first.last_event ? 1 : 0;
      RECORD("stream %s is taken up behind event %d: status %d, %d events, complete=%d %s", id.c_str(),
             first.last_event, second.status, second.last_event, second.complete,
             second.reason.c_str());
    });
  }
  SleepMs(2000);
  if (has_trouble) {
    for (const auto& daemon : daemons) {
      daemon->Kill();
    }
    SleepMs(1000);
    for (const auto& daemon : daemons) {
      daemon->Start();
    }
    for (const auto& daemon : daemons) {
      if (!daemon->AwaitReady()) {
        return 2;
      }
    }
    SleepMs(kContactMs + 500);
  }
  for (int i = 0; i < kNewStreams; ++i) {
    clients.emplace_back([&, i] {
      SleepMs(i * 10);
      const std::string id = "n" + std::to_string(i);
      const Result result = Request(*daemons[i % 4], id, 1000 + i, 12'000, "", 0);
      ++new_streams;
      new_begun += result.status == 200 && result.last_event > 0 ? 1 : 0;
      RECORD("new stream %s: status %d, %d events, complete=%d %s", id.c_str(), result.status,
             result.last_event, result.complete, result.reason.c_str());
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  RECORD("%d streams were taken up again, %d went on; %d new streams were sent, %d began", resumed.load(),
         gone_on.load(), new_streams.load(), new_begun.load());
  for (const auto& daemon : daemons) {
    daemon->Kill();
  }
  folder.Remove();
  // Under half of the share of new streams that begin.
  const bool is_broken =
      resumed >= 12 && 2.0 * gone_on * new_streams < static_cast<double>(new_begun) * resumed;
  std::printf("%s\n", is_broken ? "broken" : "held");
  std::fflush(stdout);
  ::_exit(is_broken ? 1 : 0);
}
