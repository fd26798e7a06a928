#include "core/base/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace boragecroft {

auto ParseAddress(std::string_view text) -> std::optional<Address> {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  auto host = text.substr(0, colon);
  const auto digits = text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code ec;
  const auto ip = boost::asio::ip::make_address(std::string(host), ec);
  if (ec) {
    return std::nullopt;
  }
  uint16_t port = 0;
  const auto* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return Address{.ip = ip.to_string(), .port = port};
}

auto ToString(const Address& address) -> std::string {
  const auto is_v6 = address.ip.find(':') != std::string::npos;
  const auto host = is_v6 ? "[" + address.ip + "]" : address.ip;
  return host + ":" + std::to_string(address.port);
}

}  // namespace boragecroft
