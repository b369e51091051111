#include "node/node_config.h"

#include "setup/deployment.h"

namespace flintweir::node {
namespace {

simdjson::dom::element load(simdjson::dom::parser& parser, const std::string& path) {
  simdjson::dom::element root;
  if (const auto error = parser.load(path).get(root)) {
    setup::throw_invalid_input("configuration '" + path + "': " + simdjson::error_message(error));
  }
  return root;
}

}  // namespace

NodeConfig::NodeConfig(const std::string& path, std::string listen, std::string discovery)
    : listen_(std::move(listen)),
      discovery_(std::move(discovery)),
      root_(load(parser_, path), "configuration") {}

NodeConfig::NodeConfig(std::string_view text)
    : root_(
          [&] {
            simdjson::dom::element root;
            if (const auto error = parser_.parse(text.data(), text.size()).get(root)) {
              setup::throw_invalid_input(std::string("configuration: ") + simdjson::error_message(error));
            }
            return root;
          }(),
          "configuration") {}

Address NodeConfig::address(const char* key, const std::string& override_text) const {
  const std::string text = override_text.empty() ? std::string(root_.text(key, "")) : override_text;
  const auto address = parse_address(text);
  if (!address)
    setup::throw_invalid_input("configuration: " + std::string(key) + " '" + text +
                               "' is not a numeric IP address with a port");
  return *address;
}

std::uint64_t NodeConfig::seed() const { return setup::parse_key(root_.text("seed", "")); }
std::size_t NodeConfig::max_sockets() const {
  return setup::JsonObject(root_, "limits").number("sockets", 1024);
}
std::size_t NodeConfig::memory_mb() const {
  return setup::JsonObject(root_, "limits").number("memory_mb", 192);
}

std::optional<simdjson::dom::element> NodeConfig::known_list() const {
  return root_.has("known") ? std::optional(root_.required("known")) : std::nullopt;
}

}  // namespace flintweir::node
