#include "lab/reports/meter.h"

#include <optional>

namespace flintweir::lab {

const std::vector<std::string>& figure_names() {
  static const std::vector<std::string> names{
      "service", "sessions", "accepted", "refused",   "torn_down", "unanswered", "moved",
      "broken",  "crossed",  "lines",    "up_p50_ms", "up_p99_ms", "up_p999_ms", "cold_fill"};
  return names;
}

std::optional<double> figure(const Tally& t, const std::string& name) {
  const auto ms = [&](double share) { return static_cast<double>(t.to_up.quantile(share).count()) / 1000; };
  if (name == "service") return t.service();
  if (name == "sessions") return t.sessions;
  if (name == "accepted") return t.accepted;
  if (name == "refused") return t.refused;
  if (name == "torn_down") return t.torn_down;
  if (name == "unanswered") return t.unanswered;
  if (name == "moved") return t.moved;
  if (name == "broken") return t.broken;
  if (name == "crossed") return t.crossed;
  if (name == "lines") return t.lines;
  if (name == "up_p50_ms") return ms(0.5);
  if (name == "up_p99_ms") return ms(0.99);
  if (name == "up_p999_ms") return ms(0.999);
  // Mean load of a cold host, as a share of a warm host's load.
  if (name == "cold_fill") return t.cold_seconds > 0 ? t.cold_load / t.cold_seconds : 0;
  return std::nullopt;
}

}  // namespace flintweir::lab
