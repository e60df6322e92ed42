#pragma once

#include <boost/asio/awaitable.hpp>

#include "core/time.h"

namespace savoryglade {

// Suspends the coroutine for the duration.
boost::asio::awaitable<void> Sleep(Duration duration);

}  // namespace savoryglade
