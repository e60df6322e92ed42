// Stand-ins for the scripts of this review: the platform's store and duties, workers, clients, and
// the daemons as processes with the command of the deploy file. Plain sockets and threads.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

inline long NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStart).count();
}
inline void SleepMs(long ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

// The record of what was sent, answered and run.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    if (file_ == nullptr) {
      return;
    }
    std::fprintf(file_, "%7ld ms  ", NowMs());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};

#define RECORD(...) ::rig::Record::Get().Line(__VA_ARGS__)

// Ends all daemons of the script if it is stopped, or if it takes too long.
class Guard {
 public:
  static std::set<pid_t>& Processes() {
    static std::set<pid_t> processes;
    return processes;
  }
  static void Install(unsigned seconds = 110) {
    Processes();
    for (const int signal : {SIGALRM, SIGTERM, SIGINT, SIGHUP}) {
      ::signal(signal, [](int) {
        for (const pid_t process : Processes()) {
          ::kill(process, SIGKILL);
        }
        ::_exit(2);
      });
    }
    ::signal(SIGPIPE, SIG_IGN);
    ::alarm(seconds);
  }
};

struct Endpoint {
  std::string address;
  int port = 0;
  std::string text() const { return address + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
  ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  return address;
}

// Returns the loopback address of a machine of this run.
inline std::string MachineAddress(int machine) {
  const int run = ::getpid();
  return "127." + std::to_string(64 + run % 128) + "." + std::to_string(1 + run / 128 % 250) + "." +
         std::to_string(1 + machine);
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string Find(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return {};
}

// One TCP connection with a buffer.
class Channel {
 public:
  explicit Channel(int fd) : fd_(fd) {}
  ~Channel() { Close(); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  // Connects, with a receive buffer of this size if it is not zero.
  static std::unique_ptr<Channel> Connect(const Endpoint& endpoint, int timeout_ms = 1000,
                                          int receive_buffer = 0) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
      ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    }
    const sockaddr_in address = ToSockaddr(endpoint);
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
      pollfd wait{.fd = fd, .events = POLLOUT, .revents = 0};
      int error = 0;
      socklen_t size = sizeof(error);
      if (errno != EINPROGRESS || ::poll(&wait, 1, timeout_ms) != 1 ||
          ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        ::close(fd);
        return nullptr;
      }
    }
    ::fcntl(fd, F_SETFL, 0);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return std::make_unique<Channel>(fd);
  }

