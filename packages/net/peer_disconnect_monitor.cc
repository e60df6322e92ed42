#include "net/peer_disconnect_monitor.h"

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio.hpp>
#include <cerrno>
#include <utility>

#include "core/time.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Interval at which a connection with unread bytes is checked. A wait for input would end at once.
constexpr Duration kCheckInterval = 50ms;

// What is known of a connection from which nothing is read.
enum class PeerState { kSilent, kHasSent, kDisconnected };

PeerState StateOfPeer(tcp::socket& socket) {
  if (!socket.is_open()) {
    return PeerState::kDisconnected;
  }
  char byte = 0;
  const auto size = ::recv(socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (size < 0) {
    return errno == EAGAIN || errno == EINTR ? PeerState::kSilent : PeerState::kDisconnected;
  }
  if (size == 0) {
    return PeerState::kDisconnected;
  }
  // The bytes hide the end of the stream from recv.
  pollfd state{.fd = socket.native_handle(), .events = POLLRDHUP, .revents = 0};
  ::poll(&state, 1, 0);
  const bool ended = (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  return ended ? PeerState::kDisconnected : PeerState::kHasSent;
}

}  // namespace

struct PeerDisconnectMonitor::State {
  explicit State(tcp::socket& monitored)
      : socket(&monitored), check_timer(monitored.get_executor()) {}

  void OnDisconnected() {
    disconnected = true;
    if (callback) {
      std::exchange(callback, nullptr)();
    }
  }

  // Null once the monitor is destroyed.
  tcp::socket* socket;
  asio::steady_timer check_timer;
  asio::cancellation_signal cancellation;
  std::function<void()> callback;
  bool disconnected = false;
};

PeerDisconnectMonitor::PeerDisconnectMonitor(boost::beast::tcp_stream& stream)
    : state_(std::make_shared<State>(stream.socket())) {
  WaitForInput(state_);
}

PeerDisconnectMonitor::~PeerDisconnectMonitor() {
  state_->socket = nullptr;
  state_->callback = nullptr;
  state_->check_timer.cancel();
  state_->cancellation.emit(asio::cancellation_type::terminal);
}

bool PeerDisconnectMonitor::disconnected() const { return state_->disconnected; }

bool PeerDisconnectMonitor::Check() {
  if (!state_->disconnected && StateOfPeer(*state_->socket) == PeerState::kDisconnected) {
    state_->OnDisconnected();
  }
  return state_->disconnected;
}

void PeerDisconnectMonitor::OnDisconnect(std::function<void()> callback) {
  state_->callback = std::move(callback);
  if (state_->disconnected && state_->callback) {
    std::exchange(state_->callback, nullptr)();
  }
}

void PeerDisconnectMonitor::WaitForInput(const std::shared_ptr<State>& state) {
  auto handler = [state](boost::system::error_code error) {
    if (state->socket == nullptr || state->disconnected ||
        error == asio::error::operation_aborted) {
      return;
    }
    switch (StateOfPeer(*state->socket)) {
      case PeerState::kSilent:
        WaitForInput(state);
        break;
      case PeerState::kHasSent:
        CheckLater(state);
        break;
      case PeerState::kDisconnected:
        state->OnDisconnected();
        break;
    }
  };
  state->socket->async_wait(
      tcp::socket::wait_read,
      asio::bind_cancellation_slot(state->cancellation.slot(), std::move(handler)));
}

void PeerDisconnectMonitor::CheckLater(const std::shared_ptr<State>& state) {
  state->check_timer.expires_after(kCheckInterval);
  state->check_timer.async_wait([state](boost::system::error_code error) {
    if (error || state->socket == nullptr || state->disconnected) {
      return;
    }
    if (StateOfPeer(*state->socket) == PeerState::kDisconnected) {
      state->OnDisconnected();
    } else {
      CheckLater(state);
    }
  });
}

}  // namespace savoryglade
