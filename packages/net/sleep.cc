#include "net/sleep.h"

#include <boost/asio.hpp>

namespace savoryglade {

boost::asio::awaitable<void> Sleep(Duration duration) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  timer.expires_after(duration);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

}  // namespace savoryglade