  int fd() const { return fd_; }
  bool Send(const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t n = ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  // Reads more bytes. Returns false at the end, after an error (`broken`) or a timeout.
  bool Fill(int timeout_ms) {
    timed_out = false;
    pollfd wait{.fd = fd_, .events = POLLIN, .revents = 0};
    if (::poll(&wait, 1, timeout_ms) != 1) {
      timed_out = true;
      return false;
    }
    char bytes[65536];
    const ssize_t n = ::recv(fd_, bytes, sizeof(bytes), 0);
    broken = n < 0;
    if (n <= 0) {
      return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  void Close() {
    if (fd_ >= 0) {
      ::close(fd_);
      fd_ = -1;
    }
  }
  void Reset() {
    const linger reset{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    Close();
  }

  std::string buffer;
  bool broken = false;
  bool timed_out = false;

 private:
  int fd_;
};

struct Message {
  std::string first_line;
  std::string method;
  std::string target;
  int status = 0;
  Headers headers;
  std::string body;
  bool complete = false;
  // Why it is not complete: "closed", "reset", "timeout" or "malformed".
  std::string failure;

  std::string Header(const std::string& name) const { return Find(headers, name); }
};

inline std::string FailureOf(const Channel& channel) {
  return channel.timed_out ? "timeout" : channel.broken ? "reset" : "closed";
}

// Reads the head of a message.
inline Message ReadHead(Channel& channel, int timeout_ms) {
  Message message;
  const long end_at = NowMs() + timeout_ms;
  std::size_t end = 0;
  while ((end = channel.buffer.find("\r\n\r\n")) == std::string::npos) {
    const long left = end_at - NowMs();
    if (left <= 0 || !channel.Fill(static_cast<int>(left))) {
      message.failure = left <= 0 ? "timeout" : FailureOf(channel);
      return message;
    }
  }
  std::istringstream lines(channel.buffer.substr(0, end + 2));
  channel.buffer.erase(0, end + 4);
  std::string line;
  std::getline(lines, line);
  if (!line.empty() && line.back() == '\r') {
    line.pop_back();
  }
  message.first_line = line;
  std::istringstream words(line);
  words >> message.method >> message.target;
  message.status = line.rfind("HTTP/1.", 0) == 0 ? std::atoi(message.target.c_str()) : 0;
  while (std::getline(lines, line)) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string value = line.substr(colon + 1);
    while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
      value.pop_back();
    }
    while (!value.empty() && value.front() == ' ') {
      value.erase(0, 1);
    }
    message.headers.emplace_back(line.substr(0, colon), value);
  }
  return message;
}

// Reads the rest of a message whose head has been read.
inline void ReadBody(Channel& channel, Message& message, int timeout_ms, bool is_response) {
  const long end_at = NowMs() + timeout_ms;
  const auto fill = [&] {
    const long left = end_at - NowMs();
    if (left > 0 && channel.Fill(static_cast<int>(left))) {
      return true;
    }
    message.failure = left <= 0 ? "timeout" : FailureOf(channel);
    return false;
  };
  if (::strcasecmp(message.Header("Transfer-Encoding").c_str(), "chunked") == 0) {
    while (true) {
      std::size_t end = 0;
      while ((end = channel.buffer.find("\r\n")) == std::string::npos) {
        if (!fill()) {
          return;
        }
      }
      const std::size_t size = std::strtoul(channel.buffer.c_str(), nullptr, 16);
      while (channel.buffer.size() < end + 2 + size + 2) {
        if (!fill()) {
          return;
        }
      }
      message.body += channel.buffer.substr(end + 2, size);
      channel.buffer.erase(0, end + 2 + size + 2);
      if (size == 0) {
        message.complete = true;
        return;
      }
    }
  }
  const std::string length = message.Header("Content-Length");
  if (!length.empty() || !is_response) {
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (channel.buffer.size() < size) {
      if (!fill()) {
        message.body = std::move(channel.buffer);
        channel.buffer.clear();
        return;
      }
    }
    message.body = channel.buffer.substr(0, size);
    channel.buffer.erase(0, size);
    message.complete = true;
    return;
  }
  while (fill()) {
  }
  message.body = std::move(channel.buffer);
  channel.buffer.clear();
  message.complete = message.failure == "closed";
}

inline Message ReadMessage(Channel& channel, int timeout_ms, bool is_response) {
  Message message = ReadHead(channel, timeout_ms);
  if (message.failure.empty()) {
    ReadBody(channel, message, timeout_ms, is_response);
  }
  return message;
}

// HTTP server with a thread for each connection.
class Server {
 public:
  // Answers one request. Returns false if the connection ends.
  using Handler = std::function<bool(Channel&, const Message&)>;

  Server(const std::string& address, Handler handler) : handler_(std::move(handler)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in own = ToSockaddr({address, 0});
    socklen_t size = sizeof(own);
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&own), sizeof(own)) != 0 ||
        ::listen(listener_, 1024) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&own), &size);
    endpoint = {address, ntohs(own.sin_port)};
    std::thread([this] { Accept(); }).detach();
  }

  Endpoint endpoint;

 private:
  void Accept() {
    while (true) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        SleepMs(10);
        continue;
      }
      std::thread([this, fd] {
        Channel channel(fd);
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        while (true) {
          const Message request = ReadMessage(channel, 60'000, false);
          if (!request.complete || !handler_(channel, request)) {
            return;
          }
        }
      }).detach();
    }
  }

  Handler handler_;
  int listener_ = -1;
};

