// The address of a socket: a numeric IP address and a port. Host names are not supported.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flintweir {

struct Address {
  std::array<std::uint8_t, 16> bytes{};  // in network byte order; the first four for IPv4
  std::uint16_t port = 0;                // in host byte order
  bool is_v6 = false;
  friend auto operator<=>(const Address&, const Address&) = default;
};

// Parses `a.b.c.d:port` or `[v6]:port`. Returns nothing if the text is neither.
std::optional<Address> parse_address(std::string_view text);
// Formats an address so that parse_address() can read it.
std::string to_text(const Address& address);

}  // namespace flintweir
