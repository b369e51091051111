#include "line/protocol.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "setup/deployment.h"

namespace flintweir::line {
namespace {

// Takes the text up to `mark` off the front of `rest`.
std::string_view cut(std::string_view& rest, char mark) {
  const std::size_t end = std::min(rest.find(mark), rest.size());
  const std::string_view first = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return first;
}

bool printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

// An id or a key: names and values have an equals sign.
bool is_word(std::string_view text) { return !text.empty() && text.find('=') == text.npos; }

constexpr std::int64_t kMostMillis = 1'000'000'000'000;  // so that it can be told in microseconds

}  // namespace

std::optional<double> number(std::string_view text) {
  double out;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (ec != std::errc{} || end != text.data() + text.size() || !std::isfinite(out)) return std::nullopt;
  return out;
}

std::string_view id_word(std::string_view line) {
  if (!printable(line)) return "-";
  cut(line, ' ');
  const std::string_view id = cut(line, ' ');
  return is_word(id) ? id : "-";
}

// Whatever a host might not read is turned away here: passed on, it would cost that host's good name.
bool OpenLineParser::parse(std::string_view line, Micros now, SessionRequest& taken, ConnectionId& given,
                           std::string_view& at, std::string_view& time_left) const {
  constexpr double kMost = 1e9;
  if (!printable(line) || cut(line, ' ') != "OPEN") return false;
  const std::string_view id = cut(line, ' '), key = cut(line, ' ');
  if (!is_word(id) || !is_word(key) || line.find(' ') != line.npos || line.ends_with(',')) return false;
  given = ConnectionId{setup::hash_name(id)};
  taken.client = ClientKey{setup::parse_key(key)};
  unsigned seen = 0;
  const auto once = [&](unsigned bit) { return !(std::exchange(seen, seen | bit) & bit); };
  const auto flag = [](std::string_view value, bool& out) {
    out = value == "1";
    return out || value == "0";
  };
  std::int64_t millis = -1;
  do {
    std::string_view value = cut(line, ',');
    const std::string_view name = cut(value, '=');
    if (name.empty() || value.empty()) return false;
    if (name == "c") {
      const auto found = std::find(listeners_.begin(), listeners_.end(), value);
      if (found == listeners_.end() || !once(1)) return false;
      taken.listener.value = static_cast<std::uint32_t>(found - listeners_.begin());
    } else if (name == "d") {
      const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), millis);
      if (ec != std::errc{} || end != value.data() + value.size() || millis < 0 || !once(2)) return false;
      time_left = value;
    } else if (name == "g") {
      if (!once(4)) return false;
      if (groups_)
        taken.group = GroupId{setup::parse_key(value)};
      else
        taken.client = ClientKey{setup::parse_key(value)};
    } else if (name == "r") {
      if (!flag(value, taken.is_retry)) return false;
    } else if (name == "again") {
      if (!flag(value, taken.is_reconnect)) return false;
    } else if (name == "at") {
      if (!once(8)) return false;
      at = value;
    } else if (name == "h" || name == "billing") {
      const auto n = number(value);
      if (!n || *n < 0 || *n > kMost) return false;
      if (name == "h")
        taken.expected_load = *n;
      else
        taken.tenant.value = static_cast<std::uint32_t>(*n);
    }
  } while (!line.empty());
  if (!(seen & 1)) return false;
  const Micros most = dial_timeouts_[taken.listener.value];
  const Micros wait = seen & 2 ? Micros(std::chrono::milliseconds(std::min(millis, kMostMillis))) : most;
  // One that is open already may be long in coming; nobody else waits longer than the listener has it.
  taken.deadline = now + (at.empty() ? std::min(wait, most) : wait);
  return true;
}

HostMessage parse_host_message(std::string_view line, std::string_view& rest) {
  rest = line;
  const std::string_view word = cut(rest, ' ');
  constexpr std::array<std::pair<std::string_view, HostMessage>, 7> words{{{"UP", HostMessage::up},
                                                                           {"BYE", HostMessage::bye},
                                                                           {"MOVE", HostMessage::move},
                                                                           {"ERR", HostMessage::err},
                                                                           {"BUSY", HostMessage::busy},
                                                                           {"LOAD", HostMessage::load},
                                                                           {"PONG", HostMessage::pong}}};
  for (const auto& [text, says] : words) {
    if (word == text) return says;
  }
  return HostMessage::other;
}

LoadReport parse_load_report(std::string_view text) {
  LoadReport report;
  while (!text.empty()) {
    std::string_view value = cut(text, ',');
    const std::string_view name = cut(value, '=');
    if (const auto n = number(value)) setup::set_report_field(report, name, *n);
  }
  return report;
}

}  // namespace flintweir::line
