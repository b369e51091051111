#include "net/node_file.h"

#include <cstdlib>

#include "net/hosts.h"
#include "setup/deployment.h"

namespace flintweir::net {
namespace {

simdjson::dom::element load(simdjson::dom::parser& parser, const std::string& path) {
  simdjson::dom::element e;
  if (const auto error = parser.load(path).get(e)) {
    setup::bad("configuration '" + path + "': " + simdjson::error_message(error));
  }
  return e;
}

}  // namespace

NodeFile::NodeFile(const std::string& path) : path_(path), whole_(load(parser_, path), "configuration") {}

Tcp::endpoint NodeFile::address(const char* key, const char* variable) const {
  const char* given = variable ? std::getenv(variable) : nullptr;
  const std::string text(given && *given ? std::string_view(given) : whole_.text(key, ""));
  const auto at = endpoint_of(text);
  if (!at) setup::bad("configuration: " + std::string(key) + " '" + text + "' is not an address with a port");
  return *at;
}

std::uint64_t NodeFile::seed() const { return setup::key_of(whole_.text("seed", "")); }
std::size_t NodeFile::sockets() const { return setup::Values(whole_, "limits").number("sockets", 1024); }
std::size_t NodeFile::memory_mb() const { return setup::Values(whole_, "limits").number("memory_mb", 192); }

std::optional<simdjson::dom::element> NodeFile::known() const {
  return whole_.has("known") ? std::optional(whole_.need("known")) : std::nullopt;
}

}  // namespace flintweir::net
