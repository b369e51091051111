// What a node is told at its start: the file that EDGE_CONFIG names, with the variables beside it.
#pragma once

#include <simdjson.h>

#include <string>

#include "net/stream.h"
#include "setup/values.h"

namespace flintweir::net {

// Reads the file, and keeps it: settings and the known list are looked at in place.
class NodeFile {
 public:
  explicit NodeFile(const std::string& path);  // throws setup::BadInput
  Tcp::endpoint listen() const { return address("listen", "EDGE_LISTEN"); }
  Tcp::endpoint discovery() const { return address("discovery", "EDGE_DISCOVERY"); }
  Tcp::endpoint discovery_of_file() const { return address("discovery"); }  // whatever the variable says
  const std::string& path() const { return path_; }
  std::uint64_t seed() const;
  std::size_t sockets() const;
  std::size_t memory_mb() const;
  setup::Values settings() const { return {whole_.need("settings"), "settings"}; }
  std::optional<simdjson::dom::element> known() const;

 private:
  Tcp::endpoint address(const char* key, const char* variable = nullptr) const;

  std::string path_;
  simdjson::dom::parser parser_;
  setup::Values whole_;
};

}  // namespace flintweir::net
