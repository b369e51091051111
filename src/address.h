// Where a socket is reached: a numeric address and a port. There are no names to look up.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flintweir {

struct Address {
  std::array<std::uint8_t, 16> bytes{};  // the first four where it is not is_v6
  std::uint16_t port = 0;
  bool is_v6 = false;
  friend auto operator<=>(const Address&, const Address&) = default;
};

// Reads `a.b.c.d:port` or `[v6]:port`.
std::optional<Address> parse_address(std::string_view text);
std::string to_text(const Address& address);  // the same way back

}  // namespace flintweir
