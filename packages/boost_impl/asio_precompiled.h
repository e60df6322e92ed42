#pragma once

// Precompiled header of the packages that use sockets. Asio and Beast take several seconds per
// translation unit without it.
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
