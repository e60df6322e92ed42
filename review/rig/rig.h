// Stand-ins of clients, workers, the platform's store and its cloud API for the cases of this
// review, and helpers that run the project's daemons as processes. Everything speaks the users'
// published protocol over loopback addresses. Sockets are blocking; each connection has a thread of
// its own.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

// Seconds since the program started, by the steady clock.
double Now();
void SleepFor(double seconds);
// Milliseconds since the start of 1970.
std::int64_t UnixMs();

// Writes lines with their time to a file.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// True unless the environment has TROUBLE=0.
bool WithTrouble();

// Loopback network of one play: 127.a.b.x with a and b drawn at the start.
std::string LoopbackAddress(int host);
// Returns true if nobody listens at the address.
bool CanBind(const std::string& address);

struct Message {
  // Of a request.
  std::string method;
  std::string target;
  // Of a response.
  int status = 0;
  std::string first_line;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  std::string Header(const std::string& name) const;
};

// Blocking connection with a read buffer.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  // Returns null if no connection is made within the time.
  static std::unique_ptr<Connection> Connect(const std::string& address, double timeout_s);

  // Returns false if the peer has left.
  bool Write(const std::string& text);
  // Reads the head of a request or a response. Returns false if the connection ended before, or the
  // time is over.
  bool ReadHead(Message& message, bool request, double timeout_s);
  // Reads a request with its body.
  bool ReadRequest(Message& request, double timeout_s);
  // Reads the next piece of the body into `piece`. Returns false at the end of the body; `complete`
  // says whether the body ended as its head announced.
  bool ReadPiece(const Message& head, std::string& piece, bool& complete, double timeout_s);
  // Returns true if the peer has closed the connection.
  bool PeerClosed();
  // Closes in order, after all that was written.
  void Close();
  // Closes with a reset.
  void Reset();
  bool timed_out() const { return timed_out_; }

 private:
  bool Fill(double deadline);
  bool ReadLine(std::string& line, double deadline);

  int fd_;
  std::string buffer_;
  bool timed_out_ = false;
  // State of the body that is being read.
  bool body_begun_ = false;
  std::size_t left_ = 0;
};

// Accepts connections on a port of the address that the system chooses, or on the given one.
class Listener {
 public:
  using Handler = std::function<void(Connection&)>;
  Listener(const std::string& ip, Handler handler);
  const std::string& address() const { return address_; }

 private:
  std::string address_;
};

// Rows of one table by key: value, version; a removed row has no value.
struct Row {
  std::optional<std::string> value;
  std::uint64_t version = 0;
};

// The platform's store.
class Store {
 public:
  Store(const std::string& ip, Record& record);
  const std::string& address() const { return listener_->address(); }

  // Writes as the operator or a worker does.
  void Put(const std::string& table, const std::string& key, const std::string& value);
  void Remove(const std::string& table, const std::string& key);

  // A drill: the store is away for the time and then comes back from the copy that is `copy_age_s`
  // seconds old. What the operator and the workers wrote (tables op and servers) is written again.
  // The header Store-Era rises by one.
  void Drill(double away_s, double copy_age_s);
  std::string ValueOf(const std::string& table, const std::string& key);

 private:
  using Rows = std::map<std::pair<std::string, std::string>, Row>;
  void Serve(Connection& connection);
  std::string Page(const std::string& table, const std::string& from, const std::string& to,
                   std::uint64_t after, std::size_t limit, bool feed, bool& empty);
  void KeepCopies();

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Rows rows_;
  std::uint64_t version_ = 1;
  std::uint64_t era_ = 1;
  bool away_ = false;
  struct Copy {
    double at;
    Rows rows;
    std::uint64_t version;
  };
  std::vector<Copy> copies_;
  std::unique_ptr<Listener> listener_;
};

struct DutyCall {
  double at = 0;
  std::string target;
  std::string holder;
  std::uint64_t token = 0;
  std::string body;
};

// The platform's cloud API. Accepts each call.
class Cloud {
 public:
  Cloud(const std::string& ip, Record& record);
  const std::string& address() const { return listener_->address(); }
  std::vector<DutyCall> calls();
  std::string LastHolder();

 private:
  Record& record_;
  std::mutex mutex_;
  std::vector<DutyCall> calls_;
  std::unique_ptr<Listener> listener_;
};

// A worker: registers in the store, repeats that each heartbeat, and passes requests to a handler.
class Worker {
 public:
  using Handler = std::function<void(Worker&, Connection&, const Message&)>;
  Worker(Store& store, const std::string& ip, std::string id, std::string service, std::string zone,
         int slots, Handler handler);
  ~Worker();
  const std::string& id() const { return id_; }
  const std::string& address() const { return listener_->address(); }
  // Reports `draining` from now on.
  void Drain();
  int active() const { return active_; }
  // Head lines of an answer that every answer carries, without its framing.
  std::string AnswerHead(const Message& request, int status = 200) const;

 private:
  void Register();

  Store& store_;
  std::string id_;
  std::string service_;
  std::string zone_;
  int slots_;
  std::int64_t born_;
  Handler handler_;
  std::atomic<int> active_{0};
  std::atomic<bool> draining_{false};
  std::atomic<bool> stopped_{false};
  std::atomic<int> sequence_{1};
  std::unique_ptr<Listener> listener_;
  std::thread beat_;
};

// One of the project's daemons, run with the command of the deploy file.
class Daemon {
 public:
  Daemon(const Store& store, const Cloud& cloud, std::string name, std::string zone, int host,
         std::string folder, Record& record);
  ~Daemon();
  void Start();
  void Signal(int signal);
  // Waits for the end of the process. Returns false if it runs on.
  bool WaitForEnd(double timeout_s);
  bool Running();
  // Waits until the daemon says that it is ready.
  bool WaitUntilReady(double timeout_s);
  // Resident memory in MB, or 0 if the process is gone.
  double MemoryMb() const;
  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  std::string front() const { return ip_ + ":8221"; }
  std::string ready() const { return ip_ + ":8224"; }
  pid_t pid() const { return pid_; }
  static constexpr int kMemoryMb = 260;

 private:
  std::string name_;
  std::string zone_;
  std::string ip_;
  std::string folder_;
  Record& record_;
  std::atomic<pid_t> pid_{0};
  int starts_ = 0;
};

// Returns the temporary folder of this program, which Finish removes.
std::string TemporaryFolder();
// Ends the program, whose threads still serve, with this exit code. The daemons must have ended.
[[noreturn]] void Finish(int code);

std::string RandomId();

// Text of a client's request.
std::string RequestText(const std::string& method, const std::string& path, const std::string& id,
                        int deadline_ms, const std::string& headers, const std::string& body);

// The manifest that all cases use: a plain service `ordini` and a service `assistente` of model
// workers, with the limits of the small installation.
std::string Manifest(int version);
inline constexpr const char* kHost = "ficu95.example";
inline constexpr const char* kKey = "key-of-rounds";
inline constexpr const char* kTenant = "rounds";
inline constexpr const char* kConfirmPath = "/confirm/2f";
inline constexpr const char* kBriefPath = "/brief/2f";
inline constexpr const char* kRecapPath = "/recap/2f";

}  // namespace rig