inline std::string Response(int status, const Headers& headers, const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string Encode64(const std::string& bytes) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned value = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      value = value << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? digits[value >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

inline std::string Decode64(const std::string& text) {
  std::string bytes;
  unsigned value = 0;
  int bits = 0;
  for (const char c : text) {
    const int digit = c >= 'A' && c <= 'Z'   ? c - 'A'
                      : c >= 'a' && c <= 'z' ? c - 'a' + 26
                      : c >= '0' && c <= '9' ? c - '0' + 52
                      : c == '+'             ? 62
                      : c == '/'             ? 63
                                             : -1;
    if (digit < 0) {
      continue;
    }
    value = value << 6 | static_cast<unsigned>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(value >> bits & 255);
    }
  }
  return bytes;
}

// The platform's metadata store.
class Store {
 public:
  explicit Store(const std::string& address)
      : server(address, [this](Channel& channel, const Message& request) {
          return Handle(channel, request);
        }) {}

  void Put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    rows_[{table, key}] = {value, ++version_, false};
  }
  void Remove(const std::string& table, const std::string& key) {
    const std::lock_guard lock(mutex_);
    rows_[{table, key}] = {"", ++version_, true};
  }
  std::string Value(const std::string& table, const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto found = rows_.find({table, key});
    return found == rows_.end() || found->second.deleted ? std::string() : found->second.value;
  }

  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
  };
  struct Copy {
    std::map<std::pair<std::string, std::string>, Row> rows;
    std::uint64_t version = 0;
  };
  Copy MakeCopy() {
    const std::lock_guard lock(mutex_);
    return {rows_, version_};
  }
  // Comes back from a copy: what was written since is gone, and the era rises by one. The tables of
  // the operator and the workers are written again.
  void ReturnTo(const Copy& copy) {
    const std::lock_guard lock(mutex_);
    const auto lost = rows_;
    rows_ = copy.rows;
    version_ = copy.version;
    ++era_;
    for (const auto& [name, row] : lost) {
      const auto found = rows_.find(name);
      if ((name.first == "op" || name.first == "servers") &&
          (found == rows_.end() || found->second.value != row.value)) {
        rows_[name] = {row.value, ++version_, row.deleted};
      }
    }
  }

  // With a function, it decides whether a request is answered: 0 answers it, another status is
  // sent without doing anything, and -1 closes the connection.
  std::function<int(const Message&)> fault;
  Server server;

 private:
  static std::string Query(const std::string& target, const std::string& name) {
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t end = target.find('&', at + 1);
      const std::string part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      if (part.rfind(name + "=", 0) == 0) {
        std::string value;
        for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
          if (part[i] == '%' && i + 2 < part.size()) {
            value += static_cast<char>(std::strtoul(part.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
          } else {
            value += part[i];
          }
        }
        return value;
      }
      at = end;
    }
    return {};
  }

  json::object Page(const std::string& table, const std::string& from, const std::string& to,
                    std::uint64_t after) {
    std::multimap<std::uint64_t, json::object> changed;
    json::array rows;
    for (const auto& [name, row] : rows_) {
      if (name.first != table || name.second < from || (!to.empty() && name.second >= to) ||
          row.version <= after || (row.deleted && after == 0)) {
        continue;
      }
      json::object object{{"table", table}, {"part", ""}, {"key", name.second},
                          {"ver", row.version}};
      if (row.deleted) {
        object["deleted"] = true;
      } else {
        object["value"] = Encode64(row.value);
      }
      if (after > 0) {
        changed.emplace(row.version, object);
      } else {
        rows.emplace_back(object);
      }
    }
    for (auto& [version, object] : changed) {
      rows.emplace_back(object);
    }
    return {{"rows", rows}, {"has_more", false}, {"ver", version_}, {"now_ms", NowMs()}};
  }

  bool Answer(Channel& channel, int status, const json::object& body) {
    return channel.Send(Response(status,
                                 {{"Content-Type", "application/json"},
                                  {"Store-Era", std::to_string(era_)}},
                                 json::serialize(body)));
  }

  bool Handle(Channel& channel, const Message& request) {
    SleepMs(4);
    if (fault) {
      const int status = fault(request);
      if (status < 0) {
        return false;
      }
      if (status > 0) {
        return Answer(channel, status, {});
      }
    }
    const std::string& target = request.target;
    if (target.rfind("/v1/rows-get", 0) == 0) {
      const std::lock_guard lock(mutex_);
      return Answer(channel, 200,
                    Page(Query(target, "table"), Query(target, "from"), Query(target, "to"), 0));
    }
    if (target.rfind("/v1/rows-feed", 0) == 0) {
      const std::uint64_t after = std::strtoull(Query(target, "after_rev").c_str(), nullptr, 10);
      const long end_at = NowMs() + std::atol(Query(target, "wait_ms").c_str());
      while (true) {
        {
          const std::lock_guard lock(mutex_);
          if (after > version_) {
            return Answer(channel, 410, {});
          }
          json::object page = Page(Query(target, "table"), "", "", after);
          if (!page["rows"].as_array().empty() || NowMs() >= end_at) {
            return Answer(channel, 200, page);
          }
        }
        SleepMs(5);
      }
    }
    if (target == "/v1/rows-tx") {
      return Transact(channel, request);
    }
    return Answer(channel, 404, {});
  }

  bool Transact(Channel& channel, const Message& request) {
    const json::object body = json::parse(request.body).as_object();
    const auto name = [](const json::value& row) {
      return std::pair(std::string(row.at("table").as_string()),
                       std::string(row.at("key").as_string()));
    };
    const std::lock_guard lock(mutex_);
    bool holds = true;
    json::array current;
    for (const json::value& row : body.at("expected_rev").as_array()) {
      const auto found = rows_.find(name(row));
      const bool exists = found != rows_.end() && !found->second.deleted;
      holds = holds && (exists ? found->second.version : 0) == row.at("ver").to_number<std::uint64_t>();
      if (exists) {
        current.push_back({{"table", name(row).first},
                           {"part", ""},
                           {"key", name(row).second},
                           {"ver", found->second.version},
                           {"value", Encode64(found->second.value)}});
      }
    }
    if (!holds) {
      return Answer(channel, 412, {{"rows", current}, {"ver", version_}, {"now_ms", NowMs()}});
    }
    ++version_;
    for (const json::value& row : body.at("puts").as_array()) {
      rows_[name(row)] = {Decode64(std::string(row.at("value").as_string())), version_, false};
    }
    for (const json::value& row : body.at("remove").as_array()) {
      rows_[name(row)] = {"", version_, true};
    }
    return Answer(channel, 200, {{"ver", version_}, {"now_ms", NowMs()}});
  }

  std::mutex mutex_;
  std::map<std::pair<std::string, std::string>, Row> rows_;
  std::uint64_t version_ = 0;
  std::uint64_t era_ = 1;
};

