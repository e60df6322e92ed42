#include "emulator/emulated_link.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <cerrno>
#include <system_error>
#include <utility>
#include <vector>

#include "net/log_exception.h"
#include "net/sleep.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kChunkBytes = 4 * 1024;
constexpr Duration kPartitionCheckInterval = 5ms;

TimePoint Now() { return std::chrono::steady_clock::now(); }

}  // namespace

EmulatedLink::EmulatedLink(Endpoint target, double bytes_per_s)
    : target_(std::move(target)),
      bytes_per_s_(bytes_per_s),
      acceptor_(pool_.context(0), tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
  endpoint_ = {.address = "127.0.0.1", .port = acceptor_.local_endpoint().port()};
  asio::co_spawn(pool_.context(0), Accept(), LogException("link"));
}

EmulatedLink::~EmulatedLink() {
  pool_.Stop();
  // Their sockets must not outlive the pool.
  open_.clear();
}

void EmulatedLink::SetPartitioned(const std::set<std::string>& source_addresses, bool reset) {
  std::set<std::uint32_t> addresses;
  for (const std::string& address : source_addresses) {
    addresses.insert(asio::ip::make_address_v4(address).to_uint());
  }
  asio::post(pool_.context(0), [this, addresses = std::move(addresses), reset] {
    partitioned_ = addresses;
    ApplyFilter(acceptor_.native_handle());
    for (const ConnectionPointer& connection : open_) {
      if (reset && partitioned_.contains(connection->source)) {
        boost::system::error_code ignored;
        connection->caller.set_option(asio::socket_base::linger(true, 0), ignored);
        connection->caller.close(ignored);
        connection->target.close(ignored);
      } else if (connection->caller.is_open()) {
        ApplyFilter(connection->caller.native_handle());
      }
    }
  });
}

void EmulatedLink::ApplyFilter(int socket) const {
  if (partitioned_.empty()) {
    int unused = 0;
    ::setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
    return;
  }
  // Drops a packet if its source address is one of those partitioned.
  constexpr unsigned kSourceOffset = static_cast<unsigned>(SKF_NET_OFF) + 12;
  std::vector<sock_filter> program = {BPF_STMT(BPF_LD | BPF_W | BPF_ABS, kSourceOffset)};
  std::size_t remaining = partitioned_.size();
  for (const std::uint32_t address : partitioned_) {
    program.push_back(
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, address, static_cast<std::uint8_t>(remaining--), 0));
  }
  program.push_back(BPF_STMT(BPF_RET | BPF_K, ~0U));
  program.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
  const sock_fprog filter{.len = static_cast<decltype(sock_fprog::len)>(program.size()),
                          .filter = program.data()};
  if (::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)) != 0) {
    throw std::system_error(errno, std::generic_category(), "SO_ATTACH_FILTER");
  }
}

asio::awaitable<void> EmulatedLink::Accept() {
  while (true) {
    auto [error, socket] = co_await acceptor_.async_accept(kAwait);
    if (error) {
      co_return;
    }
    ++connections_;
    const auto connection = std::make_shared<Connection>(std::move(socket), pool_.context(0));
    boost::system::error_code ignored;
    connection->source = connection->caller.remote_endpoint(ignored).address().to_v4().to_uint();
    asio::co_spawn(pool_.context(0), Open(connection), LogException("link"));
  }
}

asio::awaitable<void> EmulatedLink::Open(ConnectionPointer connection) {
  const tcp::endpoint address(asio::ip::make_address(target_.address), target_.port);
  const auto [error] = co_await connection->target.async_connect(address, kAwait);
  if (error) {
    co_return;
  }
  open_.insert(connection);
  asio::co_spawn(pool_.context(0), Relay(connection, connection->caller, connection->target, 0),
                 LogException("link"));
  asio::co_spawn(pool_.context(0), Relay(connection, connection->target, connection->caller, 1),
                 LogException("link"));
}

asio::awaitable<void> EmulatedLink::Relay(ConnectionPointer connection, Socket& from, Socket& to,
                                          std::size_t direction) {
  std::array<char, kChunkBytes> chunk;
  while (true) {
    const auto [read_error, size] = co_await from.async_read_some(asio::buffer(chunk), kAwait);
    if (read_error) {
      break;
    }
    TimePoint& free_at = free_at_.at(direction);
    free_at = std::max(free_at, Now()) + FromSeconds(static_cast<double>(size) / bytes_per_s_);
    co_await Sleep(free_at - Now());
    while (partitioned_.contains(connection->source)) {
      co_await Sleep(kPartitionCheckInterval);
    }
    const auto [write_error, written] =
        co_await asio::async_write(to, asio::buffer(chunk, size), kAwait);
    if (write_error) {
      break;
    }
  }
  boost::system::error_code ignored;
  from.close(ignored);
  to.close(ignored);
  open_.erase(connection);
}

}  // namespace savoryglade
