// An IP address with a port, and its text form. Host names are never resolved:
// processes connect to each other by IP address.
#ifndef CORE_BASE_ADDRESS_H_
#define CORE_BASE_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace boragecroft {

struct Address {
  std::string ip;
  uint16_t port = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const Address&) const = default;
};

// Parses "127.0.0.1:80" or "[::1]:80". Returns nullopt unless the text is a
// valid IP address followed by a port.
auto ParseAddress(std::string_view text) -> std::optional<Address>;
// Returns the text that ParseAddress() accepts, with brackets around an IPv6
// address.
auto ToString(const Address& address) -> std::string;

}  // namespace boragecroft

template <>
struct std::hash<boragecroft::Address> {
  auto operator()(const boragecroft::Address& it) const noexcept -> size_t {
    return std::hash<std::string>()(it.ip) * 31 + it.port;
  }
};

#endif  // CORE_BASE_ADDRESS_H_
