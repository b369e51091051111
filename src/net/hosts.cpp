#include "net/hosts.h"

#include <asio/ip/address.hpp>
#include <charconv>

namespace flintweir::net {

std::optional<Tcp::endpoint> endpoint_of(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == text.npos) return std::nullopt;
  const std::string_view digits = text.substr(colon + 1);
  std::string_view host = text.substr(0, colon);
  if (host.size() > 1 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  std::uint16_t port;
  const auto [end, bad_port] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (bad_port != std::errc{} || end != digits.data() + digits.size()) return std::nullopt;
  std::error_code bad_address;
  const auto address = asio::ip::make_address(host, bad_address);
  if (bad_address) return std::nullopt;
  return Tcp::endpoint(address, port);
}

}  // namespace flintweir::net
