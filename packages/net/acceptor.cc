#include "net/acceptor.h"

#include <fmt/format.h>

#include <boost/asio.hpp>
#include <utility>

namespace savoryglade {

Result<boost::asio::ip::tcp::acceptor> OpenAcceptor(boost::asio::io_context& context,
                                                    const Endpoint& endpoint) {
  using boost::asio::ip::tcp;
  boost::system::error_code error;
  const tcp::endpoint address(boost::asio::ip::make_address(endpoint.address, error),
                              endpoint.port);
  tcp::acceptor acceptor(context);
  if (!error) {
    acceptor.open(address.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(address, error);
  }
  if (!error) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return tl::make_unexpected(Error{
        .code = ErrorCode::kUnavailable,
        .message = fmt::format("Can't listen on {}: {}.", ToString(endpoint), error.message())});
  }
  return acceptor;
}

}  // namespace savoryglade
