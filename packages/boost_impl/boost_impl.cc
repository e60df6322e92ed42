// Compiles the non-inline parts of the header-only Boost libraries once for the whole workspace.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
#include <boost/json/src.hpp>
#include <boost/url/src.hpp>
