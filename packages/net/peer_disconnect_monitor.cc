#include "net/peer_disconnect_monitor.h"

#include <sys/socket.h>

#include <boost/asio.hpp>
#include <cerrno>
#include <utility>

namespace savoryglade {

namespace asio = boost::asio;
using asio::ip::tcp;

struct PeerDisconnectMonitor::State {
  explicit State(tcp::socket& watched) : socket(&watched) {}

  // Null once the watch has ended.
  tcp::socket* socket;
  asio::cancellation_signal cancellation;
  std::function<void()> callback;
  bool disconnected = false;
};

PeerDisconnectMonitor::PeerDisconnectMonitor(boost::beast::tcp_stream& stream)
    : state_(std::make_shared<State>(stream.socket())) {
  Wait(state_);
}

PeerDisconnectMonitor::~PeerDisconnectMonitor() {
  state_->socket = nullptr;
  state_->callback = nullptr;
  state_->cancellation.emit(asio::cancellation_type::terminal);
}

bool PeerDisconnectMonitor::disconnected() const { return state_->disconnected; }

void PeerDisconnectMonitor::OnDisconnect(std::function<void()> callback) {
  state_->callback = std::move(callback);
  if (state_->disconnected && state_->callback) {
    std::exchange(state_->callback, nullptr)();
  }
}

void PeerDisconnectMonitor::Wait(const std::shared_ptr<State>& state) {
  auto handler = [state](boost::system::error_code error) {
    if (state->socket == nullptr || error == asio::error::operation_aborted) {
      return;
    }
    char byte = 0;
    const auto size =
        ::recv(state->socket->native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    if (size > 0) {
      return;
    }
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
      Wait(state);
      return;
    }
    state->disconnected = true;
    if (state->callback) {
      std::exchange(state->callback, nullptr)();
    }
  };
  state->socket->async_wait(
      tcp::socket::wait_read,
      asio::bind_cancellation_slot(state->cancellation.slot(), std::move(handler)));
}

}  // namespace savoryglade
