#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <sstream>

#include "rig.h"

namespace rig {
namespace {

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

std::string Lower(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - kStart).count();
}

void SleepFor(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
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
      message.headers[Lower(line.substr(0, colon))] =
          begin == std::string::npos ? "" : line.substr(begin);
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

bool Connection::ReadPiece(const Message& head, std::string& piece, bool& complete,
                           double timeout_s) {
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

bool CanBind(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in where = ToSocketAddress(address);
  const bool bound = bind(fd, reinterpret_cast<sockaddr*>(&where), sizeof(where)) == 0;
  close(fd);
  return bound;
}

std::string RandomId() {
  char text[24];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(Draw()));
  return text;
}

}  // namespace rig
