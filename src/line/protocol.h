// The text lines from clients and hosts, decoded in place and without I/O. Callers need none of the wire's
// field names.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "balance.h"
#include "line/connection_ids.h"

namespace flintweir::line {

// Returns the id in a first line, even if the rest of the line is malformed, or "-" if there is none that can
// be logged. The result is a view into `line`.
std::string_view loggable_id(std::string_view line);

// Decodes the OPEN line with which a client requests a session.
class OpenLineParser {
 public:
  // `dial_timeouts` belong to `listeners`, in the same order. `groups`: whether the field g names a group
  // rather than replacing the client's key.
  OpenLineParser(std::vector<std::string> listeners, std::vector<Micros> dial_timeouts, bool groups)
      : listeners_(std::move(listeners)), dial_timeouts_(std::move(dial_timeouts)), groups_(groups) {}

  // Decodes `line`, which has no line end, into `request` and `id`. `current_host` is set to the id of the
  // host that already holds the session, if the line names one, and `time_left` to the digits that say for
  // how many milliseconds the client waits; both are views into `line`. Returns false if a host would find
  // the line malformed.
  bool parse(std::string_view line, Micros now, SessionRequest& request, ConnectionId& id,
             std::string_view& current_host, std::string_view& time_left) const;

 private:
  std::vector<std::string> listeners_;
  std::vector<Micros> dial_timeouts_;
  bool groups_;
};

// The kind of a line from a host, given by its first word.
enum class HostMessage { up, bye, move, err, busy, load, pong, other };
// Sets `rest` to the text after the first word. `line` has no line end.
HostMessage parse_host_message(std::string_view line, std::string_view& rest);

// Parses all of `text` as a finite number.
std::optional<double> parse_number(std::string_view text);

// Parses `name=value,name=value` as a load report. Unknown names and malformed values are ignored.
LoadReport parse_load_report(std::string_view text);

}  // namespace flintweir::line
