#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json/src.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <random>
#include <sstream>

namespace rig {
namespace {

namespace json = boost::json;

const auto kStart = std::chrono::steady_clock::now();

std::mt19937_64& Generator() {
  static std::mt19937_64 generator(std::random_device{}());
  return generator;
}
std::mutex generator_mutex;

std::uint64_t Draw() {
  const std::lock_guard lock(generator_mutex);
  return Generator()();
}

sockaddr_in ToSocketAddress(const std::string& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  const std::size_t colon = address.find(':');
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  result.sin_port = htons(static_cast<std::uint16_t>(
      colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1)));
  return result;
}

bool CanBind(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in where = ToSocketAddress(address);
  const bool bound = bind(fd, reinterpret_cast<sockaddr*>(&where), sizeof(where)) == 0;
  close(fd);
  return bound;
}

std::string Lower(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

constexpr char kBase64[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j > bytes.size() ? '=' : kBase64[group >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    const char* found = std::strchr(kBase64, c);
    if (c == '=' || found == nullptr) {
      break;
    }
    group = group << 6 | static_cast<std::uint32_t>(found - kBase64);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 255);
    }
  }
  return bytes;
}

std::string QueryParameter(const std::string& target, const std::string& name) {
  std::size_t begin = target.find('?');
  while (begin != std::string::npos) {
    const std::size_t end = target.find('&', begin + 1);
    const std::string item = target.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
    if (item.compare(0, name.size() + 1, name + "=") == 0) {
      const std::string raw = item.substr(name.size() + 1);
      std::string value;
      for (std::size_t i = 0; i < raw.size(); ++i) {
        if (raw[i] == '%' && i + 2 < raw.size()) {
          value += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += raw[i];
        }
      }
      return value;
    }
    begin = end;
  }
  return {};
}

std::uint64_t NumericParameter(const std::string& target, const std::string& name) {
  const std::string text = QueryParameter(target, name);
  return text.empty() ? 0 : std::stoull(text);
}

