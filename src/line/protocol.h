// The lines of the protocol, decoded in place. No I/O. The wire's names end here.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "balance.h"
#include "line/connection_ids.h"

namespace flintweir::line {

// The id in a first line, whatever else is wrong with it; "-" where there is none that can be logged.
std::string_view id_word(std::string_view line);

// What the settings say about a first line.
class OpenLineParser {
 public:
  OpenLineParser(std::vector<std::string> listeners, std::vector<Micros> dial_timeouts, bool groups)
      : listeners_(std::move(listeners)), dial_timeouts_(std::move(dial_timeouts)), groups_(groups) {}

  // Decodes `line` (without its end) into `taken` and `id`; `at` is the host that holds the connection
  // already, if any, and `time_left` the digits within the line that tell how long the client waits. False:
  // malformed, as a host would find it.
  bool parse(std::string_view line, Micros now, SessionRequest& taken, ConnectionId& id, std::string_view& at,
             std::string_view& time_left) const;

 private:
  std::vector<std::string> listeners_;
  std::vector<Micros> dial_timeouts_;
  bool groups_;
};

// What a host says: the first word of a line, and what follows it.
enum class HostMessage { up, bye, move, err, busy, load, pong, other };
HostMessage parse_host_message(std::string_view line, std::string_view& rest);

std::optional<double> number(std::string_view text);

// Reads `name=value,name=value` as a load report.
LoadReport parse_load_report(std::string_view text);

}  // namespace flintweir::line
