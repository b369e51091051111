#include "line/protocol.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "setup/deployment.h"

namespace flintweir::line {
namespace {

// Removes the text up to and including the first `separator` from the front of `rest` and returns it without
// the separator; without one, removes and returns everything.
std::string_view split_front(std::string_view& rest, char separator) {
  const std::size_t end = std::min(rest.find(separator), rest.size());
  const std::string_view first = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return first;
}

bool printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

// Whether `text` can be an id or a key. An equals sign would make it one of the name=value fields.
bool is_word(std::string_view text) { return !text.empty() && text.find('=') == text.npos; }

constexpr std::int64_t kMaxTimeLeftMs = 1'000'000'000'000;  // in microseconds it still fits in 64 bits

}  // namespace

std::optional<double> parse_number(std::string_view text) {
  double out;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (ec != std::errc{} || end != text.data() + text.size() || !std::isfinite(out)) return std::nullopt;
  return out;
}

std::string_view loggable_id(std::string_view line) {
  if (!printable(line)) return "-";
  split_front(line, ' ');
  const std::string_view id = split_front(line, ' ');
  return is_word(id) ? id : "-";
}

// Strict: a line that a host might reject as malformed must not be forwarded, since the host's error answer
// would count against the host.
bool OpenLineParser::parse(std::string_view line, Micros now, SessionRequest& request, ConnectionId& id,
                           std::string_view& current_host, std::string_view& time_left) const {
  constexpr double kMaxNumber = 1e9;
  if (!printable(line) || split_front(line, ' ') != "OPEN") return false;
  const std::string_view id_text = split_front(line, ' '), key = split_front(line, ' ');
  if (!is_word(id_text) || !is_word(key) || line.find(' ') != line.npos || line.ends_with(',')) return false;
  id = ConnectionId{setup::hash_name(id_text)};
  request.client = ClientKey{setup::parse_key(key)};
  unsigned fields_seen = 0;
  const auto first_time = [&](unsigned bit) {
    return !(std::exchange(fields_seen, fields_seen | bit) & bit);
  };
  const auto flag = [](std::string_view value, bool& out) {
    out = value == "1";
    return out || value == "0";
  };
  std::int64_t time_left_ms = -1;
  do {
    std::string_view value = split_front(line, ',');
    const std::string_view name = split_front(value, '=');
    if (name.empty() || value.empty()) return false;
    if (name == "c") {
      const auto found = std::find(listeners_.begin(), listeners_.end(), value);
      if (found == listeners_.end() || !first_time(1)) return false;
      request.listener.value = static_cast<std::uint32_t>(found - listeners_.begin());
    } else if (name == "d") {
      const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), time_left_ms);
      if (ec != std::errc{} || end != value.data() + value.size() || time_left_ms < 0 || !first_time(2))
        return false;
      time_left = value;
    } else if (name == "g") {
      if (!first_time(4)) return false;
      if (groups_)
        request.group = GroupId{setup::parse_key(value)};
      else
        request.client = ClientKey{setup::parse_key(value)};
    } else if (name == "r") {
      if (!flag(value, request.is_retry)) return false;
    } else if (name == "again") {
      if (!flag(value, request.is_reconnect)) return false;
    } else if (name == "at") {
      if (!first_time(8)) return false;
      current_host = value;
    } else if (name == "h" || name == "billing") {
      const auto n = parse_number(value);
      if (!n || *n < 0 || *n > kMaxNumber) return false;
      if (name == "h")
        request.expected_load = *n;
      else
        request.tenant.value = static_cast<std::uint32_t>(*n);
    }
  } while (!line.empty());
  if (!(fields_seen & 1)) return false;
  const Micros dial_timeout = dial_timeouts_[request.listener.value];
  const Micros wait = fields_seen & 2
                          ? Micros(std::chrono::milliseconds(std::min(time_left_ms, kMaxTimeLeftMs)))
                          : dial_timeout;
  // A client with a session that is already open may wait as long as it says; any other waits no longer than
  // its listener's dial timeout.
  request.deadline = now + (current_host.empty() ? std::min(wait, dial_timeout) : wait);
  return true;
}

HostMessage parse_host_message(std::string_view line, std::string_view& rest) {
  rest = line;
  const std::string_view word = split_front(rest, ' ');
  constexpr std::array<std::pair<std::string_view, HostMessage>, 7> words{{{"UP", HostMessage::up},
                                                                           {"BYE", HostMessage::bye},
                                                                           {"MOVE", HostMessage::move},
                                                                           {"ERR", HostMessage::err},
                                                                           {"BUSY", HostMessage::busy},
                                                                           {"LOAD", HostMessage::load},
                                                                           {"PONG", HostMessage::pong}}};
  for (const auto& [text, message] : words) {
    if (word == text) return message;
  }
  return HostMessage::other;
}

LoadReport parse_load_report(std::string_view text) {
  LoadReport report;
  while (!text.empty()) {
    std::string_view value = split_front(text, ',');
    const std::string_view name = split_front(value, '=');
    if (const auto n = parse_number(value)) setup::set_report_field(report, name, *n);
  }
  return report;
}

}  // namespace flintweir::line