// A daemon as a process, started as the deploy file says.
class Daemon {
 public:
  Daemon(int machine, std::string zone, std::string folder, Endpoint store, Endpoint duties)
      : address(MachineAddress(machine)),
        name("edge-" + zone + "-" + std::to_string(machine)),
        zone_(std::move(zone)),
        folder_(std::move(folder)),
        store_(std::move(store)),
        duties_(std::move(duties)) {
    front = {address, 8221};
    ready = {address, 8224};
    metrics = {address, 9464};
  }
  ~Daemon() { Kill(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Lines that are added to the settings.
  std::string more_settings;
  // Milliseconds of grace, and other bounds, are those of giri-nord.
  void WriteSettings() const {
    std::ofstream file(SettingsPath());
    file << "node_name=" << name << "\nrole=daemon\nmachine_class=edge\nserves=edge\nip=" << address
         << "\nzone=" << zone_
         << "\nregion=lombardia-veneto\nlisten.front_addr=" << front.text()
         << "\nlisten.ready_addr=" << ready.text()
         << "\ninternal_ports=7600,7615\nis_bootstrap=true\nis_counted=false\n"
            "limits.cpu_share=0.25\nlimits.cpu_cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n"
            "limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry_kind=vip\n"
            "heartbeat_ms=1200\ncontracts=base,drain,config,cost,retry,recover,engine,stream,"
            "tenants,quota,leader,platform\nbounds.seed_lag_s=3\nbounds.addr_reuse_s=2\n"
            "bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\n"
            "bounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n"
            "bounds.revert_slack_ms=250\nbounds.max_stretch_ms=5000\nbounds.strict_revoke=false\n"
            "bounds.revoke_ms=5000\nbounds.retry_ratio=0.2\nbounds.retry_window_s=10\n"
            "bounds.retry_allowance=56\nbounds.quota_window_s=8\nbounds.quota_overshoot=0.1\n"
            "bounds.quota_allowance=140000\nbounds.fencing_enforced=false\nbounds.lease_ms=3000\n"
            "bounds.thaw_ms=300\nbounds.report_window_s=5\nbounds.usage_tolerance=0.05\n"
            "bounds.usage_delay_s=10\nbounds.recovery_s=12\nbounds.delivery_ms=120\n"
            "bounds.retry_after_s=10\nplatform.form=table\nplatform.address="
         << store_.text() << "\ncloud_api.address=" << duties_.text()
         << "\ncloud_api.rate_per_s=50.0\ncloud_api.duties=usage_report,autoscale\n"
            "cloud_api.duty_per_s=50.0\n"
         << more_settings;
  }

  void Start() {
    WriteSettings();
    std::string program = "target/packages/savorygladed";
    std::string option = "--platform";
    std::string variable = "SAVORYGLADE_NODE_FILE=" + SettingsPath();
    std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
    char* argv[] = {program.data(), option.data(), nullptr};
    char* environment[] = {variable.data(), path.data(), nullptr};
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    const std::string log = folder_ + "/" + name + ".log";
    ::posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (::posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv, environment) != 0) {
      std::fprintf(stderr, "can't start %s\n", program.c_str());
      std::exit(2);
    }
    ::posix_spawn_file_actions_destroy(&actions);
    Guard::Processes().insert(pid_);
    RECORD("started %s, process %d", name.c_str(), static_cast<int>(pid_));
  }
  void Signal(int signal) const {
    if (pid_ > 0) {
      ::kill(pid_, signal);
      RECORD("signal %d to %s", signal, name.c_str());
    }
  }
  // Returns true while the process runs. Notes its end.
  bool IsRunning() {
    if (pid_ > 0 && ::waitpid(pid_, &exit_status, WNOHANG) == pid_) {
      RECORD("%s has ended with wait status %d", name.c_str(), exit_status);
      Guard::Processes().erase(pid_);
      pid_ = -1;
    }
    return pid_ > 0;
  }
  void Kill() {
    if (IsRunning()) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
      Guard::Processes().erase(pid_);
      RECORD("killed %s", name.c_str());
    }
    pid_ = -1;
  }
  bool IsReady() const {
    const auto channel = Channel::Connect(ready, 500);
    if (channel == nullptr) {
      return false;
    }
    channel->Send("GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    return ReadMessage(*channel, 1000, true).status == 200;
  }
  bool AwaitReady(int timeout_ms = 15'000) {
    const long end_at = NowMs() + timeout_ms;
    while (NowMs() < end_at && IsRunning()) {
      if (IsReady()) {
        RECORD("%s is ready", name.c_str());
        return true;
      }
      SleepMs(100);
    }
    return false;
  }
  std::string MetricsText() const {
    const auto channel = Channel::Connect(metrics, 500);
    if (channel == nullptr) {
      return {};
    }
    channel->Send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    return ReadMessage(*channel, 1000, true).body;
  }
  // Returns a field of /proc/PID/status in kilobytes.
  long Kilobytes(const std::string& field) const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.rfind(field + ":", 0) == 0) {
        return std::atol(line.c_str() + field.size() + 1);
      }
    }
    return 0;
  }
  pid_t pid() const { return pid_; }

  std::string address;
  std::string name;
  Endpoint front;
  Endpoint ready;
  Endpoint metrics;
  int exit_status = 0;

 private:
  std::string SettingsPath() const { return folder_ + "/" + name + ".conf"; }

  std::string zone_;
  std::string folder_;
  Endpoint store_;
  Endpoint duties_;
  pid_t pid_ = -1;
};

