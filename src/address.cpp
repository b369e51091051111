#include "address.h"

#include <arpa/inet.h>

#include <charconv>

namespace flintweir {

std::optional<Address> parse_address(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == text.npos) return std::nullopt;
  const std::string_view port = text.substr(colon + 1);
  std::string_view host = text.substr(0, colon);
  if (host.size() > 1 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  Address out;
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), out.port);
  if (error != std::errc{} || end != port.data() + port.size()) return std::nullopt;
  const std::string null_terminated_host(host);
  if (inet_pton(AF_INET, null_terminated_host.c_str(), out.bytes.data()) == 1) return out;
  out.is_v6 = true;
  if (inet_pton(AF_INET6, null_terminated_host.c_str(), out.bytes.data()) == 1) return out;
  return std::nullopt;
}

std::string to_text(const Address& address) {
  char host[INET6_ADDRSTRLEN] = "";
  inet_ntop(address.is_v6 ? AF_INET6 : AF_INET, address.bytes.data(), host, sizeof host);
  const std::string port = ':' + std::to_string(address.port);
  return address.is_v6 ? '[' + std::string(host) + ']' + port : host + port;
}

}  // namespace flintweir
