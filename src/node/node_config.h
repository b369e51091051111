// What a node is told at its start: the file that EDGE_CONFIG names, with the variables beside it.
#pragma once

#include <simdjson.h>

#include <memory>
#include <string>

#include "address.h"
#include "setup/json_object.h"

namespace flintweir::node {

// Reads the file, and keeps it: settings and the known list are looked at in place.
class NodeConfig {
 public:
  // An address given here goes before the file's; empty: none is. Throws setup::InvalidInput.
  explicit NodeConfig(const std::string& path, std::string listen = "", std::string discovery = "");
  // The same of a file's text.
  static std::unique_ptr<NodeConfig> from_text(std::string_view text) {
    return std::unique_ptr<NodeConfig>(new NodeConfig(text));
  }
  NodeConfig(const NodeConfig&) = delete;  // what is kept points into it
  std::string name() const { return std::string(whole_.text("name", "")); }
  Address listen() const { return address("listen", listen_); }
  Address discovery() const { return address("discovery", discovery_); }
  Address discovery_of_file() const { return address("discovery", ""); }  // whatever was given
  std::uint64_t seed() const;
  std::size_t sockets() const;
  std::size_t memory_mb() const;
  setup::JsonObject settings() const { return {whole_.required("settings"), "settings"}; }
  std::optional<simdjson::dom::element> known() const;

 private:
  explicit NodeConfig(std::string_view text);
  Address address(const char* key, const std::string& given) const;

  std::string listen_, discovery_;
  simdjson::dom::parser parser_;
  setup::JsonObject whole_;
};

}  // namespace flintweir::node