// Usage reports and orders that the platform got.
class Duties {
 public:
  explicit Duties(const std::string& address)
      : server(address, [](Channel& channel, const Message& request) {
          RECORD("duty %s holder=%s fence=%s %s", request.target.c_str(),
                 request.Header("Duty-Holder").c_str(), request.Header("Fence-Token").c_str(),
                 request.body.c_str());
          return channel.Send(Response(200, {}, "")) && request.Header("Connection") != "close";
        }) {}
  Server server;
};

// A temporary folder for settings and logs of the daemons.
class Folder {
 public:
  Folder() {
    char folder[] = "/tmp/savoryglade-review-XXXXXX";
    path = ::mkdtemp(folder);
  }
  ~Folder() { Remove(); }
  void Remove() const { std::filesystem::remove_all(path); }
  std::string path;
};

inline std::string Registration(const std::string& service, const Endpoint& endpoint,
                                const std::string& zone, int slots, const std::string& state,
                                const std::string& version = "1") {
  return json::serialize(json::object{{"service", service},
                                      {"address", endpoint.text()},
                                      {"zone", zone},
                                      {"version", version},
                                      {"slots", slots},
                                      {"state", state},
                                      {"cold_left_ms", 0},
                                      {"seq_no", 1},
                                      {"born", 1'790'000'000'000}});
}

inline bool HasTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

}  // namespace rig
