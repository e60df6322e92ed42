#include "emulator/emulated_link.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

#include "net/log_exception.h"
#include "net/sleep.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kChunkBytes = 4 * 1024;

TimePoint Now() { return std::chrono::steady_clock::now(); }

}  // namespace

EmulatedLink::EmulatedLink(Endpoint target, double bytes_per_s)
    : target_(std::move(target)),
      bytes_per_s_(bytes_per_s),
      acceptor_(pool_.context(0), tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
  endpoint_ = {.address = "127.0.0.1", .port = acceptor_.local_endpoint().port()};
  asio::co_spawn(pool_.context(0), Accept(), LogException("link"));
}

EmulatedLink::~EmulatedLink() { pool_.Stop(); }

asio::awaitable<void> EmulatedLink::Accept() {
  while (true) {
    auto [error, socket] = co_await acceptor_.async_accept(kAwait);
    if (error) {
      co_return;
    }
    ++connections_;
    asio::co_spawn(pool_.context(0), Open(std::make_shared<Socket>(std::move(socket))),
                   LogException("link"));
  }
}

asio::awaitable<void> EmulatedLink::Open(std::shared_ptr<Socket> caller) {
  const auto target = std::make_shared<Socket>(pool_.context(0));
  const tcp::endpoint address(asio::ip::make_address(target_.address), target_.port);
  const auto [error] = co_await target->async_connect(address, kAwait);
  if (error) {
    co_return;
  }
  asio::co_spawn(pool_.context(0), Relay(caller, target, 0), LogException("link"));
  asio::co_spawn(pool_.context(0), Relay(target, caller, 1), LogException("link"));
}

asio::awaitable<void> EmulatedLink::Relay(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to,
                                          std::size_t direction) {
  std::array<char, kChunkBytes> chunk;
  while (true) {
    const auto [read_error, size] = co_await from->async_read_some(asio::buffer(chunk), kAwait);
    if (read_error) {
      break;
    }
    TimePoint& free_at = free_at_.at(direction);
    free_at = std::max(free_at, Now()) + FromSeconds(static_cast<double>(size) / bytes_per_s_);
    co_await Sleep(free_at - Now());
    const auto [write_error, written] =
        co_await asio::async_write(*to, asio::buffer(chunk, size), kAwait);
    if (write_error) {
      break;
    }
  }
  boost::system::error_code ignored;
  from->close(ignored);
  to->close(ignored);
}

}  // namespace savoryglade
