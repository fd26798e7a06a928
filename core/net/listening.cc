#include "core/net/listening.h"

namespace boragecroft {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

auto Open(tcp::acceptor& acceptor, const Address& address)
    -> boost::system::error_code {
  boost::system::error_code ec;
  const auto ip = asio::ip::make_address(address.ip, ec);
  if (ec) {
    return ec;
  }
  const tcp::endpoint endpoint(ip, address.port);
  acceptor.open(endpoint.protocol(), ec);
  if (ec) {
    return ec;
  }
  acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  acceptor.bind(endpoint, ec);
  if (!ec) {
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  return ec;
}

}  // namespace

auto StartListening(tcp::acceptor& acceptor, const Address& address)
    -> Result<void, std::string> {
  if (const auto ec = Open(acceptor, address)) {
    return "cannot listen on " + ToString(address) + ": " + ec.message();
  }
  return success();
}

}  // namespace boragecroft