std::string JsonAnswer(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

double Now() { return std::chrono::duration<double>(std::chrono::steady_clock::now() - kStart).count(); }

void SleepFor(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Record::Record(const std::string& path) : file_(path) {}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", Now());
  file_ << time << text << std::endl;
}

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string LoopbackAddress(int host) {
  static const std::string prefix =
      "127." + std::to_string(1 + Draw() % 250) + "." + std::to_string(Draw() % 250) + ".";
  return prefix + std::to_string(host);
}

std::string Message::Header(const std::string& name) const {
  const auto found = headers.find(Lower(name));
  return found == headers.end() ? std::string() : found->second;
}

Connection::~Connection() { Close(); }

std::unique_ptr<Connection> Connection::Connect(const std::string& address, double timeout_s) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  sockaddr_in where = ToSocketAddress(address);
  int status = connect(fd, reinterpret_cast<sockaddr*>(&where), sizeof(where));
  if (status != 0 && errno == EINPROGRESS) {
    pollfd wait{.fd = fd, .events = POLLOUT, .revents = 0};
    int error = ETIMEDOUT;
    socklen_t size = sizeof(error);
    if (poll(&wait, 1, static_cast<int>(timeout_s * 1000)) == 1) {
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    status = error == 0 ? 0 : -1;
  }
  if (status != 0) {
    close(fd);
    return nullptr;
  }
  fcntl(fd, F_SETFL, 0);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return std::make_unique<Connection>(fd);
}

bool Connection::Write(const std::string& text) {
  std::size_t sent = 0;
  while (fd_ >= 0 && sent < text.size()) {
    const ssize_t size = send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return fd_ >= 0;
}

bool Connection::Fill(double deadline) {
  if (fd_ < 0) {
    return false;
  }
  pollfd wait{.fd = fd_, .events = POLLIN, .revents = 0};
  const double left = deadline - Now();
  if (left <= 0 || poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0) {
    timed_out_ = true;
    return false;
  }
  char bytes[16384];
  const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
  if (size <= 0) {
    return false;
  }
  buffer_.append(bytes, static_cast<std::size_t>(size));
  return true;
}

bool Connection::ReadLine(std::string& line, double deadline) {
  while (true) {
    const std::size_t end = buffer_.find("\r\n");
    if (end != std::string::npos) {
      line = buffer_.substr(0, end);
      buffer_.erase(0, end + 2);
      return true;
    }
    if (!Fill(deadline)) {
      return false;
    }
  }
}

bool Connection::ReadHead(Message& message, bool request, double timeout_s) {
  const double deadline = Now() + timeout_s;
  timed_out_ = false;
  body_begun_ = false;
  left_ = 0;
  message = Message{};
  std::string line;
  if (!ReadLine(line, deadline)) {
    return false;
  }
  message.first_line = line;
  std::istringstream first(line);
  std::string version;
  if (request) {
    first >> message.method >> message.target >> version;
  } else {
    first >> version >> message.status;
    if (version.compare(0, 5, "HTTP/") != 0) {
      return false;
    }
  }
  while (ReadLine(line, deadline)) {
    if (line.empty()) {
      return true;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t begin = line.find_first_not_of(" \t", colon + 1);
      message.headers[Lower(line.substr(0, colon))] = begin == std::string::npos ? "" : line.substr(begin);
    }
  }
  return false;
}

bool Connection::ReadRequest(Message& request, double timeout_s) {
  if (!ReadHead(request, true, timeout_s)) {
    return false;
  }
  if (request.Header("content-length").empty() && request.Header("transfer-encoding").empty()) {
    return true;
  }
  std::string piece;
  bool complete = false;
  while (ReadPiece(request, piece, complete, timeout_s)) {
    request.body += piece;
  }
  return complete;
}

bool Connection::ReadPiece(const Message& head, std::string& piece, bool& complete, double timeout_s) {
  const double deadline = Now() + timeout_s;
  timed_out_ = false;
  complete = false;
  piece.clear();
  const bool chunked = Lower(head.Header("transfer-encoding")) == "chunked";
  const std::string length = head.Header("content-length");
  if (chunked) {
    std::string line;
    if (!ReadLine(line, deadline)) {
      return false;
    }
    std::size_t size = std::stoull(line, nullptr, 16);
    if (size == 0) {
      while (ReadLine(line, deadline)) {
        if (line.empty()) {
          complete = true;
          return false;
        }
      }
      return false;
    }
    while (buffer_.size() < size + 2) {
      if (!Fill(deadline)) {
        return false;
      }
    }
    piece = buffer_.substr(0, size);
    buffer_.erase(0, size + 2);
    return true;
  }
  if (!length.empty() && !body_begun_) {
    body_begun_ = true;
    left_ = std::stoull(length);
  }
  if (!length.empty() && left_ == 0) {
    complete = true;
    return false;
  }
  if (buffer_.empty()) {
    if (!Fill(deadline)) {
      // Without a length the end of the connection ends the body; a reset does not.
      char byte = 0;
      complete = length.empty() && !timed_out_ && recv(fd_, &byte, 1, MSG_DONTWAIT) == 0;
      return false;
    }
  }
  const std::size_t size = length.empty() ? buffer_.size() : std::min(left_, buffer_.size());
  piece = buffer_.substr(0, size);
  buffer_.erase(0, size);
  left_ -= length.empty() ? 0 : size;
  return true;
}

bool Connection::PeerClosed() {
  if (fd_ < 0) {
    return true;
  }
  char byte = 0;
  const ssize_t size = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void Connection::Close() {
  if (fd_ >= 0) {
    close(fd_);
    fd_ = -1;
  }
}

void Connection::Reset() {
  if (fd_ >= 0) {
    const linger option{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    Close();
  }
}

Listener::Listener(const std::string& ip, Handler handler) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in where = ToSocketAddress(ip);
  if (bind(fd, reinterpret_cast<sockaddr*>(&where), sizeof(where)) != 0 || listen(fd, 512) != 0) {
    std::fprintf(stderr, "Can't listen at %s.\n", ip.c_str());
    std::_Exit(2);
  }
  socklen_t size = sizeof(where);
  getsockname(fd, reinterpret_cast<sockaddr*>(&where), &size);
  address_ = ip + ":" + std::to_string(ntohs(where.sin_port));
  std::thread([fd, handler = std::move(handler)] {
    while (true) {
      const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      const int one = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      std::thread([accepted, handler] {
        Connection connection(accepted);
        handler(connection);
      }).detach();
    }
  }).detach();
}

Store::Store(const std::string& ip, Record& record) : record_(record) {
  listener_ = std::make_unique<Listener>(ip, [this](Connection& connection) { Serve(connection); });
  std::thread([this] { KeepCopies(); }).detach();
}

void Store::KeepCopies() {
  constexpr double kInterval = 0.1;
  constexpr std::size_t kCopies = 100;
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      copies_.push_back({.at = Now(), .rows = rows_, .version = version_});
      if (copies_.size() > kCopies) {
        copies_.erase(copies_.begin());
      }
    }
    SleepFor(kInterval);
  }
}

void Store::Put(const std::string& table, const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  rows_[{table, key}] = {.value = value, .version = ++version_};
  changed_.notify_all();
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  rows_[{table, key}] = {.value = std::nullopt, .version = ++version_};
  changed_.notify_all();
}

std::string Store::ValueOf(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = rows_.find({table, key});
  return found == rows_.end() ? std::string() : found->second.value.value_or("");
}

void Store::Drill(double away_s, double copy_age_s) {
  Copy copy;
  Rows written;
  {
    const std::lock_guard lock(mutex_);
    away_ = true;
    changed_.notify_all();
    copy = copies_.front();
    for (const Copy& each : copies_) {
      if (each.at <= Now() - copy_age_s) {
        copy = each;
      }
    }
  }
  record_.Line("store: away for a drill");
  SleepFor(away_s);
  const std::lock_guard lock(mutex_);
  for (const auto& [name, row] : rows_) {
    if (name.first == "op" || name.first == "servers") {
      written[name] = row;
    }
  }
  record_.Line("store: back from a copy that is " + std::to_string(Now() - copy.at) + " s old; version " +
               std::to_string(version_) + " -> " + std::to_string(copy.version));
  for (const auto& [name, row] : rows_) {
    const auto kept = copy.rows.find(name);
    if (name.first != "op" && name.first != "servers" &&
        (kept == copy.rows.end() || kept->second.version != row.version)) {
      record_.Line("store: the copy lacks the last write of " + name.first + " " + name.second);
    }
  }
  rows_ = copy.rows;
  version_ = copy.version;
  ++era_;
  for (const auto& [name, row] : written) {
    const auto kept = rows_.find(name);
    if (kept == rows_.end() || kept->second.value != row.value) {
      rows_[name] = {.value = row.value, .version = ++version_};
    }
  }
  copies_.clear();
  copies_.push_back({.at = Now(), .rows = rows_, .version = version_});
  away_ = false;
  changed_.notify_all();
}

std::string Store::Page(const std::string& table, const std::string& from, const std::string& to, std::uint64_t after,
                        std::size_t limit, bool feed, bool& empty) {
  std::vector<std::pair<std::string, Row>> found;
  for (const auto& [name, row] : rows_) {
    if (name.first != table || name.second < from || (!to.empty() && name.second >= to) || row.version <= after ||
        (!feed && !row.value)) {
      continue;
    }
    found.emplace_back(name.second, row);
  }
  if (feed) {
    std::ranges::sort(found, {}, [](const auto& item) { return item.second.version; });
  }
  json::array rows;
  bool has_more = false;
  for (const auto& [key, row] : found) {
    if (rows.size() == limit) {
      has_more = true;
      break;
    }
    json::object item{{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
    if (row.value) {
      item["value"] = EncodeBase64(*row.value);
    } else {
      item["deleted"] = true;
    }
    rows.emplace_back(std::move(item));
  }
  empty = rows.empty();
  return json::serialize(json::object{
      {"rows", std::move(rows)}, {"has_more", has_more}, {"ver", version_}, {"now_ms", std::uint64_t(Now() * 1000)}});
}

void Store::Serve(Connection& connection) {
  constexpr double kAnswerTime = 0.004;
  constexpr double kIdleTime = 60;
  Message request;
  while (connection.ReadRequest(request, kIdleTime)) {
    SleepFor(kAnswerTime);
    std::unique_lock lock(mutex_);
    const std::uint64_t era = era_;
    const auto headers = [this] { return "Store-Era: " + std::to_string(era_) + "\r\n"; };
    std::string answer;
    const std::string& target = request.target;
    if (away_) {
      // A 503 means that nothing was done.
      answer = JsonAnswer(503, headers(), "");
    } else if (target.starts_with("/v1/rows-get")) {
      bool empty = false;
      std::size_t limit = NumericParameter(target, "limit");
      limit = limit == 0 ? 50 : std::min<std::size_t>(limit, 500);
      answer = JsonAnswer(200, headers(),
                          Page(QueryParameter(target, "table"), QueryParameter(target, "from"),
                               QueryParameter(target, "to"), 0, limit, false, empty));
    } else if (target.starts_with("/v1/rows-feed")) {
      const std::uint64_t after = NumericParameter(target, "after_rev");
      const double until = Now() + static_cast<double>(NumericParameter(target, "wait_ms")) / 1000;
      while (true) {
        if (away_ || era != era_ || after > version_) {
          answer = JsonAnswer(away_ ? 503 : 410, headers(), "");
          break;
        }
        bool empty = false;
        std::string page = Page(QueryParameter(target, "table"), "", "", after, SIZE_MAX, true, empty);
        const double left = until - Now();
        if (!empty || left <= 0) {
          answer = JsonAnswer(200, headers(), page);
          break;
        }
        changed_.wait_for(lock, std::chrono::duration<double>(left));
      }
    } else if (target == "/v1/rows-tx") {
      const json::object body = json::parse(request.body).as_object();
      int status = 200;
      const auto name_of = [](const json::value& entry) {
        const json::object& row = entry.as_object();
        return std::pair(std::string(row.at("table").as_string()), std::string(row.at("key").as_string()));
      };
      for (const json::value& entry : body.at("expected_rev").as_array()) {
        const auto found = rows_.find(name_of(entry));
        const std::uint64_t version = found == rows_.end() || !found->second.value ? 0 : found->second.version;
        if (version != entry.as_object().at("ver").to_number<std::uint64_t>()) {
          status = 412;
        }
      }
      if (status == 200) {
        ++version_;
        for (const json::value& entry : body.at("puts").as_array()) {
          const auto name = name_of(entry);
          rows_[name] = {.value = DecodeBase64(std::string(entry.as_object().at("value").as_string())),
                         .version = version_};
        }
        for (const json::value& entry : body.at("remove").as_array()) {
          const auto found = rows_.find(name_of(entry));
          if (found != rows_.end()) {
            found->second = {.value = std::nullopt, .version = version_};
          }
        }
        changed_.notify_all();
      }
      answer = JsonAnswer(status, headers(),
                          json::serialize(json::object{{"rows", json::array{}},
                                                       {"ver", version_},
                                                       {"now_ms", std::uint64_t(Now() * 1000)}}));
    } else {
      answer = JsonAnswer(404, headers(), "");
    }
    lock.unlock();
    if (!connection.Write(answer)) {
      return;
    }
  }
}

Cloud::Cloud(const std::string& ip, Record& record) : record_(record) {
  listener_ = std::make_unique<Listener>(ip, [this](Connection& connection) {
    Message request;
    while (connection.ReadRequest(request, 60)) {
      DutyCall call{.at = Now(),
                    .target = request.target,
                    .holder = request.Header("Duty-Holder"),
                    .token = std::strtoull(request.Header("Fence-Token").c_str(), nullptr, 10),
                    .body = request.body};
      record_.Line("cloud: " + call.target + " of " + call.holder + " token " + std::to_string(call.token) + " " +
                   call.body + " -> 200");
      {
        const std::lock_guard lock(mutex_);
        calls_.push_back(call);
      }
      connection.Write(JsonAnswer(200, "", "{}"));
    }
  });
}

std::vector<DutyCall> Cloud::calls() {
  const std::lock_guard lock(mutex_);
  return calls_;
}

std::string Cloud::LastHolder() {
  const std::lock_guard lock(mutex_);
  return calls_.empty() ? std::string() : calls_.back().holder;
}

Worker::Worker(Store& store, const std::string& ip, std::string id, std::string service, std::string zone, int slots,
               Handler handler)
    : store_(store),
      id_(std::move(id)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      slots_(slots),
      born_(UnixMs()),
      handler_(std::move(handler)) {
  listener_ = std::make_unique<Listener>(ip, [this](Connection& connection) {
    Message request;
    while (connection.ReadRequest(request, 60)) {
      const std::string expected = request.Header("Expect-Instance");
      if (request.target == "/healthz") {
        connection.Write("HTTP/1.1 200 OK\r\nInstance-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (!expected.empty() && expected != id_) {
        connection.Write("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + request.Header("Attempt-Id") +
                         "\r\nInstance-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      ++active_;
      handler_(*this, connection, request);
      --active_;
    }
  });
  Register();
  beat_ = std::thread([this] {
    constexpr double kHeartbeat = 1.2;
    while (!stopped_) {
      SleepFor(kHeartbeat);
      if (!stopped_) {
        Register();
      }
    }
  });
}

Worker::~Worker() {
  stopped_ = true;
  beat_.detach();
}

void Worker::Register() {
  store_.Put("servers", id_,
             json::serialize(json::object{{"service", service_},
                                          {"address", address()},
                                          {"zone", zone_},
                                          {"version", "v1"},
                                          {"slots", slots_},
                                          {"state", draining_ ? "draining" : "ready"},
                                          {"cold_left_ms", 0},
                                          {"seq_no", sequence_.fetch_add(1)},
                                          {"born", born_}}));
}

void Worker::Drain() {
  draining_ = true;
  Register();
}

std::string Worker::AnswerHead(const Message& request, int status) const {
  return "HTTP/1.1 " + std::to_string(status) + " OK\r\nAttempt-Id: " + request.Header("Attempt-Id") +
         "\r\nResponse-Seal: seal-" + id_ + "\r\nServer-Load: " + std::to_string(active_.load()) + ",0," +
         std::to_string(slots_) + ",100\r\nKeep-Alive: timeout=5\r\n";
}

Daemon::Daemon(const Store& store, const Cloud& cloud, std::string name, std::string zone, int host,
               std::string folder, Record& record)
    : name_(std::move(name)),
      zone_(std::move(zone)),
      ip_(LoopbackAddress(host)),
      folder_(std::move(folder)),
      record_(record) {
  for (const char* port : {":8221", ":8224", ":8229", ":7600", ":9464"}) {
    if (!CanBind(ip_ + port)) {
      std::fprintf(stderr, "The port %s%s is taken.\n", ip_.c_str(), port);
      std::_Exit(2);
    }
  }
  std::ofstream settings(folder_ + "/" + name_ + ".conf");
  settings << "node_name=" << name_ << "\nrole=daemon\nmachine_class=edge\nserves=edge\nip=" << ip_
           << "\nzone=" << zone_
           << "\nregion=lombardia-veneto\nzones.brescia=lombardia-veneto\nzones.bergamo=lombardia-veneto\n"
              "zones.verona=lombardia-veneto\nzones.mantova=lombardia-veneto\nlisten.front_addr="
           << ip_ << ":8221\nlisten.ready_addr=" << ip_ << ":8224\nlisten.control_addr=" << ip_
           << ":8229\ninternal_ports=7600,7615\nseed_nodes=\nis_bootstrap=true\nis_counted=false\n"
              "limits.cpu_share=0.25\nlimits.cpu_cores=1\nlimits.memory_mb="
           << kMemoryMb
           << "\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n"
              "entry_kind=vip\nheartbeat_ms=1200\n"
              "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,platform\n"
              "fault_tolerance.machine_faults=2\nfault_tolerance.zones=1\nfault_tolerance.region_faults=0\n"
              "bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\n"
              "bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n"
              "bounds.config_apply_ms=2000\nbounds.revert_slack_ms=250\nbounds.max_stretch_ms=5000\n"
              "bounds.strict_revoke=false\nbounds.revoke_ms=5000\nbounds.retry_ratio=0.2\n"
              "bounds.retry_window_s=10\nbounds.retry_allowance=56\nbounds.quota_window_s=8\n"
              "bounds.quota_overshoot=0.1\nbounds.quota_allowance=140000\nbounds.fencing_enforced=false\n"
              "bounds.lease_ms=3000\nbounds.thaw_ms=300\nbounds.report_window_s=5\n"
              "bounds.usage_tolerance=0.05\nbounds.usage_delay_s=10\nbounds.recovery_s=12\n"
              "bounds.delivery_ms=120\nbounds.retry_after_s=10\nplatform.address="
           << store.address()
           << "\nplatform.form=table\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
              "platform.tx_ms=5.0\nplatform.part_writes_s=200\nplatform.row_bytes=65536\n"
              "platform.cross_partition=false\nplatform.history_s=20\ncloud_api.address="
           << cloud.address()
           << "\ncloud_api.rate_per_s=50.0\ncloud_api.duties=usage_report,autoscale\ncloud_api.duty_per_s=50.0\n";
}

Daemon::~Daemon() {
  if (Running()) {
    Signal(SIGKILL);
    WaitForEnd(5);
  }
}

void Daemon::Start() {
  const std::string settings = "SAVORYGLADE_NODE_FILE=" + folder_ + "/" + name_ + ".conf";
  const std::string log = folder_ + "/" + name_ + "." + std::to_string(++starts_) + ".log";
  std::string path = std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "/usr/bin");
  std::string home = std::string("HOME=") + folder_;
  std::string lang = "LANG=C.UTF-8";
  std::string variable = settings;
  char* environment[] = {path.data(), home.data(), lang.data(), variable.data(), nullptr};
  std::string program = "target/packages/savorygladed";
  std::string option = "--platform";
  char* arguments[] = {program.data(), option.data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  pid_t pid = 0;
  if (posix_spawn(&pid, program.c_str(), &actions, nullptr, arguments, environment) != 0) {
    std::fprintf(stderr, "Can't start %s; run the build of the deploy file first.\n", program.c_str());
    std::_Exit(2);
  }
  posix_spawn_file_actions_destroy(&actions);
  pid_ = pid;
  record_.Line("platform: started " + name_);
}

void Daemon::Signal(int signal) {
  if (pid_ > 0) {
    record_.Line("platform: " + std::string(strsignal(signal)) + " to " + name_);
    kill(pid_, signal);
  }
}

bool Daemon::Running() {
  const pid_t pid = pid_;
  if (pid <= 0) {
    return false;
  }
  int status = 0;
  if (waitpid(pid, &status, WNOHANG) == pid) {
    pid_ = 0;
    record_.Line("platform: " + name_ + " has ended, " +
                 (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                      : "exit code " + std::to_string(WEXITSTATUS(status))));
    return false;
  }
  return true;
}

bool Daemon::WaitForEnd(double timeout_s) {
  const double until = Now() + timeout_s;
  while (Now() < until) {
    if (!Running()) {
      return true;
    }
    SleepFor(0.02);
  }
  return false;
}

bool Daemon::WaitUntilReady(double timeout_s) {
  const double until = Now() + timeout_s;
  while (Now() < until) {
    if (const auto connection = Connection::Connect(ready(), 1)) {
      Message answer;
      if (connection->Write("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n") && connection->ReadHead(answer, false, 1) &&
          answer.status == 200) {
        return true;
      }
    }
    SleepFor(0.1);
  }
  return false;
}

double Daemon::MemoryMb() const {
  std::ifstream file("/proc/" + std::to_string(pid_.load()) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::atof(line.c_str() + 6) / 1024;
    }
  }
  return 0;
}

std::string TemporaryFolder() {
  static const std::string path = [] {
    std::string text = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    return std::string(mkdtemp(text.data()));
  }();
  return path;
}

void Finish(int code) {
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(TemporaryFolder(), ignored);
  } else {
    std::fprintf(stderr, "The logs are in %s.\n", TemporaryFolder().c_str());
  }
  std::fflush(stdout);
  // Threads that serve connections use objects that a normal end would destroy.
  std::_Exit(code);
}

std::string RandomId() {
  char text[24];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(Draw()));
  return text;
}

std::string RequestText(const std::string& method, const std::string& path, const std::string& id, int deadline_ms,
                        const std::string& headers, const std::string& body) {
  return method + " " + path + " HTTP/1.1\r\nHost: " + kHost + "\r\nAttempt-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\nAuthorization: Bearer " + kKey + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Manifest(int version) {
  json::object brief{{"name", "route-brief"},  {"host", kHost},       {"prefix", "/brief/"},
                     {"route_kind", "streaming"}, {"timeout_ms", 15000}, {"goal_ms", 1200},
                     {"priority", 1},          {"service", "assistente"}, {"max_attempts", 1},
                     {"public", false},        {"sticky", true},      {"resumable", false},
                     {"itl_target_ms", 500}};
  json::object recap = brief;
  recap["name"] = "customer-recap";
  recap["prefix"] = "/recap/";
  recap["timeout_ms"] = 12000;
  recap["goal_ms"] = 500;
  recap["priority"] = 0;
  recap["max_attempts"] = 2;
  recap["resumable"] = true;
  json::object confirm{{"name", "delivery-confirm"},       {"host", kHost},       {"prefix", "/confirm/"},
                       {"route_kind", "non_idempotent"}, {"timeout_ms", 1200},  {"goal_ms", 150},
                       {"priority", 2},                  {"service", "ordini"}, {"max_attempts", 1},
                       {"public", false},                {"sticky", false},     {"resumable", false}};
  json::object engine{{"slots", 64},      {"kv_capacity", 550405}, {"kv_bytes", 18432}, {"link_mbps", 280000.0},
                      {"moves", true},    {"backups", true},       {"stride", 6},       {"most", 12},
                      {"pin_ms", 4000.0}, {"hold_ms", 2000.0},     {"handle_ttl_s", 5.0},
                      {"models", json::array{json::object{{"name", "m"}}}}};
  json::array services{json::object{{"name", "assistente"},
                                    {"health_path", "/healthz"},
                                    {"max_conns", 370},
                                    {"protocol", "h1"},
                                    {"tls", false},
                                    {"engine", std::move(engine)}},
                       json::object{{"name", "ordini"},
                                    {"health_path", "/healthz"},
                                    {"max_conns", 110},
                                    {"protocol", "h1"},
                                    {"tls", false}}};
  json::array tenants{json::object{{"name", kTenant}, {"api_keys", json::array{kKey}}, {"priority", 1}}};
  return json::serialize(json::object{{"version", version},
                                      {"routes", json::array{std::move(brief), std::move(recap), std::move(confirm)}},
                                      {"services", std::move(services)},
                                      {"limits", json::object{{"max_header_bytes", 16384},
                                                              {"max_body_bytes", 4194304},
                                                              {"header_timeout_ms", 3000},
                                                              {"idle_timeout_ms", 15000}}},
                                      {"tenants", std::move(tenants)}});
}

}  // namespace rig
