#include "net/peer_watch.h"

#include <sys/socket.h>

#include <boost/asio.hpp>
#include <cerrno>
#include <utility>

namespace savoryglade {

namespace asio = boost::asio;
using asio::ip::tcp;

struct PeerWatch::State {
  explicit State(tcp::socket& watched) : socket(&watched) {}

  // Null once the watch has ended.
  tcp::socket* socket;
  asio::cancellation_signal cancellation;
  std::function<void()> callback;
  bool gone = false;
};

PeerWatch::PeerWatch(boost::beast::tcp_stream& stream)
    : state_(std::make_shared<State>(stream.socket())) {
  Wait(state_);
}

PeerWatch::~PeerWatch() {
  state_->socket = nullptr;
  state_->callback = nullptr;
  state_->cancellation.emit(asio::cancellation_type::terminal);
}

bool PeerWatch::gone() const { return state_->gone; }

void PeerWatch::OnGone(std::function<void()> callback) {
  state_->callback = std::move(callback);
  if (state_->gone && state_->callback) {
    std::exchange(state_->callback, nullptr)();
  }
}

void PeerWatch::Wait(const std::shared_ptr<State>& state) {
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
    state->gone = true;
    if (state->callback) {
      std::exchange(state->callback, nullptr)();
    }
  };
  state->socket->async_wait(
      tcp::socket::wait_read,
      asio::bind_cancellation_slot(state->cancellation.slot(), std::move(handler)));
}

}  // namespace savoryglade
