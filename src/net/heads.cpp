#include "net/heads.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "setup/deployment.h"

namespace flintweir::net {
namespace {

// Takes the text up to `mark` off the front of `rest`.
std::string_view cut(std::string_view& rest, char mark) {
  const std::size_t end = std::min(rest.find(mark), rest.size());
  const std::string_view first = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return first;
}

}  // namespace

std::optional<double> number(std::string_view text) {
  double out;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (ec != std::errc{} || end != text.data() + text.size() || !std::isfinite(out)) return std::nullopt;
  return out;
}

bool HeadReader::open(std::string_view line, Micros now, Taken& taken, std::string_view& at,
                      std::string_view& time_left) const {
  if (cut(line, ' ') != "OPEN") return false;
  const std::string_view id = cut(line, ' '), key = cut(line, ' ');
  if (id.empty() || key.empty()) return false;
  taken.client = ClientKey{setup::key_of(key)};
  bool listed = false;
  while (!line.empty()) {
    std::string_view value = cut(line, ',');
    const std::string_view name = cut(value, '=');
    if (name == "c") {
      const auto found = std::find(listeners_.begin(), listeners_.end(), value);
      if (found == listeners_.end()) return false;
      taken.listener.value = static_cast<std::uint32_t>(found - listeners_.begin());
      listed = true;
    } else if (name == "d") {
      time_left = value;
    } else if (name == "g" && !value.empty()) {
      if (groups_)
        taken.group = GroupId{setup::key_of(value)};
      else
        taken.client = ClientKey{setup::key_of(value)};
    } else if (name == "r") {
      taken.repeat = value == "1";
    } else if (name == "again") {
      taken.returned = value == "1";
    } else if (name == "at") {
      at = value;
    } else if (name == "h") {
      taken.usual_load = number(value);
    } else if (name == "billing") {
      taken.tenant.value = static_cast<std::uint32_t>(std::clamp(number(value).value_or(0), 0.0, 1e9));
    }
  }
  if (!listed) return false;
  const Micros most = dial_timeouts_[taken.listener.value];
  if (time_left.empty()) return taken.valid_until = now + most, true;
  std::int64_t millis;
  const auto [end, ec] = std::from_chars(time_left.data(), time_left.data() + time_left.size(), millis);
  if (ec != std::errc{} || end != time_left.data() + time_left.size() || millis < 0) return false;
  taken.valid_until = now + std::chrono::milliseconds(std::min<std::int64_t>(millis, 86'400'000));
  return true;
}

Says said(std::string_view line, std::string_view& rest) {
  rest = line;
  const std::string_view word = cut(rest, ' ');
  constexpr std::array<std::pair<std::string_view, Says>, 7> words{{{"UP", Says::up},
                                                                    {"BYE", Says::bye},
                                                                    {"MOVE", Says::move},
                                                                    {"ERR", Says::err},
                                                                    {"BUSY", Says::busy},
                                                                    {"LOAD", Says::load},
                                                                    {"PONG", Says::pong}}};
  for (const auto& [text, says] : words) {
    if (word == text) return says;
  }
  return Says::other;
}

LoadReport load_report(std::string_view text) {
  LoadReport report;
  while (!text.empty()) {
    std::string_view value = cut(text, ',');
    const std::string_view name = cut(value, '=');
    if (const auto n = number(value)) setup::set_field(report, name, *n);
  }
  return report;
}

}  // namespace flintweir::net
