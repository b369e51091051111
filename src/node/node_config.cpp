#include "node/node_config.h"

#include "setup/deployment.h"

namespace flintweir::node {
namespace {

simdjson::dom::element load(simdjson::dom::parser& parser, const std::string& path) {
  simdjson::dom::element e;
  if (const auto error = parser.load(path).get(e)) {
    setup::throw_invalid_input("configuration '" + path + "': " + simdjson::error_message(error));
  }
  return e;
}

}  // namespace

NodeConfig::NodeConfig(const std::string& path, std::string listen, std::string discovery)
    : listen_(std::move(listen)),
      discovery_(std::move(discovery)),
      whole_(load(parser_, path), "configuration") {}

NodeConfig::NodeConfig(std::string_view text)
    : whole_(
          [&] {
            simdjson::dom::element e;
            if (const auto error = parser_.parse(text.data(), text.size()).get(e)) {
              setup::throw_invalid_input(std::string("configuration: ") + simdjson::error_message(error));
            }
            return e;
          }(),
          "configuration") {}

Address NodeConfig::address(const char* key, const std::string& given) const {
  const std::string text = given.empty() ? std::string(whole_.text(key, "")) : given;
  const auto at = parse_address(text);
  if (!at)
    setup::throw_invalid_input("configuration: " + std::string(key) + " '" + text +
                               "' is not an address with a port");
  return *at;
}

std::uint64_t NodeConfig::seed() const { return setup::parse_key(whole_.text("seed", "")); }
std::size_t NodeConfig::sockets() const {
  return setup::JsonObject(whole_, "limits").number("sockets", 1024);
}
std::size_t NodeConfig::memory_mb() const {
  return setup::JsonObject(whole_, "limits").number("memory_mb", 192);
}

std::optional<simdjson::dom::element> NodeConfig::known() const {
  return whole_.has("known") ? std::optional(whole_.required("known")) : std::nullopt;
}

}  // namespace flintweir::node
