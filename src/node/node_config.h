// The configuration of a node: a JSON file, parts of which environment variables override at the start.
#pragma once

#include <simdjson.h>

#include <memory>
#include <string>

#include "address.h"
#include "setup/json_object.h"

namespace flintweir::node {

// Owns the parsed file; settings() and known_list() return views into it. All accessors throw
// setup::InvalidInput if a value is malformed or a required one is missing.
class NodeConfig {
 public:
  // `listen` and `discovery` override the addresses in the file unless empty. Throws setup::InvalidInput.
  explicit NodeConfig(const std::string& path, std::string listen = "", std::string discovery = "");
  // Parses the text of a file. Throws setup::InvalidInput.
  static std::unique_ptr<NodeConfig> from_text(std::string_view text) {
    return std::unique_ptr<NodeConfig>(new NodeConfig(text));
  }
  NodeConfig(const NodeConfig&) = delete;  // the JSON elements refer to parser_
  std::string name() const { return std::string(root_.text("name", "")); }
  Address listen_address() const { return address("listen", listen_); }
  Address discovery_address() const { return address("discovery", discovery_); }
  // The address in the file, even if it is overridden.
  Address discovery_address_in_file() const { return address("discovery", ""); }
  std::uint64_t seed() const;
  std::size_t max_sockets() const;
  std::size_t memory_mb() const;  // MiB
  setup::JsonObject settings() const { return {root_.required("settings"), "settings"}; }
  // The host list to start with, if the file has one.
  std::optional<simdjson::dom::element> known_list() const;

 private:
  explicit NodeConfig(std::string_view text);
  Address address(const char* key, const std::string& override_text) const;

  std::string listen_, discovery_;  // overrides
  simdjson::dom::parser parser_;
  setup::JsonObject root_;
};

}  // namespace flintweir::node
