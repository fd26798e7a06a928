// An IP number and a port. Names are never resolved: processes talk by IP
// numbers.
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

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14.
  auto operator<=>(const Address&) const = default;
};

// Parses "127.0.0.1:80" or "[::1]:80"; empty when the text has no valid IP
// number and port.
auto ParseAddress(std::string_view text) -> std::optional<Address>;
auto ToString(const Address& address) -> std::string;

}  // namespace boragecroft

template <>
struct std::hash<boragecroft::Address> {
  auto operator()(const boragecroft::Address& it) const noexcept -> size_t {
    return std::hash<std::string>()(it.ip) * 31 + it.port;
  }
};

#endif  // CORE_BASE_ADDRESS_H_
