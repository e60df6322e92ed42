#include "tests/untrusted_clients/crowd.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <string_view>
#include <utility>

#include "core/time.h"

namespace savoryglade {
namespace {

// A server that has taken nothing for this long has stopped reading.
constexpr Duration kMaxPause = 1s;
// Bounds the load if a server reads for ever.
constexpr Duration kMaxTime = 12s;
constexpr int kPollMilliseconds = 50;

}  // namespace

Crowd::Crowd(const Endpoint& endpoint, int clients, CrowdText text) : text_(std::move(text)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  for (int i = 0; i < clients; ++i) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    // A connect that is under way is completed by the kernel.
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 ||
        errno == EINPROGRESS) {
      clients_.push_back({.socket = socket});
    } else {
      ::close(socket);
    }
  }
}

Crowd::~Crowd() {
  for (const Client& client : clients_) {
    if (client.socket >= 0) {
      ::close(client.socket);
    }
  }
}

bool Crowd::SendPiece(Client& client) {
  const std::size_t in_round = client.offset % RoundBytes();
  std::string_view next;
  if (in_round < text_.head.size()) {
    next = std::string_view(text_.head).substr(in_round);
  } else {
    const std::size_t done = in_round - text_.head.size();
    next = std::string_view(text_.filler).substr(done % text_.filler.size());
    next = next.substr(0, text_.filler_bytes - done);
  }
  next = next.substr(0, text_.piece);
  const ssize_t sent = ::send(client.socket, next.data(), next.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent > 0) {
    client.offset += static_cast<std::size_t>(sent);
    return client.offset < TotalBytes();
  }
  if (errno != EAGAIN) {
    // The server has closed the connection.
    ::close(std::exchange(client.socket, -1));
  }
  return false;
}

void Crowd::Send() {
  const auto now = [] { return std::chrono::steady_clock::now(); };
  const TimePoint begun_at = now();
  TimePoint progress_at = begun_at;
  while (now() - progress_at < kMaxPause && now() - begun_at < kMaxTime) {
    std::vector<pollfd> waits;
    std::vector<Client*> unfinished;
    for (Client& client : clients_) {
      if (client.socket >= 0 && client.offset < TotalBytes()) {
        waits.push_back({.fd = client.socket, .events = POLLOUT, .revents = 0});
        unfinished.push_back(&client);
      }
    }
    if (waits.empty()) {
      return;
    }
    ::poll(waits.data(), waits.size(), kPollMilliseconds);
    for (std::size_t i = 0; i < waits.size(); ++i) {
      if (waits[i].revents != 0) {
        constexpr int kPiecesAtOnce = 16;
        for (int pieces = 0; pieces < kPiecesAtOnce && SendPiece(*unfinished[i]); ++pieces) {
        }
        progress_at = now();
      }
    }
  }
}

void Crowd::CloseHalf() {
  for (std::size_t i = 0; i < clients_.size(); i += 2) {
    if (clients_[i].socket >= 0) {
      ::close(std::exchange(clients_[i].socket, -1));
    }
  }
}

}  // namespace savoryglade
